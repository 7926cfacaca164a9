package lease

import (
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// SealState is a witness's answer to a seal request.
type SealState uint8

// Answers to seal requests.
const (
	Live   SealState = iota + 1 // a promise or waiting period runs; ask again
	Sealed                      // the incarnation never renews here again
)

// promise is a witness's memory of one incarnation.
type promise struct {
	until   clock.Instant // end of the promise or of the waiting period
	sealed  bool
	renewed bool // an acknowledgement was given
	told    bool // the end of the promise was reported by Expired
}

// Witness keeps promises to incarnations. Its memory is volatile: a restarted
// witness forgets promises and seals, and stays safe by abstaining first.
type Witness struct {
	params   Params
	started  clock.Instant
	promises map[uint64]*promise
}

// forgetTerms is the number of terms after which a lapsed promise or seal is
// forgotten. A holder that was silent that long has a broken lease.
const forgetTerms = 20

// NewWitness returns a witness without memory that started at started.
func NewWitness(p Params, started clock.Instant) *Witness {
	return &Witness{params: p, started: started, promises: map[uint64]*promise{}}
}

// Renew handles a renewal. It returns ack when the promise was given, and
// refused when the incarnation is sealed; neither while the witness abstains.
func (w *Witness) Renew(now clock.Instant, inc uint64) (ack, refused bool) {
	p, known := w.promises[inc]
	if known && p.sealed {
		return false, true
	}
	if now < w.started.Add(w.params.abstention()) {
		return false, false
	}
	if !known {
		p = &promise{}
		w.promises[inc] = p
	}
	p.until = now.Add(w.params.Term)
	p.renewed = true
	p.told = false
	return true, false
}

// Seal handles a seal request. With Live it returns the time until the
// incarnation can be sealed.
func (w *Witness) Seal(now clock.Instant, inc uint64) (SealState, time.Duration) {
	p, known := w.promises[inc]
	if !known {
		wait := scale(firstTerms*w.params.Term, (1+w.params.Drift)/(1-w.params.Drift))
		p = &promise{until: now.Add(wait)}
		w.promises[inc] = p
	}
	if p.sealed {
		return Sealed, 0
	}
	if now < p.until {
		return Live, p.until.Sub(now)
	}
	p.sealed = true
	return Sealed, 0
}

// Expired returns the incarnations whose promises ran out since the last call,
// each once for each promise.
func (w *Witness) Expired(now clock.Instant) []uint64 {
	var list []uint64
	for inc, p := range w.promises {
		if now >= p.until.Add(forgetTerms*w.params.Term) {
			delete(w.promises, inc)
			continue
		}
		if p.renewed && !p.sealed && !p.told && now >= p.until {
			p.told = true
			list = append(list, inc)
		}
	}
	return list
}
