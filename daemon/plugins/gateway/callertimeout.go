package gateway

import (
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/callertimeout"
	"github.com/sesamemoor/sesamemoor/core/clock"
)

// maxEstimators bounds the number of routes with an estimator; a full table is
// cleared.
const maxEstimators = 1024

// timeoutEstimators estimates by route how long ago callers made their first
// attempt. It is safe for concurrent use.
type timeoutEstimators struct {
	mu      sync.Mutex
	byRoute map[string]*callertimeout.Estimator
}

func newTimeoutEstimators() *timeoutEstimators {
	return &timeoutEstimators{byRoute: map[string]*callertimeout.Estimator{}}
}

// elapsed returns the time since the caller's first attempt, estimated from the
// caller's remaining timeout, which it adds to the estimate. It returns 0 if the
// caller stated no timeout.
func (t *timeoutEstimators) elapsed(now clock.Instant, route string, remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	estimator, ok := t.byRoute[route]
	if !ok {
		if len(t.byRoute) >= maxEstimators {
			clear(t.byRoute)
		}
		estimator = new(callertimeout.Estimator)
		t.byRoute[route] = estimator
	}
	return estimator.Observe(now, remaining)
}
