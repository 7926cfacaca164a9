package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/answer"
	"github.com/sesamemoor/sesamemoor/daemon/routing"
)

// exchange is one request of a caller on its way through this daemon.
type exchange struct {
	req    *wire.Request
	key    string       // the caller key; never leaves this daemon
	target *view.Member // the daemon tried last, or nil
	read   bool         // the whole body was read
}

func (e *entry) serve(c *gin.Context) {
	started := time.Now()
	x := &exchange{req: &wire.Request{RequestId: uuid.NewString()}}
	resp, err := e.process(c.Writer, c.Request, x)
	if err != nil {
		resp = answer.Refusal(err)
		adviseRetry(c.Writer.Header(), err)
	}
	took := time.Since(started)
	e.logRequest(x, resp, took)
	e.metrics.request(x.req, outcome.Kind(resp.GetKind()), took)
	// Without close, net/http would wait for the rest of an unread body before
	// it sends the answer.
	unread := c.Request.ContentLength != 0 && !x.read
	if unread || e.ctrl.View().Leaving {
		c.Header("Connection", "close")
	}
	writeAnswer(c.Writer, c.Request, x.req, resp)
}

// process takes a request from the caller's bytes to the owner's answer.
func (e *entry) process(w http.ResponseWriter, r *http.Request, x *exchange) (*wire.Response, error) {
	if err := x.takeID(r.Header); err != nil {
		return nil, err
	}
	v := e.ctrl.View()
	if v.Fresh.Stale(e.clock.Now()) {
		return nil, errStale
	}
	team, err := e.auth.authenticate(v, r.Header, x)
	if err != nil {
		return nil, err
	}
	x.req.Team = team
	if err := e.gate.enter(team); err != nil {
		return nil, err
	}
	defer e.gate.leave(team)
	if err := e.address(v, w, r, x); err != nil {
		return nil, err
	}
	return e.run(r.Context(), x)
}

// run passes an addressed request on within its timeout.
func (e *entry) run(ctx context.Context, x *exchange) (*wire.Response, error) {
	if e.suspects.Refuses(x.req.GetFingerprint()) {
		e.metrics.quarantined(x.req)
		return nil, outcome.New(outcome.Quarantined, "this request crashed backend servers")
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(x.req.GetTimeoutMs())*time.Millisecond)
	defer cancel()
	if err := e.takeToken(ctx, x.req.GetTeam()); err != nil {
		return nil, err
	}
	resp, err := e.router.route(ctx, x)
	routing.Observe(e.suspects, x.req, x.target, resp, err)
	return resp, err
}

// takeToken waits for a token of the team's rate for as long as the configuration
// that admitted the request is not stale.
func (e *entry) takeToken(ctx context.Context, team string) error {
	ctx, stop := whileFresh(ctx, e.ctrl.View().Fresh, e.clock)
	defer stop()
	err := e.limits.Take(ctx, team)
	if err != nil && errors.Is(context.Cause(ctx), errStale) {
		return errStale
	}
	return err
}
