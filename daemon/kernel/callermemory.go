package kernel

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/sesamemoor/sesamemoor/core/callermemory"
	"github.com/sesamemoor/sesamemoor/core/settings"
)

// NewCallerMemory returns the account of what this daemon holds on behalf of callers, and
// exports it.
func NewCallerMemory(set settings.Daemon, m *Metrics) (*callermemory.Account, error) {
	a := callermemory.New(set.CallerMemory())
	part := func(name string) metric.MeasurementOption {
		return metric.WithAttributeSet(attribute.NewSet(attribute.String("part", name)))
	}
	entry, others := part("entry"), part("other_daemons")
	var errs [4]error
	_, errs[0] = m.Int64ObservableGauge("sesamemoor_caller_memory_bytes",
		metric.WithDescription("memory held on behalf of callers"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			held := a.Entry()
			o.Observe(held, entry)
			o.Observe(max(0, a.Total()-held), others)
			return nil
		}))
	_, errs[1] = m.Int64ObservableCounter("sesamemoor_caller_memory_refusals",
		metric.WithDescription("requests refused because a bound had no room for them or their answers"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for by := callermemory.ByConnection; by < callermemory.Refusals; by++ {
				o.Observe(a.Refused(by), metric.WithAttributes(attribute.String("bound", by.String())))
			}
			return nil
		}))
	_, errs[2] = m.Int64ObservableGauge("sesamemoor_caller_connections",
		metric.WithDescription("open connections of callers"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(a.Connections())
			return nil
		}))
	refused, closed := metric.WithAttributes(attribute.String("cause", "no_place")), metric.WithAttributes(attribute.String("cause", "needed_by_others"))
	_, errs[3] = m.Int64ObservableCounter("sesamemoor_caller_connections_ended",
		metric.WithDescription("connections of callers that were refused, or closed for what others need"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(a.RefusedConnections(), refused)
			o.Observe(a.ClosedConnections(), closed)
			return nil
		}))
	return a, errors.Join(errs[:]...)
}
