package operator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/rollout"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// ErrRolloutRunning wraps ErrRejected. It reports an order for a service whose roll-out has
// not ended.
var ErrRolloutRunning = fmt.Errorf("%w: another order for the service is running", ErrRejected)

// VersionRollout is the newest order of a roll-out of a service, with its state.
type VersionRollout struct {
	Service   string  `json:"service"`
	To        string  `json:"to"`
	Order     uint64  `json:"order"`
	DurationS float64 `json:"duration_s"`
	State     string  `json:"state"` // ordered, running, completed or rolled_back
	Problem   string  `json:"problem,omitempty"`
}

// OrderRollout orders that a service be rolled out to a version within a time.
func (c *Config) OrderRollout(ctx context.Context, service, to string, within time.Duration) error {
	list, err := c.Rollouts(ctx)
	if err != nil {
		return err
	}
	for _, r := range list {
		if r.Service == service && (r.State == stateOrdered || r.State == rollout.Running.String()) {
			return ErrRolloutRunning
		}
	}
	return c.order(ctx, &wire.RolloutOrder{Service: service, To: to, DurationS: within.Seconds()})
}

// EndRollout withdraws the order for a service. A roll-out that runs is rolled back.
func (c *Config) EndRollout(ctx context.Context, service string) error {
	return c.order(ctx, &wire.RolloutOrder{Service: service, Withdrawn: true})
}

// order appends an order that replay accepts.
func (c *Config) order(ctx context.Context, o *wire.RolloutOrder) error {
	history, _, err := c.Replay(ctx)
	if err != nil {
		return err
	}
	if _, known := history.Config.Services[o.GetService()]; !known && !o.GetWithdrawn() {
		return fmt.Errorf("%w: no service %q", ErrRejected, o.GetService())
	}
	id := uuid.New()
	data, err := proto.Marshal(&wire.Record{
		Id: id[:], Version: fleet.RecordVersion, AuthorTimeMs: time.Now().UnixMilli(),
		Body: &wire.Record_RolloutOrder{RolloutOrder: o},
	})
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	if _, verdict := history.Apply(history.Next, data); !verdict.Accepted {
		return fmt.Errorf("%w: %s", ErrRejected, verdict.Reason)
	}
	if problem := history.Rollouts[o.GetService()].Problem; problem != "" {
		return fmt.Errorf("%w: %s", ErrRejected, problem)
	}
	_, err = c.commit(ctx, id, data)
	if errors.Is(err, ErrConflict) {
		return fmt.Errorf("%w: %w", ErrRejected, err)
	}
	return err
}

// stateOrdered is the state of an order that no daemon in charge has taken up.
const stateOrdered = "ordered"

// Rollouts returns the newest roll-out of each service, in ascending order of service.
func (c *Config) Rollouts(ctx context.Context) ([]VersionRollout, error) {
	history, _, err := c.Replay(ctx)
	if err != nil {
		return nil, err
	}
	var list []VersionRollout
	for service, s := range history.RolloutStatuses {
		list = append(list, VersionRollout{
			Service: service, To: s.GetTo(), Order: s.GetOrder(), DurationS: s.GetDurationS(),
			State: rollout.State(s.GetState()).String(), Problem: s.GetProblem(),
		})
	}
	for service, o := range history.Rollouts {
		if o.ID > history.RolloutStatuses[service].GetOrder() {
			list = slices.DeleteFunc(list, func(r VersionRollout) bool { return r.Service == service })
			list = append(list, VersionRollout{Service: service, To: o.To, Order: o.ID, DurationS: o.Duration.Seconds(), State: stateOrdered})
		}
	}
	slices.SortFunc(list, func(a, b VersionRollout) int { return cmp.Compare(a.Service, b.Service) })
	return list, nil
}
