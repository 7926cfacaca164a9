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

// eventQueue is the number of events that wait for the control goroutine.
const eventQueue = 8192

// decisionLines is the number of decisions kept for operators' questions.
const decisionLines = 4096

// Controller runs the control state on one goroutine.
type Controller struct {
	clock    clock.Clock
	log      *zap.Logger
	state    *control.State
	events   chan control.Event
	handlers []EffectHandler
	view     atomic.Pointer[view.View]
	left     chan struct{}
	leftOnce bool
	stop     chan struct{}
	done     chan struct{}
}

// NewController returns the controller of a daemon with the given settings.
// It publishes a first view at once.
func NewController(set settings.Daemon, clk clock.Clock, log *zap.Logger) *Controller {
	c := &Controller{
		clock:  clk,
		log:    log.Named("control"),
		state:  control.New(options(set), clk.Now()),
		events: make(chan control.Event, eventQueue),
		left:   make(chan struct{}),
		stop:   make(chan struct{}),
		done:   make(chan struct{}),
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
			Term:  time.Duration(set.Lease.TermMS) * time.Millisecond,
			Renew: time.Duration(set.Lease.RenewMS) * time.Millisecond,
			Drift: float64(set.Lease.DriftPPM) / 1e6,
		},
		StaleConfig:     time.Duration(set.Limits.StaleConfigMS) * time.Millisecond,
		Settle:          time.Duration(set.Lease.SettleMS) * time.Millisecond,
		Witnesses:       set.Lease.Witnesses,
		SlotIsHost:      set.Interface == settings.InterfacePlatform,
		PublishedConfig: set.Interface == settings.InterfacePlatform,
		SnapshotRecords: snapshotRecords(set),
		Rand:            rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// snapshotRecords returns the number of records after which a snapshot is due:
// half of those that the log keeps of one author, so that a snapshot's tail is
// kept whoever wrote it; 0 for the default.
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

// Left is closed when the daemon holds nothing any more after a Shutdown.
func (c *Controller) Left() <-chan struct{} { return c.left }

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
		case control.Left:
			if !c.leftOnce {
				c.leftOnce = true
				close(c.left)
			}
		}
		for _, h := range c.handlers {
			h.HandleEffect(effect)
		}
	}
}

// startController starts the control goroutine after all plug-ins are built,
// and on stop hands over the daemon's shards first.
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

// Leave asks the control state to hand over all shards and waits until it did
// or the grace time passed.
func (c *Controller) Leave(grace time.Duration) {
	c.Post(control.Shutdown{})
	select {
	case <-c.left:
	case <-time.After(grace):
		c.log.Warn("shutdown grace passed before all shards were handed over", zap.Duration("grace", grace))
	}
}

// Core provides the kernel's own parts to fx.
func Core(set settings.Daemon, log *zap.Logger) fx.Option {
	ring := decisions.NewRing(decisionLines)
	log = ring.Attach(log)
	return fx.Options(
		fx.Supply(set, ring),
		fx.Provide(
			func() *zap.Logger { return log },
			func() clock.Clock { return clock.Boot{} },
			NewController,
			func(c *Controller) Control { return c },
			NewMetrics,
		),
	)
}

var _ Control = (*Controller)(nil)
