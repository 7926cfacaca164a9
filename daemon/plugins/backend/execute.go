package backend

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/dialect"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/runqueue"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/answer"
)

const (
	// grantPatience is the longest wait of a request for the first grant of its
	// shard: a call on the same host, and a retry.
	grantPatience = 250 * time.Millisecond
	// minRun is the least time left that is worth a run.
	minRun = 5 * time.Millisecond
	// leaveRetryAfter is the advice to callers whose request met a server that
	// leaves: others are known by then.
	leaveRetryAfter = 100 * time.Millisecond
)

// run is one request on its way to the server.
type run struct {
	request *wire.Request
	shard   view.ShardID // zero for a service without keys
	token   uint64
	server  *server
	ticket  *runqueue.Ticket
}

// Execute implements kernel.Executor.
func (e *executor) Execute(ctx context.Context, req *wire.Request) *wire.Response {
	timeout := time.Duration(req.GetTimeoutMs()) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	arrived := e.clock.Now()
	resp := e.execute(ctx, req, arrived)
	resp.Load = e.turns.load()
	e.counters.ended(outcome.Kind(resp.GetKind()))
	e.logRun(req, resp, arrived)
	return resp
}

func (e *executor) logRun(req *wire.Request, resp *wire.Response, arrived clock.Instant) {
	e.log.Info("run",
		zap.String("request_id", req.GetRequestId()),
		zap.String("team", req.GetTeam()),
		zap.String("service", req.GetService()),
		zap.Uint32("shard", req.GetShard()),
		zap.Uint64("generation", resp.GetGeneration()),
		zap.Uint32("attempt", req.GetAttempt()),
		zap.Stringer("outcome", outcome.Kind(resp.GetKind())),
		zap.Uint32("status", resp.GetStatus()),
		zap.String("reason", resp.GetDetail()),
		zap.Uint32("running", resp.GetLoad().GetRunning()),
		zap.Uint32("waiting", resp.GetLoad().GetWaiting()),
		zap.Uint32("service_us", resp.GetServiceTimeUs()),
		zap.Int64("us", e.clock.Now().Sub(arrived).Microseconds()),
	)
}

func (e *executor) execute(ctx context.Context, req *wire.Request, arrived clock.Instant) *wire.Response {
	r := &run{request: req, ticket: &runqueue.Ticket{
		Class:    req.GetRoute(),
		Nested:   req.GetNested(),
		Priority: req.GetPriority(),
		Target:   arrived.Add(time.Duration(req.GetTargetMs()) * time.Millisecond),
		Limit:    arrived.Add(time.Duration(req.GetTimeoutMs()) * time.Millisecond),
	}}
	if err := e.accept(ctx, r); err != nil {
		return answer.Refusal(err)
	}
	if err := e.turns.take(ctx, r.shard, r.ticket); err != nil {
		return answer.Refusal(err)
	}
	resp := e.dispatch(ctx, r)
	e.turns.end(r.ticket, outcome.Kind(resp.GetKind()) == outcome.OK)
	return resp
}

// accept checks that the request is for this daemon's server.
func (e *executor) accept(ctx context.Context, r *run) error {
	v := e.control.View()
	e.mu.Lock()
	r.server = e.server
	err := e.serving(r.server, r.request.GetService())
	e.mu.Unlock()
	if err != nil {
		return err
	}
	if v.Config.Services[r.request.GetService()].Keyless {
		return nil
	}
	id, _, ok := v.LookupNumber(r.request.GetService(), r.request.GetNumberKey())
	if !ok {
		return outcome.New(outcome.NoOwner, "service %s has no placement", r.request.GetService())
	}
	r.shard = id
	r.request.Shard = id.Shard
	held, ok := v.Held[id]
	if !ok {
		return outcome.New(outcome.NotOwner, "shard %s/%d", id.Service, id.Shard)
	}
	r.token = held.Token
	e.load.Arrived(id, uint64(r.request.GetNumberKey()))
	return e.awaitGrant(ctx, r)
}

// serving returns an error if the server takes no new requests of a service. The
// caller holds the lock.
func (e *executor) serving(s *server, service string) error {
	switch {
	case s == nil || s.down:
		return outcome.New(outcome.NoOwner, "no backend server")
	case s.service != service:
		return outcome.New(outcome.NotOwner, "the backend server is of service %s", s.service)
	case e.drainedLocked(e.clock.Now()):
		return leaving("the backend server leaves")
	case e.outAt != 0 && e.clock.Now().Sub(e.outAt) > e.drainTime():
		return leaving("the data centre is out of service")
	}
	keyless := e.control.View().Config.Services[service].Keyless
	if keyless && (s.leaving != 0 || e.outAt != 0) {
		return leaving("the backend server or its data centre leaves")
	}
	return nil
}

