package fold

import (
	"encoding/binary"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/sesamemoor/sesamemoor/core/wire"
)

const simShards = 3

// simulation applies the same random records to a State and to its reference
// model.
type simulation struct {
	t       *rapid.T
	state   *State
	history []logEntry
	highest map[uint32]uint64 // highest generation seen of each shard
	ids     uint64
}

func (w *simulation) apply(rec *wire.Record) {
	if rec.Id == nil {
		w.ids++
		rec.Id = binary.BigEndian.AppendUint64(make([]byte, 8), w.ids)
		rec.Version = RecordVersion
	}
	data, err := proto.Marshal(rec)
	if err != nil {
		w.t.Fatal(err)
	}
	offset := w.state.Next + uint64(rapid.IntRange(0, 2).Draw(w.t, "gap"))
	w.state.Apply(offset, data)
	w.history = append(w.history, logEntry{offset, rec})
}

func (w *simulation) slot() string { return fmt.Sprintf("s%d", rapid.IntRange(0, 3).Draw(w.t, "slot")) }

// inc draws a known incarnation, none, or one that never existed.
func (w *simulation) inc() uint64 {
	list := []uint64{0, 9999}
	for _, e := range w.history {
		if e.rec.GetJoin() != nil {
			list = append(list, e.offset, e.offset)
		}
	}
	return rapid.SampledFrom(list).Draw(w.t, "inc")
}

// ref draws a shard reference, mostly at the current generation.
func (w *simulation) ref() *wire.ShardRef {
	n := uint32(rapid.IntRange(0, simShards+2).Draw(w.t, "shard"))
	ref := &wire.ShardRef{Service: "svc", Shard: n}
	if svc := w.state.Services["svc"]; int(n) < len(svc.Shards) {
		ref.Generation = svc.Shards[n].Generation
	}
	if rapid.IntRange(0, 5).Draw(w.t, "stale") == 0 {
		ref.Generation -= min(ref.Generation, 1)
	}
	return ref
}

// holder draws the shard's owner or standby, or at times any incarnation.
func (w *simulation) holder(ref *wire.ShardRef, standby bool) uint64 {
	svc := w.state.Services["svc"]
	if int(ref.Shard) >= len(svc.Shards) || rapid.IntRange(0, 4).Draw(w.t, "other") == 0 {
		return w.inc()
	}
	if standby {
		return svc.Shards[ref.Shard].Standby
	}
	return svc.Shards[ref.Shard].Owner
}

func (w *simulation) step(kind int) {
	switch kind {
	case 0:
		w.apply(&wire.Record{Body: &wire.Record_Announce{Announce: &wire.Announce{Slot: w.slot(), WitnessAddr: "127.0.0.1:1"}}})
	case 1:
		w.apply(&wire.Record{Body: &wire.Record_Join{Join: &wire.Join{
			Slot: w.slot(), Service: "svc", Witnesses: []string{"a", "b", "c"}[:rapid.IntRange(0, 3).Draw(w.t, "witnesses")]}}})
	case 2, 3:
		w.apply(&wire.Record{Body: &wire.Record_Ready{Ready: &wire.Ready{Incarnation: w.inc()}}})
	case 4:
		w.apply(&wire.Record{Body: &wire.Record_Lapse{Lapse: &wire.Lapse{
			Incarnation: w.inc(), SealedBy: []string{"a", "a", "b"}[:rapid.IntRange(1, 3).Draw(w.t, "seals")]}}})
	case 5:
		inc := w.inc()
		w.apply(&wire.Record{Author: inc, Body: &wire.Record_Leave{Leave: &wire.Leave{Incarnation: w.inc()}}})
	case 6, 7, 8:
		w.apply(&wire.Record{Body: &wire.Record_Propose{Propose: &wire.Propose{Placements: []*wire.Placement{
			{Ref: w.ref(), Owner: w.inc(), Standby: w.inc()}, {Ref: w.ref(), Standby: w.inc()}}}}})
	case 9:
		ref := w.ref()
		inc := w.holder(ref, true)
		w.apply(&wire.Record{Author: inc, Body: &wire.Record_Consent{Consent: &wire.Consent{Incarnation: inc, Refs: []*wire.ShardRef{ref}}}})
	case 10:
		w.apply(&wire.Record{Body: &wire.Record_Handover{Handover: &wire.Handover{Refs: []*wire.ShardRef{w.ref(), w.ref()}}}})
	case 11:
		ref := w.ref()
		inc := w.holder(ref, true)
		w.apply(&wire.Record{Author: inc, Body: &wire.Record_Takeover{Takeover: &wire.Takeover{Incarnation: inc, Refs: []*wire.ShardRef{ref},
			FormerStandsBy: rapid.Bool().Draw(w.t, "former")}}})
	case 12:
		ref := w.ref()
		w.apply(&wire.Record{Author: w.holder(ref, false), Body: &wire.Record_SplitKey{SplitKey: &wire.SplitKey{
			Service: "svc", Parent: ref, KeyHash: uint64(rapid.IntRange(0, 2).Draw(w.t, "hash")),
			Shard: uint32(rapid.IntRange(simShards, simShards+2).Draw(w.t, "number"))}}})
	case 13:
		ref := w.ref()
		w.apply(&wire.Record{Author: w.holder(ref, false), Body: &wire.Record_MergeKey{MergeKey: &wire.MergeKey{
			Service: "svc", Parent: ref, Split: w.ref(), KeyHash: uint64(rapid.IntRange(0, 2).Draw(w.t, "hash"))}}})
	case 14:
		if len(w.history) > 0 {
			w.apply(rapid.SampledFrom(w.history).Draw(w.t, "again").rec)
		}
	}
}

