package rollout

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/protocol"
	"github.com/sesamemoor/sesamemoor/core/rollout"
)

const (
	// storeTimeout bounds one call of the store.
	storeTimeout = 2 * time.Second
	// storeBackoff is the time between two attempts at a store that fails; up to as much is
	// added at random.
	storeBackoff = 200 * time.Millisecond
)

// runWriter reads and writes the statuses, apart from the decisions, so that a slow store
// delays none of them.
func (c *coordinator) runWriter(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		for c.exchange(ctx) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(storeBackoff + time.Duration(rand.Int64N(int64(storeBackoff)))):
			}
		}
	}
}

// exchange reads the statuses if they are not known as of now, and writes what is pending.
// It reports whether it must be called again because the store failed, or refused to write twice.
func (c *coordinator) exchange(ctx context.Context) (again bool) {
	for conflicted := false; ; {
		c.mu.Lock()
		mustRead := c.inCharge && (c.recorded == nil || c.stale)
		status, ok := c.nextWrite()
		position := c.position
		c.mu.Unlock()
		switch {
		case mustRead:
			if !c.read(ctx) {
				return true
			}
		case !ok:
			return false
		default:
			err := c.write(ctx, status, position)
			if err != nil && (conflicted || !errors.Is(err, protocol.ErrConflict)) {
				return true
			}
			conflicted = err != nil
		}
	}
}

// nextWrite returns a status to be written. The caller holds mu.
func (c *coordinator) nextWrite() (protocol.RolloutStatus, bool) {
	if !c.inCharge || !c.leads(c.control.View(), c.clock.Now()) {
		return protocol.RolloutStatus{}, false
	}
	for _, ch := range c.rollouts {
		if len(ch.pending) > 0 {
			return ch.pending[0], true
		}
	}
	return protocol.RolloutStatus{}, false
}

func (c *coordinator) read(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	statuses, position, err := c.statuses.Read(ctx)
	if err != nil {
		c.log.Warn("statuses of roll-outs cannot be read", zap.Error(err))
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recorded, c.position, c.stale = statuses, position, false
	for service, ch := range c.rollouts {
		if status, ok := statuses[service]; ok {
			c.adopt(ch, status)
		}
	}
	return true
}

// adopt applies a status that was read: the end of the order in force, if the store has it,
// stands whatever was decided here; so does a later order that another daemon in charge has
// accepted; and what the store has need not be written. The caller holds mu.
func (c *coordinator) adopt(ch *coordinated, status protocol.RolloutStatus) {
	if status.Order >= ch.order.ID && status.Region != "" && status.Region != c.region {
		*ch = coordinated{reporters: ch.reporters, newest: max(ch.newest, status.Order)} // the daemon in charge is in another region
		return
	}
	if len(ch.pending) > 0 && ch.pending[0].Order == status.Order && ch.pending[0].State == status.State {
		ch.pending = ch.pending[1:] // written, only the answer was lost
	}
	newest := max(ch.newest, status.Order)
	if status.Problem != "" && status.Last != nil && status.Last.Order >= ch.order.ID {
		status = *status.Last
	}
	switch {
	case status.Problem != "" || status.Order < ch.order.ID:
	case status.Order > ch.order.ID:
		pending := ch.pending
		*ch = coordinated{reporters: ch.reporters, newest: newest, order: rollout.Order{
			Service: status.Service, To: status.To, Duration: status.Duration, ID: status.Order,
		}, from: status.From, state: status.State, started: status.Started, last: status.Last,
			shards: c.control.View().Config.Services[status.Service].Shards, changes: status.Changes + 1}
		if ch.state == rollout.Running {
			c.begin(ch, c.clock.Now(), c.timeLeft(status))
		}
		c.keepRefusals(ch, pending)
	case status.State != rollout.Running:
		if ch.state == rollout.Running {
			ch.state = status.State
			ch.decision = rollout.Decision{State: status.State}
			c.logStep(ch, "recorded by another daemon in charge, or by a write whose answer was lost")
		}
		c.keepRefusals(ch, ch.pending)
	}
}

// keepRefusals keeps the refusals of later orders of what is pending, with the outcome of the
// order in force as it was read. The caller holds mu.
func (c *coordinator) keepRefusals(ch *coordinated, pending []protocol.RolloutStatus) {
	ch.pending = nil
	for _, p := range pending {
		if p.Problem != "" && p.Order > ch.order.ID {
			p.Last = c.inForce(ch)
			ch.pending = append(ch.pending, p)
		}
	}
	if len(ch.pending) > 0 && ch.state == rollout.Running {
		ch.pending = append(ch.pending, c.statusOf(ch, rollout.Running))
	}
}

// write writes a status. The error is that of the store.
func (c *coordinator) write(ctx context.Context, status protocol.RolloutStatus, position uint64) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	next, err := c.statuses.Write(ctx, status, position)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.stale = true // it may have been written; the next write comes after a read
		if !errors.Is(err, protocol.ErrConflict) {
			c.log.Warn("status of a roll-out not written", zap.String("service", status.Service), zap.Error(err))
		}
		return err
	}
	c.position = next
	if c.recorded != nil {
		c.recorded[status.Service] = status
	}
	ch := c.rollouts[status.Service]
	if ch == nil || len(ch.pending) == 0 || ch.pending[0].Order != status.Order || ch.pending[0].State != status.State {
		return nil
	}
	ch.pending = ch.pending[1:]
	if status.Order == ch.order.ID && status.State != rollout.Running && status.Problem == "" {
		ch.state = status.State
		c.log.Info("roll-out recorded", zap.String("service", status.Service), zap.String("to", status.To),
			zap.Uint64("order", status.Order), zap.Stringer("state", status.State))
	}
	return nil
}
