package retry

import (
	"sync"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

const (
	// ratio is the number of retries earned by each request.
	ratio = 0.06
	// floor is the number of retries per second allowed without any requests.
	floor = 0.5
	// reserve is the largest number of retries saved up.
	reserve = 30.0
)

// Budget bounds the retries of one service at one daemon to a share of its
// requests. It is safe for concurrent use. The zero value is not usable.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	at     clock.Instant
}

// NewBudget returns a budget with its whole reserve.
func NewBudget(now clock.Instant) *Budget {
	return &Budget{tokens: reserve, at: now}
}

// Earn counts a first try.
func (b *Budget) Earn(now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.tokens+ratio, reserve)
}

// Take uses up one retry and reports whether there was one.
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
	b.tokens = min(b.tokens+floor*now.Sub(b.at).Seconds(), reserve)
	b.at = now
}
