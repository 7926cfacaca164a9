package control

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// addSecondProcess starts another process in the slot of n, at another address.
func (w *world) addSecondProcess(n *node) *node {
	second := &node{index: len(w.nodes), name: n.name + "-twin", slot: n.slot, clockRate: 1, clockOffset: time.Hour}
	second.backend = BackendUp{Name: "b" + second.name, Service: simService, Addr: second.name, Slots: 4}
	w.nodes = append(w.nodes, second)
	w.restart(second)
	return second
}

// TestTwoProcessesInOneSlot checks that the older process of a slot gives up its
// incarnation and its witness role in favour of the newer one. At every step each shard
// has one owner.
func TestTwoProcessesInOneSlot(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for seed := range uint64(8) {
		w := settledWorld(t, seed)
		old := w.owner(0)
		second := w.addSecondProcess(old)
		took, err := w.timeToServe(old)
		is.NoErr(err)
		is.True(took <= 5*time.Second)
		is.NoErr(w.run(15 * time.Second))
		is.NoErr(w.checkServed())
		is.True(old.state.slotLost())
		is.True(old.state.member.holder == nil)
		is.True(!second.state.slotLost())
		m := second.state.self()
		is.True(m != nil && m.Phase == fold.InService)
		old.state.effects = nil
		old.state.renewReceived(w.nodes[1].name, &wire.Renew{Incarnation: 1 << 40})
		old.state.sealRequested(w.nodes[1].name, &wire.SealRequest{Incarnation: 1 << 40})
		is.Equal(len(old.state.effects), 0) // no promise and no seal
	}
}

// TestLateAnnounceOfAnEndedProcess checks that a delayed announce record of the slot's
// previous process takes the slot only temporarily.
func TestLateAnnounceOfAnEndedProcess(t *testing.T) {
	is := is.New(t)
	w := settledWorld(t, 2)
	n := w.owner(0)
	announce := n.state.announcement()
	w.record(&wire.Record{Body: &wire.Record_Announce{Announce: proto.CloneOf(announce)}})
	is.NoErr(w.run(time.Second))
	is.True(n.state.slotLost())
	is.NoErr(w.run(reclaimWait + 8*time.Second))
	is.True(!n.state.slotLost())
	m := n.state.self()
	is.True(m != nil && m.Phase == fold.InService)
	is.NoErr(w.checkServed())
}