// drainTime is the time for which keys are still served after the data centre was
// taken out of service, while they are handed over.
func (e *executor) drainTime() time.Duration {
	return time.Duration(e.bounds.DrainS * float64(time.Second))
}

func leaving(detail string) error {
	err := outcome.New(outcome.Draining, "%s", detail)
	err.RetryAfter = leaveRetryAfter
	return err
}

// awaitGrant waits a short time for the server to hold the shard's keys.
func (e *executor) awaitGrant(ctx context.Context, r *run) error {
	deadline := min(e.clock.Now().Add(grantPatience), r.ticket.Target)
	for {
		err := e.check(r)
		if err == nil || outcome.Of(err) != outcome.Fenced || e.clock.Now() >= deadline {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(settlePause):
		}
	}
}

// check returns an error that says "not run" unless the run's shard may be
// dispatched now. The kind is Fenced while the server does not hold the keys yet.
func (e *executor) check(r *run) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.checkLocked(r)
}

func (e *executor) checkLocked(r *run) error {
	if err := e.serving(r.server, r.request.GetService()); err != nil {
		return err
	}
	if r.server != e.server {
		return outcome.New(outcome.NoOwner, "the backend server began another life")
	}
	if r.shard == (view.ShardID{}) {
		return nil
	}
	v := e.control.View()
	held, ok := v.Held[r.shard]
	now := e.clock.Now()
	switch {
	case !ok || held.Token != r.token:
		return outcome.New(outcome.NotOwner, "shard %s/%d changed hands", r.shard.Service, r.shard.Shard)
	case e.closed[r.shard] >= r.token:
		return outcome.New(outcome.NotOwner, "shard %s/%d is handed over", r.shard.Service, r.shard.Shard)
	case !v.Lease.Valid(now):
		return outcome.New(outcome.LeaseLost, "shard %s/%d", r.shard.Service, r.shard.Shard)
	case !e.holds.Holds(now, r.shard, r.token):
		return outcome.New(outcome.Fenced, "the backend server does not hold shard %s/%d yet", r.shard.Service, r.shard.Shard)
	}
	return nil
}

// dispatch checks once more and sends the request.
func (e *executor) dispatch(ctx context.Context, r *run) *wire.Response {
	e.mu.Lock()
	if err := e.checkLocked(r); err != nil {
		e.mu.Unlock()
		return answer.Refusal(err)
	}
	e.running[r.shard]++
	e.mu.Unlock()
	defer e.exit(r.shard)
	left := r.ticket.Limit.Sub(e.clock.Now())
	if left < minRun {
		return answer.Refusal(outcome.New(outcome.DeadlineNotRun, "too little time is left"))
	}
	started := e.clock.Now()
	resp, answered, err := e.client.run(ctx, r.server, r.request, left)
	e.noteAnswer(r, resp, answered, err)
	if outcome.Kind(resp.GetKind()) == outcome.DeadlineMaybeRan {
		e.load.Served(e.clock.Now().Sub(started)) // at least that slow
	}
	resp.Generation = r.token
	return resp
}

func (e *executor) exit(id view.ShardID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[id]--
	if e.running[id] == 0 {
		delete(e.running, id)
	}
}

// noteAnswer takes in what an answer, or the lack of one, says of the server.
func (e *executor) noteAnswer(r *run, resp *wire.Response, answer dialect.BackendAnswer, err error) {
	kind := outcome.Kind(resp.GetKind())
	if answer.Pace > 0 {
		e.turns.setPace(answer.Pace)
	}
	switch {
	case kind == outcome.OK:
		e.serverAnswered(r.server)
		e.load.Served(time.Duration(resp.GetServiceTimeUs()) * time.Microsecond)
	case answer.Misdirected && r.shard != (view.ShardID{}):
		e.mu.Lock()
		e.holds.Lost(r.shard, r.token)
		e.mu.Unlock()
		e.kickHolds()
	case isRefused(err):
		e.serverLost(r.server, resp.GetDetail(), true)
	case kind == outcome.BackendCrashed:
		e.serverLost(r.server, resp.GetDetail(), false)
	}
}
