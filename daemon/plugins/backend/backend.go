// Package backend runs requests on the backend server beside the daemon. It
// tracks the server's announcements, queues requests for its slots, and grants it
// ranges of numeric keys for a hold time that the server measures on its own clock.
// A service without keys needs no grants.
package backend

import (
	"context"
	"sync"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/hold"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/protocol"
	"github.com/sesamemoor/sesamemoor/core/retry"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
	"github.com/sesamemoor/sesamemoor/daemon/pacing"
	"github.com/sesamemoor/sesamemoor/daemon/routing"
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
			retry.NewRuns,
			newCalls,
			func(e *executor) kernel.Executor { return e },
			func(e *executor) kernel.BackendObserver { return e },
			func(e *executor) protocol.AnnouncementSink { return e },
			kernel.AsEffectHandler(func(e *executor) *executor { return e }),
			kernel.AsFrameHandler(func(e *executor) *executor { return e }),
		),
		fx.Invoke(startGrants, serveAnnouncements, registerMetrics, routing.RegisterCallMetrics),
	)
}

// newCalls returns the decision about requests with nested calls, or nil, which admits all, unless
// the instance has a narrow link: nested calls fail for want of capacity there first.
func newCalls(clk clock.Clock, pacer *pacing.Pacer) *routing.Calls {
	if !pacer.Limited() {
		return nil
	}
	return routing.NewCalls(clk)
}

// executor runs requests on the backend server and manages its grants.
//
// Invariants: a request of a shard is dispatched only while the shard is held in
// the view, the lease is valid and the server holds the keys; after a shard was
// quiesced under a token, no request is dispatched under that token.
type executor struct {
	control    kernel.Control
	clock      clock.Clock
	log        *zap.Logger
	load       kernel.LoadMeter
	protocol   protocol.Backends
	bounds     settings.Bounds
	dataCentre string // of this daemon
	client     *client
	admission  *admission
	counters   counters
	holdLog    *holdLog
	runs       *retry.Runs
	calls      *routing.Calls
	pacer      *pacing.Pacer // of the network link; nil if there is none

	grantWake chan struct{} // capacity 1; wakes sendDueGrants

	mu             sync.Mutex
	server         *server // nil before the first announcement
	holds          *hold.Table
	quiescedTokens map[view.ShardID]uint64 // newest token under which each shard was quiesced
	running        map[view.ShardID]int    // dispatched requests that have not ended
	remainders     map[view.ShardID][]remainder
	outSince       clock.Instant // when the data centre went out of service; 0 if it is in service
}

type executorParams struct {
	fx.In
	Control  kernel.Control
	Clock    clock.Clock
	Load     kernel.LoadMeter
	Protocol protocol.Backends
	Suspects kernel.Suspects
	Settings settings.Daemon
	Runs     *retry.Runs
	Calls    *routing.Calls
	Pacer    *pacing.Pacer `optional:"true"`
	Log      *zap.Logger
}

func newExecutor(p executorParams) *executor {
	e := &executor{
		control:        p.Control,
		clock:          p.Clock,
		log:            p.Log.Named("backend"),
		load:           p.Load,
		protocol:       p.Protocol,
		bounds:         p.Settings.Bounds,
		dataCentre:     p.Settings.DataCentre,
		admission:      newAdmission(p.Clock),
		grantWake:      make(chan struct{}, 1),
		runs:           p.Runs,
		calls:          p.Calls,
		pacer:          p.Pacer,
		holds:          hold.New(time.Duration(p.Settings.Bounds.MaxHoldS * float64(time.Second))),
		quiescedTokens: map[view.ShardID]uint64{},
		running:        map[view.ShardID]int{},
		remainders:     map[view.ShardID][]remainder{},
	}
	if e.pacer.Limited() {
		e.admission.queue.SetLink(e.pacer)
		e.admission.queue.SpreadReturns()
		e.admission.pacer = e.pacer
	}
	e.holdLog = newHoldLog(e.log)
	e.client = newClient(p.Clock, p.Protocol, p.Suspects)
	return e
}

