package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/protocol"
	"github.com/sesamemoor/sesamemoor/core/retry"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/answer"
	"github.com/sesamemoor/sesamemoor/daemon/edge"
	"github.com/sesamemoor/sesamemoor/daemon/routing"
)

const (
	// defaultRetryAfter is the Retry-After of a refusal without one. A takeover
	// takes a few times as long.
	defaultRetryAfter = 400 * time.Millisecond
	// retryAfterJitter is the fraction by which Retry-After varies up or down, so
	// that callers refused together do not retry together.
	retryAfterJitter = 0.3
	// defaultMaxBodyBytes bounds a request body if the configuration does not.
	defaultMaxBodyBytes = 8 << 20
	// leavingRetryAfter is the Retry-After of a request that a stopping daemon refuses: any
	// other daemon takes it.
	leavingRetryAfter = 50 * time.Millisecond
	// staleRetryAfter is the Retry-After of a request that a daemon with a replaced
	// configuration refuses. It asks peers for the newer one at about this interval.
	staleRetryAfter = 300 * time.Millisecond
)

// exchange is one request of a caller and its state in this daemon.
type exchange struct {
	req            *wire.Request
	route          *fleet.HostRoute
	received       time.Time // when its first bytes were read
	started        time.Time
	limit          time.Time     // deadline of the response to the caller
	targetTime     time.Time     // latency target, counted from the caller's first attempt
	callerTimeout  time.Duration // stated by the caller; 0 if it was not
	usedLocalShare bool          // the team's rate was checked against this daemon's local share
	lastTarget     *view.Member
	attemptLog     string        // slot and outcome of each attempt, for the log
	answerAttempt  uint32        // number of the attempt whose answer is passed on; 0 if none is
	configVersion  uint64        // version of the configuration that was used
	configAge      time.Duration // of the knowledge that it was the newest one, view.Freshness.Age
	bodyRead       bool
	parent         *retry.Run // the run on whose behalf a nested call is made; nil if it is not known, or for a request of a caller
	remote         bool       // the answer leaves the instance
	transfer       transfer
}

// ServeHTTP implements http.Handler.
func (g *gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{req: &wire.Request{}, received: edge.ReceivedAt(r.Context()), started: time.Now()}
	x.remote = g.pacer.Limited() && usesLink(r)
	defer func() { g.pacer.Drop(x.transfer.promise) }()
	resp, err := g.process(w, r, x)
	if err != nil {
		resp = answer.Refusal(err)
	}
	took := time.Since(x.started)
	g.metrics.record(x.req.GetService(), outcome.Kind(resp.GetKind()), took)
	g.logRequest(r, x, resp, took)
	unread := r.ContentLength != 0 && !x.bodyRead
	if (unread || g.control.View().Leaving) && edge.EndAfter(r.Context()) {
		w.Header().Set("Connection", "close")
	}
	written, err := g.writeResponse(w, r, x, resp)
	edge.LogUnwritten(g.log, w, r, err,
		zap.String("request_id", x.req.GetRequestId()), zap.Stringer("outcome", outcome.Kind(resp.GetKind())),
		zap.Int("body_bytes", len(resp.GetBody())), zap.Int("body_written", written))
}

// process decodes, authenticates and forwards a request, and returns its response.
func (g *gateway) process(w http.ResponseWriter, r *http.Request, x *exchange) (*wire.Response, error) {
	decoded, err := g.protocol.Decode(r)
	x.req.RequestId = decoded.ID
	if err != nil {
		return nil, outcome.New(outcome.BadRequest, "%v", err)
	}
	v, err := g.currentView(x)
	if err != nil {
		return nil, err
	}
	if err := g.applyRoute(v, r, x, decoded); err != nil {
		return nil, err
	}
	if err := g.authenticate(v, x, decoded.Key); err != nil {
		return nil, err
	}
	if err := g.checkStop(v, x); err != nil {
		return nil, err
	}
	release, err := g.readBody(w, r, x, v.Config.CallerLimits.MaxBodyBytes)
	defer release()
	if err != nil {
		return nil, err
	}
	if !x.route.Idempotent || v.Leaving {
		if err := edge.AwaitTurn(r.Context()); err != nil {
			return nil, outcome.New(outcome.CancelledNotRun, "waiting for earlier requests of the connection: %v", err)
		}
	}
	return edge.WithinMemory(r.Context(), x.req, func(ctx context.Context) (*wire.Response, error) { return g.forward(ctx, v, x) })
}

