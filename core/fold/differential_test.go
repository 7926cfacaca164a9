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

func (sim *simulation) apply(rec *wire.Record) {
	if rec.Id == nil {
		sim.ids++
		rec.Id = binary.BigEndian.AppendUint64(make([]byte, 8), sim.ids)
		rec.Version = RecordVersion
	}
	data, err := proto.Marshal(rec)
	if err != nil {
		sim.t.Fatal(err)
	}
	offset := sim.state.Next + uint64(rapid.IntRange(0, 2).Draw(sim.t, "gap"))
	sim.state.Apply(offset, data)
	sim.history = append(sim.history, logEntry{offset, rec})
}

func (sim *simulation) slot() string {
	return fmt.Sprintf("s%d", rapid.IntRange(0, 3).Draw(sim.t, "slot"))
}

// inc draws a known incarnation, none, or one that never existed.
func (sim *simulation) inc() uint64 {
	list := []uint64{0, 9999}
	for _, e := range sim.history {
		if e.rec.GetJoin() != nil {
			list = append(list, e.offset, e.offset)
		}
	}
	return rapid.SampledFrom(list).Draw(sim.t, "inc")
}

// ref draws a shard reference, mostly at the current generation.
func (sim *simulation) ref() *wire.ShardRef {
	n := uint32(rapid.IntRange(0, simShards+2).Draw(sim.t, "shard"))
	ref := &wire.ShardRef{Service: "svc", Shard: n}
	if svc := sim.state.Services["svc"]; int(n) < len(svc.Shards) {
		ref.Generation = svc.Shards[n].Generation
	}
	if rapid.IntRange(0, 5).Draw(sim.t, "stale") == 0 {
		ref.Generation -= min(ref.Generation, 1)
	}
	return ref
}

// holder draws the shard's owner or standby, or at times any incarnation.
func (sim *simulation) holder(ref *wire.ShardRef, standby bool) uint64 {
	svc := sim.state.Services["svc"]
	if int(ref.Shard) >= len(svc.Shards) || rapid.IntRange(0, 4).Draw(sim.t, "other") == 0 {
		return sim.inc()
	}
	if standby {
		return svc.Shards[ref.Shard].Standby
	}
	return svc.Shards[ref.Shard].Owner
}

func (sim *simulation) step(kind int) {
	switch kind {
	case 0:
		sim.apply(&wire.Record{Body: &wire.Record_Announce{Announce: &wire.Announce{Slot: sim.slot(), WitnessAddr: "127.0.0.1:1"}}})
	case 1:
		sim.apply(&wire.Record{Body: &wire.Record_Join{Join: &wire.Join{
			Slot: sim.slot(), Service: "svc", Witnesses: []string{"a", "b", "c"}[:rapid.IntRange(0, 3).Draw(sim.t, "witnesses")]}}})
	case 2, 3:
		sim.apply(&wire.Record{Body: &wire.Record_Ready{Ready: &wire.Ready{Incarnation: sim.inc()}}})
	case 4:
		sim.apply(&wire.Record{Body: &wire.Record_Lapse{Lapse: &wire.Lapse{
			Incarnation: sim.inc(), SealedBy: []string{"a", "a", "b"}[:rapid.IntRange(1, 3).Draw(sim.t, "seals")]}}})
	case 5:
		inc := sim.inc()
		sim.apply(&wire.Record{Author: inc, Body: &wire.Record_Leave{Leave: &wire.Leave{Incarnation: sim.inc()}}})
	case 6, 7, 8:
		sim.apply(&wire.Record{Body: &wire.Record_Propose{Propose: &wire.Propose{Placements: []*wire.Placement{
			{Ref: sim.ref(), Owner: sim.inc(), Standby: sim.inc()}, {Ref: sim.ref(), Standby: sim.inc()}}}}})
	case 9:
		ref := sim.ref()
		inc := sim.holder(ref, true)
		sim.apply(&wire.Record{Author: inc, Body: &wire.Record_Consent{Consent: &wire.Consent{Incarnation: inc, Refs: []*wire.ShardRef{ref}}}})
	case 10:
		sim.apply(&wire.Record{Body: &wire.Record_Handover{Handover: &wire.Handover{Refs: []*wire.ShardRef{sim.ref(), sim.ref()}}}})
	case 11:
		ref := sim.ref()
		inc := sim.holder(ref, true)
		sim.apply(&wire.Record{Author: inc, Body: &wire.Record_Takeover{Takeover: &wire.Takeover{Incarnation: inc, Refs: []*wire.ShardRef{ref},
			FormerStandsBy: rapid.Bool().Draw(sim.t, "former")}}})
	case 12:
		ref := sim.ref()
		sim.apply(&wire.Record{Author: sim.holder(ref, false), Body: &wire.Record_SplitKey{SplitKey: &wire.SplitKey{
			Service: "svc", Parent: ref, KeyHash: uint64(rapid.IntRange(0, 2).Draw(sim.t, "hash")),
			Shard: uint32(rapid.IntRange(simShards, simShards+2).Draw(sim.t, "number"))}}})
	case 13:
		ref := sim.ref()
		sim.apply(&wire.Record{Author: sim.holder(ref, false), Body: &wire.Record_MergeKey{MergeKey: &wire.MergeKey{
			Service: "svc", Parent: ref, Split: sim.ref(), KeyHash: uint64(rapid.IntRange(0, 2).Draw(sim.t, "hash"))}}})
	case 14:
		if len(sim.history) > 0 {
			sim.apply(rapid.SampledFrom(sim.history).Draw(sim.t, "again").rec)
		}
	}
}

