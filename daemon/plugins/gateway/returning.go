package gateway

import (
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/patience"
)

// maxEstimates bounds the routes whose callers' patience is kept.
const maxEstimates = 1024

// returning tells by route how long callers have been at their requests.
type returning struct {
	mu      sync.Mutex
	byRoute map[string]*patience.Estimate
}

func newReturning() *returning {
	return &returning{byRoute: map[string]*patience.Estimate{}}
}

// elapsed returns how long ago a caller probably first asked, by how long it still
// waits.
func (r *returning) elapsed(now clock.Instant, route string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.byRoute[route]
	if !ok {
		if len(r.byRoute) >= maxEstimates {
			clear(r.byRoute)
		}
		e = new(patience.Estimate)
		r.byRoute[route] = e
	}
	return e.Elapsed(now, left)
}
