package keeper

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

// registerMetrics exports the counters of the keeper and the limiter.
func registerMetrics(m *kernel.Metrics, k *keeper, l *limiter) error {
	counter := func(name, description string) metric.Int64ObservableCounter {
		c, _ := m.Int64ObservableCounter(name, metric.WithDescription(description))
		return c
	}
	tokensGranted := counter("sesamemoor_keeper_tokens", "Tokens handed out by this daemon as keeper.")
	shortAnswers := counter("sesamemoor_keeper_short_answers", "Questions answered with fewer tokens than needed.")
	refusals := counter("sesamemoor_limiter_refusals", "Requests refused for want of a token, by outcome.")
	observe := func(_ context.Context, o metric.Observer) error {
		k.mu.Lock()
		o.ObserveInt64(tokensGranted, int64(k.tokensGranted))
		o.ObserveInt64(shortAnswers, int64(k.shortAnswers))
		k.mu.Unlock()
		l.mu.Lock()
		defer l.mu.Unlock()
		for kind, n := range l.refusals {
			o.ObserveInt64(refusals, int64(n), metric.WithAttributes(attribute.String("outcome", kind.String())))
		}
		return nil
	}
	if _, err := m.RegisterCallback(observe, tokensGranted, shortAnswers, refusals); err != nil {
		return fmt.Errorf("keeper: metrics: %w", err)
	}
	return nil
}
