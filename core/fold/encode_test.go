package fold

import (
	"bytes"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/sesamemoor/sesamemoor/core/wire"
)

// TestSnapshotAndTailEqualFullReplay encodes the state at a random point, replays
// the remaining records on the decoded state and compares it with a full replay.
func TestSnapshotAndTailEqualFullReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		at := rapid.IntRange(0, steps).Draw(t, "snapshot")
		var state []byte
		cut := 0
		var shards []Shard
		for i := range steps + 1 {
			if i == at {
				state, cut = mustEncode(t, sim.state), len(sim.history)
				shards = slices.Clone(sim.state.Services["svc"].Shards)
			}
			sim.step(rapid.IntRange(0, stepKinds-1).Draw(t, "kind"))
		}
		restored, err := Decode(state)
		if err != nil {
			t.Fatal(err)
		}
		restored.EnsureService("svc", simShards)
		if !slices.Equal(restored.Services["svc"].Shards, shards) {
			t.Fatalf("restored shards: got %v, want %v", restored.Services["svc"].Shards, shards)
		}
		for _, e := range sim.history[cut:] {
			data, _ := proto.Marshal(e.rec)
			restored.Apply(e.offset, data)
		}
		if !bytes.Equal(mustEncode(t, restored), mustEncode(t, sim.state)) {
			t.Fatalf("restored state differs: got %v, want %v", restored.Services["svc"], sim.state.Services["svc"])
		}
	})
}

func mustEncode(t interface{ Fatal(...any) }, s *State) []byte {
	data, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func FuzzDecode(f *testing.F) {
	f.Add(mustEncode(f, New()))
	full := New()
	full.EnsureService("svc", 2)
	f.Add(mustEncode(f, full))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Decode(data)
		if err != nil {
			return
		}
		if _, err := Decode(mustEncode(t, s)); err != nil {
			t.Fatalf("decoded state cannot be encoded and decoded again: %v", err)
		}
	})
}

// largeState returns the records of a placement and the state after their replay.
func largeState(tb testing.TB, shards, members int) ([][]byte, *State) {
	s := New()
	s.EnsureService("storefront", uint32(shards))
	var log [][]byte
	var incs []uint64
	apply := func(rec *wire.Record) uint64 {
		offset := s.Next
		rec.Id = fmt.Appendf(nil, "%016d", offset)
		data, err := proto.Marshal(rec)
		if err != nil {
			tb.Fatal(err)
		}
		log = append(log, data)
		if _, v := s.Apply(offset, data); !v.Accepted {
			tb.Fatal(v.Reason)
		}
		return offset
	}
	for n := range members {
		slot := fmt.Sprintf("slot-%05d", n)
		apply(&wire.Record{Body: &wire.Record_Announce{Announce: &wire.Announce{Slot: slot, DataCentre: "busan-a", Region: "kr-south",
			PeerAddr: "10.100.200.1:7001", WitnessAddr: "10.100.200.1:7002", EntryAddr: "10.100.200.1:7003"}}})
		inc := apply(&wire.Record{Body: &wire.Record_Join{Join: &wire.Join{Slot: slot, Service: "storefront", BackendServer: slot,
			BackendAddr: "10.100.200.1:8000", Slots: 9, Witnesses: []string{"slot-00001", "slot-00002", "slot-00003"}}}})
		apply(&wire.Record{Author: inc, Body: &wire.Record_Ready{Ready: &wire.Ready{Incarnation: inc}}})
		incs = append(incs, inc)
	}
	const batch = 512
	for n := 0; n < shards; n += batch {
		var list []*wire.Placement
		for i := n; i < min(n+batch, shards); i++ {
			list = append(list, &wire.Placement{Ref: &wire.ShardRef{Service: "storefront", Shard: uint32(i)},
				Owner: incs[i%members], Standby: incs[(i+1)%members]})
		}
		apply(&wire.Record{Body: &wire.Record_Propose{Propose: &wire.Propose{Placements: list}}})
	}
	return log, s
}

const benchShards, benchMembers = 1_000_000, 2000

// BenchmarkFold replays the first placement of a million shards.
func BenchmarkFold(b *testing.B) {
	log, _ := largeState(b, benchShards, benchMembers)
	size := 0
	for _, data := range log {
		size += len(data)
	}
	b.ReportAllocs()
	for b.Loop() {
		s := New()
		for i, data := range log {
			s.Apply(uint64(i)+1, data)
		}
	}
	b.ReportMetric(float64(size)/benchShards, "log-B/shard")
}

// BenchmarkEncode encodes the state of a million shards.
func BenchmarkEncode(b *testing.B) {
	_, s := largeState(b, benchShards, benchMembers)
	size := 0
	for b.Loop() {
		size = len(mustEncode(b, s))
	}
	b.ReportMetric(float64(size)/benchShards, "snapshot-B/shard")
}

// BenchmarkDecode decodes the state of a million shards and measures its memory.
func BenchmarkDecode(b *testing.B) {
	_, s := largeState(b, benchShards, benchMembers)
	data := mustEncode(b, s)
	s = nil
	before := liveBytes()
	for b.Loop() {
		var err error
		if s, err = Decode(data); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(liveBytes()-before)/benchShards, "held-B/shard")
	runtime.KeepAlive(s)
	runtime.KeepAlive(data)
}

func liveBytes() int64 {
	runtime.GC()
	runtime.GC() // frees memory that was finalized by the first run
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestVersionOfMember checks that a member keeps the version of its backend server through a
// snapshot, and that a join with a version that is too long is accepted without it: daemons
// that do not read the field accept it too.
func TestVersionOfMember(t *testing.T) {
	is := is.New(t)
	s := New()
	appendRecord(t, s, &wire.Record{Body: &wire.Record_Announce{Announce: &wire.Announce{Slot: "a", WitnessAddr: "127.0.0.1:1"}}})
	join := func(version string) *Member {
		inc, v := appendRecord(t, s, &wire.Record{Body: &wire.Record_Join{Join: &wire.Join{
			Slot: "a", Service: "storefront", Witnesses: []string{"w"}, BackendVersion: version}}})
		is.True(v.Accepted)
		data, err := s.Encode()
		is.NoErr(err)
		decoded, err := Decode(data)
		is.NoErr(err)
		return decoded.Members[inc]
	}
	is.Equal(join("v2").Version, "v2")
	is.Equal(join(strings.Repeat("x", 200)).Version, "")
}
