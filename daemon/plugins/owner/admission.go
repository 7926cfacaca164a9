package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/admit"
	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/view"
)

// admission guards the admission queue of the backend server and lets request
// goroutines wait until their ticket is dispatched.
type admission struct {
	clock   clock.Clock
	mu      sync.Mutex
	queue   *admit.Queue
	waiters map[*admit.Ticket]chan error // capacity 1; receives nil when the ticket is dispatched
	sheds   uint64

	dispatchScheduled bool // a dispatch is scheduled
}

func newAdmission(clk clock.Clock, set settings.Daemon) *admission {
	return &admission{
		clock: clk,
		queue: admit.New(admit.Options{
			MaxQueue: set.Limits.MaxQueue,
			Fair:     set.Policy.Queue != "fifo",
			Ramp:     set.Policy.ColdStart != "none",
		}),
		waiters: map[*admit.Ticket]chan error{},
	}
}

// acquire waits until t is dispatched. The caller must call release after a nil
// error; after an error t never runs. lost reports that this daemon does not
// hold the ticket's shard any more.
func (a *admission) acquire(ctx context.Context, t *admit.Ticket, lost func() bool) error {
	if ctx.Err() != nil {
		return endedError(ctx)
	}
	ch := make(chan error, 1)
	a.mu.Lock()
	a.waiters[t] = ch
	a.refuse(a.queue.Submit(a.clock.Now(), t))
	if lost() { // refuseLost may have run before Submit added the ticket
		a.refuse(a.queue.RefuseLost(func(id view.ShardID) bool { return id == t.Shard }))
	}
	a.dispatch()
	a.mu.Unlock()
	select {
	case err := <-ch:
		if err == nil && ctx.Err() != nil { // both were ready
			a.release(t, admit.Failed)
			return endedError(ctx)
		}
		return err
	case <-ctx.Done():
		return a.abandon(ctx, t, ch)
	}
}

// abandon removes t from the queue, or ends its run if t was dispatched
// meanwhile.
func (a *admission) abandon(ctx context.Context, t *admit.Ticket, ch chan error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queue.Cancel(t) {
		delete(a.waiters, t)
	} else if err := <-ch; err != nil {
		return err
	} else {
		a.queue.Done(a.clock.Now(), t, admit.Failed)
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

// release ends the run of t and frees its slot.
func (a *admission) release(t *admit.Ticket, result admit.Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if result == admit.Shed {
		a.sheds++
	}
	a.queue.Done(a.clock.Now(), t, result)
	a.dispatch()
}

// refuseLost refuses the queued tickets of the shards that lost selects.
func (a *admission) refuseLost(lost func(view.ShardID) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refuse(a.queue.RefuseLost(lost))
}

// applyAnnouncement records a heartbeat of the backend server and its number of
// slots.
func (a *admission) applyAnnouncement(slots int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.queue.RecordHeartbeat(now)
	a.queue.SetSlots(now, slots)
	a.dispatch()
}

func (a *admission) markCold() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.MarkCold(a.clock.Now())
}

// dispatch starts the tickets for which the queue has capacity, or schedules
// itself for the end of a backoff. The caller holds the lock.
func (a *admission) dispatch() {
	now := a.clock.Now()
	started, refused := a.queue.Dispatch(now)
	for _, t := range started {
		a.notify(t, nil)
	}
	a.refuse(refused)
	if delay := a.queue.StartDelay(now); delay > 0 && a.queue.Waiting() > 0 {
		a.scheduleDispatch(delay)
	}
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

// limitPerS returns the limit that the backend server names, in requests per second, or 0.
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

// restart starts anew with another process of the backend server.
func (a *admission) restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Restart(a.clock.Now())
}

// scheduleDispatch calls dispatch after the delay unless a call is scheduled
// already. The caller holds the lock.
func (a *admission) scheduleDispatch(delay time.Duration) {
	if a.dispatchScheduled {
		return
	}
	a.dispatchScheduled = true
	time.AfterFunc(delay, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.dispatchScheduled = false
		a.dispatch()
	})
}

func (a *admission) refuse(refused []admit.Refusal) {
	for _, r := range refused {
		err := outcome.New(r.Kind, "refused in the admission queue of the backend server")
		err.RetryAfter = r.RetryAfter
		a.notify(r.Ticket, err)
	}
}

func (a *admission) notify(t *admit.Ticket, err error) {
	a.waiters[t] <- err
	delete(a.waiters, t)
}

// admissionStats are the values that registerMetrics exports. cold is 0 or 1.
type admissionStats struct {
	slots, limit, running, waiting, cold int64
	sheds                                uint64
}

func (a *admission) stats() admissionStats {
	a.mu.Lock()
	defer a.mu.Unlock()
	f := admissionStats{
		slots:   int64(a.queue.Slots()),
		limit:   int64(a.queue.Limit()),
		running: int64(a.queue.Running()),
		waiting: int64(a.queue.Waiting()),
		sheds:   a.sheds,
	}
	if a.queue.Cold() {
		f.cold = 1
	}
	return f
}
