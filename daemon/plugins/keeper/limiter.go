package keeper

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/bucket"
	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
	"github.com/sesamemoor/sesamemoor/daemon/routing"
)

const (
	// sliceRequestTimeout bounds one slice request to a keeper. The slice of a later
	// reply would usually have expired.
	sliceRequestTimeout = 250 * time.Millisecond
	// minRetryDelay is the delay after the first slice request without an answer. It doubles
	// with each further one, up to maxRetryDelay.
	minRetryDelay = 25 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// sweepInterval is the time between removals of idle token caches.
	sweepInterval = time.Minute
)

// limiter takes tokens for the requests that enter at this daemon. Requests wait for
// tokens until their deadlines while no keeper answers or while a bucket that started
// empty refills.
type limiter struct {
	control     kernel.Control
	peers       kernel.Peers
	localKeeper *keeper
	clock       clock.Clock
	suspicion   *routing.SuspicionLimit

	mu        sync.Mutex
	teams     map[string]*teamCache
	silent    map[uint64]silentDaemon // by incarnation
	lastSweep clock.Instant
	refusals  map[outcome.Kind]uint64
}

type teamCache struct {
	cache      bucket.TokenCache // tokens of the team at this daemon
	requesting bool              // requestLoop runs for the team
}

// silentDaemon is a daemon that did not answer the last slice request. The teams whose
// keeper it is share the delay until it is asked again.
type silentDaemon struct {
	failures int
	askAt    clock.Instant
}

// reply receives the result for one waiting request; nil means that it got a token.
type reply chan error

func newLimiter(c kernel.Control, p kernel.Peers, k *keeper, clk clock.Clock) *limiter {
	return &limiter{
		control: c, peers: p, localKeeper: k, clock: clk, suspicion: routing.NewSuspicionLimit(clk),
		teams:    map[string]*teamCache{},
		silent:   map[uint64]silentDaemon{},
		refusals: map[outcome.Kind]uint64{},
	}
}

// Take implements kernel.Limiter.
func (l *limiter) Take(ctx context.Context, team string) error {
	w := &bucket.Waiter{Data: make(reply, 1)}
	verdict, wait := l.arrive(team, w)
	switch verdict {
	case bucket.Taken:
		return nil
	case bucket.Refused:
		return l.countRefusal(rateLimitedErr(team, wait))
	}
	select {
	case err := <-w.Data.(reply):
		if err != nil {
			return l.countRefusal(err)
		}
		return nil
	case <-ctx.Done():
		return l.countRefusal(l.abandon(ctx, team, w))
	}
}

func (l *limiter) arrive(team string, w *bucket.Waiter) (bucket.Verdict, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.sweep(now)
	tc, ok := l.teams[team]
	if !ok {
		tc = &teamCache{}
		l.teams[team] = tc
	}
	verdict, wait := tc.cache.Arrive(now, w)
	if !tc.requesting {
		l.startRequests(team, tc, now)
	}
	return verdict, wait
}

// startRequests starts the request loop of the team if a slice request is due now or
// later. The caller holds the lock.
func (l *limiter) startRequests(team string, tc *teamCache, now clock.Instant) {
	req := tc.cache.NextRequest(now)
	if req == nil && tc.cache.NextRequestAt() == 0 {
		return
	}
	tc.requesting = true
	go l.requestLoop(team, tc, req)
}

// abandon ends the wait of a request whose context is done.
func (l *limiter) abandon(ctx context.Context, team string, w *bucket.Waiter) error {
	wait, exhausted := l.cancel(team, w)
	switch {
	case ctx.Err() == context.Canceled:
		return outcome.New(outcome.CancelledNotRun, "cancelled while waiting for a token")
	case exhausted:
		return rateLimitedErr(team, wait)
	default:
		return outcome.New(outcome.KeeperUnavailable, "no keeper for team %s answered before the deadline", team)
	}
}

// cancel removes a request from its token cache. It reports whether the keeper had no
// token for it, and the time until the keeper's next token.
func (l *limiter) cancel(team string, w *bucket.Waiter) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	tc, ok := l.teams[team]
	if !ok {
		return 0, false
	}
	tc.cache.Cancel(w)
	return tc.cache.Exhausted(l.clock.Now())
}

func rateLimitedErr(team string, wait time.Duration) *outcome.Err {
	err := outcome.New(outcome.RateLimited, "team %s is over its rate; next token in %v", team, wait.Round(time.Millisecond))
	err.RetryAfter = wait
	return err
}

// countRefusal counts a refusal by its outcome and returns it.
func (l *limiter) countRefusal(err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals[outcome.KindOf(err)]++
	return err
}

