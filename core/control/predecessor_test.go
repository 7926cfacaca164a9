package control

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// restartAll ends all processes and starts a new one in each slot, on the same
// host as the one before.
func (f *fakeFleet) restartAll() {
	old := f.daemons
	f.daemons = nil
	for i, d := range old {
		d.dead = true
		opts := &f.add(i, 3).state.opts
		opts.SlotIsHost = true
		opts.Rand = rand.New(rand.NewPCG(uint64(i), 8)) // other record ids
	}
}

// After the loss of all processes at once nobody was left to seal the old leases,
// and keys had no owner for 8 s.
func TestKeysAreServedAgainAfterAllProcessesRestart(t *testing.T) {
	f := startedFleet(t, 6)
	f.restartAll()
	f.until(4*time.Second, "served after the restart of all", func() bool { return f.held("storefront") == 12 })
}

// The new process's own join may come before its announcement in the log.
func TestOwnIncarnationIsNotEndedAsAPredecessor(t *testing.T) {
	is := is.New(t)
	f := startedFleet(t, 6)
	f.restartAll()
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