// HandleEffect implements kernel.EffectHandler. It ignores shards of the keeper
// service: they have no requests, and their keeper reports Quiesced.
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
		e.applyView(ef.View)
	}
}

func (e *executor) takeOver(t control.TakeOver) {
	e.mu.Lock()
	e.holds.Acquire(t.Shard, t.Token, t.Handover)
	e.mu.Unlock()
	e.wakeGrants()
}

// applyView applies a new view. It ends the grants of shards that are no longer
// held and refuses their waiting requests.
func (e *executor) applyView(v *view.View) {
	held := func(id view.ShardID) bool { _, ok := v.Held[id]; return ok }
	e.mu.Lock()
	e.holds.Retain(e.clock.Now(), held)
	e.applyDataCentreOrder(v)
	e.setColdLimit(v)
	e.mu.Unlock()
	e.admission.refuseWaiting(func(id view.ShardID) bool { return id.Service != "" && !held(id) },
		outcome.New(outcome.NotOwner, "this daemon no longer holds the shard"))
}

// applyDataCentreOrder records when this data centre goes out of service. When it
// is back in service, the server counts as cold until its next announcement. The
// caller holds the lock.
func (e *executor) applyDataCentreOrder(v *view.View) {
	out := v.Config.DataCentres[e.dataCentre].Out
	now := e.clock.Now()
	switch {
	case out && e.outSince == 0:
		e.outSince = now
		e.log.Info("data centre out of service", zap.Uint64("config_version", v.ConfigVersion))
	case !out && e.outSince != 0:
		e.outSince = 0
		e.log.Info("data centre back in service", zap.Uint64("config_version", v.ConfigVersion))
		if e.server != nil {
			e.server.coldUntil = max(e.server.coldUntil, now.Add(coldStart(v, e.server.service)))
		}
	}
}

// coldStart returns the time for which a server of the service is cold after its
// start.
func coldStart(v *view.View, service string) time.Duration {
	return time.Duration(v.Config.Services[service].ColdStartMS) * time.Millisecond
}

// setColdLimit sets the limit on requests to a cold server from the current
// configuration. It runs for each view as well, since a server that announces itself
// before the configuration is read must not stay without a limit. The caller holds
// the lock.
func (e *executor) setColdLimit(v *view.View) {
	if e.server == nil {
		return
	}
	perS := v.Config.Services[e.server.service].ColdPerS
	if perS > 0 {
		perS *= 1 + coldOverageShare*(e.bounds.ColdOverage-1)
		perS += coldOverageShare * e.bounds.ColdSlack
	}
	e.admission.setCold(e.server.coldUntil, perS)
}

// coldOverageShare is the fraction of the allowed overage of a cold server that is
// used. The rest absorbs bursts: requests sent at a steady rate arrive in clusters.
const coldOverageShare = 0.4

// Running implements kernel.BackendObserver.
func (e *executor) Running() int { return int(e.admission.load().GetRunning()) }

// BackendReported implements kernel.BackendObserver. It does nothing: announcements
// arrive through protocol.AnnouncementSink.
func (e *executor) BackendReported(kernel.BackendReport) {}

// Handles implements kernel.FrameHandler.
func (e *executor) Handles(frame *wire.Frame) bool { return frame.GetRequest() != nil }

// HandleFrame implements kernel.FrameHandler.
func (e *executor) HandleFrame(ctx context.Context, _ string, frame *wire.Frame) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Response{Response: e.serve(ctx, frame.GetRequest(), true)}}
}

var (
	_ kernel.Executor           = (*executor)(nil)
	_ kernel.EffectHandler      = (*executor)(nil)
	_ kernel.FrameHandler       = (*executor)(nil)
	_ kernel.BackendObserver    = (*executor)(nil)
	_ protocol.AnnouncementSink = (*executor)(nil)
)
