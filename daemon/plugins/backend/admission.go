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
	"github.com/sesamemoor/sesamemoor/daemon/pacing"
)

// admission queues request goroutines for the slots of the backend server. It is
// safe for concurrent use.
type admission struct {
	clock             clock.Clock
	mu                sync.Mutex
	queue             *runqueue.Queue
	waiters           map[*runqueue.Ticket]waiter
	dispatchScheduled bool          // a timer will call dispatchDelayed
	pacer             *pacing.Pacer // of the network link; nil if there is none
}

// waiter is a request goroutine that waits for a slot.
type waiter struct {
	shard  view.ShardID
	result chan error // capacity 1; nil means that the ticket runs
}

func newAdmission(clk clock.Clock) *admission {
	return &admission{clock: clk, queue: runqueue.New(), waiters: map[*runqueue.Ticket]waiter{}}
}

// acquire waits until t runs. If it returns nil, finish must be called; otherwise t
// never runs. The error is an *outcome.Err.
func (a *admission) acquire(ctx context.Context, id view.ShardID, t *runqueue.Ticket) error {
	if ctx.Err() != nil {
		return endedError(ctx)
	}
	w := waiter{shard: id, result: make(chan error, 1)}
	a.mu.Lock()
	if refused := a.queue.Submit(a.clock.Now(), t); refused != nil {
		a.mu.Unlock()
		return a.refusalOf(*refused)
	}
	a.waiters[t] = w
	a.dispatch()
	a.mu.Unlock()
	select {
	case err := <-w.result:
		if err == nil && ctx.Err() != nil { // both were ready
			a.finish(t, false)
			return endedError(ctx)
		}
		return err
	case <-ctx.Done():
		return a.abandon(ctx, t, w)
	}
}

// abandon removes t from the queue, or ends its run if it has just started.
func (a *admission) abandon(ctx context.Context, t *runqueue.Ticket, w waiter) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queue.Cancel(t) {
		delete(a.waiters, t)
	} else if err := <-w.result; err != nil {
		return err
	} else {
		a.queue.Done(a.clock.Now(), t, false)
		a.dispatch()
	}
	return endedError(ctx)
}

// endedError returns the error of a request whose context ended before it ran.
func endedError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.New(outcome.DeadlineNotRun, "deadline passed in the queue")
	}
	return outcome.New(outcome.CancelledNotRun, "cancelled in the queue")
}

// finish ends the run of t. answered reports whether the server answered.
func (a *admission) finish(t *runqueue.Ticket, answered bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Done(a.clock.Now(), t, answered)
	a.dispatch()
}

// refuseWaiting refuses the waiting tickets of matching shards with err.
func (a *admission) refuseWaiting(match func(view.ShardID) bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.queue.RemoveWaiting(func(t *runqueue.Ticket) bool { return match(a.waiters[t].shard) }) {
		a.notify(t, err)
	}
}

func (a *admission) setSlots(slots int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queue.Slots() != slots {
		a.queue.SetSlots(slots)
		a.dispatch()
	}
}

func (a *admission) setCold(until clock.Instant, perS float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.SetCold(until, perS)
}

// restart starts anew with another boot of the server.
func (a *admission) restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Restart(a.clock.Now())
}

// observeLimit applies the limit in a response to a request that was sent at sent. It
// reports whether the limit changed.
func (a *admission) observeLimit(sent clock.Instant, perS float64, named bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.ObserveLimit(a.clock.Now(), sent, perS, named)
}

// learnLimit applies a limit that another daemon passed on. It reports whether the limit
// changed.
func (a *admission) learnLimit(perS float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.LearnLimit(a.clock.Now(), perS)
}

// limitPerS returns the limit that the server names, in requests per second, or 0.
func (a *admission) limitPerS() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.LimitPerS()
}

// serviceTime returns the time for which a run that took the given time occupies a slot.
// Under the server's limit it is at least the time for which a slot serves one request.
func (a *admission) serviceTime(took time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.SlotTime(took)
}

func (a *admission) setSlowdown(slowdown float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.SetSlowdown(a.clock.Now(), slowdown)
}

// dispatch starts the tickets that may run, refuses those that cannot finish in
// time, and schedules the next dispatch for a cold or limited server. The caller holds the
// lock.
func (a *admission) dispatch() {
	now := a.clock.Now()
	started, refused := a.queue.Dispatch(now)
	for _, t := range started {
		a.notify(t, nil)
	}
	for _, r := range refused {
		a.notify(r.Ticket, a.refusalOf(r))
	}
	if delay := a.queue.StartDelay(now); delay > 0 && !a.dispatchScheduled {
		a.dispatchScheduled = true
		time.AfterFunc(delay, a.dispatchDelayed)
	}
}

func (a *admission) dispatchDelayed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dispatchScheduled = false
	a.dispatch()
}

func (a *admission) notify(t *runqueue.Ticket, err error) {
	a.waiters[t].result <- err
	delete(a.waiters, t)
}

// load returns the load that responses report.
func (a *admission) load() *wire.ServerLoad {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	return &wire.ServerLoad{
		Slots: uint32(a.queue.Slots()), Running: uint32(a.queue.Running()), Waiting: uint32(a.queue.Waiting()),
		ServiceUs: uint32(a.queue.MeanServiceTime().Microseconds()), Cold: a.queue.Cold(now),
		PacePercent: uint32(100 * a.queue.Slowdown(now)),
		NextStartMs: uint32(a.queue.NextStart(now).Milliseconds()),
	}
}

func (a *admission) refusalOf(r runqueue.Refusal) error {
	if r.ForLink {
		a.pacer.CountRefusal(pacing.AtOwner)
	}
	err := outcome.New(outcome.Overloaded, "%s", r.Reason)
	err.RetryAfter = r.RetryAfter
	return err
}
