package owner

import (
	"context"
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
)

const (
	// grantTimeout bounds one grant message.
	grantTimeout = 500 * time.Millisecond
	// grantRetry is the pause between grant messages that were not
	// acknowledged.
	grantRetry = 50 * time.Millisecond
	// grantTries bounds the messages of one request for a grant; the next
	// request for the same grant starts anew.
	grantTries = 20
	// holdCheck is the interval at which a request that waits for a grant
	// looks whether its shard is still held.
	holdCheck = 25 * time.Millisecond
)

// grantKey is a shard under a fencing token.
type grantKey struct {
	shard view.ShardID
	token uint64
}

// grants makes sure that the backend server has acknowledged a shard's fencing
// token before the first request of the shard under that token.
type grants struct {
	send func(ctx context.Context, key grantKey) error

	mu      sync.Mutex
	epoch   uint64 // counts the starts of the backend server
	acked   map[view.ShardID]uint64
	pending map[grantKey]chan struct{} // closed when the attempt has ended
}

func newGrants(send func(context.Context, grantKey) error) *grants {
	return &grants{send: send, acked: map[view.ShardID]uint64{}, pending: map[grantKey]chan struct{}{}}
}

// forget drops all acknowledgements: the backend server has restarted.
func (g *grants) forget() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch++
	clear(g.acked)
}

// request starts sending the grant, unless it is acknowledged or being sent.
// It returns nil when the grant is acknowledged, otherwise a channel that is
// closed when the attempt has ended.
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

// deliver sends the grant until it is acknowledged or the tries are used up.
func (g *grants) deliver(key grantKey, epoch uint64, done chan struct{}) {
	var err error
	for range grantTries {
		ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
		err = g.send(ctx, key)
		cancel()
		if err == nil {
			break
		}
		time.Sleep(grantRetry)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil && epoch == g.epoch && key.token > g.acked[key.shard] {
		g.acked[key.shard] = key.token
	}
	delete(g.pending, key)
	close(done)
}

// wait returns when the grant is acknowledged. The error says "not run"; it
// comes from check as soon as the shard is not held under the token any more.
func (g *grants) wait(ctx context.Context, key grantKey, check func() error) error {
	ticker := time.NewTicker(holdCheck)
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
