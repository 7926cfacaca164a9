// Package bucket implements the token bucket of a team.
package bucket

import (
	"math"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// Bucket is a token bucket whose rate and burst may change between calls. The
// tokens taken in any interval never pass rate·t + burst.
type Bucket struct {
	tokens float64
	at     clock.Instant
}

// NewEmpty returns a bucket without tokens at now. A new keeper starts empty:
// the one before it may have handed out everything up to now.
func NewEmpty(now clock.Instant) Bucket { return Bucket{at: now} }

// TakeUpTo takes whole tokens, at most want, and returns how many. rate is in
// tokens per second, burst in tokens.
func (b *Bucket) TakeUpTo(now clock.Instant, rate, burst, want float64) float64 {
	if now > b.at {
		b.tokens += rate * now.Sub(b.at).Seconds()
		b.at = now
	}
	b.tokens = min(b.tokens, burst)
	n := math.Floor(min(b.tokens, want))
	if n <= 0 {
		return 0
	}
	b.tokens -= n
	return n
}