// check compares the state with its reference model and checks the invariants.
func (sim *simulation) check() {
	model := replayModel(sim.history)
	svc := sim.state.Services["svc"]
	for n := range svc.Shards {
		got, want := svc.Shards[n], model.shards[modelShardKey{"svc", uint32(n)}]
		if got != want {
			sim.t.Fatalf("shard %d: got %+v, want %+v", n, got, want)
		}
		if got.Generation < sim.highest[uint32(n)] {
			sim.t.Fatalf("shard %d: generation decreased from %d to %d", n, sim.highest[uint32(n)], got.Generation)
		}
		sim.highest[uint32(n)] = got.Generation
		if got.Owner != 0 && got.Owner == got.Standby {
			sim.t.Fatalf("shard %d: owner %d is its own standby", n, got.Owner)
		}
	}
	if len(sim.state.Members) != len(model.members) {
		sim.t.Fatalf("got %d members, want %d", len(sim.state.Members), len(model.members))
	}
	for inc, m := range model.members {
		if got := sim.state.Members[inc]; got == nil || got.Phase != m.phase {
			sim.t.Fatalf("member %d: got %+v, want %+v", inc, got, m)
		}
	}
	if len(svc.Split) != len(model.split) {
		sim.t.Fatalf("got %d split keys, want %d", len(svc.Split), len(model.split))
	}
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, state: New(), highest: map[uint32]uint64{}}
	sim.state.EnsureService("svc", simShards)
	for i := range 4 {
		slot := fmt.Sprintf("s%d", i)
		sim.apply(&wire.Record{Body: &wire.Record_Announce{Announce: &wire.Announce{Slot: slot, WitnessAddr: "127.0.0.1:1"}}})
		sim.apply(&wire.Record{Body: &wire.Record_Join{Join: &wire.Join{Slot: slot, Service: "svc", Witnesses: []string{"a", "b", "c"}}}})
		offset := sim.history[len(sim.history)-1].offset
		sim.apply(&wire.Record{Body: &wire.Record_Ready{Ready: &wire.Ready{Incarnation: offset}}})
	}
	for n := range uint32(simShards) {
		a, b := sim.history[1].offset, sim.history[4].offset
		sim.apply(&wire.Record{Body: &wire.Record_Propose{Propose: &wire.Propose{Placements: []*wire.Placement{
			{Ref: &wire.ShardRef{Service: "svc", Shard: n}, Owner: a, Standby: b}}}}})
	}
	return sim
}

// stepKinds is the number of kinds of steps in simulation.step.
const stepKinds = 15

func TestStateMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			sim.step(rapid.IntRange(0, stepKinds-1).Draw(t, "kind"))
			sim.check()
		}
	})
}

// TestReplayDoesNotWaitForConfiguration checks that the effect of a record does
// not depend on when the configuration stream was read.
func TestReplayDoesNotWaitForConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			sim.step(rapid.IntRange(0, stepKinds-1).Draw(t, "kind"))
		}
		late := New()
		for _, e := range sim.history {
			data, _ := proto.Marshal(e.rec)
			late.Apply(e.offset, data)
		}
		late.EnsureService("svc", simShards)
		for n, want := range sim.state.Services["svc"].Shards {
			if got := late.Services["svc"].Shards[n]; got != want {
				t.Fatalf("shard %d: got %+v, want %+v", n, got, want)
			}
		}
	})
}
