package rollout

import (
	"context"
	"errors"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/sesamemoor/sesamemoor/core/rollout"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

// registerMetrics exports the state, the share and the exposure of each roll-out at the
// daemon in charge.
func registerMetrics(m *kernel.Metrics, c *coordinator) error {
	state, err1 := m.Float64ObservableGauge("sesamemoor_rollout_state",
		metric.WithDescription("state of the newest roll-out by service, at the daemon in charge: 0 running, 1 completed, 2 rolled back"))
	share, err2 := m.Float64ObservableGauge("sesamemoor_rollout_share",
		metric.WithDescription("share of the requests that the new version gets, by service, at the daemon in charge"))
	exposure, err3 := m.Float64ObservableGauge("sesamemoor_rollout_exposure",
		metric.WithDescription("requests sent to the new version since this daemon is in charge, by service"))
	if err := errors.Join(err1, err2, err3); err != nil {
		return err
	}
	_, err := m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		c.mu.Lock()
		defer c.mu.Unlock()
		for service, ch := range c.rollouts {
			if ch.order.ID == 0 {
				continue
			}
			labels := metric.WithAttributes(attribute.String("service", service))
			o.ObserveFloat64(state, float64(ch.state), labels)
			o.ObserveFloat64(exposure, float64(ch.exposure), labels)
			if ch.state == rollout.Running {
				o.ObserveFloat64(share, ch.decision.Share, labels)
			}
		}
		return nil
	}, state, share, exposure)
	return err
}
