package backend

import (
	"context"
	"sync/atomic"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

// maxKind is the exclusive upper bound of the outcome kinds that are counted.
const maxKind = 64

// counters counts runs by outcome kind, repeats that were sent to the server, grants
// that were not sent in time, and ranges of keys that did not fit into a reply.
type counters struct {
	repeats      atomic.Int64
	byKind       [maxKind]atomic.Int64
	unsentGrants atomic.Int64
	unfitGrants  atomic.Int64
}

func (c *counters) record(k outcome.Kind) {
	if k < maxKind {
		c.byKind[k].Add(1)
	}
}

func registerMetrics(m *kernel.Metrics, e *executor) error {
	runs, err := m.Int64ObservableCounter("sesamemoor_backend_runs",
		metric.WithDescription("requests that came to this daemon's backend server by outcome kind"))
	if err != nil {
		return err
	}
	repeats, err := m.Int64ObservableCounter("sesamemoor_backend_repeats",
		metric.WithDescription("requests sent to this daemon's backend server that may have arrived at one before, and calls of such runs"))
	if err != nil {
		return err
	}
	queue, err := m.Int64ObservableGauge("sesamemoor_backend_requests",
		metric.WithDescription("requests at the backend server by state, and its slots"))
	if err != nil {
		return err
	}
	unsent, err := m.Int64ObservableCounter("sesamemoor_backend_unsent_grants",
		metric.WithDescription("grants that were not sent because this process was late"))
	if err != nil {
		return err
	}
	unfit, err := m.Int64ObservableCounter("sesamemoor_backend_unfit_grants",
		metric.WithDescription("ranges of keys that did not fit into the reply to an announcement of the backend server"))
	if err != nil {
		return err
	}
	limit, err := m.Float64ObservableGauge("sesamemoor_backend_limit_per_second",
		metric.WithDescription("requests per second that the backend server takes by its own word; 0 if it names no limit"))
	if err != nil {
		return err
	}
	_, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, k := range outcome.Kinds() {
			if n := e.counters.byKind[k].Load(); n > 0 {
				o.ObserveInt64(runs, n, metric.WithAttributes(attribute.String("kind", k.String())))
			}
		}
		o.ObserveInt64(repeats, e.counters.repeats.Load())
		o.ObserveInt64(unsent, e.counters.unsentGrants.Load())
		o.ObserveInt64(unfit, e.counters.unfitGrants.Load())
		o.ObserveFloat64(limit, e.admission.limitPerS())
		load := e.admission.load()
		o.ObserveInt64(queue, int64(load.GetSlots()), metric.WithAttributes(attribute.String("state", "slots")))
		o.ObserveInt64(queue, int64(load.GetRunning()), metric.WithAttributes(attribute.String("state", "running")))
		o.ObserveInt64(queue, int64(load.GetWaiting()), metric.WithAttributes(attribute.String("state", "waiting")))
		return nil
	}, runs, repeats, queue, unsent, unfit, limit)
	return err
}