// currentView returns a view whose configuration may be used, and stores its version in x. The
// view is loaded after the check: one that was loaded before may be without the configuration
// that the check found to be current.
func (g *gateway) currentView(x *exchange) (*view.View, error) {
	checked, now := g.control.View(), g.clock.Now()
	x.configVersion, x.configAge = checked.ConfigVersion, checked.ConfigFreshness.Age(now)
	if !configUsable(checked, now) {
		return nil, staleRefusal(checked, now)
	}
	v := g.control.View()
	x.configVersion = v.ConfigVersion
	return v, nil
}

// staleRefusal refuses a request while the configuration cannot be used.
func staleRefusal(v *view.View, now clock.Instant) *outcome.Err {
	if v.ConfigVersion == 0 || !v.ConfigFreshness.Replaced(now) {
		return outcome.New(outcome.ConfigStale, "no configuration is known to be current yet")
	}
	err := outcome.New(outcome.ConfigStale, "version %d was replaced, and the newer one is not read yet", v.ConfigVersion)
	err.RetryAfter = staleRetryAfter
	return err
}

// applyRoute matches the request to a route and fills in what the route sets.
func (g *gateway) applyRoute(v *view.View, r *http.Request, x *exchange, decoded protocol.CallerRequest) error {
	route := v.Hosts.Match(r.Host, r.URL.Path)
	if route == nil {
		return outcome.New(outcome.UnknownRoute, "no route for %s%s", r.Host, r.URL.Path)
	}
	x.route = route
	x.callerTimeout = decoded.Timeout
	timeout := time.Duration(route.TimeoutMS) * time.Millisecond
	if timeout == 0 {
		timeout = fleet.DefaultTimeoutMS * time.Millisecond
	}
	if decoded.Timeout > 0 {
		timeout = min(timeout, decoded.Timeout)
	}
	x.limit = x.received.Add(timeout)
	x.targetTime = x.limit
	if route.TargetMS > 0 {
		x.targetTime = x.received.Add(time.Duration(route.TargetMS) * time.Millisecond)
	}
	req := x.req
	req.Route = route.Name
	req.Service = g.weightedRoundRobin.pick(route)
	req.Method = r.Method
	req.Host = r.Host
	req.Path = r.URL.RequestURI()
	req.Idempotent = route.Idempotent
	req.Priority = route.Priority
	x.transfer.size, x.transfer.spread = g.pacer.Expected(route.Name, route.Bulk)
	req.Bulk = x.transfer.size > 0
	req.CallingService = g.service
	req.Headers = g.forwardHeaders(r.Header)
	if v.Config.Services[req.Service].Keyless {
		return nil
	}
	if !decoded.HasNumberKey {
		return outcome.New(outcome.BadRequest, "request for service %s has no numeric key", req.Service)
	}
	req.NumberKey = decoded.NumberKey
	req.Key = strconv.FormatUint(uint64(decoded.NumberKey), 10)
	return nil
}

// lateShare is the share of the time until the process stops, after which it takes no more
// requests that may outlast it.
const lateShare = 0.5

// checkStop refuses a request that arrives late in a shutdown and whose time does not end
// before the process does: it would be cut without an answer.
func (g *gateway) checkStop(v *view.View, x *exchange) error {
	if !v.Leaving || v.LeavingSince == 0 || g.stopTime == 0 {
		return nil
	}
	left := g.stopTime - g.clock.Now().Sub(v.LeavingSince)
	if left > time.Duration(lateShare*float64(g.stopTime)) || time.Until(x.limit) < left-lastAnswerTime {
		return nil
	}
	err := outcome.New(outcome.Draining, "this daemon stops in %v, before the request's time is up", left)
	err.RetryAfter = leavingRetryAfter
	return err
}

// authenticate sets the request's team by its caller key. Requests without a key
// on an anonymous route count as nested: backend servers make them for requests
// that they run. Without teams no caller has a key, so that only an id which extends
// that of a running request shows a nested one; it is counted as a call of that request,
// but served before the requests of callers only where nested calls are ranked.
func (g *gateway) authenticate(v *view.View, x *exchange, key string) error {
	if len(v.Config.Teams) == 0 {
		x.parent = g.runs.ByCallID(x.req.GetRequestId())
		x.req.Nested = x.parent != nil && g.ranksNested
		return nil
	}
	team, known := "", false
	if key != "" {
		team, known = g.team(v, key)
	}
	switch {
	case known:
		x.req.Team = team
		if p := v.Config.Teams[team].Priority; p != nil {
			x.req.Priority = *p
		}
	case x.route.Anonymous:
		x.req.Nested = key == ""
	case key == "":
		return outcome.New(outcome.Unauthenticated, "no caller key")
	default:
		return outcome.New(outcome.Unauthenticated, "unknown caller key")
	}
	return nil
}

