package pace

import (
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// Returns spreads the callers that are refused for a limit, so that those who come back
// when they are told do not exceed the limit together. The zero value has none.
type Returns struct {
	last clock.Instant // when the caller refused last is to return
}

// Next returns the delay after which a caller refused now is to return. start is the
// earliest time at which the limit of perS requests per second, which is not 0, has room.
// Each refusal is told a time one request later than the one before, at most maxReturn
// from now.
func (r *Returns) Next(now, start clock.Instant, perS float64) time.Duration {
	next := max(r.last, start).Add(time.Duration(float64(time.Second) / perS))
	r.last = min(next, now.Add(maxReturn))
	return r.last.Sub(now)
}
