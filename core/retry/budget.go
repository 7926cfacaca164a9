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

// Budget is a token bucket that bounds the attempts at one service that did not arrive at a
// backend server, at one daemon, to a share of its requests. FleetBudget bounds those that
// may have arrived. It is safe for concurrent use. The zero value is not
// usable.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	at     clock.Instant
}

// NewBudget returns a budget with a full reserve.
func NewBudget(now clock.Instant) *Budget {
	return &Budget{tokens: defaultReserve, at: now}
}

// RecordRequest records a first attempt, which adds Ratio retries.
func (b *Budget) RecordRequest(now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.tokens+defaultRatio, defaultReserve)
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
	b.tokens = min(b.tokens+defaultFloor*now.Sub(b.at).Seconds(), defaultReserve)
	b.at = now
}
