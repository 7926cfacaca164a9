package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/dialect"
	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/answer"
	"github.com/sesamemoor/sesamemoor/daemon/edge"
	"github.com/sesamemoor/sesamemoor/daemon/routing"
)

const (
	// defaultRetryAfter is the advice to callers whose refusal names no time: a
	// takeover takes a few of them.
	defaultRetryAfter = 400 * time.Millisecond
	// retrySpread is the part of an advised time by which it varies, so that
	// callers refused together do not come back together.
	retrySpread = 0.3
	// defaultMaxBodyBytes bounds a body where no configuration does.
	defaultMaxBodyBytes = 8 << 20
	// answerMargin is the part of a caller's time kept for the way back of an
	// answer from the owner's daemon.
	answerMargin = 15 * time.Millisecond
)

// exchange is one request of a caller on its way through this daemon.
type exchange struct {
	req      *wire.Request
	route    *fleet.HostRoute
	started  time.Time
	limit    time.Time     // when the caller is answered at the latest
	target   time.Time     // until then the answer has its full worth, by the caller's first attempt
	patience time.Duration // how long the caller said that it waits; 0 if it did not
	shared   bool          // the team's rate was checked by this daemon's share
	at       *view.Member
	attempts string // what was tried, for the log
	version  uint64 // of the configuration that was used
	bodyRead bool
}

// ServeHTTP implements http.Handler.
func (g *gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{req: &wire.Request{}, started: time.Now()}
	resp, err := g.process(w, r, x)
	if err != nil {
		resp = answer.Refusal(err)
	}
	took := time.Since(x.started)
	g.metrics.ended(x.req.GetService(), outcome.Kind(resp.GetKind()), took)
	g.logRequest(x, resp, took)
	unread := r.ContentLength != 0 && !x.bodyRead
	if unread || g.control.View().Leaving {
		w.Header().Set("Connection", "close")
	}
	g.writeAnswer(w, r, x, resp)
}

// process takes a request from the caller's bytes to an answer.
func (g *gateway) process(w http.ResponseWriter, r *http.Request, x *exchange) (*wire.Response, error) {
	said, err := g.dialect.Decode(r)
	x.req.RequestId = said.ID
	if err != nil {
		return nil, outcome.New(outcome.BadRequest, "%v", err)
	}
	v := g.control.View()
	x.version = v.ConfigVersion
	if v.ConfigVersion == 0 || v.Hosts == nil {
		return nil, outcome.New(outcome.ConfigStale, "no configuration is known yet")
	}
	if err := g.address(v, r, x, said); err != nil {
		return nil, err
	}
	if err := g.authenticate(v, x, said.Key); err != nil {
		return nil, err
	}
	if err := readBody(w, r, x, v.Config.CallerLimits.MaxBodyBytes); err != nil {
		return nil, err
	}
	return g.run(r.Context(), v, x)
}

// address fills in what the route says.
func (g *gateway) address(v *view.View, r *http.Request, x *exchange, said dialect.CallerRequest) error {
	route := v.Hosts.Match(r.Host, r.URL.Path)
	if route == nil {
		return outcome.New(outcome.UnknownRoute, "no route for %s%s", r.Host, r.URL.Path)
	}
	x.route = route
	x.patience = said.Patience
	timeout := time.Duration(route.TimeoutMS) * time.Millisecond
	if timeout == 0 {
		timeout = fleet.DefaultTimeoutMS * time.Millisecond
	}
	if said.Patience > 0 {
		timeout = min(timeout, said.Patience)
	}
	x.limit = x.started.Add(timeout)
	x.target = x.limit
	if route.TargetMS > 0 {
		x.target = x.started.Add(time.Duration(route.TargetMS) * time.Millisecond)
	}
	req := x.req
	req.Route = route.Name
	req.Service = g.shares.pick(route)
	req.Method = r.Method
	req.Host = r.Host
	req.Path = r.URL.RequestURI()
	req.Idempotent = route.Idempotent
	req.Priority = route.Priority
	req.CallingService = g.service
	req.Headers = g.forwardHeaders(r.Header)
	if v.Config.Services[req.Service].Keyless {
		return nil
	}
	if !said.HasNumberKey {
		return outcome.New(outcome.BadRequest, "service %s needs a key", req.Service)
	}
	req.NumberKey = said.NumberKey
	req.Key = strconv.FormatUint(uint64(said.NumberKey), 10)
	return nil
}

