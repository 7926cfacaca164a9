package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/fold"
)

// TestShutdownWaitsForAStandby: a daemon that is stopped while a shard of it has
// no standby hands the shard over with its history once one is placed.
func TestShutdownWaitsForAStandby(t *testing.T) {
	is := is.New(t)
	f := startedFleet(t, 4)
	d := f.dispatcher("k")
	id, _, _ := d.view.Lookup(hotService, "k")
	for _, other := range f.daemons { // as after a takeover, before the next round
		sh := other.state.shard(id)
		*sh = fold.Shard{Owner: sh.Owner, Generation: sh.Generation + 2}
	}
	d.inbox = append(d.inbox, Shutdown{})
	f.until(4*time.Second, "the shard at another daemon", func() bool {
		for _, other := range f.daemons {
			if held, ok := other.view.Held[id]; ok && other != d {
				is.True(!held.FreshHistory) // it came by a release
				return true
			}
		}
		return false
	})
	f.until(2*time.Second, "leave", func() bool { return d.state.left })
}
