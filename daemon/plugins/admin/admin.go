// Package admin serves the daemon's HTTP side for the backend server beside it,
// operators and monitoring.
package admin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"go.uber.org/fx"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

func init() {
	kernel.Register(kernel.Plugin{ID: "sesamemoor.admin", Module: module})
}

func module() fx.Option {
	return fx.Options(fx.Provide(newAdmin), fx.Invoke(start))
}

// announceTimeout is the time without announcements after which the backend
// server counts as gone.
const announceTimeout = 3 * time.Second

// Announcement is what a backend server posts to its daemon about once a
// second.
type Announcement struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Addr        string `json:"addr"`
	Slots       uint32 `json:"slots"`
	ChecksFence bool   `json:"checks_fence"`
	Cold        bool   `json:"cold"`
	Leaving     bool   `json:"leaving"`
}

type admin struct {
	control kernel.Control
	clock   clock.Clock
	set     settings.Daemon
	mu      sync.Mutex
	last    time.Time // of the newest announcement
}

func newAdmin(c kernel.Control, clk clock.Clock, set settings.Daemon) *admin {
	return &admin{control: c, clock: clk, set: set}
}

func start(lc fx.Lifecycle, a *admin, m *kernel.Metrics, group kernel.AdminRoutes) {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.POST("/v1/announce", a.announce)
	engine.GET("/v1/status", a.status)
	engine.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	engine.GET("/readyz", a.ready)
	engine.GET("/metrics", gin.WrapH(m.Handler()))
	for _, r := range group.Routes {
		engine.Handle(r.Method, r.Path, gin.WrapH(r.Handler))
	}
	srv := &http.Server{Handler: engine, ReadHeaderTimeout: 5 * time.Second}
	stop := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			listener, err := net.Listen("tcp", a.set.AdminAddr)
			if err != nil {
				return fmt.Errorf("admin: %w", err)
			}
			go func() { _ = srv.Serve(listener) }()
			go a.watch(stop)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			close(stop)
			return srv.Shutdown(ctx)
		},
	})
}

func (a *admin) announce(c *gin.Context) {
	var body Announcement
	if err := c.ShouldBindJSON(&body); err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"error": err.Error()})
		return
	}
	if body.Name == "" || body.Service == "" || body.Addr == "" || body.Slots == 0 {
		c.JSON(http.StatusBadRequest, gin.H{"error": "name, service, addr and slots are required"})
		return
	}
	if body.Leaving {
		a.control.Post(control.BackendDown{Reason: "backend server leaves"})
		c.Status(http.StatusNoContent)
		return
	}
	a.mu.Lock()
	a.last = time.Now()
	a.mu.Unlock()
	a.control.Post(control.BackendUp{
		Name: body.Name, Service: body.Service, Addr: body.Addr, Slots: body.Slots, ChecksFence: body.ChecksFence,
	})
	c.Status(http.StatusNoContent)
}

// watch reports the backend server as gone when its announcements stop.
func (a *admin) watch(stop <-chan struct{}) {
	ticker := time.NewTicker(announceTimeout / 6)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		a.mu.Lock()
		gone := !a.last.IsZero() && time.Since(a.last) > announceTimeout
		if gone {
			a.last = time.Time{}
		}
		a.mu.Unlock()
		if gone {
			a.control.Post(control.BackendDown{Reason: "backend server stopped announcing itself"})
		}
	}
}

// ready answers 200 while this daemon can route: it has read a configuration.
func (a *admin) ready(c *gin.Context) {
	v := a.control.View()
	if v.ConfigFresh == 0 {
		c.String(http.StatusServiceUnavailable, "configuration not read yet\n")
		return
	}
	c.String(http.StatusOK, "ready\n")
}

// Status is the answer to GET /v1/status.
type Status struct {
	Slot          string       `json:"slot"`
	DataCentre    string       `json:"data_centre"`
	Incarnation   uint64       `json:"incarnation"`
	LeaseHeld     bool         `json:"lease_held"`
	ConfigVersion uint64       `json:"config_version"`
	ConfigAgeMS   int64        `json:"config_age_ms"`
	BackendServer string       `json:"backend_server"`
	Leaving       bool         `json:"leaving"`
	Held          []HeldStatus `json:"held"`
}

// HeldStatus is one owned shard.
type HeldStatus struct {
	Service    string `json:"service"`
	Shard      uint32 `json:"shard"`
	Generation uint64 `json:"generation"`
}

func (a *admin) status(c *gin.Context) {
	v := a.control.View()
	now := a.clock.Now()
	st := Status{
		Slot:          a.set.Slot,
		DataCentre:    a.set.DataCentre,
		Incarnation:   v.Incarnation,
		LeaseHeld:     v.Lease.Valid(now),
		ConfigVersion: v.ConfigVersion,
		ConfigAgeMS:   now.Sub(v.ConfigFresh).Milliseconds(),
		Leaving:       v.Leaving,
		Held:          []HeldStatus{},
	}
	if v.Backend != nil {
		st.BackendServer = v.Backend.Name
	}
	for id, h := range v.Held {
		st.Held = append(st.Held, HeldStatus{Service: id.Service, Shard: id.Shard, Generation: h.Token})
	}
	c.JSON(http.StatusOK, st)
}
