// Package lease implements membership leases that are renewed at witnesses
// instead of through the log.
//
// A Holder renews its incarnation's lease at a fixed set of witnesses. With
// each acknowledgement, a Witness promises not to seal the incarnation for one
// term on its own clock. A Sealer collects seals; once a majority of the
// witnesses has sealed the lease, it has lapsed and can never be renewed.
//
// All types are pure state machines: each call passes the current time, and
// they start no goroutines and are not safe for concurrent use. Times are
// readings of the caller's own host clock. The only assumption about clocks is
// that their rates differ from real time by at most Params.Drift.
package lease

import (
	"time"
)

// Params are the lease parameters. All daemons of a fleet use the same values.
type Params struct {
	Term time.Duration // length of a witness's promise, from its acknowledgement, unless the holder asks for a longer one
	// MaxTerm is the longest promise that a holder may ask for. It is at most MaxTerms
	// terms. 0 means Term.
	MaxTerm time.Duration
	Renew   time.Duration // interval between renewals
	Drift   float64       // largest clock rate error, as a fraction
}

// firstLeaseTerms is the number of terms within which a holder must obtain its
// first lease. A witness also waits this long before it seals an incarnation
// that it does not know.
const firstLeaseTerms = 3

// MaxTerms bounds Params.MaxTerm, in terms. A witness that has restarted and forgotten a
// promise seals an incarnation that it does not know after firstLeaseTerms terms at the
// earliest, so that no longer promise could be kept.
const MaxTerms = firstLeaseTerms

// Longest returns the longest promise of a witness to a holder with a lease.
func (p Params) Longest() time.Duration {
	return max(p.Term, min(p.MaxTerm, MaxTerms*p.Term))
}

// clamp returns the promise that a holder gets that asks for one of the given length; 0
// means Term.
func (p Params) clamp(term time.Duration) time.Duration {
	return min(max(term, p.Term), p.Longest())
}

// holderTerm returns the length of a lease on the holder's clock, for a promise of the
// given length. It is short enough to end before the promise ends on any witness's clock.
func (p Params) holderTerm(promise time.Duration) time.Duration {
	return scale(promise, (1-p.Drift)/(1+p.Drift))
}

// firstLeaseTimeout returns the time after sending its join record within which
// a holder must obtain its first lease.
func (p Params) firstLeaseTimeout() time.Duration {
	return scale(firstLeaseTerms*p.Term, (1-p.Drift)/(1+p.Drift))
}

// firstPromise returns the time for which a witness does not seal an
// incarnation that may still be waiting for its first lease. It covers all of
// firstLeaseTimeout, since a witness that sealed earlier could restart, forget
// the seal and then grant the first lease.
func (p Params) firstPromise() time.Duration {
	return scale(firstLeaseTerms*p.Term, (1+p.Drift)/(1-p.Drift))
}

// abstention returns the time after its start during which a witness
// acknowledges no renewals. By its end, every promise that the witness lost in
// the restart has ended.
func (p Params) abstention() time.Duration {
	return scale(p.Term, (1+p.Drift)/(1-p.Drift))
}

func scale(d time.Duration, f float64) time.Duration {
	return time.Duration(float64(d) * f)
}

// majority returns the smallest number that is more than half of n.
func majority(n int) int { return n/2 + 1 }
