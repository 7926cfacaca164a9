// Package gateway takes callers' requests by host and path prefix, checks and
// limits them, and passes each to the owner of its key or, for a service without
// keys, to the backend server that is expected to answer first.
package gateway

import (
	"net/http"
	"sync"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/dialect"
	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/keyhash"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/daemon/edge"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

func init() {
	kernel.Register(kernel.Plugin{
		ID: "sesamemoor.gateway", Stage: kernel.StageEdge, Interface: settings.InterfacePlatform, Module: module,
	})
}

func module() fx.Option {
	return fx.Options(
		fx.Provide(newGateway, newSender, newInstruments),
		fx.Invoke(serveCallers, serveProbes),
	)
}

const (
	// readHeaderTimeout bounds how slowly a caller may send the header before a
	// configuration says so.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout ends connections without requests. It is longer than what
	// operators let callers rely on, since their limit may rise at any time.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the request line and header.
	maxHeaderBytes = 64 << 10
	// maxCachedKeys bounds the caller keys whose hash is kept.
	maxCachedKeys = 4096
)

// gateway is the callers' side of the daemon.
type gateway struct {
	control  kernel.Control
	clock    clock.Clock
	dialect  dialect.Callers
	limits   kernel.Limiter
	suspects kernel.Suspects
	sender   *sender
	metrics  *instruments
	log      *zap.Logger
	service  string // of the backend server beside this daemon
	secret   []byte
	shares   *shares

	keeperless *keeperless
	returning  *returning

	mu     sync.Mutex
	hashes map[string]string // of caller keys
}

type gatewayParams struct {
	fx.In
	Settings settings.Daemon
	Control  kernel.Control
	Clock    clock.Clock
	Dialect  dialect.Callers
	Limiter  kernel.Limiter
	Suspects kernel.Suspects
	Sender   *sender
	Metrics  *instruments
	Log      *zap.Logger
}

func newGateway(p gatewayParams) *gateway {
	return &gateway{
		control: p.Control, clock: p.Clock, dialect: p.Dialect, limits: p.Limiter, suspects: p.Suspects,
		sender: p.Sender, metrics: p.Metrics, log: p.Log.Named("gateway"),
		service: p.Settings.BackendService, secret: []byte(p.Settings.KeyHashSecret),
		shares: newShares(), keeperless: newKeeperless(), returning: newReturning(), hashes: map[string]string{},
	}
}

// serveCallers listens for callers. On stop no connection is taken any more, and
// those with a request are waited for.
func serveCallers(lc fx.Lifecycle, set settings.Daemon, g *gateway) {
	srv := &http.Server{
		Handler:                      g,
		ReadHeaderTimeout:            readHeaderTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
	}
	edge.Listen(lc, srv, "gateway: callers", set.EntryAddr)
}

// serveProbes answers the platform's questions whether this daemon is ready.
func serveProbes(lc fx.Lifecycle, set settings.Daemon, d dialect.Probes, g *gateway) {
	srv := &http.Server{Handler: d.Handler(g.ready), ReadHeaderTimeout: readHeaderTimeout}
	edge.Listen(lc, srv, "gateway: probes", set.ReadyAddr)
}

// ready reports whether callers should use this daemon: it knows a configuration
// and does not leave.
func (g *gateway) ready() bool {
	v := g.control.View()
	return v.ConfigVersion > 0 && !v.Leaving
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

// shares divides the requests of weighted routes.
type shares struct {
	mu   sync.Mutex
	owed map[string][]float64 // by route: how far each target is behind its share
}

func newShares() *shares { return &shares{owed: map[string][]float64{}} }

// pick returns the service of a route that is furthest behind its share.
func (s *shares) pick(r *fleet.HostRoute) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	owed := s.owed[r.Name]
	if len(owed) != len(r.Targets) {
		owed = make([]float64, len(r.Targets))
		s.owed[r.Name] = owed
	}
	total := 0.0
	best := 0
	for i, t := range r.Targets {
		owed[i] += t.Weight
		total += t.Weight
		if owed[i] > owed[best] {
			best = i
		}
	}
	owed[best] -= total
	return r.Targets[best].Service
}

// team returns the team of a caller key; false if no team has the key.
func (g *gateway) team(v *view.View, key string) (string, bool) {
	caller, ok := v.Callers[g.hash(key)]
	return caller.Team, ok
}
