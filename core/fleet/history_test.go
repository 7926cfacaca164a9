package fleet

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/sesamemoor/sesamemoor/core/wire"
)

func patchRecord(t interface{ Fatal(...any) }, id, base uint64, patch string) []byte {
	data, err := proto.Marshal(&wire.Record{
		Id: binary.BigEndian.AppendUint64(make([]byte, 8), id), Version: RecordVersion,
		Body: &wire.Record_ConfigPatch{ConfigPatch: &wire.ConfigPatch{BaseVersion: base, MergePatch: []byte(patch)}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// merge is a direct implementation of the algorithm in RFC 7396.
func merge(target, patch any) any {
	p, ok := patch.(map[string]any)
	if !ok {
		return patch
	}
	out := map[string]any{}
	if o, ok := target.(map[string]any); ok {
		for k, v := range o {
			out[k] = v
		}
	}
	for k, v := range p {
		if v == nil {
			delete(out, k)
		} else {
			out[k] = merge(out[k], v)
		}
	}
	return out
}

var patches = []string{
	`{"services":{"a":{"region":"r","shards":8}}}`,
	`{"services":{"a":{"region":"r","shards":9}}}`,
	`{"services":{"a":null}}`,
	`{"services":{"b":{"region":"r","shards":4}},"teams":{"x":{"rate":5,"burst":2,"services":["b"]}}}`,
	`{"teams":{"x":{"rate":7}}}`,
	`{"teams":{"x":null}}`,
	`{"teams":{"x":{"rate":-1}}}`,
	`{"data_centres":{"d":{"region":"r","out":true}}}`,
	`{"data_centres":{"d":{"out":null}}}`,
	`{"unknown":1}`,
	`[]`,
	`{`,
}

// TestHistoryMatchesNaiveReplay is a differential test: it compares accepted versions
// and documents with a reference model that keeps a list of all documents.
func TestHistoryMatchesNaiveReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHistory()
		docs := []any{map[string]any{}}
		counts := map[string]float64{}
		seen := map[uint64]bool{}
		for offset := uint64(1); offset < 40; offset++ {
			id := uint64(rapid.IntRange(1, 60).Draw(t, "id"))
			base := uint64(max(0, len(docs)-1-rapid.SampledFrom([]int{0, 0, 0, 1, -1}).Draw(t, "behind")))
			patch := rapid.SampledFrom(patches).Draw(t, "patch")
			_, v := h.Apply(offset, patchRecord(t, id, base, patch))

			want := !seen[id] && base == uint64(len(docs)-1)
			seen[id] = true
			var p any
			if want = want && json.Unmarshal([]byte(patch), &p) == nil; want {
				next := merge(docs[base], p)
				if want = naiveValid(next, counts); want {
					docs = append(docs, next)
				}
			}
			if v.Accepted != want || h.Version != uint64(len(docs)-1) {
				t.Fatalf("patch %s on %d: %+v, want accepted %v", patch, base, v, want)
			}
			var got any
			if err := json.Unmarshal(h.Doc, &got); err != nil || !reflect.DeepEqual(got, docs[len(docs)-1]) {
				t.Fatalf("document %s, want %v", h.Doc, docs[len(docs)-1])
			}
		}
	})
}

func child(doc map[string]any, name string) map[string]any {
	c, _ := doc[name].(map[string]any)
	return c
}

// naiveValid checks the rules that the patches above can violate, and records the
// shard counts of a valid document.
func naiveValid(doc any, counts map[string]float64) bool {
	d, ok := doc.(map[string]any)
	if !ok || d["unknown"] != nil {
		return false
	}
	services, _ := d["services"].(map[string]any)
	for name, s := range services {
		if c, ok := counts[name]; ok && c != s.(map[string]any)["shards"] {
			return false
		}
	}
	if x, ok := child(d, "teams")["x"].(map[string]any); ok {
		if rate, _ := x["rate"].(float64); rate < 0 {
			return false
		}
		permitted, _ := x["services"].([]any)
		for _, s := range permitted {
			if services[s.(string)] == nil {
				return false
			}
		}
	}
	if dc, ok := child(d, "data_centres")["d"].(map[string]any); ok && dc["region"] == nil {
		return false
	}
	for name, s := range services {
		counts[name], _ = s.(map[string]any)["shards"].(float64)
	}
	return true
}

// sharedLog is an in-memory append-only stream.
type sharedLog struct {
	mu      sync.Mutex
	records [][]byte
}

func (l *sharedLog) append(data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, data)
}

