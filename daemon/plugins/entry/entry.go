// Package entry accepts callers' requests over HTTP, authenticates and limits
// them, and passes each to the owner of its key.
package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

func init() {
	kernel.Register(kernel.Plugin{ID: "sesamemoor.entry", Module: module})
}

func module() fx.Option {
	return fx.Options(fx.Provide(newEntry), fx.Invoke(start))
}

// Headers of the protocol with callers.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderOutcome   = "X-Sesamemoor-Outcome" // kind
	HeaderRan       = "X-Sesamemoor-Ran"     // not-run, ran or may-have-run
	HeaderTimeout   = "X-Sesamemoor-Timeout-Ms"
)

const readHeaderTimeout = 5 * time.Second

// entry is the callers' side of the daemon.
type entry struct {
	router *router
	auth   *authenticator
	limits kernel.Limiter
	ctrl   kernel.Control
	log    *zap.Logger
	slots  chan struct{} // requests accepted at once
}

func newEntry(set settings.Daemon, c kernel.Control, p kernel.Peers, x kernel.Executor, l kernel.Limiter, log *zap.Logger) *entry {
	return &entry{
		router: &router{control: c, peers: p, local: x},
		auth:   &authenticator{control: c, secret: []byte(set.KeyHashSecret)},
		limits: l,
		ctrl:   c,
		log:    log.Named("entry"),
		slots:  make(chan struct{}, set.Limits.MaxInflight),
	}
}

func start(lc fx.Lifecycle, set settings.Daemon, e *entry) {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.NoRoute(e.serve)
	srv := &http.Server{Handler: engine, ReadHeaderTimeout: readHeaderTimeout}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			listener, err := net.Listen("tcp", set.EntryAddr)
			if err != nil {
				return fmt.Errorf("entry: %w", err)
			}
			go func() { _ = srv.Serve(listener) }()
			return nil
		},
		OnStop: srv.Shutdown,
	})
}

func (e *entry) serve(c *gin.Context) {
	started := time.Now()
	req := &wire.Request{RequestId: c.GetHeader(HeaderRequestID), CallerId: true, Attempt: 1}
	if req.RequestId == "" {
		req.RequestId = uuid.NewString()
		req.CallerId = false
	}
	resp, err := e.process(c.Request, req)
	if err != nil {
		resp = refusal(err)
	}
	e.logRequest(req, resp, time.Since(started))
	writeAnswer(c.Writer, req, resp)
}

// process takes a request from the caller's bytes to the owner's answer.
func (e *entry) process(r *http.Request, req *wire.Request) (*wire.Response, error) {
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	default:
		return nil, outcome.New(outcome.Overloaded, "too many requests at this daemon")
	}
	v := e.ctrl.View()
	if v.Fresh.Stale(clock.Boot{}.Now()) {
		return nil, outcome.New(outcome.ConfigStale, "configuration not confirmed for too long")
	}
	caller, err := e.auth.authenticate(v, r)
	if err != nil {
		return nil, err
	}
	req.Team = caller.Team
	if err := e.address(v, r, req); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(req.TimeoutMs)*time.Millisecond)
	defer cancel()
	if err := e.limits.Take(ctx, req.Team); err != nil {
		return nil, err
	}
	return e.router.route(ctx, req)
}

// readBody reads the whole body within the service's limit.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, outcome.New(outcome.BodyTooLarge, "body of %d bytes exceeds %d", r.ContentLength, limit)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, outcome.New(outcome.BadRequest, "body: %v", err)
	}
	if int64(len(body)) > limit {
		return nil, outcome.New(outcome.BodyTooLarge, "body exceeds %d bytes", limit)
	}
	return body, nil
}

func refusal(err error) *wire.Response {
	kind := outcome.Of(err)
	detail := ""
	var e *outcome.Err
	if errors.As(err, &e) {
		detail = e.Detail
	}
	return &wire.Response{Kind: uint32(kind), Status: uint32(kind.Answer().Status), Detail: detail}
}

func (e *entry) logRequest(req *wire.Request, resp *wire.Response, took time.Duration) {
	kind := outcome.Kind(resp.GetKind())
	fields := []zap.Field{
		zap.String("request_id", req.GetRequestId()),
		zap.String("team", req.GetTeam()),
		zap.String("service", req.GetService()),
		zap.Uint32("shard", req.GetShard()),
		zap.Uint64("generation", resp.GetGeneration()),
		zap.Stringer("outcome", kind),
		zap.Stringer("ran", kind.Answer().Ran),
		zap.Uint32("attempts", req.GetAttempt()),
		zap.Float64("ms", float64(took.Microseconds())/1000),
	}
	if detail := resp.GetDetail(); detail != "" {
		fields = append(fields, zap.String("reason", detail))
	}
	switch kind.Answer().Level {
	case outcome.Error:
		e.log.Error("request", fields...)
	case outcome.Warn:
		e.log.Warn("request", fields...)
	default:
		e.log.Info("request", fields...)
	}
}

// writeAnswer sends the owner's answer, or the refusal of its kind, whole.
func writeAnswer(w http.ResponseWriter, req *wire.Request, resp *wire.Response) {
	kind := outcome.Kind(resp.GetKind())
	h := w.Header()
	for _, field := range resp.GetHeaders() {
		if !hopHeaders[field.GetName()] {
			h.Add(field.GetName(), field.GetValue())
		}
	}
	h.Set(HeaderRequestID, req.GetRequestId())
	h.Set(HeaderOutcome, kind.String())
	h.Set(HeaderRan, kind.Answer().Ran.String())
	if kind == outcome.OK {
		h.Set("Content-Length", strconv.Itoa(len(resp.GetBody())))
		w.WriteHeader(int(resp.GetStatus()))
		_, _ = w.Write(resp.GetBody())
		return
	}
	if kind.Answer().RetrySafe {
		h.Set("Retry-After", "1")
	}
	h.Set("Content-Type", "application/json")
	w.WriteHeader(kind.Answer().Status)
	_, _ = fmt.Fprintf(w, "{\"outcome\":%q,\"ran\":%q,\"detail\":%q,\"request_id\":%q}\n",
		kind, kind.Answer().Ran, resp.GetDetail(), req.GetRequestId())
}
