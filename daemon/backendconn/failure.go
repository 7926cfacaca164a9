package backendconn

import (
	"context"
	"errors"

	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/answer"
)

// FailedAttempt is a request to the backend server that failed without a response.
type FailedAttempt struct {
	Trace       *Trace
	Addr        string      // of the server
	Err         error       // of the transport
	LostRequest LostRequest // recorded if the server may have crashed
}

// Refusal returns the response to a request whose attempt failed. ctx is the context
// of the attempt. The outcome states "not run" only if no byte of the request was
// written. After a crash the response carries the crash id in HeaderCrashID.
func (c *CrashTracker) Refusal(ctx context.Context, a FailedAttempt) *wire.Response {
	err := c.classify(ctx, a)
	if err.Kind != outcome.BackendCrashed {
		return answer.Refusal(err)
	}
	id := c.CurrentID()
	resp := answer.Refusal(outcome.New(outcome.BackendCrashed, "crash %s: %v", id, a.Err))
	resp.Headers = []*wire.Header{{Name: HeaderCrashID, Value: id}}
	return resp
}

// classify maps the failure of the attempt to its outcome. It probes the server to
// distinguish a crash from a closed connection.
func (c *CrashTracker) classify(ctx context.Context, a FailedAttempt) *outcome.Err {
	wrote := a.Trace.Wrote()
	switch {
	case errors.Is(a.Err, errMergedHeads):
		return errMergedHeads
	case errors.Is(a.Err, errInvalidStatus):
		return errInvalidStatus
	case errors.Is(a.Err, ErrLeaseEnded) && !wrote:
		return outcome.New(outcome.LeaseLost, "%v", a.Err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && !wrote:
		return outcome.New(outcome.DeadlineNotRun, "no connection to the backend server before the deadline")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcome.New(outcome.DeadlineMaybeRan, "no response from the backend server before the deadline")
	case ctx.Err() != nil && !wrote:
		return outcome.New(outcome.CancelledNotRun, "cancelled")
	case ctx.Err() != nil:
		return outcome.New(outcome.CancelledMaybeRan, "cancelled")
	case !wrote:
		return outcome.New(outcome.OwnerUnreachable, "backend server: %v", a.Err)
	case Listening(a.Addr):
		c.RecordLost(a.LostRequest)
		return outcome.New(outcome.ConnectionLost, "backend server: %v", a.Err)
	}
	return outcome.New(outcome.BackendCrashed, "%v", a.Err)
}
