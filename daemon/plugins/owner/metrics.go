package owner

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/metric"

	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

// registerMetrics registers the metrics of admission and of the request-id table.
func registerMetrics(m *kernel.Metrics, e *executor) error {
	gauge := func(name, description string) metric.Int64ObservableGauge {
		g, _ := m.Int64ObservableGauge(name, metric.WithDescription(description))
		return g
	}
	slots := gauge("sesamemoor_backend_slots", "Slots of the backend server.")
	limit := gauge("sesamemoor_backend_limit", "Requests that may run at once.")
	running := gauge("sesamemoor_backend_running", "Requests that run.")
	waiting := gauge("sesamemoor_backend_queue", "Requests that wait for a slot.")
	cold := gauge("sesamemoor_backend_cold", "1 while the backend server is taken to be cold.")
	rows := gauge("sesamemoor_request_ids", "Rows of the request-id table.")
	sheds, _ := m.Int64ObservableCounter("sesamemoor_backend_sheds",
		metric.WithDescription("Requests refused by the backend server for overload."))
	perS, _ := m.Float64ObservableGauge("sesamemoor_backend_limit_per_second",
		metric.WithDescription("Requests per second that the backend server takes by its own word; 0 if it names no limit."))
	observe := func(_ context.Context, o metric.Observer) error {
		f := e.admission.stats()
		o.ObserveInt64(slots, f.slots)
		o.ObserveInt64(limit, f.limit)
		o.ObserveInt64(running, f.running)
		o.ObserveInt64(waiting, f.waiting)
		o.ObserveInt64(cold, f.cold)
		o.ObserveInt64(rows, int64(e.ids.len()))
		o.ObserveInt64(sheds, int64(f.sheds))
		o.ObserveFloat64(perS, e.admission.limitPerS())
		return nil
	}
	if _, err := m.RegisterCallback(observe, slots, limit, running, waiting, cold, rows, sheds, perS); err != nil {
		return fmt.Errorf("owner: metrics: %w", err)
	}
	return nil
}
