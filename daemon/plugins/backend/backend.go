// Package backend runs requests on the backend server beside the daemon, where
// the server takes part in the holding of keys: it is granted ranges of numeric
// keys for a time that it measures itself, or it divides no keys at all.
package backend

import (
	"context"
	"sync"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/dialect"
	"github.com/sesamemoor/sesamemoor/core/hold"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

func init() {
	kernel.Register(kernel.Plugin{
		ID: "sesamemoor.backend", Interface: settings.InterfacePlatform, Module: module,
	})
}

func module() fx.Option {
	return fx.Options(
		fx.Provide(
			newExecutor,
			func(e *executor) kernel.Executor { return e },
			func(e *executor) kernel.BackendObserver { return e },
			func(e *executor) dialect.AnnouncementSink { return e },
			kernel.AsEffectHandler(func(e *executor) *executor { return e }),
			kernel.AsFrameHandler(func(e *executor) *executor { return e }),
		),
		fx.Invoke(startHolds, serveAnnouncements, registerMetrics),
	)
}

// executor is the backend server's side of the daemon.
//
// Invariants: a request of a shard is dispatched only while the view shows the
// shard as held, the lease is valid and the server holds the keys; after the
// shard was quiesced under a token, no request is dispatched under that token.
type executor struct {
	control  kernel.Control
	clock    clock.Clock
	log      *zap.Logger
	load     kernel.LoadMeter
	dialect  dialect.Backends
	bounds   settings.Bounds
	centre   string // data centre of this daemon
	client   *client
	turns    *turns
	counters counters
	holdLog  *holdLog

	kick chan struct{} // a grant may be due

	mu      sync.Mutex
	server  *server // nil before the first announcement
	holds   *hold.Table
	closed  map[view.ShardID]uint64 // newest token under which the shard was quiesced
	running map[view.ShardID]int    // dispatched and not ended
	outAt   clock.Instant           // since when the data centre is out of service; 0 if it is not
}

type executorParams struct {
	fx.In
	Control  kernel.Control
	Clock    clock.Clock
	Load     kernel.LoadMeter
	Dialect  dialect.Backends
	Suspects kernel.Suspects
	Settings settings.Daemon
	Log      *zap.Logger
}

func newExecutor(p executorParams) *executor {
	e := &executor{
		control: p.Control,
		clock:   p.Clock,
		log:     p.Log.Named("backend"),
		load:    p.Load,
		dialect: p.Dialect,
		bounds:  p.Settings.Bounds,
		centre:  p.Settings.DataCentre,
		turns:   newTurns(p.Clock),
		kick:    make(chan struct{}, 1),
		holds:   hold.New(time.Duration(p.Settings.Bounds.MaxHoldS * float64(time.Second))),
		closed:  map[view.ShardID]uint64{},
		running: map[view.ShardID]int{},
	}
	e.holdLog = newHoldLog(e.log)
	e.client = newClient(p.Clock, p.Dialect, p.Suspects)
	return e
}

// HandleEffect implements kernel.EffectHandler. Shards of the keeper service
// have no requests; their keeper answers Quiesce.
func (e *executor) HandleEffect(effect control.Effect) {
	switch ef := effect.(type) {
	case control.Quiesce:
		if ef.Shard.Service != view.KeeperService {
			e.quiesce(ef)
		}
	case control.TakeOver:
		if ef.Shard.Service != view.KeeperService {
			e.takeOver(ef)
		}
	case control.Publish:
		e.follow(ef.View)
	}
}

func (e *executor) takeOver(t control.TakeOver) {
	e.mu.Lock()
	e.holds.Acquire(t.Shard, t.Token, t.Handover)
	e.mu.Unlock()
	e.kickHolds()
}

// follow takes in a new view: shards that it does not show are forgotten, and
// their waiting requests refused.
func (e *executor) follow(v *view.View) {
	held := func(id view.ShardID) bool { _, ok := v.Held[id]; return ok }
	e.mu.Lock()
	e.holds.Keep(e.clock.Now(), held)
	e.followOrder(v)
	e.limitCold(v)
	e.mu.Unlock()
	e.turns.withdraw(func(id view.ShardID) bool { return id.Service != "" && !held(id) },
		outcome.New(outcome.NotOwner, "the shard is not held any more"))
}

// followOrder notes when this data centre was taken out of service, and takes the
// server for cold when it is returned, until it says otherwise. The caller holds
// the lock.
func (e *executor) followOrder(v *view.View) {
	out := v.Config.DataCentres[e.centre].Out
	now := e.clock.Now()
	switch {
	case out && e.outAt == 0:
		e.outAt = now
		e.log.Info("data centre out of service", zap.Uint64("config_version", v.ConfigVersion))
	case !out && e.outAt != 0:
		e.outAt = 0
		e.log.Info("data centre back in service", zap.Uint64("config_version", v.ConfigVersion))
		if e.server != nil {
			e.server.cold = max(e.server.cold, now.Add(coldStart(v, e.server.service)))
		}
	}
}

// coldStart returns the time for which a started server of a service stays cold.
func coldStart(v *view.View, service string) time.Duration {
	return time.Duration(v.Config.Services[service].ColdStartMS) * time.Millisecond
}

// limitCold limits what the server is sent while it is cold, by the configuration
// in force: one that announces itself before the configuration was read must not
// go without a limit. The caller holds the lock.
func (e *executor) limitCold(v *view.View) {
	if e.server == nil {
		return
	}
	perS := v.Config.Services[e.server.service].ColdPerS
	if perS > 0 {
		perS *= 1 + coldMargin*(e.bounds.ColdOverage-1)
		perS += coldMargin * e.bounds.ColdSlack
	}
	e.turns.setCold(e.server.cold, perS)
}

// coldMargin is the part of what is allowed beyond what a cold server bears that
// is used: requests sent evenly arrive in clusters.
const coldMargin = 0.4

// Running implements kernel.BackendObserver.
func (e *executor) Running() int { return int(e.turns.load().GetRunning()) }

// BackendReported implements kernel.BackendObserver. Announcements come by the
// dialect instead.
func (e *executor) BackendReported(kernel.BackendReport) {}

// Handles implements kernel.FrameHandler.
func (e *executor) Handles(frame *wire.Frame) bool { return frame.GetRequest() != nil }

// HandleFrame implements kernel.FrameHandler.
func (e *executor) HandleFrame(ctx context.Context, _ string, frame *wire.Frame) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Response{Response: e.Execute(ctx, frame.GetRequest())}}
}

var (
	_ kernel.Executor          = (*executor)(nil)
	_ kernel.EffectHandler     = (*executor)(nil)
	_ kernel.FrameHandler      = (*executor)(nil)
	_ kernel.BackendObserver   = (*executor)(nil)
	_ dialect.AnnouncementSink = (*executor)(nil)
)
