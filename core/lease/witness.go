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
	Live   SealState = iota + 1 // a promise or waiting period has not ended; ask again
	Sealed                      // the witness refuses all further renewals
)

// promise is a witness's state for one incarnation.
type promise struct {
	until      clock.Instant // end of the promise or of the waiting period
	sealed     bool
	watched    bool          // Expired reports it: it renewed here, or Watch was called for it
	nextReport clock.Instant // when Expired reports it next
	discardAt  clock.Instant // when the state is discarded; each answer Sealed postpones it
}

// extend sets the end of the promise and the time when the state is discarded.
func (p *promise) extend(until clock.Instant, params Params) {
	p.until = until
	p.discardAt = until.Add(retentionTerms * params.Term)
}

// Witness gives promises to incarnations and seals them once their promises
// have ended. Its state is volatile: a restarted witness has lost its promises
// and seals, and stays safe by acknowledging no renewals at first.
type Witness struct {
	params      Params
	started     clock.Instant
	startOffset uint64 // incarnations above this log offset joined after the witness started; 0 if not known
	promises    map[uint64]*promise
}

// reportIntervalTerms is the interval, in terms, at which an ended promise is
// reported again, since the messages that follow a report can be lost.
const reportIntervalTerms = 0.25

// retentionTerms is the number of terms after the end of a promise, or after an
// answer Sealed, when the state of an incarnation is discarded. A holder that
// did not renew for that long has lost its lease.
const retentionTerms = 20

// NewWitness returns a witness without any promises that started at started.
func NewWitness(p Params, started clock.Instant) *Witness {
	return &Witness{params: p, started: started, promises: map[uint64]*promise{}}
}

// SetStartOffset sets the log offset of a record that this witness's process
// wrote. The previous process cannot have sealed an incarnation that joined
// after that offset, so renewals of such incarnations are acknowledged from the
// start.
func (w *Witness) SetStartOffset(offset uint64) { w.startOffset = offset }

// Renew handles a renewal. It gives a promise, or returns refused if the incarnation is
// sealed, or neither if the witness abstains after its start.
//
// A joining incarnation gets a promise for the whole time within which it may
// obtain its first lease: a gap in the renewals ends an obtained lease
// permanently, but does not prevent a first lease.
//
// term is the promise that the holder asks for, the same in all renewals of an
// incarnation. promised is the promise given, or 0.
func (w *Witness) Renew(now clock.Instant, inc uint64, joining bool, term time.Duration) (promised time.Duration, refused bool) {
	p, known := w.promises[inc]
	if known && p.sealed {
		return 0, true
	}
	joinedAfterStart := w.startOffset != 0 && inc > w.startOffset
	if now < w.started.Add(w.params.abstention()) && !joinedAfterStart {
		return 0, false
	}
	if !known {
		p = &promise{}
		w.promises[inc] = p
	}
	promised = w.params.clamp(term)
	length := promised
	if joining {
		length = w.params.firstPromise()
	}
	p.extend(now.Add(length), w.params)
	p.watched = true
	p.nextReport = p.until
	return promised, false
}

// Seal handles a seal request. With the state Live, it also returns the time
// until the incarnation can be sealed.
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
	p.discardAt = now.Add(retentionTerms * w.params.Term)
	return Sealed, 0
}

// Watch makes Expired report an incarnation even if it never renews at this
// witness. It is for incarnations whose join record lists this witness, which
// may have restarted since and have no state for them.
func (w *Witness) Watch(now clock.Instant, inc uint64) {
	p, known := w.promises[inc]
	if !known {
		p = &promise{}
		p.extend(now.Add(w.params.firstPromise()), w.params)
		w.promises[inc] = p
	}
	if !p.watched {
		p.watched = true
		p.nextReport = p.until
	}
}

// Overdue is an incarnation whose promise has ended.
type Overdue struct {
	Incarnation uint64
	For         time.Duration // time since the promise ended
}

// Expired returns the incarnations whose promises have ended, and discards state
// that is no longer needed. It reports each incarnation again every quarter of
// a term until its state is discarded. Sealed incarnations are included, since
// the daemon that requested the seal may have failed.
func (w *Witness) Expired(now clock.Instant) []Overdue {
	var list []Overdue
	for _, inc := range slices.Sorted(maps.Keys(w.promises)) {
		p := w.promises[inc]
		if now >= p.discardAt {
			delete(w.promises, inc)
			continue
		}
		if p.watched && now >= p.nextReport {
			p.nextReport = now.Add(scale(w.params.Term, reportIntervalTerms))
			list = append(list, Overdue{Incarnation: inc, For: now.Sub(p.until)})
		}
	}
	return list
}
