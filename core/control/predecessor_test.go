package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// restartAll ends all processes and starts a new one in each slot, on the same
// host as the one before. The backend servers live on, or begin new lives.
func (f *fakeFleet) restartAll(newLives bool) {
	old := f.daemons
	f.daemons = nil
	for i, d := range old {
		d.dead = true
		opts := &f.add(i, 3).state.opts
		opts.SlotIsHost = true
		if newLives {
			f.daemons[i].inbox = []Event{BackendUp{Name: fmt.Sprintf("server-%d-again", i), Service: "storefront", Addr: "10.0.1.1:1", Slots: 9}}
		}
		opts.Rand = rand.New(rand.NewPCG(uint64(i), 8)) // other record ids
	}
}

// After the loss of all processes at once nobody was left to seal the old leases,
// and keys had no owner for 8 s.
func TestKeysAreServedAgainAfterAllProcessesRestart(t *testing.T) {
	f := startedFleet(t, 6)
	f.restartAll(false)
	f.until(4*time.Second, "served after the restart of all", func() bool { return f.held("storefront") == 12 })
}

// Backend servers that began new lives hold nothing, so that nothing need be waited
// for: the promise is a key served again within 2 s of a loss.
func TestKeysAreServedAtOnceAfterAllHostsRestart(t *testing.T) {
	f := startedFleet(t, 6)
	f.restartAll(true)
	f.until(2*time.Second, "served after the restart of all hosts", func() bool { return f.held("storefront") == 12 })
}

// The new process's own join may come before its announcement in the log.
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
		is.Equal(len(d.state.member.own), 1) // one incarnation each
	}
}
