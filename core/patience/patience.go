// Package patience tells callers that come back after a refusal from those that
// come for the first time, by how long they still wait.
//
// Load that it answers: an overload in which refused callers return. An answer is
// worth most within its objective counted from the first attempt; a slot given to a
// caller for whom that time is over is taken from one for whom it is not.
//
// An Estimate does no I/O and is not safe for concurrent use.
package patience

import (
	"math"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

const (
	// firstShare is the part of the longest patience from which on a caller is
	// taken to come for the first time: callers of one kind differ by less, and one
	// that returns has waited for some time and spent a third of what it had.
	firstShare = 0.75
	// smoothing is the weight of one more caller in the usual patience.
	smoothing = 0.05
	// forgetTime is the time after which the longest patience counts for half, where
	// callers become less patient.
	forgetTime = 5 * time.Minute
)

// Estimate learns how long first attempts of one kind of request wait.
type Estimate struct {
	longest time.Duration
	usual   time.Duration // mean of first attempts
	at      clock.Instant // of the longest
}

// Elapsed returns how long a caller that waits for another patience has probably
// been at it, zero for a first attempt. It learns from what it is told.
func (e *Estimate) Elapsed(now clock.Instant, patience time.Duration) time.Duration {
	if longest := e.remembered(now); patience >= longest {
		e.longest, e.at = patience, now
		if e.usual == 0 {
			e.usual = patience
		}
	}
	if float64(patience) >= firstShare*float64(e.remembered(now)) {
		e.usual += time.Duration(smoothing * float64(patience-e.usual))
		return 0
	}
	return max(e.usual-patience, 0)
}

// remembered returns the longest patience, which counts for less with time.
func (e *Estimate) remembered(now clock.Instant) time.Duration {
	halves := float64(now.Sub(e.at)) / float64(forgetTime)
	return time.Duration(float64(e.longest) * math.Exp2(-halves))
}
