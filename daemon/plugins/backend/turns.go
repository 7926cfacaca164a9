package backend

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/runqueue"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// turns lets traffic goroutines wait for their turn at the backend server.
type turns struct {
	clock  clock.Clock
	mu     sync.Mutex
	queue  *runqueue.Queue
	waits  map[*runqueue.Ticket]wait
	waking bool // a look after a rest is due
}

// wait is a goroutine that waits for its turn.
type wait struct {
	shard view.ShardID
	turn  chan error // capacity 1; nil: the ticket runs
}

func newTurns(clk clock.Clock) *turns {
	return &turns{clock: clk, queue: runqueue.New(), waits: map[*runqueue.Ticket]wait{}}
}

// take waits until t runs. The error tells that it never will; end must follow
// when there is none.
func (q *turns) take(ctx context.Context, id view.ShardID, t *runqueue.Ticket) error {
	w := wait{shard: id, turn: make(chan error, 1)}
	q.mu.Lock()
	if refused := q.queue.Submit(q.clock.Now(), t); refused != nil {
		q.mu.Unlock()
		return refusalOf(*refused)
	}
	q.waits[t] = w
	q.dispatch()
	q.mu.Unlock()
	select {
	case err := <-w.turn:
		return err
	case <-ctx.Done():
		return q.abandon(ctx, t, w)
	}
}

// abandon takes t out of the queue, or ends its run if it has just started.
func (q *turns) abandon(ctx context.Context, t *runqueue.Ticket, w wait) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queue.Cancel(t) {
		delete(q.waits, t)
	} else if err := <-w.turn; err != nil {
		return err
	} else {
		q.queue.Done(q.clock.Now(), t, false)
		q.dispatch()
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.New(outcome.DeadlineNotRun, "deadline passed in the queue")
	}
	return outcome.New(outcome.CancelledNotRun, "cancelled in the queue")
}

// end ends the run of t.
func (q *turns) end(t *runqueue.Ticket, answered bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.Done(q.clock.Now(), t, answered)
	q.dispatch()
}

// withdraw refuses the waiting tickets of the shards that match.
func (q *turns) withdraw(match func(view.ShardID) bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, t := range q.queue.Withdraw(func(t *runqueue.Ticket) bool { return match(q.waits[t].shard) }) {
		q.tell(t, err)
	}
}

func (q *turns) setSlots(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queue.Slots() != slots {
		q.queue.SetSlots(slots)
		q.dispatch()
	}
}

func (q *turns) setCold(until clock.Instant, perS float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.SetCold(until, perS)
}

func (q *turns) setPace(pace float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.SetPace(q.clock.Now(), pace)
}

// dispatch starts what may run. The caller holds the lock.
func (q *turns) dispatch() {
	now := q.clock.Now()
	started, refused := q.queue.Next(now)
	for _, t := range started {
		q.tell(t, nil)
	}
	for _, r := range refused {
		q.tell(r.Ticket, refusalOf(r))
	}
	if rest := q.queue.Rest(now); rest > 0 && !q.waking {
		q.waking = true
		time.AfterFunc(rest, q.wake)
	}
}

func (q *turns) wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waking = false
	q.dispatch()
}

func (q *turns) tell(t *runqueue.Ticket, err error) {
	q.waits[t].turn <- err
	delete(q.waits, t)
}

// load returns what answers tell of the queue.
func (q *turns) load() *wire.ServerLoad {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	return &wire.ServerLoad{
		Slots: uint32(q.queue.Slots()), Running: uint32(q.queue.Running()), Waiting: uint32(q.queue.Waiting()),
		ServiceUs: uint32(q.queue.Mean().Microseconds()), Cold: q.queue.Cold(now),
		PacePercent: uint32(100 * q.queue.Pace(now)),
	}
}

func refusalOf(r runqueue.Refusal) error {
	err := outcome.New(outcome.Overloaded, "%s", r.Reason)
	err.RetryAfter = r.RetryAfter
	return err
}
