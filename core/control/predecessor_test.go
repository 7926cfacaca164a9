package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// restartAll ends all processes and starts a new one in each slot, on the same host as
// the previous one. The backend servers keep running, or reboot if newBoots is set.
func (f *fakeFleet) restartAll(newBoots bool) {
	old := f.daemons
	f.daemons = nil
	for i, d := range old {
		d.dead = true
		opts := &f.add(i, 3).state.opts
		opts.SlotIsHost = true
		if newBoots {
			f.daemons[i].inbox = []Event{BackendUp{Name: fmt.Sprintf("server-%d-again", i), Service: "storefront", Addr: "10.0.1.1:1", Slots: 9}}
		}
		opts.Rand = rand.New(rand.NewPCG(uint64(i), 8)) // other record ids
	}
}

// TestKeysAreServedAgainAfterAllProcessesRestart guards against a loss of all processes
// at once that leaves no daemon to seal the old leases, in which case keys had no owner
// for 8 s.
func TestKeysAreServedAgainAfterAllProcessesRestart(t *testing.T) {
	f := startedFleet(t, 6)
	f.restartAll(false)
	f.until(4*time.Second, "served after the restart of all", func() bool { return f.held("storefront") == 12 })
}

// TestKeysAreServedAtOnceAfterAllHostsRestart: rebooted backend servers hold nothing,
// so there is nothing to wait for. The guarantee: a key is served again within 2 s of a
// loss.
func TestKeysAreServedAtOnceAfterAllHostsRestart(t *testing.T) {
	f := startedFleet(t, 6)
	f.restartAll(true)
	f.until(2*time.Second, "served after the restart of all hosts", func() bool { return f.held("storefront") == 12 })
}

// TestOwnIncarnationIsNotEndedAsAPredecessor: the new process's own join may precede
// its announcement in the log.
func TestOwnIncarnationIsNotEndedAsAPredecessor(t *testing.T) {
	is := is.New(t)
	f := startedFleet(t, 6)
	f.restartAll(false)
	f.until(5*time.Second, "all ready", func() bool {
		for _, d := range f.daemons {
			if d.state.self() == nil || !d.state.leaseHeld() {
				return false
			}
		}
		return true
	})
	for _, d := range f.daemons {
		is.Equal(len(d.state.member.ownIncarnations), 1) // one incarnation each
	}
}
