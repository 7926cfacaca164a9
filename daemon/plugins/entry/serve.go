package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/answer"
	"github.com/sesamemoor/sesamemoor/daemon/edge"
	"github.com/sesamemoor/sesamemoor/daemon/routing"
)

// exchange is the state of one caller's request in this daemon.
type exchange struct {
	req      *wire.Request
	key      string       // the caller key; never leaves this daemon
	target   *view.Member // daemon of the last attempt, or nil
	bodyRead bool         // the whole body was read
	started  time.Time    // from which the caller's time counts

	configVersion uint64        // version of the configuration that was used
	configAge     time.Duration // of the knowledge that it was the newest one, view.Freshness.Age

	releaseBody func() // called when the body is no longer needed
}

func (e *entry) serve(c *gin.Context) {
	x := &exchange{req: &wire.Request{RequestId: uuid.NewString()}, started: time.Now(), releaseBody: func() {}}
	defer func() { x.releaseBody() }()
	resp, err := e.process(c.Writer, c.Request, x)
	if err != nil {
		resp = answer.Refusal(err)
		setRetryAfter(c.Writer.Header(), err)
	}
	took := time.Since(x.started)
	e.logRequest(c.Request, x, resp, took)
	e.metrics.request(x.req, outcome.Kind(resp.GetKind()), took)
	// Without Connection: close, net/http would read the rest of an unread body
	// before it sends the response.
	unread := c.Request.ContentLength != 0 && !x.bodyRead
	if (unread || e.ctrl.View().Leaving) && edge.EndAfter(c.Request.Context()) {
		c.Header("Connection", "close")
	}
	written, err := writeResponse(c.Writer, c.Request, x.req, resp)
	c.Writer.WriteHeaderNow()
	edge.LogUnwritten(e.log, unwrap(c.Writer), c.Request, err,
		zap.String("request_id", x.req.GetRequestId()), zap.Stringer("outcome", outcome.Kind(resp.GetKind())),
		zap.Int("body_bytes", len(resp.GetBody())), zap.Int("body_written", written))
}

// unwrap returns the writer below gin's, whose Flush returns no error.
func unwrap(w gin.ResponseWriter) http.ResponseWriter {
	if u, ok := w.(interface{ Unwrap() http.ResponseWriter }); ok {
		return u.Unwrap()
	}
	return w
}

// process authenticates, admits and forwards a caller's request and returns the
// owner's response.
func (e *entry) process(w http.ResponseWriter, r *http.Request, x *exchange) (*wire.Response, error) {
	if err := x.adoptID(r.Header); err != nil {
		return nil, err
	}
	v, err := e.currentView(x)
	if err != nil {
		return nil, err
	}
	team, err := e.auth.authenticate(v, r.Header, x)
	if err != nil {
		return nil, err
	}
	x.req.Team = team
	if err := e.inflightLimiter.acquire(team); err != nil {
		return nil, err
	}
	defer e.inflightLimiter.release(team)
	if err := e.fillRequest(v, w, r, x); err != nil {
		return nil, err
	}
	return edge.WithinMemory(r.Context(), x.req, func(ctx context.Context) (*wire.Response, error) { return e.forward(ctx, x) })
}

// currentView returns a view whose configuration is current, and stores its version in x. The
// view is loaded after the check: one that was loaded before may be without the configuration
// that the check found to be current.
func (e *entry) currentView(x *exchange) (*view.View, error) {
	checked, now := e.ctrl.View(), e.clock.Now()
	x.configVersion, x.configAge = checked.ConfigVersion, checked.ConfigFreshness.Age(now)
	if checked.ConfigFreshness.Stale(now) {
		return nil, errStale
	}
	v := e.ctrl.View()
	x.configVersion = v.ConfigVersion
	return v, nil
}

// forward sends a request that fillRequest has completed to its owner within the
// request's timeout.
func (e *entry) forward(ctx context.Context, x *exchange) (*wire.Response, error) {
	if e.suspects.IsQuarantined(x.req.GetFingerprint()) {
		e.metrics.quarantined(x.req)
		return nil, outcome.New(outcome.Quarantined, "this request crashed backend servers")
	}
	ctx, cancel := context.WithDeadline(ctx, x.started.Add(time.Duration(x.req.GetTimeoutMs())*time.Millisecond))
	defer cancel()
	if err := e.acquireToken(ctx, x.req.GetTeam()); err != nil {
		return nil, err
	}
	resp, err := e.router.route(ctx, x)
	routing.ReportOutcome(e.suspects, x.req, x.target, resp, err)
	return resp, err
}

// acquireToken takes a token of the team's rate limit. It stops waiting with
// errStale when the configuration that admitted the request becomes stale.
func (e *entry) acquireToken(ctx context.Context, team string) error {
	ctx, stop := withFreshness(ctx, e.ctrl.View().ConfigFreshness, e.clock)
	defer stop()
	err := e.limits.Take(ctx, team)
	if err != nil && errors.Is(context.Cause(ctx), errStale) {
		return errStale
	}
	return err
}
