package backend

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/callermemory"
	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/liveness"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/protocol"
	"github.com/sesamemoor/sesamemoor/core/runqueue"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/answer"
	"github.com/sesamemoor/sesamemoor/daemon/backendconn"
	"github.com/sesamemoor/sesamemoor/daemon/routing"
)

const (
	// maxGrantWait is the longest wait of a request for the first grant of its
	// shard, enough for a call on the same host and one retry.
	maxGrantWait = 250 * time.Millisecond
	// minRunTime is the least remaining time with which a request is sent.
	minRunTime = 5 * time.Millisecond
	// drainRetryAfter is the Retry-After of requests to a draining server. By then
	// the daemons that forward requests are expected to know other servers.
	drainRetryAfter = 100 * time.Millisecond
)

// run is one request for the server.
type run struct {
	request *wire.Request
	shard   view.ShardID // zero for a service without keys
	token   uint64
	server  *server
	ticket  *runqueue.Ticket
}

// Execute implements kernel.Executor. Its response does not go to another daemon: the entry here
// accounts for its transfer.
func (e *executor) Execute(ctx context.Context, req *wire.Request) *wire.Response {
	return e.serve(ctx, req, false)
}

// serve runs a request. toPeer tells that its response goes to another daemon over the network
// link.
func (e *executor) serve(ctx context.Context, req *wire.Request, toPeer bool) *wire.Response {
	timeout := time.Duration(req.GetTimeoutMs()) * time.Millisecond
	arrived := e.clock.Now()
	underway := timeUnderway(ctx, timeout)
	sent := arrived.Add(-underway)
	ctx, cancel := context.WithTimeout(ctx, timeout-underway)
	defer cancel()
	ctx, exchange := backendconn.WithExchange(ctx)
	resp := e.execute(ctx, req, sent, toPeer)
	answer.Charge(callermemory.ChargeOf(ctx), req, resp)
	resp.Load = e.admission.load()
	resp.Load.Notice = e.notice()
	if backlog, kbps := e.pacer.Backlog(); kbps > 0 {
		resp.Load.LinkBacklogMs, resp.Load.LinkKbps = uint32(backlog.Milliseconds()), uint32(kbps)
	}
	e.counters.record(outcome.Kind(resp.GetKind()))
	e.logRun(req, resp, exchange, arrived, underway)
	return resp
}

// timeUnderway returns how long the request was under way from the daemon that took it from
// its caller, as far as the deadline of ctx tells: that does not move on the way, while
// timeout is as long as it was when the request was sent.
func timeUnderway(ctx context.Context, timeout time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(0, timeout+routing.ResponseMargin-time.Until(deadline))
}

func (e *executor) logRun(req *wire.Request, resp *wire.Response, exchange *backendconn.Exchange, arrived clock.Instant, underway time.Duration) {
	e.log.Info("run",
		zap.String("request_id", req.GetRequestId()),
		zap.String("team", req.GetTeam()),
		zap.String("service", req.GetService()),
		zap.Uint32("shard", req.GetShard()),
		zap.Uint64("generation", resp.GetGeneration()),
		zap.Uint32("attempt", req.GetAttempt()),
		zap.Bool("repeat", req.GetRepeat()),
		zap.Stringer("outcome", outcome.Kind(resp.GetKind())),
		zap.Uint32("status", resp.GetStatus()),
		zap.String("reason", resp.GetDetail()),
		zap.Uint32("running", resp.GetLoad().GetRunning()),
		zap.Uint32("waiting", resp.GetLoad().GetWaiting()),
		zap.Uint32("link_backlog_ms", resp.GetLoad().GetLinkBacklogMs()),
		zap.Float64("limit_per_s", resp.GetLoad().GetNotice().GetLimitPerS()),
		zap.String("framing", string(exchange.Framing)),
		zap.Bool("kept", exchange.Kept),
		zap.Int("body_bytes", exchange.BodyBytes),
		zap.String("body_end", string(exchange.BodyEnd)),
		zap.String("end_seen_by", string(exchange.EndSeenBy)),
		zap.String("followed_by", string(exchange.Follower)),
		zap.String("quotes", exchange.Quotes),
		zap.Uint32("service_us", resp.GetServiceTimeUs()),
		zap.Int64("underway_us", underway.Microseconds()),
		zap.Int64("us", e.clock.Now().Sub(arrived).Microseconds()),
	)
	exchange.LogDiscarded(e.log, req.GetRequestId(), outcome.Kind(resp.GetKind()))
	e.client.continuity.Stutter.LogDiscarded(e.log, e.clock.Now())
}