// authenticate finds the request's team. A backend server's own requests for
// those that it runs carry no key.
func (g *gateway) authenticate(v *view.View, x *exchange, key string) error {
	if len(v.Config.Teams) == 0 {
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

// readBody reads the whole body within the limit.
func readBody(w http.ResponseWriter, r *http.Request, x *exchange, limit int64) error {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	var err error
	x.req.Body, err = edge.ReadBody(w, r, limit)
	x.bodyRead = err == nil
	return err
}

// run passes an addressed request on within the caller's time.
func (g *gateway) run(ctx context.Context, v *view.View, x *exchange) (*wire.Response, error) {
	req := x.req
	req.Fingerprint = edge.Fingerprint(req.GetBody(), req.GetTeam(), req.GetMethod(), req.GetHost(), req.GetPath(), req.GetKey())
	if g.suspects.Refuses(x.req.GetFingerprint()) {
		return nil, outcome.New(outcome.Quarantined, "this request crashed backend servers")
	}
	if !req.GetNested() { // those end with the request that they are made for
		x.target = x.target.Add(-g.returning.elapsed(g.clock.Now(), req.GetRoute(), x.patience))
	}
	ctx, cancel := context.WithDeadline(ctx, x.limit)
	defer cancel()
	if err := g.limit(ctx, v, x); err != nil {
		return nil, err
	}
	resp, err := g.sender.send(ctx, x)
	routing.Observe(g.suspects, x.req, x.at, resp, err)
	return resp, err
}

// limit takes a token of the team's fleet-wide rate. While no keeper answers, it
// takes one of this daemon's equal share.
func (g *gateway) limit(ctx context.Context, v *view.View, x *exchange) error {
	team := x.req.GetTeam()
	rate := v.Config.Teams[team].Rate
	if team == "" || rate <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, g.keeperless.patience(g.clock.Now(), team))
	defer cancel()
	err := g.limits.Take(ctx, team)
	if outcome.Of(err) != outcome.KeeperUnavailable {
		return err
	}
	now := g.clock.Now()
	x.shared = true
	if g.keeperless.take(now, team, rate/float64(max(v.Slots, 1))) {
		return nil
	}
	return err
}

// forwardHeaders returns the headers that are passed on.
func (g *gateway) forwardHeaders(h http.Header) []*wire.Header {
	named := edge.Named(h["Connection"]...)
	var out []*wire.Header
	for name, values := range h {
		if edge.HopHeaders[name] || named[name] || g.dialect.Private(name) {
			continue
		}
		for _, value := range values {
			out = append(out, &wire.Header{Name: name, Value: value})
		}
	}
	return out
}

// statusOf returns the status of a refusal: 503 promises that the request did
// not run and never will.
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

// writeAnswer sends the backend server's answer, or the refusal of its kind.
func (g *gateway) writeAnswer(w http.ResponseWriter, r *http.Request, x *exchange, resp *wire.Response) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(edge.WriteTimeout))
	h := w.Header()
	kind := outcome.Kind(resp.GetKind())
	if kind != outcome.OK {
		status := statusOf(kind)
		g.dialect.SetRequestID(h, x.req.GetRequestId())
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			h.Set("Retry-After", adviseRetry(resp))
		}
		h.Set("Content-Length", "0")
		w.WriteHeader(status)
		return
	}
	status := int(resp.GetStatus())
	for _, field := range resp.GetHeaders() {
		if name := http.CanonicalHeaderKey(field.GetName()); !edge.HopHeaders[name] {
			h.Add(name, field.GetValue())
		}
	}
	if status != http.StatusNoContent && status != http.StatusNotModified && r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(resp.GetBody())))
	}
	w.WriteHeader(status)
	_, _ = w.Write(resp.GetBody())
}

// adviseRetry returns the advised time to come back in seconds.
func adviseRetry(resp *wire.Response) string {
	after := time.Duration(resp.GetRetryAfterMs()) * time.Millisecond
	if after == 0 {
		after = defaultRetryAfter
	}
	vary := 1 + retrySpread*(2*rand.Float64()-1)
	return strconv.FormatFloat(after.Seconds()*vary, 'f', 3, 64)
}

// logRequest writes the line of the request.
func (g *gateway) logRequest(x *exchange, resp *wire.Response, took time.Duration) {
	kind := outcome.Kind(resp.GetKind())
	at := ""
	if x.at != nil {
		at = x.at.Slot
	}
	g.log.Info("request",
		zap.String("request_id", x.req.GetRequestId()),
		zap.String("team", x.req.GetTeam()),
		zap.String("route", x.req.GetRoute()),
		zap.String("service", x.req.GetService()),
		zap.Uint32("shard", x.req.GetShard()),
		zap.Uint64("generation", resp.GetGeneration()),
		zap.Uint64("config_version", x.version),
		zap.Bool("keeper_away", x.shared),
		zap.String("owner", at),
		zap.Uint32("attempts", x.req.GetAttempt()),
		zap.String("tried", x.attempts),
		zap.Stringer("outcome", kind),
		zap.Stringer("ran", kind.Answer().Ran),
		zap.Uint32("status", resp.GetStatus()),
		zap.String("reason", resp.GetDetail()),
		zap.Uint32("retry_after_ms", resp.GetRetryAfterMs()),
		zap.Int64("patience_ms", x.patience.Milliseconds()),
		zap.Float64("ms", float64(took.Microseconds())/1000),
	)
}
