package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

// instruments are the metrics of callers' requests.
type instruments struct {
	requests    metric.Int64Counter
	latency     metric.Float64Histogram
	attempts    metric.Int64Counter
	retries     metric.Int64Counter
	quarantines metric.Int64Counter
	labels      sync.Map // label to []metric.AddOption
	services    sync.Map // service to []metric.RecordOption
}

// latencyBounds are the bucket bounds of the latency histogram in seconds.
var latencyBounds = []float64{.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5}

func newInstruments(m *kernel.Metrics) (*instruments, error) {
	i := new(instruments)
	var errs [5]error
	i.requests, errs[0] = m.Int64Counter("sesamemoor_requests",
		metric.WithDescription("answered requests by service and outcome kind"))
	i.latency, errs[1] = m.Float64Histogram("sesamemoor_request_seconds", metric.WithUnit("s"),
		metric.WithDescription("time from the request's header to its answer"),
		metric.WithExplicitBucketBoundaries(latencyBounds...))
	i.attempts, errs[2] = m.Int64Counter("sesamemoor_request_attempts",
		metric.WithDescription("tries of requests at owners"))
	i.retries, errs[3] = m.Int64Counter("sesamemoor_request_retries",
		metric.WithDescription("tries after the first"))
	i.quarantines, errs[4] = m.Int64Counter("sesamemoor_requests_quarantined",
		metric.WithDescription("requests refused because they crashed backend servers"))
	return i, errors.Join(errs[:]...)
}

func service(req *wire.Request) attribute.KeyValue {
	return attribute.String("service", req.GetService())
}

// label is the cache key of an attribute set.
type label struct {
	service string
	kind    outcome.Kind
}

// options returns the cached counter options with the attributes of l.
func (i *instruments) options(l label) []metric.AddOption {
	if cached, ok := i.labels.Load(l); ok {
		return cached.([]metric.AddOption)
	}
	set := attribute.NewSet(attribute.String("service", l.service), attribute.String("kind", l.kind.String()))
	created := []metric.AddOption{metric.WithAttributeSet(set)}
	i.labels.Store(l, created)
	return created
}

// recordOptions returns the cached histogram options with the attribute of a
// service.
func (i *instruments) recordOptions(service string) []metric.RecordOption {
	if cached, ok := i.services.Load(service); ok {
		return cached.([]metric.RecordOption)
	}
	created := []metric.RecordOption{metric.WithAttributeSet(attribute.NewSet(attribute.String("service", service)))}
	i.services.Store(service, created)
	return created
}

func (i *instruments) request(req *wire.Request, kind outcome.Kind, took time.Duration) {
	ctx := context.Background()
	options := i.options(label{req.GetService(), kind})
	i.requests.Add(ctx, 1, options...)
	i.attempts.Add(ctx, int64(req.GetAttempt()), options...)
	i.latency.Record(ctx, took.Seconds(), i.recordOptions(req.GetService())...)
}

func (i *instruments) retry(req *wire.Request) {
	i.retries.Add(context.Background(), 1, metric.WithAttributes(service(req)))
}

func (i *instruments) quarantined(req *wire.Request) {
	i.quarantines.Add(context.Background(), 1, metric.WithAttributes(service(req)))
}
