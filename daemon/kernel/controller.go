package kernel

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/lease"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/daemon/decisions"
)

// eventQueueLen is the capacity of the event queue; Post blocks while it is full.
const eventQueueLen = 8192

// decisionRingSize is the number of decision log lines kept for operators' queries.
const decisionRingSize = 4096

// Controller runs the control state on one goroutine and passes its effects to the
// effect handlers. It implements Control.
type Controller struct {
	clock          clock.Clock
	log            *zap.Logger
	state          *control.State
	events         chan control.Event
	handlers       []EffectHandler
	view           atomic.Pointer[view.View]
	departed       chan struct{}
	departedClosed bool
	stop           chan struct{}
	done           chan struct{}
}

// NewController returns the controller of a daemon with the given settings. It
// publishes a first view before it returns.
func NewController(set settings.Daemon, clk clock.Clock, log *zap.Logger) *Controller {
	c := &Controller{
		clock:    clk,
		log:      log.Named("control"),
		state:    control.New(options(set), clk.Now()),
		events:   make(chan control.Event, eventQueueLen),
		departed: make(chan struct{}),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
	}
	c.apply(c.state.Step(clk.Now(), control.Records{}))
	return c
}

func options(set settings.Daemon) control.Options {
	return control.Options{
		Slot:        set.Slot,
		DataCentre:  set.DataCentre,
		Region:      set.Region,
		PeerAddr:    cmp.Or(set.Advertise.PeerAddr, set.PeerAddr),
		WitnessAddr: cmp.Or(set.Advertise.WitnessAddr, set.WitnessAddr),
		EntryAddr:   cmp.Or(set.Advertise.EntryAddr, set.EntryAddr),
		Lease: lease.Params{
			Term:    time.Duration(set.Lease.TermMS) * time.Millisecond,
			MaxTerm: time.Duration(set.Lease.MaxTermMS) * time.Millisecond,
			Renew:   time.Duration(set.Lease.RenewMS) * time.Millisecond,
			Drift:   float64(set.Lease.DriftPPM) / 1e6,
		},
		Freshness: view.FreshnessLimits{
			Unconfirmed: time.Duration(set.Limits.StaleConfigMS) * time.Millisecond,
			Replaced:    time.Duration(set.Bounds.ConfigApplyS * float64(time.Second)),
		},
		JoinWait:        time.Duration(set.Lease.SettleMS) * time.Millisecond,
		Witnesses:       set.Lease.Witnesses,
		SlotIsHost:      set.Interface == settings.InterfacePlatform,
		PublishedConfig: set.Interface == settings.InterfacePlatform,
		Rollouts:        set.Bounds.ExposureShare > 0,
		SnapshotRecords: snapshotRecords(set),
		Rand:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// snapshotRecords returns the number of records between snapshots, or 0 for the
// default. On the platform interface it is half of the records that the log retains
// per author, so that the records after a snapshot are retained whoever wrote them.
func snapshotRecords(set settings.Daemon) int {
	if set.Interface != settings.InterfacePlatform {
		return 0
	}
	return int(set.Bounds.RecordRing / 2)
}

// Post implements Control.
func (c *Controller) Post(ev control.Event) {
	select {
	case c.events <- ev:
	case <-c.stop:
	}
}

// View implements Control.
func (c *Controller) View() *view.View { return c.view.Load() }

// Departed returns a channel that is closed when the daemon may stop after a Shutdown
// event: it holds no shards and is no member any more, and its leave record was read
// back from the log or the wait for it timed out.
func (c *Controller) Departed() <-chan struct{} { return c.departed }

func (c *Controller) run() {
	defer close(c.done)
	ticker := time.NewTicker(control.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case ev := <-c.events:
			c.apply(c.state.Step(c.clock.Now(), ev))
		case <-ticker.C:
			c.apply(c.state.Step(c.clock.Now(), control.Tick{}))
		case <-c.stop:
			return
		}
	}
}

func (c *Controller) apply(effects []control.Effect) {
	defer c.logDecisions(effects)
	for _, effect := range effects {
		switch e := effect.(type) {
		case control.Publish:
			c.view.Store(e.View)
		case control.ConfirmConfig:
			e.Apply()
		case control.Departed:
			if !c.departedClosed {
				c.departedClosed = true
				close(c.departed)
			}
		}
		for _, h := range c.handlers {
			h.HandleEffect(effect)
		}
	}
}

// startController registers the effect handlers and runs the control goroutine from
// start to stop. Stopping does not hand off shards; Leave does.
func startController(lc fx.Lifecycle, c *Controller, group EffectHandlers) {
	c.handlers = group.Handlers
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go c.run()
			return nil
		},
		OnStop: func(context.Context) error {
			close(c.stop)
			<-c.done
			return nil
		},
	})
}

// Leave asks the control state to hand off all shards and waits until it has done so
// or the grace time has passed.
func (c *Controller) Leave(grace time.Duration) {
	c.Post(control.Shutdown{})
	select {
	case <-c.departed:
	case <-time.After(grace):
		c.log.Warn("shutdown grace passed before all shards were handed over", zap.Duration("grace", grace))
	}
}

// Core provides the settings, the logger, the decision ring, the clock, the
// controller and the metrics to fx.
func Core(set settings.Daemon, log *zap.Logger) fx.Option {
	ring := decisions.NewRing(decisionRingSize)
	log = ring.Attach(log)
	return fx.Options(
		fx.Supply(set, ring),
		fx.Provide(
			func() *zap.Logger { return log },
			func() clock.Clock { return clock.Boot{} },
			NewController,
			func(c *Controller) Control { return c },
			NewMetrics,
			NewCallerMemory,
		),
	)
}

var _ Control = (*Controller)(nil)
