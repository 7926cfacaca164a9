package view

import (
	"testing"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// TestFirstAssignmentIsTheOnlyOneOfItsGeneration checks that a shard that lost its
// owner is assigned again at another generation than the first time.
func TestFirstAssignmentIsTheOnlyOneOfItsGeneration(t *testing.T) {
	is := is.New(t)
	state := fold.New()
	state.EnsureService(KeeperService, 2)
	v := &View{Services: map[string]*Service{KeeperService: {Base: 2}}}
	id := ShardID{Service: KeeperService, Shard: 1}
	offset := uint64(0)
	apply := func(rec *wire.Record) uint64 {
		offset++
		rec.Version = fold.RecordVersion
		recID := uuid.New()
		rec.Id = recID[:]
		data, err := proto.Marshal(rec)
		is.NoErr(err)
		_, verdict := state.Apply(offset, data)
		if !verdict.Accepted {
			t.Fatal(verdict.Reason)
		}
		return offset
	}
	join := func(slot string) uint64 {
		apply(&wire.Record{Body: &wire.Record_Announce{Announce: &wire.Announce{Slot: slot, PeerAddr: "a", WitnessAddr: "a"}}})
		inc := apply(&wire.Record{Body: &wire.Record_Join{Join: &wire.Join{Slot: slot, Service: "s", BackendServer: "b", Witnesses: []string{slot}}}})
		apply(&wire.Record{Author: inc, Body: &wire.Record_Ready{Ready: &wire.Ready{Incarnation: inc}}})
		return inc
	}
	assign := func(inc uint64) {
		sh := state.Services[KeeperService].Shards[1]
		apply(&wire.Record{Author: inc, Body: &wire.Record_Propose{Propose: &wire.Propose{Placements: []*wire.Placement{{
			Ref:   &wire.ShardRef{Service: KeeperService, Shard: 1, Generation: sh.Generation},
			Owner: inc,
		}}}}})
	}
	generation := func() uint64 { return state.Services[KeeperService].Shards[1].Generation }
	is.True(!v.NeverOwned(id, generation()))
	first := join("a")
	assign(first)
	is.Equal(state.Services[KeeperService].Shards[1].Owner, first)
	is.True(v.NeverOwned(id, generation()))
	apply(&wire.Record{Author: first, Body: &wire.Record_Leave{Leave: &wire.Leave{Incarnation: first}}})
	assign(join("a"))
	is.True(!v.NeverOwned(id, generation()))
	is.True(!v.NeverOwned(ShardID{Service: KeeperService, Shard: 2}, firstGeneration)) // a split key
}
