// Package callertimeout distinguishes retries from first attempts by the caller's
// remaining timeout, and estimates the time since a caller's first attempt.
//
// It is designed for an overload in which refused callers retry. The latency objective
// counts from the first attempt. A slot given to a caller whose objective has passed
// is lost to one that could still be answered within its objective.
//
// An Estimator does no I/O and is not safe for concurrent use.
package callertimeout

import (
	"math"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

const (
	// firstShare is the share of the longest timeout at or above which a remaining
	// timeout counts as that of a first attempt. The timeouts of callers of one kind
	// differ by less than a quarter, and a caller that retries has already spent a
	// third of its timeout.
	firstShare = 0.75
	// smoothing is the weight of a new first attempt in the moving average of timeouts.
	smoothing = 0.05
	// longestHalfLife is the time in which the longest timeout decays to half, so that
	// the estimate follows callers whose timeouts become shorter.
	longestHalfLife = 5 * time.Minute
)

// Estimator tracks the caller timeouts of first attempts of one kind of request. The
// zero value is ready for use.
type Estimator struct {
	longest time.Duration // longest timeout, as of at
	typical time.Duration // moving average of the timeouts of first attempts
	at      clock.Instant // when longest was set
}

// Observe returns the estimated time since the first attempt of a caller with the
// given remaining timeout, or zero for a first attempt. It also updates the
// estimate with this timeout.
func (e *Estimator) Observe(now clock.Instant, remaining time.Duration) time.Duration {
	if longest := e.decayedLongest(now); remaining >= longest {
		e.longest, e.at = remaining, now
		if e.typical == 0 {
			e.typical = remaining
		}
	}
	if float64(remaining) >= firstShare*float64(e.decayedLongest(now)) {
		e.typical += time.Duration(smoothing * float64(remaining-e.typical))
		return 0
	}
	return max(e.typical-remaining, 0)
}

// decayedLongest returns the longest timeout, decayed by its age.
func (e *Estimator) decayedLongest(now clock.Instant) time.Duration {
	halves := float64(now.Sub(e.at)) / float64(longestHalfLife)
	return time.Duration(float64(e.longest) * math.Exp2(-halves))
}
