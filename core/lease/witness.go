package lease

import (
	"maps"
	"slices"
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
	until    clock.Instant // end of the promise or of the waiting period
	sealed   bool
	watched  bool          // Expired reports it: it renewed here, or replay names this witness
	nextTell clock.Instant // when Expired reports it again
	forget   clock.Instant // when no trace is kept any more; each seal answered moves it
}

// extend moves the end of the promise.
func (p *promise) extend(until clock.Instant, params Params) {
	p.until = until
	p.forget = until.Add(forgetTerms * params.Term)
}

// Witness keeps promises to incarnations. Its memory is volatile: a restarted
// witness forgets promises and seals, and stays safe by abstaining first.
type Witness struct {
	params   Params
	started  clock.Instant
	began    uint64 // incarnations above it joined after the witness started; 0 if not known
	promises map[uint64]*promise
}

// retellTerms is the interval, in terms, at which an ended promise is reported
// again: the messages that follow from a report can be lost.
const retellTerms = 0.25

// forgetTerms is the number of terms after the end of a promise, or after a
// seal, when it is forgotten. A holder that was silent that long has a broken lease.
const forgetTerms = 20

// NewWitness returns a witness without memory that started at started.
func NewWitness(p Params, started clock.Instant) *Witness {
	return &Witness{params: p, started: started, promises: map[uint64]*promise{}}
}

// Began tells the offset of a record that this witness's process wrote. The process
// before it cannot have sealed an incarnation that joined later, so renewals of
// such are acknowledged without abstaining.
func (w *Witness) Began(offset uint64) { w.began = offset }

// Renew handles a renewal. It returns ack when the promise was given, and
// refused when the incarnation is sealed; neither while the witness abstains.
//
// A joining incarnation is promised the whole time that it has for its first
// lease, since only a lease once won stays broken after a gap.
func (w *Witness) Renew(now clock.Instant, inc uint64, joining bool) (ack, refused bool) {
	p, known := w.promises[inc]
	if known && p.sealed {
		return false, true
	}
	young := w.began != 0 && inc > w.began
	if now < w.started.Add(w.params.abstention()) && !young {
		return false, false
	}
	if !known {
		p = &promise{}
		w.promises[inc] = p
	}
	term := w.params.Term
	if joining {
		term = w.params.firstPromise()
	}
	p.extend(now.Add(term), w.params)
	p.watched = true
	p.nextTell = p.until
	return true, false
}

// Seal handles a seal request. With Live it returns the time until the
// incarnation can be sealed.
func (w *Witness) Seal(now clock.Instant, inc uint64) (SealState, time.Duration) {
	p, known := w.promises[inc]
	if !known {
		p = &promise{}
		p.extend(now.Add(w.params.firstPromise()), w.params)
		w.promises[inc] = p
	}
	if !p.sealed && now < p.until {
		return Live, p.until.Sub(now)
	}
	p.sealed = true
	p.forget = now.Add(forgetTerms * w.params.Term)
	return Sealed, 0
}

// Watch makes sure that the witness reports an incarnation which it was chosen
// for but does not know, having restarted since, when no renewal comes.
func (w *Witness) Watch(now clock.Instant, inc uint64) {
	p, known := w.promises[inc]
	if !known {
		p = &promise{}
		p.extend(now.Add(w.params.firstPromise()), w.params)
		w.promises[inc] = p
	}
	if !p.watched {
		p.watched = true
		p.nextTell = p.until
	}
}

// Overdue is an incarnation whose promise ran out.
type Overdue struct {
	Incarnation uint64
	For         time.Duration // since the promise ended
}

// Expired returns the incarnations whose promises ran out, each again every
// quarter of a term until it is forgotten. Sealed ones are included: the daemon
// that asked for the seal may be lost.
func (w *Witness) Expired(now clock.Instant) []Overdue {
	var list []Overdue
	for _, inc := range slices.Sorted(maps.Keys(w.promises)) {
		p := w.promises[inc]
		if now >= p.forget {
			delete(w.promises, inc)
			continue
		}
		if p.watched && now >= p.nextTell {
			p.nextTell = now.Add(scale(w.params.Term, retellTerms))
			list = append(list, Overdue{Incarnation: inc, For: now.Sub(p.until)})
		}
	}
	return list
}
