package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

// latencyBounds are the bucket bounds of the latency histogram in seconds.
var latencyBounds = []float64{.005, .01, .02, .05, .1, .2, .3, .5, 1, 2, 5}

// instruments are the metrics of callers' requests.
type instruments struct {
	requests metric.Int64Counter
	latency  metric.Float64Histogram
	labels   sync.Map // label to metric.MeasurementOption
}

// label identifies a cached set of attributes.
type label struct {
	service string
	kind    outcome.Kind
}

func newInstruments(m *kernel.Metrics) (*instruments, error) {
	i := new(instruments)
	var errs [2]error
	i.requests, errs[0] = m.Int64Counter("sesamemoor_requests",
		metric.WithDescription("answered requests by service and outcome kind"))
	i.latency, errs[1] = m.Float64Histogram("sesamemoor_request_seconds", metric.WithUnit("s"),
		metric.WithDescription("time from the request's header to its answer"),
		metric.WithExplicitBucketBoundaries(latencyBounds...))
	return i, errors.Join(errs[:]...)
}

func (i *instruments) record(service string, kind outcome.Kind, took time.Duration) {
	option := i.option(label{service, kind})
	i.requests.Add(context.Background(), 1, option)
	i.latency.Record(context.Background(), took.Seconds(), option)
}

// option returns the attributes of l from the cache.
func (i *instruments) option(l label) metric.MeasurementOption {
	if cached, ok := i.labels.Load(l); ok {
		return cached.(metric.MeasurementOption)
	}
	set := attribute.NewSet(attribute.String("service", l.service), attribute.String("kind", l.kind.String()))
	created := metric.WithAttributeSet(set)
	i.labels.Store(l, created)
	return created
}