// execute runs a request whose timeout and latency target count from sent, see serve.
func (e *executor) execute(ctx context.Context, req *wire.Request, sent clock.Instant, toPeer bool) *wire.Response {
	r := &run{request: req, ticket: &runqueue.Ticket{
		Class:    req.GetRoute(),
		Team:     req.GetTeam(),
		Nested:   req.GetNested(),
		Priority: req.GetPriority(),
		Target:   sent.Add(time.Duration(req.GetTargetMs()) * time.Millisecond),
		Deadline: sent.Add(time.Duration(req.GetTimeoutMs()) * time.Millisecond),
	}}
	if req.GetNested() && !e.pacer.Limited() {
		r.ticket.Priority = 0 // nested calls are ranked with their parents where the link is narrow only
	}
	if toPeer {
		r.ticket.Size, r.ticket.Spread = e.pacer.Expected(req.GetRoute(), req.GetBulk())
	}
	e.applyNotice(req.GetNotice())
	if err := e.accept(ctx, r); err != nil {
		return answer.Refusal(err)
	}
	if err := e.calls.Admit(req); err != nil {
		return answer.Refusal(err)
	}
	if err := e.admission.acquire(ctx, r.shard, r.ticket); err != nil {
		return answer.Refusal(err)
	}
	resp := e.dispatch(ctx, r)
	if outcome.Kind(resp.GetKind()) == outcome.OK {
		e.pacer.RecordSize(req.GetRoute(), len(resp.GetBody()))
	}
	e.admission.finish(r.ticket, outcome.Kind(resp.GetKind()) == outcome.OK)
	return resp
}

// accept checks that this daemon's server may run the request, sets its shard and
// token, and waits for the grant.
func (e *executor) accept(ctx context.Context, r *run) error {
	if ctx.Err() != nil {
		return endedError(ctx)
	}
	v := e.control.View()
	e.mu.Lock()
	r.server = e.server
	err := e.checkServer(r.server, r.request.GetService())
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
		return outcome.New(outcome.NotOwner, "this daemon does not hold shard %s/%d", id.Service, id.Shard)
	}
	r.token = held.Token
	e.load.RecordArrival(id, uint64(r.request.GetNumberKey()))
	return e.awaitGrant(ctx, r)
}

// checkServer returns an error if the server accepts no new requests of the service.
// The caller holds the lock.
func (e *executor) checkServer(s *server, service string) error {
	switch {
	case s == nil || s.down:
		return outcome.New(outcome.NoOwner, "no backend server")
	case s.service != service:
		return outcome.New(outcome.NotOwner, "the backend server belongs to service %s", s.service)
	case e.drainedLocked(e.clock.Now()):
		return draining("the backend server is draining")
	case e.outSince != 0 && e.clock.Now().Sub(e.outSince) > e.drainTime():
		return draining("the data centre is out of service")
	}
	keyless := e.control.View().Config.Services[service].Keyless
	if keyless && (s.draining != 0 || e.outSince != 0) {
		return draining("the backend server or its data centre is draining")
	}
	return nil
}

// drainTime returns the time for which keys are still served after the data centre
// went out of service, while they are handed off.
func (e *executor) drainTime() time.Duration {
	return time.Duration(e.bounds.DrainS * float64(time.Second))
}

// draining returns a refusal of kind Draining with a retry delay.
func draining(detail string) error {
	err := outcome.New(outcome.Draining, "%s", detail)
	err.RetryAfter = drainRetryAfter
	return err
}

