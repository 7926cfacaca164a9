package control

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/sesamemoor/sesamemoor/core/view"
)

// TestShutdownTransfersRequestIDs checks that each shard of a daemon that stops reaches
// its next owner by release, with its request ids, even if the standby answers late or
// was lost just before. Without the request ids the next owner would refuse
// requests that may have run before.
func TestShutdownTransfersRequestIDs(t *testing.T) {
	tests := []struct {
		name  string
		fault func(w *world, leaver *node) error
	}{
		{"all well", func(*world, *node) error { return nil }},
		{"answers of the standby are late", func(w *world, leaver *node) error {
			for _, n := range w.nodes {
				w.blocked[[2]int{leaver.index, n.index}] = w.now + 600*time.Millisecond
			}
			return nil
		}},
		{"the standby was lost just before", func(w *world, _ *node) error {
			w.standby(0).pausedUntil = time.Hour
			return w.run(1300 * time.Millisecond)
		}},
		{"a new standby is proposed", func(w *world, _ *node) error {
			w.patch(fmt.Sprintf(`{"data_centres":{%q:{"out":true}}}`, string(rune('a'+w.standby(0).index%3))))
			return w.run(100 * time.Millisecond)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(8) {
				w := settledWorld(t, seed)
				leaver := w.owner(0)
				err := tt.fault(w, leaver)
				if err == nil {
					err = w.shutDown(leaver)
				}
				if err != nil {
					w.fail(t, seed, err)
				}
			}
		})
	}
}

// shutDown stops a daemon. It returns an error if a shard of the daemon is not served
// afterwards by another daemon that received its request ids.
func (w *world) shutDown(leaver *node) error {
	shards := maps.Clone(leaver.view.Held)
	leaver.inbox = append(leaver.inbox, Shutdown{})
	for begin := w.now; !leaver.stopped; {
		if err := w.run(simStep); err != nil {
			return err
		}
		if w.now-begin > 10*time.Second {
			return fmt.Errorf("%s does not stop", leaver.name)
		}
	}
	for _, id := range sortedShards(shards) {
		if err := w.checkTransferred(id, leaver); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) checkTransferred(id view.ShardID, leaver *node) error {
	for _, n := range w.nodes {
		held, ok := n.view.Held[id]
		if !ok || n == leaver || n.pausedUntil > w.now {
			continue
		}
		if held.NoRequestIDs {
			return fmt.Errorf("%s has no request ids of shard %d", n.name, id.Shard)
		}
		return nil
	}
	return fmt.Errorf("shard %d is not served after the shutdown", id.Shard)
}