// check compares the state with its reference model and checks the invariants.
func (w *simulation) check() {
	model := replayModel(w.history)
	svc := w.state.Services["svc"]
	for n := range svc.Shards {
		got, want := svc.Shards[n], model.shards[modelShardKey{"svc", uint32(n)}]
		if got != want {
			w.t.Fatalf("shard %d: got %+v, want %+v", n, got, want)
		}
		if got.Generation < w.highest[uint32(n)] {
			w.t.Fatalf("shard %d: generation decreased from %d to %d", n, w.highest[uint32(n)], got.Generation)
		}
		w.highest[uint32(n)] = got.Generation
		if got.Owner != 0 && got.Owner == got.Standby {
			w.t.Fatalf("shard %d: owner %d is its own standby", n, got.Owner)
		}
	}
	if len(w.state.Members) != len(model.members) {
		w.t.Fatalf("got %d members, want %d", len(w.state.Members), len(model.members))
	}
	for inc, m := range model.members {
		if got := w.state.Members[inc]; got == nil || got.Phase != m.phase {
			w.t.Fatalf("member %d: got %+v, want %+v", inc, got, m)
		}
	}
	if len(svc.Split) != len(model.split) {
		w.t.Fatalf("got %d split keys, want %d", len(svc.Split), len(model.split))
	}
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{t: t, state: New(), highest: map[uint32]uint64{}}
	w.state.EnsureService("svc", simShards)
	for i := range 4 {
		slot := fmt.Sprintf("s%d", i)
		w.apply(&wire.Record{Body: &wire.Record_Announce{Announce: &wire.Announce{Slot: slot, WitnessAddr: "127.0.0.1:1"}}})
		w.apply(&wire.Record{Body: &wire.Record_Join{Join: &wire.Join{Slot: slot, Service: "svc", Witnesses: []string{"a", "b", "c"}}}})
		offset := w.history[len(w.history)-1].offset
		w.apply(&wire.Record{Body: &wire.Record_Ready{Ready: &wire.Ready{Incarnation: offset}}})
	}
	for n := range uint32(simShards) {
		a, b := w.history[1].offset, w.history[4].offset
		w.apply(&wire.Record{Body: &wire.Record_Propose{Propose: &wire.Propose{Placements: []*wire.Placement{
			{Ref: &wire.ShardRef{Service: "svc", Shard: n}, Owner: a, Standby: b}}}}})
	}
	return w
}

// stepKinds is the number of kinds of steps in simulation.step.
const stepKinds = 15

func TestStateMatchesTwin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			w.step(rapid.IntRange(0, stepKinds-1).Draw(t, "kind"))
			w.check()
		}
	})
}

// TestReplayDoesNotWaitForConfiguration checks that the effect of a record does
// not depend on when the configuration stream was read.
func TestReplayDoesNotWaitForConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			w.step(rapid.IntRange(0, stepKinds-1).Draw(t, "kind"))
		}
		late := New()
		for _, e := range w.history {
			data, _ := proto.Marshal(e.rec)
			late.Apply(e.offset, data)
		}
		late.EnsureService("svc", simShards)
		for n, want := range w.state.Services["svc"].Shards {
			if got := late.Services["svc"].Shards[n]; got != want {
				t.Fatalf("shard %d: got %+v, want %+v", n, got, want)
			}
		}
	})
}
