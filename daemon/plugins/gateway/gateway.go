// Package gateway serves callers. It matches requests to routes by host and path
// prefix, authenticates and rate-limits them, and forwards each to the owner of
// its key or, for a service without keys, to the backend server with the lowest
// expected response time.
//
// Invariants: a request that is not idempotent is never sent again once it may
// have run, and a caller gets status 503 only if its request did not run and never
// will.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/callermemory"
	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/keyhash"
	"github.com/sesamemoor/sesamemoor/core/protocol"
	"github.com/sesamemoor/sesamemoor/core/retry"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/daemon/bodies"
	"github.com/sesamemoor/sesamemoor/daemon/edge"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
	"github.com/sesamemoor/sesamemoor/daemon/pacing"
	"github.com/sesamemoor/sesamemoor/daemon/routing"
)

func init() {
	kernel.Register(kernel.Plugin{
		ID: "sesamemoor.gateway", Stage: kernel.StageEdge, Interface: settings.InterfacePlatform, Module: module,
	})
}

func module() fx.Option {
	return fx.Options(
		fx.Provide(newGateway, newSender, newInstruments, routing.NewRepeats),
		fx.Invoke(useRollouts, serveCallers, answerBeforeEnd, serveProbes),
	)
}

const (
	// readHeaderTimeout bounds the time to receive a request's header.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout bounds the time between requests on a connection. It is longer
	// than the idle timeout that operators promise to callers, since they may raise
	// that at any time.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the size of the request line and header.
	maxHeaderBytes = 64 << 10
	// maxCachedKeys bounds the number of caller keys with a cached hash; a full
	// cache is cleared.
	maxCachedKeys = 4096
	// maxSkippedPicks bounds the random number of picks by which daemons differ in the
	// cycle of a weighted route. If all began at its start, a route with few requests at
	// each of many daemons would not keep its weights.
	maxSkippedPicks = 1000
)

// gateway is the HTTP handler for callers.
type gateway struct {
	bodies             *bodies.Reader
	control            kernel.Control
	clock              clock.Clock
	protocol           protocol.Callers
	limiter            kernel.Limiter
	suspects           kernel.Suspects
	sender             *sender
	runs               *retry.Runs // of the backend server beside this daemon
	calls              *routing.Calls
	ranksNested        bool          // nested calls have the urgency of their parents
	pacer              *pacing.Pacer // of the network link; nil if there is none
	transferReturns    *transferReturns
	metrics            *instruments
	log                *zap.Logger
	stopTime           time.Duration   // from the start of a shutdown until the process stops; 0 means no limit
	ending             context.Context // ends at the end of a stop
	cancelAll          context.CancelFunc
	service            string // service of the backend server beside this daemon
	secret             []byte
	weightedRoundRobin *weightedRoundRobin

	localShares       *localShares
	timeoutEstimators *timeoutEstimators

	mu     sync.Mutex
	hashes map[string]string // keyed hash by caller key
}

type gatewayParams struct {
	fx.In
	Settings settings.Daemon
	Control  kernel.Control
	Clock    clock.Clock
	Protocol protocol.Callers
	Limiter  kernel.Limiter
	Suspects kernel.Suspects
	Sender   *sender
	Runs     *retry.Runs
	Calls    *routing.Calls
	Pacer    *pacing.Pacer `optional:"true"`
	Metrics  *instruments
	Log      *zap.Logger
}

func newGateway(p gatewayParams) *gateway {
	ending, cancelAll := context.WithCancel(context.Background())
	return &gateway{
		ending: ending, cancelAll: cancelAll,
		control: p.Control, clock: p.Clock, protocol: p.Protocol, limiter: p.Limiter, suspects: p.Suspects,
		bodies: edge.NewBodies(p.Settings.Bounds.MemoryMB), sender: p.Sender, runs: p.Runs, calls: p.Calls, ranksNested: p.Pacer.Limited(), pacer: p.Pacer, transferReturns: new(transferReturns), metrics: p.Metrics, log: p.Log.Named("gateway"),
		stopTime: p.Settings.Bounds.StopTime(), service: p.Settings.BackendService, secret: []byte(p.Settings.KeyHashSecret),
		weightedRoundRobin: newWeightedRoundRobin(), localShares: newLocalShares(), timeoutEstimators: newTimeoutEstimators(), hashes: map[string]string{},
	}
}

