package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/admit"
	"github.com/sesamemoor/sesamemoor/core/callermemory"
	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/dedup"
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/answer"
	"github.com/sesamemoor/sesamemoor/daemon/backendconn"
	"github.com/sesamemoor/sesamemoor/daemon/routing"
)

const (
	// dispatchMargin is the least time between the deadline of a request to
	// the backend server and the end of the lease.
	dispatchMargin = 20 * time.Millisecond
	// maxShedAttempts is the number of attempts for a request that the backend
	// server sheds.
	maxShedAttempts = 4
	// shedBackoff is the delay after the first shed; it doubles with each
	// further one.
	shedBackoff = 10 * time.Millisecond
)

// Execute implements kernel.Executor.
func (e *executor) Execute(ctx context.Context, req *wire.Request) *wire.Response {
	timeout := time.Duration(req.GetTimeoutMs()) * time.Millisecond
	deadline := e.clock.Now().Add(timeout)
	if at, ok := ctx.Deadline(); ok { // does not move while the request is under way
		deadline = min(deadline, e.clock.Now().Add(time.Until(at)))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	e.applyNotice(req.GetNotice())
	ctx, exchange := backendconn.WithExchange(ctx)
	resp := e.execute(ctx, req, deadline)
	answer.Charge(callermemory.ChargeOf(ctx), req, resp)
	if n := e.notice(); n != nil {
		resp.Load = &wire.ServerLoad{Notice: n}
	}
	e.log.Info("run",
		zap.String("request_id", req.GetRequestId()),
		zap.String("team", req.GetTeam()),
		zap.String("service", req.GetService()),
		zap.Uint32("shard", req.GetShard()),
		zap.Uint64("generation", resp.GetGeneration()),
		zap.Uint32("attempt", req.GetAttempt()),
		zap.Stringer("outcome", outcome.Kind(resp.GetKind())),
		zap.String("reason", resp.GetDetail()),
		zap.Float64("limit_per_s", resp.GetLoad().GetNotice().GetLimitPerS()),
		zap.String("framing", string(exchange.Framing)),
		zap.Bool("kept", exchange.Kept),
		zap.Int("body_bytes", exchange.BodyBytes),
		zap.String("body_end", string(exchange.BodyEnd)),
		zap.String("end_seen_by", string(exchange.EndSeenBy)),
		zap.String("followed_by", string(exchange.Follower)),
		zap.String("quotes", exchange.Quotes),
		zap.Uint32("us", resp.GetServiceTimeUs()),
	)
	exchange.LogDiscarded(e.log, req.GetRequestId(), outcome.Kind(resp.GetKind()))
	e.backend.stutter.LogDiscarded(e.log, e.clock.Now())
	return resp
}

// execute runs the request under the shard's token. It tracks the request id of
// a non-idempotent request if the caller chose the id.
func (e *executor) execute(ctx context.Context, req *wire.Request, deadline clock.Instant) *wire.Response {
	id := view.ShardID{Service: req.GetService(), Shard: req.GetShard()}
	routed := routedRequest{shard: id, keyHash: fold.KeyHash(req.GetKey())}
	held, err := e.checkOwnership(routed)
	if err != nil {
		return answer.Refusal(err)
	}
	e.load.RecordArrival(id, routed.keyHash)
	r := &run{request: req, routedRequest: routed, shard: id, token: held.Token, deadline: deadline}
	if req.GetIdempotent() || !req.GetCallerId() {
		return e.admit(ctx, r)
	}
	r.id = &dedup.ID{Shard: id, Team: req.GetTeam(), ID: req.GetRequestId()}
	if err := e.ids.begin(*r.id, r.token); err != nil {
		resp := answer.Refusal(err)
		resp.Generation = r.token
		return resp
	}
	resp := e.admit(ctx, r)
	if !r.recorded {
		e.ids.end(*r.id, r.token, outcome.NotRun, 0)
	}
	return resp
}

// run is the state of one request between the ownership check and its response.
type run struct {
	request       *wire.Request
	routedRequest routedRequest
	shard         view.ShardID
	token         uint64
	deadline      clock.Instant
	id            *dedup.ID // nil if the request id is not tracked
	recorded      bool      // the outcome is recorded under id
}

// admit waits for the grant and runs the request. It retries with backoff while
// the backend server sheds the request and the retry budget has room.
func (e *executor) admit(ctx context.Context, r *run) *wire.Response {
	if e.checksFence() {
		if err := e.grants.wait(ctx, grantKey{r.shard, r.token}, func() error { return e.stillHeld(r) }); err != nil {
			return answer.Refusal(err)
		}
	}
	var sends routing.Sends
	defer e.repeats.End(&sends)
	pause := shedBackoff
	for try := 1; ; try++ {
		resp := e.attempt(ctx, r)
		e.repeats.Record(r.request, &sends, resp, nil)
		if outcome.Kind(resp.GetKind()) != outcome.BackendShed || try == maxShedAttempts || !e.repeats.Allow(r.request, &sends) {
			return resp
		}
		r.request.Repeat = true
		select {
		case <-ctx.Done():
			return resp
		case <-time.After(pause):
			pause *= 2
		}
	}
}

// stillHeld returns an error once the run's shard is not held under the run's
// token any more. The error's kind means that the request did not run.
func (e *executor) stillHeld(r *run) error {
	held, err := e.checkOwnership(r.routedRequest)
	if err == nil && held.Token != r.token {
		err = outcome.New(outcome.NotOwner, "shard %s/%d is held under another generation", r.shard.Service, r.shard.Shard)
	}
	return err
}

// attempt waits for a slot and dispatches the request once.
func (e *executor) attempt(ctx context.Context, r *run) *wire.Response {
	ticket := &admit.Ticket{Team: r.request.GetTeam(), Shard: r.shard, Deadline: r.deadline}
	lost := func() bool { return e.stillHeld(r) != nil }
	if err := e.admission.acquire(ctx, ticket, lost); err != nil {
		return answer.Refusal(err)
	}
	if err := answer.Reserve(ctx, r.request); err != nil {
		e.admission.release(ticket, admit.Failed)
		return answer.Refusal(err)
	}
	resp := e.dispatch(ctx, r)
	kind := outcome.Kind(resp.GetKind())
	if kind == outcome.BackendCrashed || kind == outcome.OwnerUnreachable {
		e.admission.markCold() // a new process starts cold, and its first announcement comes later
	}
	e.admission.release(ticket, resultOf(kind))
	return resp
}

func resultOf(k outcome.Kind) admit.Result {
	switch k {
	case outcome.OK:
		return admit.Answered
	case outcome.BackendShed, outcome.BackendReset, outcome.Overloaded: // the server is full
		return admit.Shed
	default:
		return admit.Failed
	}
}

// dispatch checks ownership again and sends the request with a deadline that
// ends dispatchMargin before the lease.
func (e *executor) dispatch(ctx context.Context, r *run) *wire.Response {
	// The request id is marked as dispatched before the last ownership check, so that
	// a copy of the table made after a split contains every request that passed its
	// check before the split.
	if r.id != nil && !e.ids.dispatch(*r.id, r.token) {
		r.recorded = true // the table row of the id, if any, belongs to another run
		return answer.Refusal(outcome.New(outcome.NotOwner, "request id is no longer tracked under this generation of the shard"))
	}
	number, lease, err := e.beginRun(r.routedRequest, r.token)
	if err != nil {
		return e.revertDispatch(r, err)
	}
	end := func() { e.endRun(number) }
	defer func() { end() }()
	now := e.clock.Now()
	timeout := min(r.deadline.Sub(now), lease.Deadline().Sub(now)-dispatchMargin)
	if timeout <= 0 {
		return e.revertDispatch(r, outcome.New(outcome.LeaseLost, "no time left within the request deadline and the lease"))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, report := e.backend.run(ctx, r.request, r.token, now.Add(timeout))
	e.observe(now, report)
	if outcome.Kind(resp.GetKind()) == outcome.OK {
		e.load.RecordServiceTime(e.admission.serviceTime(time.Duration(resp.GetServiceTimeUs()) * time.Microsecond))
	}
	e.recordEnd(r, resp)
	if runEnd, process := backendconn.RunEndOf(ctx, outcome.Kind(resp.GetKind())); runEnd != backendconn.RunOver {
		end = func() { e.endRunLater(number, process, runEnd, now.Add(timeout)) }
	}
	return resp
}

// revertDispatch clears the dispatch mark of a request that failed the last
// check.
func (e *executor) revertDispatch(r *run, err error) *wire.Response {
	if r.id != nil {
		e.ids.requeue(*r.id, r.token)
	}
	return answer.Refusal(err)
}

// recordEnd records the outcome of a run. It is called before the request leaves
// the in-flight set, so that the marks of a release include it.
func (e *executor) recordEnd(r *run, resp *wire.Response) {
	kind := outcome.Kind(resp.GetKind())
	if r.id == nil {
		return
	}
	if kind == outcome.BackendShed {
		e.ids.requeue(*r.id, r.token)
		return
	}
	r.recorded = true
	e.ids.end(*r.id, r.token, kind.Answer().Ran, resp.GetStatus())
}

// Handles implements kernel.FrameHandler.
func (e *executor) Handles(frame *wire.Frame) bool { return frame.GetRequest() != nil }

// HandleFrame implements kernel.FrameHandler.
func (e *executor) HandleFrame(ctx context.Context, _ string, frame *wire.Frame) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Response{Response: e.Execute(ctx, frame.GetRequest())}}
}
