// Package entry accepts callers' requests over HTTP, authenticates and limits
// them, and passes each to the owner of its key.
package entry

import (
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/daemon/edge"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

func init() {
	kernel.Register(kernel.Plugin{ID: "sesamemoor.entry", Interface: settings.InterfaceNative, Stage: kernel.StageEdge, Module: module})
}

func module() fx.Option {
	return fx.Options(
		fx.Provide(
			newInstruments,
			newRouter,
			newEntry,
		),
		fx.Invoke(start),
	)
}

// Headers of the protocol with callers.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderOutcome   = "X-Sesamemoor-Outcome" // kind
	HeaderRan       = "X-Sesamemoor-Ran"     // not-run, ran or may-have-run
	HeaderTimeout   = "X-Sesamemoor-Timeout-Ms"
)

const (
	// readHeaderTimeout bounds how slowly a caller may send the header.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout ends connections without requests.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the request line and header.
	maxHeaderBytes = 64 << 10
)

// entry is the callers' side of the daemon.
type entry struct {
	router   *router
	suspects kernel.Suspects
	auth     *authenticator
	limits   kernel.Limiter
	ctrl     kernel.Control
	clock    clock.Clock
	metrics  *instruments
	log      *zap.Logger
	gate     *gate
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
		router:   p.Router,
		suspects: p.Suspects,
		auth:     &authenticator{secret: []byte(p.Settings.KeyHashSecret)},
		limits:   p.Limiter,
		ctrl:     p.Control,
		clock:    p.Clock,
		metrics:  p.Metrics,
		log:      p.Log.Named("entry"),
		gate:     newGate(p.Settings.Limits.MaxInflight),
	}
}

// httpServer returns the server for callers. All methods and paths reach the
// entry as they were sent: no route is registered, so gin neither cleans nor
// redirects a path.
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

func start(lc fx.Lifecycle, set settings.Daemon, e *entry) {
	edge.Listen(lc, e.httpServer(), "entry", set.EntryAddr)
}
