package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// TestOwnerWaitsForLaggingStandby: a standby that does not read the log cannot take the
// shard when it is asked to. The owner must keep serving until it can.
func TestOwnerWaitsForLaggingStandby(t *testing.T) {
	is := is.New(t)
	w := settledWorld(t, 1)
	id := view.ShardID{Service: simService}
	st := w.replay()
	sh := st.Services[simService].Shards[0]
	owner := w.owner(0)
	newStandby := w.nodeNamed(st.Members[otherMember(st, sh)].Slot)
	newStandby.logCutUntil = w.now + 6*time.Second
	ref := &wire.ShardRef{Service: simService, Generation: sh.Generation}
	w.record(&wire.Record{Body: &wire.Record_Propose{Propose: &wire.Propose{Placements: []*wire.Placement{
		{Ref: ref, Standby: otherMember(st, sh)}}}}})
	is.NoErr(w.run(500 * time.Millisecond))
	is.Equal(w.standby(0), newStandby)
	w.record(handover(0, w.replay().Services[simService].Shards[0]))
	for w.now < newStandby.logCutUntil {
		is.NoErr(w.run(simStep))
		_, held := owner.view.Held[id]
		is.True(held)
	}
	is.NoErr(w.run(takeoverLimit))
	_, held := newStandby.view.Held[id]
	is.True(held)
}

// TestReadinessCheckDoesNotTakeOver checks that a standby does not become the owner by
// answering a readiness check.
func TestReadinessCheckDoesNotTakeOver(t *testing.T) {
	is := is.New(t)
	w := settledWorld(t, 1)
	sh := w.replay().Services[simService].Shards[0]
	standby := w.standby(0)
	check := &wire.Release{Ref: &wire.ShardRef{Service: simService, Generation: sh.Generation}}
	is.Equal(standby.state.acceptRelease(check), "")
	is.Equal(standby.state.rights[view.ShardID{Service: simService}].taken, uint64(0))
	check.Ref.Generation++
	is.True(standby.state.acceptRelease(check) != "")
}
