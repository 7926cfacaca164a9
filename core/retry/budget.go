package retry

import (
	"sync"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

const (
	// defaultRatio is the number of retries that each request adds to the budget.
	defaultRatio = 0.06
	// defaultFloor is the number of retries per second that the budget gains
	// regardless of requests.
	defaultFloor = 0.5
	// defaultReserve is the maximum number of retries in the budget.
	defaultReserve = 30.0
)

// Budget is a token bucket that bounds the retries of one service at one daemon to a
// share of its requests. It is safe for concurrent use. The zero value is not
// usable.
type Budget struct {
	mu     sync.Mutex
	limits Limits
	tokens float64
	at     clock.Instant
}

// Limits configures a Budget.
type Limits struct {
	Ratio   float64 // retries added by each request
	Floor   float64 // retries added per second regardless of requests
	Reserve float64 // maximum number of retries in the budget
}

// Shares of a fleet's budget for requests of callers and for nested calls. A
// repeated run makes its calls again, and the service that is called counts these
// as retries, like retries of the calls themselves. The shares of both kinds
// together therefore stay below the whole budget, unless minReserve raises the
// reserve of many daemons.
const (
	callerRatioShare = 0.7
	nestedRatioShare = 0.2
	callerExtraShare = 0.25
	nestedExtraShare = 0.125
	// minReserve is the minimum reserve of one daemon, in retries.
	minReserve = 1
)

// DaemonLimits returns the limits for one of several daemons that together may send
// ratio retries for each request plus extra retries in a window. nested means
// that the requests are calls made by running requests.
func DaemonLimits(ratio, extra float64, daemons int, nested bool) Limits {
	ratioShare, extraShare := callerRatioShare, callerExtraShare
	if nested {
		ratioShare, extraShare = nestedRatioShare, nestedExtraShare
	}
	return Limits{Ratio: ratioShare * ratio, Reserve: max(extraShare*extra/float64(max(daemons, 1)), minReserve)}
}

// NewBudget returns a budget with the default limits and a full reserve.
func NewBudget(now clock.Instant) *Budget {
	return NewBudgetWithLimits(now, Limits{Ratio: defaultRatio, Floor: defaultFloor, Reserve: defaultReserve})
}

// NewBudgetWithLimits returns a budget with the given limits and a full reserve.
func NewBudgetWithLimits(now clock.Instant, limits Limits) *Budget {
	return &Budget{tokens: limits.Reserve, at: now, limits: limits}
}

// SetLimits changes the limits. A reserve above the new maximum is cut at the next
// RecordRequest, or at the next Take that refills.
func (b *Budget) SetLimits(limits Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
}

// RecordRequest records a first attempt, which adds Ratio retries.
func (b *Budget) RecordRequest(now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.tokens+b.limits.Ratio, b.limits.Reserve)
}

// Take removes one retry from the budget. It returns false if less than one is left.
func (b *Budget) Take(now clock.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill(now clock.Instant) {
	if now <= b.at {
		return
	}
	b.tokens = min(b.tokens+b.limits.Floor*now.Sub(b.at).Seconds(), b.limits.Reserve)
	b.at = now
}
