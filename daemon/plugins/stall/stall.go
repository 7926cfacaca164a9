// Package stall measures for how long this process was held up: it had no processor time, or
// was paused. What it was to do meanwhile happens late, and its log shows no other sign.
package stall

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

func init() {
	kernel.Register(kernel.Plugin{ID: "sesamemoor.stall", Module: module})
}

func module() fx.Option { return fx.Invoke(startMonitor) }

const (
	// interval is the time between two measurements.
	interval = 200 * time.Millisecond
	// logged is the shortest delay of a measurement that is logged.
	logged = 250 * time.Millisecond
)

// delayBounds are the bucket bounds of the delay histogram in seconds.
var delayBounds = []float64{.001, .005, .02, .05, .1, .25, .5, 1, 2, 5}

// monitor measures by how much its own timer is late.
type monitor struct {
	clock clock.Clock
	log   *zap.Logger
	delay metric.Float64Histogram
}

func startMonitor(lc fx.Lifecycle, m *kernel.Metrics, clk clock.Clock, log *zap.Logger) error {
	delay, err := m.Float64Histogram("sesamemoor_stall_seconds", metric.WithUnit("s"),
		metric.WithDescription("delay of a timer of this process: time for which it was held up"),
		metric.WithExplicitBucketBoundaries(delayBounds...))
	if err != nil {
		return err
	}
	kernel.Background(lc, (&monitor{clock: clk, log: log.Named("stall"), delay: delay}).run)
	return nil
}

func (m *monitor) run(ctx context.Context) {
	for {
		due := m.clock.Now().Add(interval)
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
			m.record(ctx, m.clock.Now().Sub(due))
		}
	}
}

func (m *monitor) record(ctx context.Context, late time.Duration) {
	m.delay.Record(ctx, late.Seconds())
	if late >= logged {
		m.log.Warn("process was held up", zap.Float64("ms", float64(late.Microseconds())/1000))
	}
}