func (l *sharedLog) replay(h *History) {
	l.mu.Lock()
	records := l.records[h.Next-1:]
	l.mu.Unlock()
	for _, data := range records {
		h.Apply(h.Next, data)
	}
}

type versionOp struct {
	patch bool
	base  uint64
}

type versionResult struct {
	accepted bool
	version  uint64
}

var versionModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, in, out any) (bool, any) {
		current, op, res := state.(uint64), in.(versionOp), out.(versionResult)
		switch {
		case !op.patch:
			return res.version == current, current
		case res.accepted:
			return op.base == current, current + 1
		default:
			return op.base != current, current
		}
	},
}

// TestRacingOperatorsAreLinearizable has operators patch and read one stream
// concurrently, with appends of even rounds duplicated. The results must be
// linearizable.
func TestRacingOperatorsAreLinearizable(t *testing.T) {
	is := is.New(t)
	const operators, rounds = 5, 25
	log := &sharedLog{}
	var ticks atomic.Int64
	var ids atomic.Uint64
	ops := make([][]porcupine.Operation, operators)
	var wg sync.WaitGroup
	for n := range operators {
		wg.Go(func() {
			h := NewHistory()
			for round := range rounds {
				op := versionOp{patch: round%3 != 2, base: h.Version}
				call := ticks.Add(1)
				res := versionResult{}
				if op.patch {
					id := ids.Add(1)
					data := patchRecord(t, id, op.base, fmt.Sprintf(`{"teams":{"t%d":{"rate":%d}}}`, n, round))
					log.append(data)
					if round%2 == 0 {
						log.append(data)
					}
					res.accepted = acceptedIn(log, h, data)
				} else {
					log.replay(h)
					res.version = h.Version
				}
				ops[n] = append(ops[n], porcupine.Operation{ClientId: n, Input: op, Call: call, Output: res, Return: ticks.Add(1)})
			}
		})
	}
	wg.Wait()
	var all []porcupine.Operation
	for _, list := range ops {
		all = append(all, list...)
	}
	is.True(porcupine.CheckOperations(versionModel, all))
}

// acceptedIn replays the log and reports whether the record was accepted.
func acceptedIn(log *sharedLog, h *History, data []byte) bool {
	log.mu.Lock()
	records := log.records[h.Next-1:]
	log.mu.Unlock()
	accepted := false
	for _, r := range records {
		_, v := h.Apply(h.Next, r)
		accepted = accepted || v.Accepted && string(r) == string(data)
	}
	return accepted
}

func TestNewerRecordsAreCountedAndIgnored(t *testing.T) {
	is := is.New(t)
	h := NewHistory()
	data, err := proto.Marshal(&wire.Record{Id: make([]byte, 16), Version: RecordVersion + 1,
		Body: &wire.Record_ConfigPatch{ConfigPatch: &wire.ConfigPatch{MergePatch: []byte(`{}`)}}})
	is.NoErr(err)
	_, v := h.Apply(1, data)
	is.True(!v.Accepted)
	is.Equal(h.Newer, uint64(1))
	is.Equal(h.Version, uint64(0))
}

func FuzzConfigPatch(f *testing.F) {
	for _, p := range patches {
		f.Add([]byte(p))
	}
	doc := []byte(`{"services":{"a":{"region":"r","shards":8}},"routes":{"p":{"prefix":"/p","service":"a","key":"path:0"}}}`)
	f.Fuzz(func(t *testing.T, patch []byte) {
		merged, cfg, err := ApplyPatch(doc, patch)
		if err != nil {
			if !errors.Is(err, ErrInvalid) {
				t.Fatalf("error does not wrap ErrInvalid: %v", err)
			}
			return
		}
		if cfg == nil {
			t.Fatal("patch accepted without a configuration")
		}
		if _, err := Parse(merged); err != nil {
			t.Fatalf("accepted document does not parse: %v", err)
		}
	})
}
