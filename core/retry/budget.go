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
	terms  Terms
	tokens float64
	at     clock.Instant
}

// Terms are the terms of a budget.
type Terms struct {
	Ratio   float64 // retries earned by each request
	Floor   float64 // retries per second without any requests
	Reserve float64 // largest number of retries saved up
}

// Parts of a fleet's budget. A repeated run makes its calls again, and those count
// as retries where they arrive, like the retries of calls themselves: together the
// parts stay below the whole.
const (
	callerRatio  = 0.7
	nestedRatio  = 0.2
	callerExtra  = 0.25
	nestedExtra  = 0.125
	leastReserve = 1
)

// ShareOf returns the terms of one of several daemons that together may send
// ratio retries for each request and extra beyond in a window. nested tells that
// the requests are calls of runs.
func ShareOf(ratio, extra float64, daemons int, nested bool) Terms {
	ofRatio, ofExtra := callerRatio, callerExtra
	if nested {
		ofRatio, ofExtra = nestedRatio, nestedExtra
	}
	return Terms{Ratio: ofRatio * ratio, Reserve: max(ofExtra*extra/float64(max(daemons, 1)), leastReserve)}
}

// NewBudget returns a budget with its whole reserve.
func NewBudget(now clock.Instant) *Budget {
	return NewBudgetOn(now, Terms{Ratio: ratio, Floor: floor, Reserve: reserve})
}

// NewBudgetOn returns a budget on the given terms with its whole reserve.
func NewBudgetOn(now clock.Instant, terms Terms) *Budget {
	return &Budget{tokens: terms.Reserve, at: now, terms: terms}
}

// SetTerms changes the terms.
func (b *Budget) SetTerms(terms Terms) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.terms = terms
}

// Earn counts a first try.
func (b *Budget) Earn(now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.tokens+b.terms.Ratio, b.terms.Reserve)
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
	b.tokens = min(b.tokens+b.terms.Floor*now.Sub(b.at).Seconds(), b.terms.Reserve)
	b.at = now
}
