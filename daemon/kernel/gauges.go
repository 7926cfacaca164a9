package kernel

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/metric"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/view"
)

// gauge is a metric whose value is read from the routing view.
type gauge struct {
	name, description string
	read              func(v *view.View, now clock.Instant) float64
}

var gauges = []gauge{
	{"sesamemoor_lease_held", "1 while this daemon holds its lease", func(v *view.View, now clock.Instant) float64 {
		if v.Lease.Valid(now) {
			return 1
		}
		return 0
	}},
	{"sesamemoor_shards_held", "shards that this daemon owns", func(v *view.View, _ clock.Instant) float64 {
		return float64(len(v.Held))
	}},
	{"sesamemoor_log_era", "era of the log, which rises when it comes back from a copy", func(v *view.View, _ clock.Instant) float64 {
		return float64(v.LogEra)
	}},
	{"sesamemoor_log_era_settled", "1 once shards may change hands in the era of the log", func(v *view.View, _ clock.Instant) float64 {
		if v.EraSettled {
			return 1
		}
		return 0
	}},
	{"sesamemoor_config_version", "version of the configuration in force here", func(v *view.View, _ clock.Instant) float64 {
		return float64(v.ConfigVersion)
	}},
	{"sesamemoor_config_age_seconds", "age of the knowledge that it is the newest", func(v *view.View, now clock.Instant) float64 {
		return now.Sub(v.ConfigFreshness.Known()).Seconds()
	}},
}

// registerGauges exports the gauges of the routing view.
func registerGauges(m *Metrics, c Control, clk clock.Clock) error {
	for _, g := range gauges {
		observe := func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(g.read(c.View(), clk.Now()))
			return nil
		}
		_, err := m.Float64ObservableGauge(g.name, metric.WithDescription(g.description), metric.WithFloat64Callback(observe))
		if err != nil {
			return fmt.Errorf("kernel: metric %s: %w", g.name, err)
		}
	}
	return nil
}