// useRollouts makes the sender follow the roll-outs of services, if the daemon has them.
func useRollouts(p struct {
	fx.In
	Sender   *sender
	Rollouts kernel.Rollouts `optional:"true"`
}) {
	p.Sender.rollouts = p.Rollouts
}

// serveCallers starts the server for callers. On stop it accepts no more
// connections and waits for requests in flight.
func serveCallers(lc fx.Lifecycle, set settings.Daemon, memory *callermemory.Account, g *gateway) {
	srv := &http.Server{
		Handler:                      g,
		ReadHeaderTimeout:            readHeaderTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
	}
	callers := edge.CallersOf(set, memory, true)
	callers.Wrap = g.pacer.Caller
	edge.ListenCallers(lc, srv, "gateway: callers", set.EntryAddr, callers, g.log)
}

// serveProbes starts the server for the platform's readiness probes.
func serveProbes(lc fx.Lifecycle, set settings.Daemon, d protocol.Probes, g *gateway) {
	srv := &http.Server{Handler: d.Handler(g.ready), ReadHeaderTimeout: readHeaderTimeout}
	edge.Listen(lc, srv, "gateway: probes", set.ReadyAddr, g.log)
}

// lastAnswerTime is the time before the end of a stop at which the requests that are still
// in progress are cancelled, so that they are answered before the process ends.
const lastAnswerTime = 100 * time.Millisecond

// answerBeforeEnd cancels the requests that are in progress near the end of a stop. It is
// called after serveCallers, so that its hook comes first.
func answerBeforeEnd(lc fx.Lifecycle, g *gateway) {
	lc.Append(fx.Hook{OnStop: func(ctx context.Context) error {
		if end, ok := ctx.Deadline(); ok {
			time.AfterFunc(time.Until(end)-lastAnswerTime, g.cancelAll)
		}
		return nil
	}})
}

// ready reports whether callers should use this daemon: its configuration may be used and
// it is not leaving.
func (g *gateway) ready() bool {
	v := g.control.View()
	return configUsable(v, g.clock.Now()) && !v.Leaving
}

// configUsable reports whether requests may be handled by the configuration of a view. That
// of a daemon that starts and catches up is one of the past.
func configUsable(v *view.View, now clock.Instant) bool {
	return v.ConfigVersion > 0 && v.Hosts != nil && !v.ConfigFreshness.Stale(now)
}

// hash returns the keyed hash of a caller key.
func (g *gateway) hash(key string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if h, ok := g.hashes[key]; ok {
		return h
	}
	if len(g.hashes) >= maxCachedKeys {
		clear(g.hashes)
	}
	h := keyhash.Sum(g.secret, key)
	g.hashes[key] = h
	return h
}

// weightedRoundRobin distributes the requests of weighted routes over their
// services by smooth weighted round-robin. It is safe for concurrent use.
type weightedRoundRobin struct {
	mu      sync.Mutex
	credits map[string][]float64 // by route: weight that each target has accumulated and not yet used
}

func newWeightedRoundRobin() *weightedRoundRobin {
	return &weightedRoundRobin{credits: map[string][]float64{}}
}

// pick returns the service of the route's target with the most credit.
func (w *weightedRoundRobin) pick(r *fleet.HostRoute) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	credits := w.credits[r.Name]
	if len(credits) != len(r.Targets) {
		credits = make([]float64, len(r.Targets))
		w.credits[r.Name] = credits
		for range rand.IntN(maxSkippedPicks) {
			pickTarget(r, credits)
		}
	}
	return r.Targets[pickTarget(r, credits)].Service
}

// pickTarget returns the index of the route's target with the most credit, and updates
// the credits.
func pickTarget(r *fleet.HostRoute, credits []float64) int {
	total := 0.0
	best := 0
	for i, t := range r.Targets {
		credits[i] += t.Weight
		total += t.Weight
		if credits[i] > credits[best] {
			best = i
		}
	}
	credits[best] -= total
	return best
}

// team returns the team of a caller key, or false if the key is unknown.
func (g *gateway) team(v *view.View, key string) (string, bool) {
	caller, ok := v.Callers[g.hash(key)]
	return caller.Team, ok
}
