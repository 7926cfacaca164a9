// Package owner runs requests on the backend server beside the daemon, for the
// shards that the daemon owns.
package owner

import (
	"context"
	"sync"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

func init() {
	kernel.Register(kernel.Plugin{ID: "sesamemoor.owner", Module: module})
}

func module() fx.Option {
	return fx.Options(
		fx.Provide(
			newExecutor,
			func(e *executor) kernel.Executor { return e },
			kernel.AsEffectHandler(func(e *executor) *executor { return e }),
			kernel.AsFrameHandler(func(e *executor) *executor { return e }),
		),
	)
}

// dispatchMargin is the part of the lease left unused by the deadline of a
// request to the backend server.
const dispatchMargin = 20 * time.Millisecond

// executor is the traffic side of ownership.
type executor struct {
	control kernel.Control
	clock   clock.Clock
	log     *zap.Logger
	backend *backend

	mu       sync.Mutex
	running  map[view.ShardID]int
	draining map[view.ShardID]control.Quiesce
}

func newExecutor(c kernel.Control, clk clock.Clock, set settings.Daemon, log *zap.Logger) *executor {
	return &executor{
		control:  c,
		clock:    clk,
		log:      log.Named("owner"),
		backend:  newBackend(c, set.Limits.BackendConns),
		running:  map[view.ShardID]int{},
		draining: map[view.ShardID]control.Quiesce{},
	}
}

// HandleEffect implements kernel.EffectHandler.
func (e *executor) HandleEffect(effect control.Effect) {
	switch ef := effect.(type) {
	case control.Quiesce:
		go e.quiesce(ef)
	case control.TakeOver:
		go e.backend.grant(ef.Shard, ef.Token)
	}
}

func (e *executor) quiesce(q control.Quiesce) {
	e.mu.Lock()
	idle := e.running[q.Shard] == 0
	if !idle {
		e.draining[q.Shard] = q
	}
	e.mu.Unlock()
	if idle {
		e.control.Post(control.Quiesced{Shard: q.Shard, Token: q.Token})
	}
}

// enter counts a request of the shard as running if the view holds it.
func (e *executor) enter(id view.ShardID) (view.Held, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.control.View()
	held, ok := v.Held[id]
	if !ok {
		return view.Held{}, outcome.New(outcome.NotOwner, "shard %s/%d", id.Service, id.Shard)
	}
	if !v.Lease.Valid(e.clock.Now()) {
		return view.Held{}, outcome.New(outcome.LeaseLost, "shard %s/%d", id.Service, id.Shard)
	}
	e.running[id]++
	return held, nil
}

func (e *executor) exit(id view.ShardID) {
	e.mu.Lock()
	e.running[id]--
	q, draining := e.draining[id]
	idle := e.running[id] == 0
	if idle {
		delete(e.running, id)
		delete(e.draining, id)
	}
	e.mu.Unlock()
	if idle && draining {
		e.control.Post(control.Quiesced{Shard: q.Shard, Token: q.Token})
	}
}

// Execute implements kernel.Executor.
func (e *executor) Execute(ctx context.Context, req *wire.Request) *wire.Response {
	id := view.ShardID{Service: req.GetService(), Shard: req.GetShard()}
	held, err := e.enter(id)
	if err != nil {
		return refusal(err)
	}
	defer e.exit(id)
	lease := e.control.View().Lease
	timeout := min(
		time.Duration(req.GetTimeoutMs())*time.Millisecond,
		lease.Deadline().Sub(e.clock.Now())-dispatchMargin,
	)
	if timeout <= 0 {
		return refusal(outcome.New(outcome.LeaseLost, "too little of the lease is left"))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp := e.backend.run(ctx, req, held.Token, timeout)
	e.log.Info("run",
		zap.String("request_id", req.GetRequestId()),
		zap.String("team", req.GetTeam()),
		zap.String("service", req.GetService()),
		zap.Uint32("shard", req.GetShard()),
		zap.Uint64("generation", held.Token),
		zap.Stringer("outcome", outcome.Kind(resp.GetKind())),
		zap.Uint32("us", resp.GetServiceTimeUs()),
	)
	return resp
}

// Handles implements kernel.FrameHandler.
func (e *executor) Handles(frame *wire.Frame) bool { return frame.GetRequest() != nil }

// HandleFrame implements kernel.FrameHandler.
func (e *executor) HandleFrame(ctx context.Context, _ string, frame *wire.Frame) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Response{Response: e.Execute(ctx, frame.GetRequest())}}
}

// refusal turns an error into a response.
func refusal(err error) *wire.Response {
	kind := outcome.Of(err)
	return &wire.Response{Kind: uint32(kind), Status: uint32(kind.Answer().Status), Detail: err.Error()}
}

var (
	_ kernel.Executor      = (*executor)(nil)
	_ kernel.EffectHandler = (*executor)(nil)
	_ kernel.FrameHandler  = (*executor)(nil)
)
