// Package lease implements membership leases that are renewed at witnesses
// instead of through the log.
//
// A Holder renews its incarnation's lease at a fixed set of witnesses. A
// Witness promises with each acknowledgement not to seal the incarnation for
// one term on its own clock. A Sealer collects seals; with seals of a majority
// the lease has lapsed and can never be renewed.
//
// All types are pure state machines: they take the current instant with each
// call, keep no goroutines and are not safe for concurrent use. Instants are of
// the caller's own host; the only assumption on clocks is that rates differ
// from real time by at most Params.Drift.
package lease

import (
	"time"
)

// Params are the durations that all daemons of a fleet share.
type Params struct {
	Term  time.Duration // promise of a witness after an acknowledgement
	Renew time.Duration // interval between renewals
	Drift float64       // largest clock rate error, as a fraction
}

// firstTerms is the number of terms within which a holder must win its first
// lease, and which a witness counts for an incarnation that it does not know.
const firstTerms = 3

// holderTerm returns the length of a lease on the holder's clock: short enough
// to end before a term on any witness's clock.
func (p Params) holderTerm() time.Duration {
	return scale(p.Term, (1-p.Drift)/(1+p.Drift))
}

// firstLease returns the time that a holder has for its first lease after it
// sent its join record.
func (p Params) firstLease() time.Duration {
	return scale(firstTerms*p.Term, (1-p.Drift)/(1+p.Drift))
}

// firstPromise returns the time for which a witness does not seal an
// incarnation that may still be waiting for its first lease. It covers the
// whole of firstLease: a seal given earlier could be forgotten in a restart
// and followed by a first lease.
func (p Params) firstPromise() time.Duration {
	return scale(firstTerms*p.Term, (1+p.Drift)/(1-p.Drift))
}

// abstention returns the time during which a started witness acknowledges
// nothing: every promise it forgot has ended by then.
func (p Params) abstention() time.Duration {
	return scale(p.Term, (1+p.Drift)/(1-p.Drift))
}

func scale(d time.Duration, f float64) time.Duration {
	return time.Duration(float64(d) * f)
}

// majority returns the least number of n witnesses that is more than half.
func majority(n int) int { return n/2 + 1 }
