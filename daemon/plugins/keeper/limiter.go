package keeper

import (
	"context"
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/bucket"
	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

const (
	// askTimeout bounds one question to a keeper. A later answer would come
	// after the life of its slice.
	askTimeout = 250 * time.Millisecond
	// askPause is the time between questions while no keeper answers.
	askPause = 25 * time.Millisecond
	// sweepInterval is the time between removals of idle stocks.
	sweepInterval = time.Minute
)

// limiter takes tokens for the requests that enter at this daemon. While no
// keeper answers, or one that started empty, requests wait within their
// deadlines.
type limiter struct {
	control kernel.Control
	peers   kernel.Peers
	local   *keeper
	clock   clock.Clock

	mu      sync.Mutex
	teams   map[string]*teamStock
	swept   clock.Instant
	refused map[outcome.Kind]uint64
}

type teamStock struct {
	stock  bucket.Stock
	asking bool // a goroutine asks for the team
}

// reply ends the wait of one request.
type reply chan error

func newLimiter(c kernel.Control, p kernel.Peers, k *keeper, clk clock.Clock) *limiter {
	return &limiter{
		control: c, peers: p, local: k, clock: clk,
		teams:   map[string]*teamStock{},
		refused: map[outcome.Kind]uint64{},
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
		return l.refuse(overRate(team, wait))
	}
	select {
	case err := <-w.Data.(reply):
		if err != nil {
			return l.refuse(err)
		}
		return nil
	case <-ctx.Done():
		return l.refuse(l.giveUp(ctx, team, w))
	}
}

func (l *limiter) arrive(team string, w *bucket.Waiter) (bucket.Verdict, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	l.sweep(now)
	ts, ok := l.teams[team]
	if !ok {
		ts = &teamStock{}
		l.teams[team] = ts
	}
	verdict, wait := ts.stock.Arrive(now, w)
	if !ts.asking {
		l.startAsking(team, ts, now)
	}
	return verdict, wait
}

// startAsking sends a question on a goroutine of its own if one is due. The
// caller holds the lock.
func (l *limiter) startAsking(team string, ts *teamStock, now clock.Instant) {
	q := ts.stock.Ask(now)
	if q == nil && ts.stock.AskAt() == 0 {
		return
	}
	ts.asking = true
	go l.askUntilQuiet(team, ts, q)
}

// giveUp ends the wait of a request whose context is done.
func (l *limiter) giveUp(ctx context.Context, team string, w *bucket.Waiter) error {
	wait, short := l.cancel(team, w)
	switch {
	case ctx.Err() == context.Canceled:
		return outcome.New(outcome.CancelledNotRun, "cancelled while waiting for a token")
	case short:
		return overRate(team, wait)
	default:
		return outcome.New(outcome.KeeperUnavailable, "no keeper for team %s answered in time", team)
	}
}

// cancel takes a request out of its stock. It reports whether the request
// waited for a token that the keeper does not have, and how long until the next.
func (l *limiter) cancel(team string, w *bucket.Waiter) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ts, ok := l.teams[team]
	if !ok {
		return 0, false
	}
	ts.stock.Cancel(w)
	return ts.stock.Short(l.clock.Now())
}

func overRate(team string, wait time.Duration) *outcome.Err {
	err := outcome.New(outcome.RateLimited, "team %s is over its rate; next token in %v", team, wait.Round(time.Millisecond))
	err.RetryAfter = wait
	return err
}

// refuse counts a refusal by its kind.
func (l *limiter) refuse(err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused[outcome.Of(err)]++
	return err
}

// askUntilQuiet asks the team's keeper until no request waits and no token is
// worth asking for.
func (l *limiter) askUntilQuiet(team string, ts *teamStock, q *bucket.Question) {
	failures := 0
	for {
		if q != nil && l.ask(team, ts, q, failures) {
			failures = 0
		} else if q != nil {
			failures++
			time.Sleep(askPause)
		}
		l.mu.Lock()
		now := l.clock.Now()
		q = ts.stock.Ask(now)
		at := ts.stock.AskAt()
		if q == nil && at == 0 {
			ts.asking = false
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		if q == nil {
			time.Sleep(max(at.Sub(now), time.Millisecond))
		}
	}
}

// ask sends one question, to the standby after an odd number of failures, since
// it may have taken over ahead of the log. It reports whether a keeper answered.
func (l *limiter) ask(team string, ts *teamStock, q *bucket.Question, failures int) bool {
	answer := l.call(team, failures, &wire.SliceRequest{
		Team:        team,
		WantMilli:   uint64(q.Need) * milli,
		ExtraMilli:  uint64(q.Extra) * milli,
		DemandMilli: uint64(q.Demand * milli),
		Arrived:     uint64(q.Arrived),
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer == nil || outcome.Kind(answer.GetKind()) == outcome.KeeperUnavailable {
		ts.stock.Fail(q)
		return false
	}
	taken, refused, wait := ts.stock.Answer(l.clock.Now(), q, grantOf(answer))
	for _, w := range taken {
		w.Data.(reply) <- nil
	}
	for _, w := range refused {
		w.Data.(reply) <- overRate(team, wait)
	}
	return true
}

// call asks one daemon; nil means that there was no answer.
func (l *limiter) call(team string, failures int, req *wire.SliceRequest) *wire.SliceAnswer {
	v := l.control.View()
	_, shard, ok := v.Lookup(view.KeeperService, team)
	target := shard.Owner
	if failures%2 == 1 && shard.Standby != nil {
		target = shard.Standby
	}
	if !ok || target == nil {
		return nil
	}
	if target.Incarnation == v.Incarnation {
		return l.local.grant(req)
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	frame, err := l.peers.Call(ctx, target.PeerAddr, &wire.Frame{Body: &wire.Frame_SliceRequest{SliceRequest: req}})
	if err != nil {
		l.control.Post(control.Suspicion{Incarnation: target.Incarnation})
		return nil
	}
	return frame.GetSliceAnswer()
}

// sweep forgets the stocks of idle teams. The caller holds the lock.
func (l *limiter) sweep(now clock.Instant) {
	if now.Sub(l.swept) < sweepInterval {
		return
	}
	l.swept = now
	for team, ts := range l.teams {
		if !ts.asking && ts.stock.Idle(now) {
			delete(l.teams, team)
		}
	}
}

var _ kernel.Limiter = (*limiter)(nil)
