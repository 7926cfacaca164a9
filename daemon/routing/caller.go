package routing

import (
	"context"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/guard"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

// Caller passes requests to the daemons beside the backend servers that are to
// run them, this one included.
type Caller struct {
	control   kernel.Control
	peers     kernel.Peers
	local     kernel.Executor
	suspicion *SuspicionLimit
}

// NewCaller returns a caller. local runs requests for this daemon's own server.
func NewCaller(c kernel.Control, p kernel.Peers, local kernel.Executor, clk clock.Clock) *Caller {
	return &Caller{control: c, peers: p, local: local, suspicion: NewSuspicionLimit(clk)}
}

// Call passes the request to the target once and returns its answer, which may be
// a refusal. An error means that there was none; if the target may be gone, the
// control state hears of it. The error is an *outcome.Err.
func (c *Caller) Call(ctx context.Context, v *view.View, target *view.Member, req *wire.Request) (*wire.Response, error) {
	if target.Incarnation == v.Incarnation {
		return c.local.Execute(ctx, req), nil
	}
	frame, err := c.peers.Call(ctx, target.PeerAddr, &wire.Frame{Body: &wire.Frame_Request{Request: req}})
	if err != nil {
		c.suspect(target, outcome.Of(err))
		return nil, err
	}
	if frame.GetResponse() == nil {
		return nil, outcome.New(outcome.AnswerCut, "answer of another kind")
	}
	return frame.GetResponse(), nil
}

// suspect tells the control state about a daemon that does not answer.
func (c *Caller) suspect(target *view.Member, kind outcome.Kind) {
	lost := kind == outcome.OwnerUnreachable || kind == outcome.ConnectionLost || kind == outcome.DeadlineMaybeRan
	if lost && c.suspicion.Allow(target.Incarnation) {
		c.control.Post(control.Suspicion{Incarnation: target.Incarnation})
	}
}

// Observe tells the book of suspects how a request ended that target, if any, was
// tried last for.
func Observe(s kernel.Suspects, req *wire.Request, target *view.Member, resp *wire.Response, err error) {
	switch {
	case err == nil:
		s.Completed(req.GetFingerprint(), req.GetService())
	case outcome.Of(err) == outcome.BackendCrashed && target != nil:
		s.Crashed(req.GetFingerprint(), req.GetService(), target.BackendName, guard.CrashOf(resp))
	}
}
