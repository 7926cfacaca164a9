package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/logstream"
)

// TestShutdownDuringASplit: a daemon stops while its split record is in flight. Its
// standby takes over the shard by release, and the record may still reach the log. The
// key must have at most one dispatcher at any time.
func TestShutdownDuringASplit(t *testing.T) {
	for _, after := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, time.Second, 3 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			is := is.New(t)
			f := startedFleet(t, 4)
			owner := f.dispatcher("hot")
			f.holdSplits = true
			f.reportHot("hot")
			f.until(2*time.Second, "split", func() bool { return len(f.heldSplits) > 0 })
			id, _, _ := owner.view.Lookup(hotService, "hot")
			standby := f.byIncarnation(owner.state.shard(id).Standby)
			standby.cutLog = true // its takeover and the split record cross
			owner.inbox = append(owner.inbox, Shutdown{})
			f.until(time.Second, "release", func() bool { return f.dispatcher("hot") == standby })
			is.True(!standby.view.Held[id].NoRequestIDs)
			for begin := f.now; f.now.Sub(begin) < after; {
				f.tick()
				f.dispatcher("hot")
			}
			f.append(logstream.PlacementStream(fakeRegion), f.heldSplits[0])
			for begin := f.now; f.now.Sub(begin) < time.Second; {
				f.tick()
				f.dispatcher("hot")
			}
			standby.cutLog = false
			f.until(5*time.Second, "the key is served", func() bool { return f.dispatcher("hot") != nil })
		})
	}
}
