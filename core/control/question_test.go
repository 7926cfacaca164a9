package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// TestLaggingStandbyIsWaitedFor: a standby that does not read the log cannot
// take the shard that it is asked to. The owner serves on until it can.
func TestLaggingStandbyIsWaitedFor(t *testing.T) {
	is := is.New(t)
	w := settled(t, 1)
	id := view.ShardID{Service: walkService}
	st := w.replay()
	sh := st.Services[walkService].Shards[0]
	owner := w.owner(0)
	next := w.nodeNamed(st.Members[otherMember(st, sh)].Slot)
	next.cutLog = w.now + 6*time.Second
	ref := &wire.ShardRef{Service: walkService, Generation: sh.Generation}
	w.record(&wire.Record{Body: &wire.Record_Propose{Propose: &wire.Propose{Placements: []*wire.Placement{
		{Ref: ref, Standby: otherMember(st, sh)}}}}})
	is.NoErr(w.run(500 * time.Millisecond))
	is.Equal(w.standby(0), next)
	w.record(handover(0, w.replay().Services[walkService].Shards[0]))
	for w.now < next.cutLog {
		is.NoErr(w.run(walkStep))
		_, held := owner.view.Held[id]
		is.True(held)
	}
	is.NoErr(w.run(lossBound))
	_, held := next.view.Held[id]
	is.True(held)
}

// TestQuestionTakesNothing: a standby that is asked does not become the owner.
func TestQuestionTakesNothing(t *testing.T) {
	is := is.New(t)
	w := settled(t, 1)
	sh := w.replay().Services[walkService].Shards[0]
	standby := w.standby(0)
	question := &wire.Release{Ref: &wire.ShardRef{Service: walkService, Generation: sh.Generation}}
	is.Equal(standby.state.acceptRelease(question), "")
	is.Equal(standby.state.rights[view.ShardID{Service: walkService}].taken, uint64(0))
	question.Ref.Generation++
	is.True(standby.state.acceptRelease(question) != "")
}
