// Package entry accepts callers' requests over HTTP, authenticates and limits
// them, and forwards each to the owner of its key.
//
// The caller key never leaves the entry daemon. A request is refused once the
// configuration that admitted its caller key is stale. A failed request is
// reported as not run only if no attempt can have run it.
package entry

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/callermemory"
	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/daemon/bodies"
	"github.com/sesamemoor/sesamemoor/daemon/edge"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
	"github.com/sesamemoor/sesamemoor/daemon/routing"
)

func init() {
	kernel.Register(kernel.Plugin{ID: "sesamemoor.entry", Interface: settings.InterfaceNative, Stage: kernel.StageEdge, Module: module})
}

func module() fx.Option {
	return fx.Options(
		fx.Provide(
			newInstruments,
			newRouter,
			routing.NewRepeats,
			newEntry,
		),
		fx.Invoke(useRollouts, start),
	)
}

// useRollouts makes the router count results for roll-outs, if the daemon has them.
func useRollouts(p struct {
	fx.In
	Router   *router
	Rollouts kernel.Rollouts `optional:"true"`
}) {
	p.Router.rollouts = p.Rollouts
}

// Headers of the protocol with callers.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderOutcome   = "X-Sesamemoor-Outcome"    // name of the outcome.Kind
	HeaderRan       = "X-Sesamemoor-Ran"        // not-run, ran or may-have-run
	HeaderTimeout   = "X-Sesamemoor-Timeout-Ms" // caller timeout, milliseconds
)

const (
	// readHeaderTimeout is the time within which a caller must send the header.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is the time after which idle connections are closed.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes limits the size of the request line and header.
	maxHeaderBytes = 64 << 10
)

// entry serves callers' requests.
type entry struct {
	router          *router
	suspects        kernel.Suspects
	auth            *authenticator
	limits          kernel.Limiter
	ctrl            kernel.Control
	clock           clock.Clock
	metrics         *instruments
	log             *zap.Logger
	inflightLimiter *inflightLimiter
	bodies          *bodies.Reader
}

type entryParams struct {
	fx.In
	Settings settings.Daemon
	Control  kernel.Control
	Clock    clock.Clock
	Limiter  kernel.Limiter
	Router   *router
	Suspects kernel.Suspects
	Metrics  *instruments
	Log      *zap.Logger
}

func newEntry(p entryParams) *entry {
	return &entry{
		router:          p.Router,
		suspects:        p.Suspects,
		auth:            &authenticator{secret: []byte(p.Settings.KeyHashSecret)},
		limits:          p.Limiter,
		ctrl:            p.Control,
		clock:           p.Clock,
		metrics:         p.Metrics,
		log:             p.Log.Named("entry"),
		inflightLimiter: newInflightLimiter(p.Settings.Limits.MaxInflight),
		bodies:          edge.NewBodies(p.Settings.Bounds.MemoryMB),
	}
}

// httpServer returns the HTTP server for callers. No gin route is registered, so
// every method and path reaches serve unchanged: gin neither cleans nor redirects
// a path.
func (e *entry) httpServer() *http.Server {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.RedirectTrailingSlash = false
	engine.RedirectFixedPath = false
	engine.HandleMethodNotAllowed = false
	engine.NoRoute(e.serve)
	return &http.Server{
		Handler:                      engine,
		ReadHeaderTimeout:            readHeaderTimeout,
		IdleTimeout:                  idleTimeout,
		MaxHeaderBytes:               maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
	}
}

func start(lc fx.Lifecycle, set settings.Daemon, memory *callermemory.Account, e *entry) {
	edge.ListenCallers(lc, e.httpServer(), "entry", set.EntryAddr, edge.CallersOf(set, memory, false), e.log)
}