// awaitGrant waits until the server holds the shard's keys, at most maxGrantWait and
// not beyond the latency target.
func (e *executor) awaitGrant(ctx context.Context, r *run) error {
	deadline := min(e.clock.Now().Add(maxGrantWait), r.ticket.Target)
	for {
		err := e.checkDispatch(r)
		if err == nil || outcome.KindOf(err) != outcome.Fenced || e.clock.Now() >= deadline {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

// checkDispatch returns an error of a "not run" kind unless the request may be
// dispatched now. The kind is Fenced while the server does not hold the keys yet.
func (e *executor) checkDispatch(r *run) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.checkDispatchLocked(r)
}

func (e *executor) checkDispatchLocked(r *run) error {
	if err := e.checkServer(r.server, r.request.GetService()); err != nil {
		return err
	}
	if r.server != e.server {
		return outcome.New(outcome.NoOwner, "the backend server restarted")
	}
	if r.shard == (view.ShardID{}) {
		return nil
	}
	v := e.control.View()
	held, ok := v.Held[r.shard]
	now := e.clock.Now()
	switch {
	case !ok || held.Token != r.token:
		return outcome.New(outcome.NotOwner, "shard %s/%d has a new owner or generation", r.shard.Service, r.shard.Shard)
	case e.quiescedTokens[r.shard] >= r.token:
		return outcome.New(outcome.NotOwner, "shard %s/%d is being handed off", r.shard.Service, r.shard.Shard)
	case !v.Lease.Valid(now):
		return outcome.New(outcome.LeaseLost, "this daemon's lease, under which it holds shard %s/%d, is not valid", r.shard.Service, r.shard.Shard)
	case !e.holds.Holds(now, r.shard, r.token):
		return outcome.New(outcome.Fenced, "the backend server does not hold shard %s/%d yet", r.shard.Service, r.shard.Shard)
	}
	return nil
}

// dispatch repeats the check of checkDispatch and sends the request.
func (e *executor) dispatch(ctx context.Context, r *run) *wire.Response {
	if err := answer.Reserve(ctx, r.request); err != nil {
		return answer.Refusal(err)
	}
	e.mu.Lock()
	if err := e.checkDispatchLocked(r); err != nil {
		e.mu.Unlock()
		return answer.Refusal(err)
	}
	e.running[r.shard]++
	e.mu.Unlock()
	defer e.endRun(r.shard)
	remaining := r.ticket.Deadline.Sub(e.clock.Now())
	if remaining < minRunTime {
		return answer.Refusal(outcome.New(outcome.DeadlineNotRun, "too little time is left until the deadline to send the request"))
	}
	started := e.clock.Now()
	run := e.runs.Begin(r.request.GetRequestId(), started.Add(remaining), r.request.GetRepeat())
	run.SetUrgency(r.request.GetPriority(), r.ticket.Target)
	resp, decoded, err := e.client.run(ctx, r.server, r.request, remaining)
	resp.Calls = run.End()
	e.recordRunEnd(ctx, r, outcome.Kind(resp.GetKind()))
	e.calls.RecordRun(r.request, run, resp)
	if resp.GetArrived() && r.request.GetRepeat() {
		e.counters.repeats.Add(1)
	}
	e.observe(r.server, started, decoded)
	e.handleResponse(r, resp, decoded, err)
	if outcome.Kind(resp.GetKind()) == outcome.DeadlineMaybeRan {
		e.load.RecordServiceTime(e.clock.Now().Sub(started)) // a lower bound of the service time
	}
	resp.Generation = r.token
	return resp
}

func (e *executor) endRun(id view.ShardID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[id]--
	if e.running[id] == 0 {
		delete(e.running, id)
	}
}

// handleResponse updates the server's state from a response or from the failure to
// get one.
func (e *executor) handleResponse(r *run, resp *wire.Response, decoded protocol.BackendAnswer, err error) {
	kind := outcome.Kind(resp.GetKind())
	if decoded.Slowdown > 0 {
		e.admission.setSlowdown(decoded.Slowdown)
	}
	switch {
	case kind == outcome.OK:
		e.recordHeartbeat(r.server)
		e.load.RecordServiceTime(e.admission.serviceTime(time.Duration(resp.GetServiceTimeUs()) * time.Microsecond))
	case decoded.Misdirected && r.shard != (view.ShardID{}):
		e.mu.Lock()
		e.holds.ReportNotHeld(r.shard, r.token)
		e.mu.Unlock()
		e.wakeGrants()
	case err != nil && (isConnRefused(err) || r.server.process.Refuses()):
		e.markLost(r.server, resp.GetDetail(), liveness.Refused)
	}
}
