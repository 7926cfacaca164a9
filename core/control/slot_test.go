package control

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// addTwin starts another process in the slot of n, at another address.
func (w *world) addTwin(n *node) *node {
	twin := &node{index: len(w.nodes), name: n.name + "-twin", slot: n.slot, rate: 1, base: time.Hour}
	twin.backend = BackendUp{Name: "b" + twin.name, Service: walkService, Addr: twin.name, Slots: 4}
	w.nodes = append(w.nodes, twin)
	w.restart(twin)
	return twin
}

// TestTwoProcessesOfASlot: the older process of a slot gives up its incarnation
// and its witness role for the newer one. At every step each shard has one owner.
func TestTwoProcessesOfASlot(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for seed := range uint64(8) {
		w := settled(t, seed)
		old := w.owner(0)
		twin := w.addTwin(old)
		took, err := w.unserved(old)
		is.NoErr(err)
		is.True(took <= 5*time.Second)
		is.NoErr(w.run(15 * time.Second))
		is.NoErr(w.checkServed())
		is.True(old.state.slotLost())
		is.True(old.state.member.holder == nil)
		is.True(!twin.state.slotLost())
		m := twin.state.self()
		is.True(m != nil && m.Phase == fold.InService)
		old.state.effects = nil
		old.state.renewReceived(w.nodes[1].name, &wire.Renew{Incarnation: 1 << 40})
		old.state.sealRequested(w.nodes[1].name, &wire.SealRequest{Incarnation: 1 << 40})
		is.Equal(len(old.state.effects), 0) // no promise and no seal
	}
}

// TestLateAnnounceOfAnEndedProcess: an announce record of the slot's process
// before, which comes late, takes the slot only for a time.
func TestLateAnnounceOfAnEndedProcess(t *testing.T) {
	is := is.New(t)
	w := settled(t, 2)
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
