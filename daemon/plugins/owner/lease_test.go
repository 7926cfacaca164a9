package owner

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
)

// pauseClock calls pause right after its second reading. The first reading is
// that of the last ownership check.
type pauseClock struct {
	calls int
	pause func()
}

func (c *pauseClock) Now() clock.Instant {
	now := clock.Boot{}.Now()
	c.calls++
	if c.calls == 2 {
		c.pause()
	}
	return now
}

// A daemon that pauses after the last ownership check, loses its lease and
// obtains another under a new incarnation must not dispatch under the new lease.
func TestLeaseOfAnotherIncarnationDoesNotCoverADispatch(t *testing.T) {
	is := is.New(t)
	server := newRawServer(t, func(int64, *http.Request) string { return okResponse })
	b := newTestOwner(t, server.addr, nil)
	b.report(server.addr, false)
	b.hold(2, nil)
	b.executor.clock = &pauseClock{pause: func() {
		b.lease.Set(0)
		next := *b.control.View()
		next.Incarnation++
		next.Held = map[view.ShardID]view.Held{}
		next.Lease = new(view.LeaseCell)
		next.Lease.Set(clock.Boot{}.Now().Add(time.Hour))
		b.control.view.Store(&next)
	}}
	req := request("", "body")
	r := &run{
		request: req, shard: shard, token: 2, deadline: clock.Boot{}.Now().Add(eventTimeout),
		routedRequest: routedRequest{shard: shard, keyHash: fold.KeyHash(req.GetKey())},
	}
	resp := b.executor.dispatch(context.Background(), r)
	is.Equal(kindOf(resp), outcome.LeaseLost)
	is.Equal(server.requests.Load(), int64(0))
}
