// Package balance measures the load of this daemon's shards and reports it to the
// region's planner, which moves shards away from overloaded and slow members. A single
// hot key is split off into its own shard.
package balance

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/loadstat"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

func init() {
	kernel.Register(kernel.Plugin{ID: "sesamemoor.balance", Module: module})
}

func module() fx.Option {
	return fx.Options(
		fx.Provide(
			newMeter,
			func(m *meter) kernel.LoadMeter { return m },
			newReporter,
			newReceiver,
			kernel.AsEffectHandler(func(r *receiver) *receiver { return r }),
			kernel.AsFrameHandler(func(r *receiver) *receiver { return r }),
		),
		fx.Invoke(startReporter),
	)
}

// Replacements for the measured service time if the policy uses the load that a backend
// server announces: microseconds per announced running request, and a sample count that
// the planner accepts as sufficient.
const (
	announcedRequestUS = 1000
	announcedSamples   = 10
)

// reportTimeout bounds one report including the planner's reply.
const reportTimeout = 1 * time.Second

// meter measures the load of the backend server's service.
type meter struct {
	control kernel.Control
	meter   *loadstat.Meter
	running atomic.Uint32 // as last announced by the backend server
}

func newMeter(c kernel.Control, clk clock.Clock) *meter {
	return &meter{control: c, meter: loadstat.NewMeter(clk.Now())}
}

// RecordArrival implements kernel.LoadMeter.
func (m *meter) RecordArrival(id view.ShardID, keyHash uint64) {
	if b := m.control.View().Backend; b != nil && b.Service == id.Service {
		m.meter.RecordArrival(id.Shard, keyHash)
	}
}

// RecordServiceTime implements kernel.LoadMeter.
func (m *meter) RecordServiceTime(serviceTime time.Duration) { m.meter.RecordServiceTime(serviceTime) }

// RecordRunning implements kernel.LoadMeter.
func (m *meter) RecordRunning(running uint32) { m.running.Store(running) }

// reporter sends this daemon's load reports. Its fields are used by one goroutine.
type reporter struct {
	control kernel.Control
	peers   kernel.Peers
	clock   clock.Clock
	log     *zap.Logger
	meter   *meter
	policy  settings.Policy

	planner    uint64 // incarnation that accepted the last report
	answer     *wire.LoadAnswer
	nextReport clock.Instant // time of the next report that is not urgent
}

func newReporter(c kernel.Control, p kernel.Peers, clk clock.Clock, m *meter, set settings.Daemon, log *zap.Logger) *reporter {
	return &reporter{control: c, peers: p, clock: clk, meter: m, policy: set.Policy, log: log.Named("balance")}
}

func startReporter(lc fx.Lifecycle, r *reporter) { kernel.Background(lc, r.run) }

// run ends a measurement window every loadstat.MinInterval, the first one after a random
// part of that time, so that the daemons' reports are spread out.
func (r *reporter) run(ctx context.Context) {
	wait := time.Duration(rand.Int64N(int64(loadstat.MinInterval)))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
			wait = loadstat.MinInterval
		}
		r.endWindow(ctx)
	}
}

// endWindow ends a measurement window. It sends a report if one is due or urgent. If
// the policy splits hot keys, it passes the window's load to the control state, once a
// planner has accepted a report.
func (r *reporter) endWindow(ctx context.Context) {
	v := r.control.View()
	report := r.meter.meter.Report(r.clock.Now(), v)
	if report == nil || v.Incarnation == 0 {
		return
	}
	r.applyPolicy(report)
	r.report(ctx, v, report)
	if r.answer != nil && r.policy.HotKeys == settings.HotKeysSplit {
		r.control.Post(control.OwnLoad{Report: report, Answer: r.answer})
	}
}

// applyPolicy removes or replaces the parts of the report that the policy does not use.
func (r *reporter) applyPolicy(report *wire.LoadReport) {
	switch r.policy.Stragglers {
	case settings.StragglersMeasured:
	case settings.StragglersReported:
		report.LatencyUs = announcedRequestUS * max(1, r.meter.running.Load())
		report.LatencySamples = announcedSamples
	default:
		report.LatencyUs = 0
		report.LatencySamples = 0
	}
	if r.policy.HotKeys != settings.HotKeysSplit {
		report.Shards = nil
		report.HotKeys = nil
	}
}

// report sends the report, if it is due or urgent, to the planners in order until one
// accepts it.
func (r *reporter) report(ctx context.Context, v *view.View, report *wire.LoadReport) {
	if len(v.Planners) > 0 && v.Planners[0].Incarnation != r.planner {
		r.answer = nil
	}
	if r.clock.Now() < r.nextReport && !loadstat.Urgent(report, r.answer) {
		return
	}
	for _, planner := range v.Planners {
		answer := r.send(ctx, planner, report)
		if !answer.GetAccepted() {
			continue
		}
		r.planner = planner.Incarnation
		r.answer = answer
		r.nextReport = r.clock.Now().Add(time.Duration(answer.GetNextMs()) * time.Millisecond)
		return
	}
}

func (r *reporter) send(ctx context.Context, planner *view.Member, report *wire.LoadReport) *wire.LoadAnswer {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	frame, err := r.peers.Call(ctx, planner.PeerAddr, &wire.Frame{Body: &wire.Frame_LoadReport{LoadReport: report}})
	if err != nil {
		r.log.Debug("load report failed", zap.Uint64("planner", planner.Incarnation), zap.Error(err))
		return nil
	}
	return frame.GetLoadAnswer()
}
