package guard

import (
	"context"
	"errors"

	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/answer"
)

// Attempt is a request to the backend server that got no answer.
type Attempt struct {
	Trace *Trace
	Addr  string // of the server
	Err   error  // of the transport
	Loss  Loss   // what is to be remembered if the server may have crashed
}

// Refusal returns the answer to a request whose attempt failed; ctx is the
// attempt's. It claims "not run" only if no byte of the request was written, and
// names the crash if there was one.
func (c *Crashes) Refusal(ctx context.Context, a Attempt) *wire.Response {
	err := c.explain(ctx, a)
	if err.Kind != outcome.BackendCrashed {
		return answer.Refusal(err)
	}
	id := c.ID()
	resp := answer.Refusal(outcome.New(outcome.BackendCrashed, "crash %s: %v", id, a.Err))
	resp.Headers = []*wire.Header{{Name: HeaderCrash, Value: id}}
	return resp
}

// explain maps the attempt's failure to its kind.
func (c *Crashes) explain(ctx context.Context, a Attempt) *outcome.Err {
	wrote := a.Trace.Wrote()
	switch {
	case errors.Is(a.Err, ErrLeaseOver) && !wrote:
		return outcome.New(outcome.LeaseLost, "%v", a.Err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && !wrote:
		return outcome.New(outcome.DeadlineNotRun, "no connection to the backend server in time")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcome.New(outcome.DeadlineMaybeRan, "backend server gave no answer in time")
	case ctx.Err() != nil && !wrote:
		return outcome.New(outcome.CancelledNotRun, "cancelled")
	case ctx.Err() != nil:
		return outcome.New(outcome.CancelledMaybeRan, "cancelled")
	case !wrote:
		return outcome.New(outcome.OwnerUnreachable, "backend server: %v", a.Err)
	case Listens(a.Addr):
		c.Lost(a.Loss)
		return outcome.New(outcome.ConnectionLost, "backend server: %v", a.Err)
	}
	return outcome.New(outcome.BackendCrashed, "%v", a.Err)
}
