package routing

import (
	"context"
	"sync"

	"go.opentelemetry.io/otel/metric"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/nested"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/retry"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

// Calls refuses requests whose runs would fail since the services that they call do not serve them
// in time. It learns from the calls of the backend server beside this daemon. It is safe for
// concurrent use. Nil admits all requests.
type Calls struct {
	clock clock.Clock

	mu       sync.Mutex
	gate     *nested.Gate
	refusals int64
}

// NewCalls returns Calls that admit all requests.
func NewCalls(clk clock.Clock) *Calls { return &Calls{clock: clk, gate: nested.NewGate()} }

// Admit returns an error of kind Overloaded for a request that is to be refused.
func (c *Calls) Admit(req *wire.Request) error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	ok, after := c.gate.Admit(c.clock.Now(), req.GetRoute(), req.GetPriority())
	if ok {
		return nil
	}
	c.refusals++
	err := outcome.New(outcome.Overloaded, "a service that its run calls does not serve it in time")
	err.RetryAfter = after
	return err
}

// RecordCall records the result of a call that a run made.
func (c *Calls) RecordCall(req *wire.Request, parent *retry.Run, err error) {
	if c == nil || parent == nil {
		return
	}
	lost := false
	switch outcome.KindOf(err) {
	// Not BackendShed: daemons keep within a server's slots, so that one which sheds does so whatever
	// its load, and refusing callers would not help it.
	case outcome.Overloaded, outcome.DeadlineNotRun, outcome.DeadlineMaybeRan:
		lost = true
	}
	parent.EndCall(req.GetService(), lost)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate.RecordCall(c.clock.Now(), req.GetService(), req.GetPriority(), lost)
}

// RecordRun records the end of a run and its response.
func (c *Calls) RecordRun(req *wire.Request, run *retry.Run, resp *wire.Response) {
	if c == nil {
		return
	}
	calls, lost := run.DirectCalls()
	failed := outcome.Kind(resp.GetKind()) != outcome.OK || resp.GetStatus() >= 500
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate.RecordRun(req.GetRoute(), calls, lost, failed)
}

// RegisterCallMetrics registers the metric of refused requests, unless c is nil.
func RegisterCallMetrics(m *kernel.Metrics, c *Calls) error {
	if c == nil {
		return nil
	}
	_, err := m.Int64ObservableCounter("sesamemoor_nested_refusals",
		metric.WithDescription("requests refused because services that their runs call do not serve them in time"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			c.mu.Lock()
			defer c.mu.Unlock()
			o.Observe(c.refusals)
			return nil
		}))
	return err
}