// requestLoop sends slice requests to the team's keeper until no request waits and no
// tokens are worth prefetching.
func (l *limiter) requestLoop(team string, tc *teamCache, req *bucket.TokenRequest) {
	failures := 0
	for {
		if req != nil && l.requestSlice(team, tc, req, failures) {
			failures = 0
		} else if req != nil {
			failures++
			time.Sleep(retryDelay(failures))
		}
		l.mu.Lock()
		now := l.clock.Now()
		req = tc.cache.NextRequest(now)
		next := tc.cache.NextRequestAt()
		if req == nil && next == 0 {
			tc.requesting = false
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		if req == nil {
			time.Sleep(max(next.Sub(now), time.Millisecond))
		}
	}
}

// retryDelay returns the delay after a number of failures in a row: a random time between
// half of the exponential delay and all of it.
func retryDelay(failures int) time.Duration {
	delay := min(minRetryDelay<<min(failures-1, 10), maxRetryDelay)
	return delay/2 + rand.N(delay/2)
}

// requestSlice sends one slice request. After an odd number of failures, and while the owner
// is silent, it goes to the standby, which may have taken over before the record of it was
// read from the log. It reports whether a keeper answered.
func (l *limiter) requestSlice(team string, tc *teamCache, req *bucket.TokenRequest, failures int) bool {
	slice := l.callKeeper(team, failures, &wire.SliceRequest{
		Team:        team,
		WantMilli:   uint64(req.Need) * milli,
		ExtraMilli:  uint64(req.Extra) * milli,
		DemandMilli: uint64(req.Demand * milli),
		Arrived:     uint64(req.Arrived),
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	if slice == nil || outcome.Kind(slice.GetKind()) == outcome.KeeperUnavailable {
		tc.cache.Fail(req)
		return false
	}
	taken, refused, wait := tc.cache.ApplyGrant(l.clock.Now(), req, grantOf(slice))
	for _, w := range taken {
		w.Data.(reply) <- nil
	}
	for _, w := range refused {
		w.Data.(reply) <- rateLimitedErr(team, wait)
	}
	return true
}

// callKeeper sends the slice request to the shard's owner or standby. It returns nil
// if there was no reply, or if neither is to be asked now.
func (l *limiter) callKeeper(team string, failures int, req *wire.SliceRequest) *wire.SliceAnswer {
	v := l.control.View()
	_, shard, ok := v.Lookup(view.KeeperService, team)
	if !ok {
		return nil
	}
	first, second := shard.Owner, shard.Standby
	if failures%2 == 1 {
		first, second = second, first
	}
	target := l.mayAsk(first, second)
	if target == nil {
		return nil
	}
	if target.Incarnation == v.Incarnation {
		return l.localKeeper.grant(req)
	}
	ctx, cancel := context.WithTimeout(context.Background(), sliceRequestTimeout)
	defer cancel()
	frame, err := l.peers.Call(ctx, target.PeerAddr, &wire.Frame{Body: &wire.Frame_SliceRequest{SliceRequest: req}})
	l.recordAnswer(target.Incarnation, err == nil)
	if err != nil {
		if l.suspicion.Allow(target.Incarnation) {
			l.control.Post(control.Suspicion{Incarnation: target.Incarnation})
		}
		return nil
	}
	return frame.GetSliceAnswer()
}

// mayAsk returns the first of the daemons that may be asked now, or nil. If that one was
// silent, no other slice request goes to it until this one is answered or times out.
func (l *limiter) mayAsk(daemons ...*view.Member) *view.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, m := range daemons {
		if m == nil {
			continue
		}
		s, silent := l.silent[m.Incarnation]
		if silent && now < s.askAt {
			continue
		}
		if silent {
			s.askAt = now.Add(sliceRequestTimeout)
			l.silent[m.Incarnation] = s
		}
		return m
	}
	return nil
}

// recordAnswer records whether a daemon answered a slice request.
func (l *limiter) recordAnswer(incarnation uint64, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answered {
		delete(l.silent, incarnation)
		return
	}
	s := l.silent[incarnation]
	s.failures++
	s.askAt = l.clock.Now().Add(retryDelay(s.failures))
	l.silent[incarnation] = s
}

// sweep removes the token caches of idle teams. The caller holds the lock.
func (l *limiter) sweep(now clock.Instant) {
	if now.Sub(l.lastSweep) < sweepInterval {
		return
	}
	l.lastSweep = now
	maps.DeleteFunc(l.silent, func(_ uint64, s silentDaemon) bool { return now.Sub(s.askAt) > sweepInterval })
	for team, tc := range l.teams {
		if !tc.requesting && tc.cache.Idle(now) {
			delete(l.teams, team)
		}
	}
}

var _ kernel.Limiter = (*limiter)(nil)
