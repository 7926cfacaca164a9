package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/rollout"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// maxRollouts bounds the number of services with an order.
const maxRollouts = 1 << 16

// maxRolloutS bounds the duration of a roll-out, in seconds.
const maxRolloutS = 30 * 24 * 3600

// RolloutOrder asks that the traffic of a service be moved to the servers of a version.
type RolloutOrder struct {
	Service  string
	To       string        // version
	Duration time.Duration // within which the roll-out ends
	// ID identifies the order: the offset of its record in the configuration stream,
	// without the era, so that the same record is the same order after the log was restored.
	ID uint64
	// Problem is why the order is invalid whatever the state of its service; empty if it
	// is not.
	Problem string
}

// applyRollout applies an order of a roll-out, or its withdrawal.
func (h *History) applyRollout(offset uint64, o *wire.RolloutOrder) Verdict {
	if o.GetService() == "" {
		return rejected("order of a roll-out names no service")
	}
	known, ok := h.Rollouts[o.GetService()]
	switch order := rolloutOrder(offset, o); {
	case ok && order.ID <= known.ID && logstream.EraOf(offset) <= logstream.FirstEra:
		return rejected("order of a roll-out of %s is not newer than that at %d", o.GetService(), known.ID)
	case o.GetWithdrawn() && !ok:
		return rejected("no order of a roll-out of %s to withdraw", o.GetService())
	case !ok && len(h.Rollouts) >= maxRollouts:
		return rejected("more than %d orders of roll-outs", maxRollouts)
	case o.GetWithdrawn():
		h.Rollouts = maps.Clone(h.Rollouts)
		delete(h.Rollouts, o.GetService())
	default:
		h.Rollouts = maps.Clone(h.Rollouts)
		if h.Rollouts == nil {
			h.Rollouts = map[string]RolloutOrder{}
		}
		h.Rollouts[o.GetService()] = order
	}
	return Verdict{Accepted: true, Version: h.Version}
}

// setRollouts sets the orders from a summary of the stream. Unless it is complete, orders
// that it does not have stay.
func (h *History) setRollouts(list []*wire.RolloutOrder, complete bool) {
	orders := map[string]RolloutOrder{}
	if !complete {
		maps.Copy(orders, h.Rollouts)
	}
	for _, o := range list {
		if o.GetService() != "" && len(orders) < maxRollouts {
			orders[o.GetService()] = rolloutOrder(0, o)
		}
	}
	h.Rollouts = orders
	if len(orders) == 0 {
		h.Rollouts = nil
	}
}

func rolloutOrder(offset uint64, o *wire.RolloutOrder) RolloutOrder {
	out := RolloutOrder{
		Service: o.GetService(), To: o.GetTo(), Problem: o.GetProblem(),
		ID: logstream.OffsetOf(cmp.Or(o.GetPosition(), offset)),
	}
	switch seconds := o.GetDurationS(); {
	case out.Problem != "":
	case out.To == "":
		out.Problem = "the order names no version"
	case math.IsNaN(seconds) || seconds <= 0 || seconds > maxRolloutS:
		out.Problem = "the duration is not a positive number of at most 30 days"
	default:
		out.Duration = time.Duration(seconds * float64(time.Second))
	}
	return out
}

// encodeRollouts returns the orders in ascending order of service.
func (h *History) encodeRollouts() []*wire.RolloutOrder {
	var list []*wire.RolloutOrder
	for _, name := range slices.Sorted(maps.Keys(h.Rollouts)) {
		o := h.Rollouts[name]
		list = append(list, &wire.RolloutOrder{
			Service: o.Service, To: o.To, DurationS: o.Duration.Seconds(), Position: o.ID, Problem: o.Problem,
		})
	}
	return list
}

// applyRolloutStatus applies a status of a roll-out. The first end of an order counts.
func (h *History) applyRolloutStatus(s *wire.RolloutStatus) Verdict {
	known := h.RolloutStatuses[s.GetService()]
	if s.GetService() == "" || known == nil && len(h.RolloutStatuses) >= maxRollouts {
		return rejected("status of a roll-out names no service, or there are too many")
	}
	end := known
	if known.GetProblem() != "" {
		end = known.GetLast()
	}
	if rollout.State(end.GetState()) != rollout.Running && s.GetOrder() <= end.GetOrder() {
		return rejected("the roll-out of %s by the order at %d has ended", s.GetService(), end.GetOrder())
	}
	h.setStatus(s)
	return Verdict{Accepted: true, Version: h.Version}
}

func (h *History) setStatus(s *wire.RolloutStatus) {
	h.RolloutStatuses = maps.Clone(h.RolloutStatuses)
	if h.RolloutStatuses == nil {
		h.RolloutStatuses = map[string]*wire.RolloutStatus{}
	}
	h.RolloutStatuses[s.GetService()] = s
}

// encodeStatuses returns the statuses in ascending order of service.
func (h *History) encodeStatuses() []*wire.RolloutStatus {
	var list []*wire.RolloutStatus
	for _, name := range slices.Sorted(maps.Keys(h.RolloutStatuses)) {
		list = append(list, h.RolloutStatuses[name])
	}
	return list
}
