// Package admin serves the daemon's HTTP API for its backend server, for operators and
// for monitoring.
package admin

import (
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/adminapi"
	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/daemon/edge"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

func init() {
	kernel.Register(kernel.Plugin{ID: "sesamemoor.admin", Module: module})
}

func module() fx.Option {
	return fx.Options(fx.Provide(newAdmin), fx.Invoke(start))
}

type admin struct {
	control          kernel.Control
	observer         kernel.BackendObserver
	clock            clock.Clock
	set              settings.Daemon
	log              *zap.Logger
	mu               sync.Mutex
	lastAnnouncement time.Time // zero if there is no recent one
}

func newAdmin(c kernel.Control, o kernel.BackendObserver, clk clock.Clock, set settings.Daemon, log *zap.Logger) *admin {
	return &admin{control: c, observer: o, clock: clk, set: set, log: log.Named("admin")}
}

func start(lc fx.Lifecycle, a *admin, m *kernel.Metrics, group kernel.AdminRoutes) {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	native := a.set.Interface == settings.InterfaceNative
	if native {
		engine.POST("/v1/announce", a.announce)
	}
	engine.GET("/v1/status", a.status)
	engine.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	engine.GET("/readyz", a.ready)
	engine.GET("/metrics", gin.WrapH(m.Handler()))
	for _, r := range group.Routes {
		engine.Handle(r.Method, r.Path, gin.WrapH(r.Handler))
	}
	a.listen(lc, a.set.AdminAddr, engine)
	if a.set.MetricsAddr != "" {
		a.listen(lc, a.set.MetricsAddr, m.Handler())
	}
	if native {
		stop := make(chan struct{})
		lc.Append(fx.StartStopHook(func() { go a.watchAnnouncements(stop) }, func() { close(stop) }))
	}
}

// readHeaderTimeout bounds the time to read a request header. All clients are on the
// deployment's own network.
const readHeaderTimeout = 5 * time.Second

func (a *admin) listen(lc fx.Lifecycle, addr string, handler http.Handler) {
	edge.Listen(lc, &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}, "admin", addr, a.log)
}

// watchAnnouncements reports the backend server as down if no announcement has arrived
// for announceTimeout.
func (a *admin) watchAnnouncements(stop <-chan struct{}) {
	ticker := time.NewTicker(announceCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		a.mu.Lock()
		expired := !a.lastAnnouncement.IsZero() && time.Since(a.lastAnnouncement) > announceTimeout
		if expired {
			a.lastAnnouncement = time.Time{}
		}
		a.mu.Unlock()
		if expired {
			a.control.Post(control.BackendDown{Reason: "backend server stopped announcing itself"})
		}
	}
}

// ready responds with status 200 while the daemon can serve callers: it is not leaving,
// and its configuration has been read and is not stale. Otherwise it responds with 503.
func (a *admin) ready(c *gin.Context) {
	v := a.control.View()
	switch {
	case v.Leaving:
		c.String(http.StatusServiceUnavailable, "leaving\n")
	case v.ConfigFreshness.Known() == 0:
		c.String(http.StatusServiceUnavailable, "configuration not read yet\n")
	case v.ConfigFreshness.Stale(a.clock.Now()):
		c.String(http.StatusServiceUnavailable, "configuration not confirmed for too long\n")
	default:
		c.String(http.StatusOK, "ready\n")
	}
}

func (a *admin) status(c *gin.Context) {
	v := a.control.View()
	now := a.clock.Now()
	st := adminapi.Status{
		Slot:          a.set.Slot,
		DataCentre:    a.set.DataCentre,
		Incarnation:   v.Incarnation,
		LeaseHeld:     v.Lease.Valid(now),
		ConfigVersion: v.ConfigVersion,
		ConfigAgeMS:   now.Sub(v.ConfigFreshness.Known()).Milliseconds(),
		ConfigStale:   v.ConfigFreshness.Stale(now),
		NewerRecords:  v.NewerRecords,
		Leaving:       v.Leaving,
		Held:          []adminapi.HeldShard{},
	}
	if v.Backend != nil {
		st.BackendServer = v.Backend.Name
	}
	for id, h := range v.Held {
		st.Held = append(st.Held, adminapi.HeldShard{Service: id.Service, Shard: id.Shard, Generation: h.Token})
	}
	c.JSON(http.StatusOK, st)
}
