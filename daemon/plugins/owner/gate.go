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

// gate lets traffic goroutines wait for their turn in the admission queue.
type gate struct {
	clock clock.Clock
	mu    sync.Mutex
	queue *admit.Queue
	waits map[*admit.Ticket]chan error // capacity 1; nil error: the ticket runs
	sheds uint64

	waking bool // a dispatch after a rest is due
}

func newGate(clk clock.Clock, set settings.Daemon) *gate {
	return &gate{
		clock: clk,
		queue: admit.New(admit.Options{
			MaxQueue: set.Limits.MaxQueue,
			Fair:     set.Policy.Queue != "fifo",
			Ramp:     set.Policy.ColdStart != "none",
		}),
		waits: map[*admit.Ticket]chan error{},
	}
}

// acquire waits until t runs. The error tells that it never will; release must
// follow when there is none. lost reports that the ticket's shard is not held.
func (g *gate) acquire(ctx context.Context, t *admit.Ticket, lost func() bool) error {
	ch := make(chan error, 1)
	g.mu.Lock()
	g.waits[t] = ch
	g.settle(g.queue.Submit(g.clock.Now(), t))
	if lost() { // withdrawn before the ticket was in the queue
		g.settle(g.queue.Withdraw(func(id view.ShardID) bool { return id == t.Shard }))
	}
	g.dispatch()
	g.mu.Unlock()
	select {
	case err := <-ch:
		return err
	case <-ctx.Done():
		return g.abandon(ctx, t, ch)
	}
}

// abandon takes t out of the queue, or ends its run if it has just started.
func (g *gate) abandon(ctx context.Context, t *admit.Ticket, ch chan error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.Cancel(t) {
		delete(g.waits, t)
	} else if err := <-ch; err != nil {
		return err
	} else {
		g.queue.Done(g.clock.Now(), t, admit.Failed)
		g.dispatch()
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.New(outcome.DeadlineNotRun, "deadline passed in the queue")
	}
	return outcome.New(outcome.CancelledNotRun, "cancelled in the queue")
}

// release ends the run of t.
func (g *gate) release(t *admit.Ticket, result admit.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if result == admit.Shed {
		g.sheds++
	}
	g.queue.Done(g.clock.Now(), t, result)
	g.dispatch()
}

// withdraw refuses the waiting tickets whose shard is lost.
func (g *gate) withdraw(lost func(view.ShardID) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.settle(g.queue.Withdraw(lost))
}

// announced takes in an announcement of the backend server.
func (g *gate) announced(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.queue.Heard(now)
	g.queue.SetSlots(now, slots)
	g.dispatch()
}

func (g *gate) turnCold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.TurnCold(g.clock.Now())
}

// dispatch starts what may run. The caller holds the lock.
func (g *gate) dispatch() {
	now := g.clock.Now()
	if rest := g.queue.Resting(now); rest > 0 && g.queue.Waiting() > 0 {
		g.wake(rest)
		return
	}
	started, refused := g.queue.Dispatch(now)
	for _, t := range started {
		g.tell(t, nil)
	}
	g.settle(refused)
}

// wake dispatches after a rest. The caller holds the lock.
func (g *gate) wake(rest time.Duration) {
	if g.waking {
		return
	}
	g.waking = true
	time.AfterFunc(rest, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.waking = false
		g.dispatch()
	})
}

func (g *gate) settle(refused []admit.Refusal) {
	for _, r := range refused {
		g.tell(r.Ticket, outcome.New(r.Kind, "in the queue of the backend server"))
	}
}

func (g *gate) tell(t *admit.Ticket, err error) {
	g.waits[t] <- err
	delete(g.waits, t)
}

// gateFigures are the gate's figures for metrics.
type gateFigures struct {
	slots, limit, running, waiting, cold int64
	sheds                                uint64
}

func (g *gate) figures() gateFigures {
	g.mu.Lock()
	defer g.mu.Unlock()
	f := gateFigures{
		slots:   int64(g.queue.Slots()),
		limit:   int64(g.queue.Limit()),
		running: int64(g.queue.Running()),
		waiting: int64(g.queue.Waiting()),
		sheds:   g.sheds,
	}
	if g.queue.Cold() {
		f.cold = 1
	}
	return f
}