// readBody reads the whole body, which the request needs until release is called. A limit
// of 0 or less means defaultMaxBodyBytes.
func (g *gateway) readBody(w http.ResponseWriter, r *http.Request, x *exchange, limit int64) (release func(), err error) {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	x.req.Body, release, err = edge.ReadBody(w, r, limit, g.bodies)
	x.bodyRead = err == nil
	return release, err
}

// forward sends a routed request on, within the caller's deadline.
func (g *gateway) forward(ctx context.Context, v *view.View, x *exchange) (*wire.Response, error) {
	req := x.req
	req.Fingerprint = edge.Fingerprint(req.GetBody(), req.GetTeam(), req.GetMethod(), req.GetHost(), req.GetPath(), req.GetKey())
	if g.suspects.IsQuarantined(x.req.GetFingerprint()) {
		return nil, outcome.New(outcome.Quarantined, "this request crashed backend servers")
	}
	if req.GetNested() && x.parent == nil {
		x.parent = g.parentOf(x)
	}
	parent := x.parent
	parent.AddCalls(req.GetService(), 1)
	req.Repeat = parent.Repeat()
	switch {
	case !req.GetNested():
		x.targetTime = x.targetTime.Add(-g.timeoutEstimators.elapsed(g.clock.Now(), req.GetRoute(), x.callerTimeout))
	case g.ranksNested:
		// A nested request shares the deadline of the request that it serves, so a short
		// remaining timeout does not mean that it is a retry.
		g.rankWithParent(x, parent)
	}
	ctx, cancel := context.WithDeadline(ctx, x.limit)
	defer cancel()
	defer context.AfterFunc(g.ending, cancel)()
	if err := g.promiseTransfer(x); err != nil {
		return nil, err
	}
	if err := g.limit(ctx, v, x); err != nil {
		return nil, err
	}
	resp, err := g.sender.send(ctx, x)
	g.calls.RecordCall(req, parent, err)
	for service, n := range resp.GetCalls() {
		parent.AddCalls(service, n)
	}
	if err == nil {
		g.pacer.RecordSize(req.GetRoute(), len(resp.GetBody()))
	}
	routing.ReportOutcome(g.suspects, x.req, x.lastTarget, resp, err)
	return resp, err
}

// parentOf returns the run on whose behalf a nested call is made, or nil if it is not known.
func (g *gateway) parentOf(x *exchange) *retry.Run {
	if parent := g.runs.ByCallID(x.req.GetRequestId()); parent != nil {
		return parent
	}
	return g.runs.Parent(g.clock.Now().Add(time.Until(x.received.Add(x.callerTimeout))))
}

// rankWithParent gives a nested call the priority of the request on whose behalf it is made. The
// call has its full value as long as that request can meet its latency objective.
func (g *gateway) rankWithParent(x *exchange, parent *retry.Run) {
	priority, target, ok := parent.Urgency()
	if !ok {
		return
	}
	x.req.Priority = priority
	if until := time.Now().Add(target.Sub(g.clock.Now())); until.After(x.targetTime) {
		x.targetTime = until
	}
	if x.targetTime.After(x.limit) {
		x.targetTime = x.limit
	}
}

// limit takes a token of the team's fleet-wide rate. While the keeper is
// unavailable, it takes one from this daemon's equal share of the rate.
func (g *gateway) limit(ctx context.Context, v *view.View, x *exchange) error {
	team := x.req.GetTeam()
	rate := v.Config.Teams[team].Rate
	if team == "" || rate <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, g.localShares.keeperTimeout(g.clock.Now(), team))
	defer cancel()
	err := g.limiter.Take(ctx, team)
	if outcome.KindOf(err) != outcome.KeeperUnavailable {
		return err
	}
	now := g.clock.Now()
	x.usedLocalShare = true
	if g.localShares.take(now, team, rate/float64(max(v.Slots, 1))) {
		return nil
	}
	return err
}

