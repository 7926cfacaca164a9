package routing

import (
	"context"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/backendconn"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

// ResponseMargin is the part of the time to a request's deadline that is reserved for the
// transfer of the response from the owner's daemon.
const ResponseMargin = 15 * time.Millisecond

// Forwarder forwards requests to the daemons whose backend servers are to run them,
// this daemon included.
type Forwarder struct {
	control   kernel.Control
	peers     kernel.Peers
	local     kernel.Executor
	repeats   *Repeats
	suspicion *SuspicionLimit
}

// NewForwarder returns a Forwarder. local runs the requests whose target is this daemon.
func NewForwarder(c kernel.Control, p kernel.Peers, local kernel.Executor, r *Repeats, clk clock.Clock) *Forwarder {
	return &Forwarder{control: c, peers: p, local: local, repeats: r, suspicion: NewSuspicionLimit(clk)}
}

// Call forwards the request to the target once and returns its response, which
// may be a refusal. An error means that there was no response; it is an
// *outcome.Err. If the error suggests that the target is lost, Call posts a
// suspicion to the control state. It does not send a repeat that Repeats has not allowed.
func (f *Forwarder) Call(ctx context.Context, v *view.View, target *view.Member, req *wire.Request, sends *Sends) (*wire.Response, error) {
	if sends.LastArrived() {
		return nil, errNotAllowed
	}
	req.Repeat = req.GetRepeat() || sends.Arrived() > 0
	resp, err := f.forward(ctx, v, target, req)
	f.repeats.Record(req, sends, resp, err)
	return resp, err
}

func (f *Forwarder) forward(ctx context.Context, v *view.View, target *view.Member, req *wire.Request) (*wire.Response, error) {
	if target.Incarnation == v.Incarnation {
		return f.local.Execute(ctx, req), nil
	}
	frame, err := f.peers.Call(ctx, target.PeerAddr, &wire.Frame{Body: &wire.Frame_Request{Request: req}})
	if err != nil {
		f.suspect(target, outcome.KindOf(err))
		return nil, err
	}
	if frame.GetResponse() == nil {
		return nil, outcome.New(outcome.AnswerCut, "expected a response frame from the daemon")
	}
	return frame.GetResponse(), nil
}

// suspect posts a suspicion of the target if kind suggests that it is lost and
// the rate limit allows it.
func (f *Forwarder) suspect(target *view.Member, kind outcome.Kind) {
	lost := kind == outcome.OwnerUnreachable || kind == outcome.ConnectionLost || kind == outcome.DeadlineMaybeRan
	if lost && f.suspicion.Allow(target.Incarnation) {
		f.control.Post(control.Suspicion{Incarnation: target.Incarnation})
	}
}

// ReportOutcome reports the outcome of a request to the suspects registry. target is
// the daemon of the last attempt, or nil.
func ReportOutcome(s kernel.Suspects, req *wire.Request, target *view.Member, resp *wire.Response, err error) {
	switch {
	case err == nil:
		s.RecordCompletion(req.GetFingerprint(), req.GetService())
	case outcome.KindOf(err) == outcome.BackendCrashed && target != nil:
		s.RecordCrash(req.GetFingerprint(), req.GetService(), target.BackendName, backendconn.CrashID(resp))
	}
}
