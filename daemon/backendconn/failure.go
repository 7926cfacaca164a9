package backendconn

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/answer"
)

// resetSettle bounds the wait for the reader of a connection to record a reset that it was told.
const resetSettle = 20 * time.Millisecond

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

// resetUnused reports whether the server reset a connection on which it had sent nothing, as a server
// does that is full. One that reads a request and closes the connection, or a kept connection, looks
// different: its answer was lost.
func (a FailedAttempt) resetUnused() bool {
	if errors.Is(a.Err, ErrFull) {
		return true
	}
	c := a.Trace.conn.Load()
	if c == nil {
		return errors.Is(a.Err, syscall.ECONNRESET) // of the dial
	}
	if c.server == nil || c.used.Load() {
		return false
	}
	// A write to a connection whose reset the reader was told fails with EPIPE.
	for wait := resetSettle; wait > 0 && errors.Is(a.Err, syscall.EPIPE) && !c.reset.Load(); wait -= time.Millisecond {
		time.Sleep(time.Millisecond)
	}
	return c.reset.Load()
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
	case !wrote && a.resetUnused():
		return outcome.New(outcome.Overloaded, "the backend server resets new connections: %v", a.Err)
	case !wrote:
		return outcome.New(outcome.OwnerUnreachable, "backend server: %v", a.Err)
	}
	p := a.Trace.process()
	switch {
	case crashed(ctx, p, a.Addr):
		return outcome.New(outcome.BackendCrashed, "%v", a.Err)
	case p == nil || !p.Leaving():
		c.RecordLost(a.LostRequest)
	}
	if a.resetUnused() {
		p.recordReset(c.clock.Now())
		return outcome.New(outcome.BackendReset, "backend server: %v", a.Err)
	}
	return outcome.New(outcome.ConnectionLost, "backend server: %v", a.Err)
}
