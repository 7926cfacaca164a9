package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/logstream"
)

// TestShutdownDuringASplit: a daemon stops while the record of a split is on its
// way. Its standby takes the shard by release, and the record may still come: the
// key has one dispatcher at any time.
func TestShutdownDuringASplit(t *testing.T) {
	for _, after := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, time.Second, 3 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			is := is.New(t)
			f := startedFleet(t, 4)
			owner := f.dispatcher("hot")
			f.late = true
			f.heat("hot")
			f.until(2*time.Second, "split", func() bool { return len(f.heldBack) > 0 })
			id, _, _ := owner.view.Lookup(hotService, "hot")
			next := f.byIncarnation(owner.state.shard(id).Standby)
			next.cutLog = true // its takeover and the split pass each other by
			owner.inbox = append(owner.inbox, Shutdown{})
			f.until(time.Second, "release", func() bool { return f.dispatcher("hot") == next })
			is.True(!next.view.Held[id].FreshHistory)
			for begin := f.now; f.now.Sub(begin) < after; {
				f.tick()
				f.dispatcher("hot")
			}
			f.append(logstream.PlacementStream(fakeRegion), f.heldBack[0])
			for begin := f.now; f.now.Sub(begin) < time.Second; {
				f.tick()
				f.dispatcher("hot")
			}
			next.cutLog = false
			f.until(5*time.Second, "the key is served", func() bool { return f.dispatcher("hot") != nil })
		})
	}
}
