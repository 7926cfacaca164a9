package owner

import (
	"context"
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
)

const (
	// grantTimeout is the timeout of one grant message.
	grantTimeout = 500 * time.Millisecond
	// grantRetryDelay is the delay after a grant message that was not
	// acknowledged.
	grantRetryDelay = 50 * time.Millisecond
	// maxGrantAttempts is the number of messages that one delivery of a grant
	// sends at most; the next call of request starts a new delivery.
	maxGrantAttempts = 20
	// holdCheckInterval is the interval at which a request that waits for a
	// grant checks that its shard is still held.
	holdCheckInterval = 25 * time.Millisecond
)

// grantKey is a shard under a fencing token.
type grantKey struct {
	shard view.ShardID
	token uint64
}

// grants delivers fencing tokens to the backend server. The server must have
// acknowledged the token of a shard before the first request of the shard under
// that token.
type grants struct {
	send func(ctx context.Context, key grantKey) error

	mu      sync.Mutex
	epoch   uint64 // number of restarts of the backend server
	acked   map[view.ShardID]uint64
	pending map[grantKey]chan struct{} // closed when the delivery has ended
}

func newGrants(send func(context.Context, grantKey) error) *grants {
	return &grants{send: send, acked: map[view.ShardID]uint64{}, pending: map[grantKey]chan struct{}{}}
}

// reset drops all acknowledgements after a restart of the backend server.
func (g *grants) reset() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch++
	clear(g.acked)
}

// request starts a delivery of the grant unless the grant is acknowledged or a
// delivery is in progress. It returns nil if the grant is acknowledged, otherwise
// a channel that is closed when the delivery has ended.
func (g *grants) request(key grantKey) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.acked[key.shard] == key.token {
		return nil
	}
	if done, ok := g.pending[key]; ok {
		return done
	}
	done := make(chan struct{})
	g.pending[key] = done
	go g.deliver(key, g.epoch, done)
	return done
}

// deliver sends the grant up to maxGrantAttempts times, until it is
// acknowledged. An acknowledgement from before a restart does not count.
func (g *grants) deliver(key grantKey, epoch uint64, done chan struct{}) {
	var err error
	for range maxGrantAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
		err = g.send(ctx, key)
		cancel()
		if err == nil {
			break
		}
		time.Sleep(grantRetryDelay)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil && epoch == g.epoch && key.token > g.acked[key.shard] {
		g.acked[key.shard] = key.token
	}
	delete(g.pending, key)
	close(done)
}

// wait returns nil once the grant is acknowledged. It fails when ctx ends, or with
// the error of check, which reports that the shard is no longer held under the
// token. Both errors mean that the request did not run.
func (g *grants) wait(ctx context.Context, key grantKey, check func() error) error {
	ticker := time.NewTicker(holdCheckInterval)
	defer ticker.Stop()
	for {
		done := g.request(key)
		if done == nil {
			return nil
		}
		select {
		case <-done:
		case <-ticker.C:
		case <-ctx.Done():
			return outcome.New(outcome.DeadlineNotRun, "backend server did not acknowledge the grant")
		}
		if err := check(); err != nil {
			return err
		}
	}
}
