package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/admit"
	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/dedup"
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/answer"
)

const (
	// dispatchMargin is the part of the lease left unused by the deadline of
	// a request to the backend server.
	dispatchMargin = 20 * time.Millisecond
	// maxSheds is the number of times that a request is offered to the
	// backend server while it sheds.
	maxSheds = 4
	// shedBackoff is the pause after the first shed; it doubles.
	shedBackoff = 10 * time.Millisecond
)

// Execute implements kernel.Executor.
func (e *executor) Execute(ctx context.Context, req *wire.Request) *wire.Response {
	timeout := time.Duration(req.GetTimeoutMs()) * time.Millisecond
	deadline := e.clock.Now().Add(timeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp := e.execute(ctx, req, deadline)
	e.log.Info("run",
		zap.String("request_id", req.GetRequestId()),
		zap.String("team", req.GetTeam()),
		zap.String("service", req.GetService()),
		zap.Uint32("shard", req.GetShard()),
		zap.Uint64("generation", resp.GetGeneration()),
		zap.Stringer("outcome", outcome.Kind(resp.GetKind())),
		zap.String("reason", resp.GetDetail()),
		zap.Uint32("us", resp.GetServiceTimeUs()),
	)
	return resp
}

// execute keeps the request id around the run, where the caller chose it.
func (e *executor) execute(ctx context.Context, req *wire.Request, deadline clock.Instant) *wire.Response {
	id := view.ShardID{Service: req.GetService(), Shard: req.GetShard()}
	fl := flight{shard: id, keyHash: fold.KeyHash(req.GetKey())}
	held, err := e.check(fl)
	if err != nil {
		return answer.Refusal(err)
	}
	e.load.Arrived(id, fl.keyHash)
	r := &run{request: req, flight: fl, shard: id, token: held.Token, deadline: deadline}
	if req.GetIdempotent() || !req.GetCallerId() {
		return e.admit(ctx, r)
	}
	r.id = &dedup.ID{Shard: id, Team: req.GetTeam(), ID: req.GetRequestId()}
	if err := e.ids.begin(*r.id, r.token); err != nil {
		return answer.Refusal(err)
	}
	resp := e.admit(ctx, r)
	if !r.settled {
		e.ids.end(*r.id, r.token, outcome.NotRun, 0)
	}
	return resp
}

// run is one request on its way to the backend server.
type run struct {
	request  *wire.Request
	flight   flight
	shard    view.ShardID
	token    uint64
	deadline clock.Instant
	id       *dedup.ID // nil when the request id is not kept
	settled  bool      // the end of the run is recorded under id
}

// admit waits for the grant and a slot and dispatches; again after a pause
// while the backend server sheds.
func (e *executor) admit(ctx context.Context, r *run) *wire.Response {
	if e.checksFence() {
		if err := e.grants.wait(ctx, grantKey{r.shard, r.token}, func() error { return e.stillHeld(r) }); err != nil {
			return answer.Refusal(err)
		}
	}
	pause := shedBackoff
	for try := 1; ; try++ {
		resp := e.attempt(ctx, r)
		if outcome.Kind(resp.GetKind()) != outcome.BackendShed || try == maxSheds {
			return resp
		}
		select {
		case <-ctx.Done():
			return resp
		case <-time.After(pause):
			pause *= 2
		}
	}
}

// stillHeld returns an error that says "not run" once the run's shard is not
// held under its token.
func (e *executor) stillHeld(r *run) error {
	held, err := e.check(r.flight)
	if err == nil && held.Token != r.token {
		err = outcome.New(outcome.NotOwner, "shard %s/%d changed hands", r.shard.Service, r.shard.Shard)
	}
	return err
}

// attempt takes a slot and runs the request once.
func (e *executor) attempt(ctx context.Context, r *run) *wire.Response {
	ticket := &admit.Ticket{Team: r.request.GetTeam(), Shard: r.shard, Deadline: r.deadline}
	lost := func() bool { return e.stillHeld(r) != nil }
	if err := e.gate.acquire(ctx, ticket, lost); err != nil {
		return answer.Refusal(err)
	}
	resp := e.dispatch(ctx, r)
	kind := outcome.Kind(resp.GetKind())
	if kind == outcome.BackendCrashed || kind == outcome.OwnerUnreachable {
		e.gate.turnCold() // it starts cold, before its first announcement says so
	}
	e.gate.release(ticket, resultOf(kind))
	return resp
}

func resultOf(k outcome.Kind) admit.Result {
	switch k {
	case outcome.OK:
		return admit.Answered
	case outcome.BackendShed:
		return admit.Shed
	default:
		return admit.Failed
	}
}

// dispatch checks ownership once more and sends the request with a deadline
// inside the lease.
func (e *executor) dispatch(ctx context.Context, r *run) *wire.Response {
	// The row is marked before the last check, so that a copy of the table made
	// after a split holds every request that passed the check before it.
	if r.id != nil && !e.ids.dispatch(*r.id, r.token) {
		r.settled = true // the row, if any, tells of another run
		return answer.Refusal(outcome.New(outcome.NotOwner, "the history of the request id has moved"))
	}
	number, lease, err := e.enter(r.flight, r.token)
	if err != nil {
		return e.notDispatched(r, err)
	}
	defer e.exit(number)
	now := e.clock.Now()
	timeout := min(r.deadline.Sub(now), lease.Deadline().Sub(now)-dispatchMargin)
	if timeout <= 0 {
		return e.notDispatched(r, outcome.New(outcome.LeaseLost, "too little of the lease is left"))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp := e.backend.run(ctx, r.request, r.token, now.Add(timeout))
	if outcome.Kind(resp.GetKind()) == outcome.OK {
		e.load.Served(time.Duration(resp.GetServiceTimeUs()) * time.Microsecond)
	}
	e.settle(r, resp)
	return resp
}

// notDispatched takes the mark of a request that failed the last check back.
func (e *executor) notDispatched(r *run, err error) *wire.Response {
	if r.id != nil {
		e.ids.requeue(*r.id, r.token)
	}
	return answer.Refusal(err)
}

// settle records the end of a run before the shard can count as idle, so that
// a release carries it.
func (e *executor) settle(r *run, resp *wire.Response) {
	kind := outcome.Kind(resp.GetKind())
	if r.id == nil {
		return
	}
	if kind == outcome.BackendShed {
		e.ids.requeue(*r.id, r.token)
		return
	}
	r.settled = true
	e.ids.end(*r.id, r.token, kind.Answer().Ran, resp.GetStatus())
}

// Handles implements kernel.FrameHandler.
func (e *executor) Handles(frame *wire.Frame) bool { return frame.GetRequest() != nil }

// HandleFrame implements kernel.FrameHandler.
func (e *executor) HandleFrame(ctx context.Context, _ string, frame *wire.Frame) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Response{Response: e.Execute(ctx, frame.GetRequest())}}
}
