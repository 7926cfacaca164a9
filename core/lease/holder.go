package lease

import (
	"slices"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// Renewal is a renewal to send to a witness.
type Renewal struct {
	Witness string
	Seq     uint64
	Joining bool          // the first lease has not been obtained yet
	Term    time.Duration // promise that the holder asks for
}

// Holder is the state of one incarnation's own lease.
//
// Invariant: Deadline is never later than the time until which a majority of
// the witnesses has promised not to seal. A lease that ended is never restored:
// once Lost reports true, acknowledgements have no effect.
type Holder struct {
	params    Params
	term      time.Duration // promise that the holder asks for
	witnesses []string
	joinSent  clock.Instant
	seq       uint64
	unacked   map[string]map[uint64]clock.Instant // send times of unacknowledged renewals, by witness and sequence number
	acked     map[string]clock.Instant            // send time of the newest acknowledged renewal
	promised  map[string]clock.Instant            // end of each witness's promise
	nextSend  clock.Instant
	nextRetry clock.Instant
	deadline  clock.Instant // zero until the first lease is obtained
	lost      bool
}

// maxUnacknowledged bounds the unacknowledged renewals kept for each witness.
const maxUnacknowledged = 16

// NewHolder returns the lease holder of an incarnation whose join record was
// sent at joinSent. It asks for promises of the length term, at least Params.Term and at
// most Params.MaxTerm. All renewals of an incarnation ask for the same.
func NewHolder(p Params, joinSent clock.Instant, witnesses []string, term time.Duration) *Holder {
	h := &Holder{
		params:    p,
		term:      p.clamp(term),
		witnesses: slices.Clone(witnesses),
		joinSent:  joinSent,
		unacked:   map[string]map[uint64]clock.Instant{},
		acked:     map[string]clock.Instant{},
		promised:  map[string]clock.Instant{},
	}
	for _, w := range witnesses {
		h.unacked[w] = map[uint64]clock.Instant{}
	}
	return h
}

// Unacknowledged renewals are retried retriesPerInterval times in each renewal
// interval once less than retryWindowTerms terms of the lease remain.
const (
	retryWindowTerms   = 0.5
	retriesPerInterval = 4
)

// Tick returns the renewals that are due at now.
func (h *Holder) Tick(now clock.Instant) []Renewal {
	h.check(now)
	switch {
	case h.lost:
		return nil
	case now >= h.nextSend:
		h.nextSend = now.Add(h.params.Renew)
		h.nextRetry = now.Add(h.params.Renew / retriesPerInterval)
		return h.renew(now, h.witnesses)
	case h.expiresSoon(now) && now >= h.nextRetry:
		h.nextRetry = now.Add(h.params.Renew / retriesPerInterval)
		return h.renew(now, h.lagging(now))
	default:
		return nil
	}
}

// expiresSoon reports whether the lease is in its retry window.
func (h *Holder) expiresSoon(now clock.Instant) bool {
	return h.deadline != 0 && h.deadline.Sub(now) < scale(h.params.Term, retryWindowTerms)
}

// lagging returns the witnesses that acknowledged no renewal sent within the
// last renewal interval.
func (h *Holder) lagging(now clock.Instant) []string {
	var list []string
	for _, w := range h.witnesses {
		if now.Sub(h.acked[w]) > h.params.Renew {
			list = append(list, w)
		}
	}
	return list
}

func (h *Holder) renew(now clock.Instant, witnesses []string) []Renewal {
	h.seq++
	renewals := make([]Renewal, 0, len(witnesses))
	for _, w := range witnesses {
		h.recordSent(w, now)
		renewals = append(renewals, Renewal{Witness: w, Seq: h.seq, Joining: h.deadline == 0, Term: h.term})
	}
	return renewals
}

func (h *Holder) recordSent(witness string, now clock.Instant) {
	pending := h.unacked[witness]
	for seq := range pending {
		if seq+maxUnacknowledged <= h.seq {
			delete(pending, seq)
		}
	}
	pending[h.seq] = now
}

// Ack records an acknowledgement that arrived at now, with the promise that the witness
// gave. A witness that does not name its promise gave one of Params.Term.
func (h *Holder) Ack(now clock.Instant, witness string, seq uint64, promise time.Duration) {
	h.check(now)
	if h.lost {
		return
	}
	at, ok := h.unacked[witness][seq]
	if !ok {
		return
	}
	delete(h.unacked[witness], seq)
	h.acked[witness] = max(h.acked[witness], at)
	until := at.Add(h.params.holderTerm(min(h.params.clamp(promise), h.term)))
	h.promised[witness] = max(h.promised[witness], until)
	h.extend()
}

// Refused records that a witness refused a renewal because it sealed the
// incarnation. The lease remains valid until its deadline, and a majority of
// other witnesses can still extend it.
func (h *Holder) Refused(witness string) {
	delete(h.unacked, witness)
	h.unacked[witness] = map[uint64]clock.Instant{}
}

// extend moves the deadline to the end of the lease that a majority of the
// witnesses has acknowledged.
func (h *Holder) extend() {
	ends := make([]clock.Instant, 0, len(h.witnesses))
	for _, w := range h.witnesses {
		if until, ok := h.promised[w]; ok {
			ends = append(ends, until)
		}
	}
	need := majority(len(h.witnesses))
	if len(ends) < need {
		return
	}
	slices.Sort(ends)
	h.deadline = max(h.deadline, ends[len(ends)-need])
}

// check marks the lease as lost when its deadline, or the timeout for the first
// lease, has passed.
func (h *Holder) check(now clock.Instant) {
	if h.deadline == 0 {
		if now >= h.joinSent.Add(h.params.firstLeaseTimeout()) {
			h.lost = true
		}
		return
	}
	if now >= h.deadline {
		h.lost = true
	}
}

// unresponsiveAfter is the number of renewals without an acknowledgement after which a witness
// counts as unresponsive. A holder that was held up has sent fewer since its last acknowledgement.
const unresponsiveAfter = 3

// Unresponsive returns the witnesses that have not acknowledged any renewal, or none of the last
// ones.
func (h *Holder) Unresponsive() []string {
	var list []string
	for _, w := range h.witnesses {
		newest, ok := h.acked[w]
		missing := 0
		for _, at := range h.unacked[w] {
			if at > newest {
				missing++
			}
		}
		if !ok || missing >= unresponsiveAfter {
			list = append(list, w)
		}
	}
	return list
}

// Deadline returns the time at which the lease ends, or zero when the lease is
// not held.
func (h *Holder) Deadline(now clock.Instant) clock.Instant {
	h.check(now)
	if h.lost {
		return 0
	}
	return h.deadline
}

// Lost reports whether the incarnation has lost its lease permanently.
func (h *Holder) Lost(now clock.Instant) bool {
	h.check(now)
	return h.lost
}