// forwardHeaders returns the headers to forward: all but hop-by-hop headers and
// those that are internal to the protocol.
func (g *gateway) forwardHeaders(h http.Header) []*wire.Header {
	connectionOptions := edge.ConnectionOptions(h["Connection"]...)
	var out []*wire.Header
	for name, values := range h {
		if edge.HopByHopHeaders[name] || connectionOptions[name] || g.protocol.IsInternal(name) {
			continue
		}
		for _, value := range values {
			out = append(out, &wire.Header{Name: name, Value: value})
		}
	}
	return out
}

// statusOf returns the HTTP status of a refusal. Status 503 guarantees that the
// request did not run and never will.
func statusOf(kind outcome.Kind) int {
	answer := kind.Answer()
	switch {
	case kind == outcome.Quarantined || kind == outcome.DeadlineNotRun || kind == outcome.CancelledNotRun:
		return http.StatusServiceUnavailable
	case answer.Ran == outcome.NotRun:
		return answer.Status
	case kind == outcome.DeadlineMaybeRan:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// writeResponse sends the backend server's response, and returns how many bytes of its body
// were taken. If the kind of resp is not OK, it sends the status of the refusal without a
// body.
func (g *gateway) writeResponse(w http.ResponseWriter, r *http.Request, x *exchange, resp *wire.Response) (int, error) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(edge.WriteTimeout))
	h := w.Header()
	kind := outcome.Kind(resp.GetKind())
	if kind != outcome.OK {
		status := statusOf(kind)
		g.protocol.SetRequestID(h, x.req.GetRequestId())
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			h.Set("Retry-After", retryAfterSeconds(resp))
		}
		h.Set("Content-Length", "0")
		w.WriteHeader(status)
		return 0, nil
	}
	status := int(resp.GetStatus())
	for name, value := range edge.EndToEndHeaders(resp) {
		h.Add(name, value)
	}
	mayHaveBody := status != http.StatusNoContent && status != http.StatusNotModified
	if mayHaveBody && r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(resp.GetBody())))
	}
	w.WriteHeader(status)
	if !mayHaveBody {
		return 0, nil
	}
	if r.Method != http.MethodHead {
		g.beginTransfer(r.Context(), x, len(resp.GetBody()))
	}
	return w.Write(resp.GetBody())
}

// retryAfterSeconds returns the value of the Retry-After header, in seconds with
// jitter.
func retryAfterSeconds(resp *wire.Response) string {
	delay := time.Duration(resp.GetRetryAfterMs()) * time.Millisecond
	if delay == 0 {
		delay = defaultRetryAfter
	}
	factor := 1 + retryAfterJitter*(2*rand.Float64()-1)
	return strconv.FormatFloat(delay.Seconds()*factor, 'f', 3, 64)
}

// logRequest writes the request's log line.
func (g *gateway) logRequest(r *http.Request, x *exchange, resp *wire.Response, took time.Duration) {
	kind := outcome.Kind(resp.GetKind())
	lastTarget := ""
	if x.lastTarget != nil {
		lastTarget = x.lastTarget.Slot
	}
	fields := append(edge.ConnFields(r),
		zap.String("request_id", x.req.GetRequestId()),
		zap.String("team", x.req.GetTeam()),
		zap.String("route", x.req.GetRoute()),
		zap.String("service", x.req.GetService()),
		zap.Uint32("shard", x.req.GetShard()),
		zap.Uint64("generation", resp.GetGeneration()),
		zap.Uint64("config_version", x.configVersion),
		zap.Int64("config_age_ms", x.configAge.Milliseconds()),
		zap.Bool("keeper_away", x.usedLocalShare),
		zap.String("owner", lastTarget),
		zap.Uint32("attempts", x.req.GetAttempt()),
		zap.String("tried", x.attemptLog),
		zap.Bool("repeat", x.req.GetRepeat()),
		zap.Stringer("outcome", kind),
		zap.Stringer("ran", kind.Answer().Ran),
		zap.Uint32("status", resp.GetStatus()),
		zap.String("reason", resp.GetDetail()),
		zap.Uint32("retry_after_ms", resp.GetRetryAfterMs()),
		zap.Int64("patience_ms", x.callerTimeout.Milliseconds()),
		zap.Float64("waited_ms", float64(x.started.Sub(x.received).Microseconds())/1000),
		zap.Float64("ms", float64(took.Microseconds())/1000),
		zap.Int("body_bytes", len(resp.GetBody())),
		edge.FramingField(r, int(resp.GetStatus())),
		zap.Uint32("answer_attempt", x.answerAttempt),
		edge.LeavingField(g.control.View(), g.clock.Now()),
	)
	g.log.Info("request", fields...)
}
