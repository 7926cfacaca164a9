package entry

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/answer"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
	"github.com/sesamemoor/sesamemoor/daemon/routing"
)

// virtualClock reads the time of a synctest bubble.
type virtualClock struct{ started time.Time }

func (c virtualClock) Now() clock.Instant { return clock.Instant(time.Hour + time.Since(c.started)) }

// waitingRouter returns a router of daemon d1 whose view has many shards of one owner, d2,
// each with one of the standbys.
func waitingRouter(t *testing.T, s *fakeEnv, standbys ...*view.Member) *router {
	t.Helper()
	const shards = 32
	v := placedView(nil, nil, 0)
	svc := &view.Service{Base: shards}
	owner := member(2, "a")
	for i := range shards {
		svc.Shards = append(svc.Shards, view.Shard{Owner: owner, Standby: standbys[i%len(standbys)], Generation: 7})
	}
	v.Services["stock"] = svc
	s.view.Store(v)
	set := settings.Default()
	m, err := newInstruments(&kernel.Metrics{Meter: noop.Meter{}})
	if err != nil {
		t.Fatal(err)
	}
	clk := virtualClock{time.Now()}
	return newRouter(set, s, s, s, routing.NewRepeats(set, s, clk), clk, m)
}

// sendAll routes n requests with keys of their own at once and returns the number of those
// that end with kind within limit.
func sendAll(t *testing.T, r *router, n int, limit time.Duration, kind outcome.Kind) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	var ended atomic.Int64
	for i := range n {
		go func() {
			x := &exchange{req: &wire.Request{Service: "stock", Team: "pier", Key: fmt.Sprint("key-", i)}}
			if _, err := r.route(ctx, x); outcome.KindOf(err) == kind {
				ended.Add(1)
			}
		}()
	}
	<-ctx.Done()
	time.Sleep(time.Second) // until the router's goroutines have ended
	synctest.Wait()
	return int(ended.Load())
}

// serveAfter answers like a fleet whose daemon d2 is lost: its standbys serve its shards
// after the given time, ahead of the log.
func serveAfter(takeover time.Duration) func(context.Context, string, *wire.Request) (*wire.Response, error) {
	started := time.Now()
	return func(_ context.Context, to string, req *wire.Request) (*wire.Response, error) {
		switch {
		case to == "d2":
			return nil, outcome.New(outcome.OwnerUnreachable, "down")
		case time.Since(started) < takeover:
			return nil, outcome.New(outcome.NotOwner, "not yet")
		}
		resp := ok("whole")
		resp.Generation = 8
		return resp, nil
	}
}

func TestWaitingRequestsSpendTheRetriesBeforeTheTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeEnv{answer: serveAfter(1500 * time.Millisecond)}
		is.Equal(sendAll(t, waitingRouter(t, s, member(3, "b"), member(4, "a")), 60, 2*time.Second, outcome.OK), 60)
	})
}

func TestRequestsWaitOnAlthoughTheNewOwnerRefusedAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		serve := serveAfter(1500 * time.Millisecond)
		s := &fakeEnv{answer: func(ctx context.Context, to string, req *wire.Request) (*wire.Response, error) {
			resp, err := serve(ctx, to, req)
			if err == nil {
				resp = answer.Refusal(outcome.New(outcome.UnknownHistory, "order"))
				resp.Generation = 8
			}
			return resp, err
		}}
		r := waitingRouter(t, s, member(3, "b"), member(4, "a"))
		is.Equal(sendAll(t, r, 60, 2*time.Second, outcome.UnknownHistory), 60)
	})
}

func TestRequestsWaitOnAlthoughTheOwnerIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := new(fakeEnv)
		started := time.Now()
		s.answer = func(_ context.Context, to string, _ *wire.Request) (*wire.Response, error) {
			switch {
			case to != "d2":
				return nil, outcome.New(outcome.NotOwner, "standby")
			case time.Since(started) < 1500*time.Millisecond:
				return nil, outcome.New(outcome.OwnerUnreachable, "down")
			}
			return ok("whole"), nil
		}
		is.Equal(sendAll(t, waitingRouter(t, s, member(3, "b"), member(4, "a")), 60, 3*time.Second, outcome.OK), 60)
	})
}

func TestRequestsWaitOnAlthoughTheirOwnDaemonTookOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fakeEnv{answer: func(_ context.Context, to string, _ *wire.Request) (*wire.Response, error) {
			if to != "local" {
				return nil, outcome.New(outcome.OwnerUnreachable, "down")
			}
			return ok("whole"), nil
		}}
		r := waitingRouter(t, s, member(1, "b"))
		budget := r.budget("stock")
		for budget.Take(r.clock.Now()) {
		}
		time.AfterFunc(time.Second, func() {
			v := *s.view.Load()
			v.Held = map[view.ShardID]view.Held{}
			for i := range v.Services["stock"].Shards {
				v.Held[view.ShardID{Service: "stock", Shard: uint32(i)}] = view.Held{Token: 8}
			}
			s.view.Store(&v)
		})
		is.Equal(sendAll(t, r, 20, 2*time.Second, outcome.OK), 20)
	})
}
