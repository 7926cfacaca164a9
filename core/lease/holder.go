package lease

import (
	"slices"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// Renewal is a renewal to be sent to a witness.
type Renewal struct {
	Witness string
	Seq     uint64
	Joining bool // the first lease is not won yet
}

// Holder is the state of one incarnation's own lease.
//
// Invariant: Deadline never passes the end of a promise that a majority of the
// witnesses has given. A lease that ended is never mended: after Broken
// reports true, acknowledgements have no effect.
type Holder struct {
	params    Params
	witnesses []string
	joinSent  clock.Instant
	seq       uint64
	sent      map[string]map[uint64]clock.Instant // unanswered renewals
	acked     map[string]clock.Instant            // send time of the newest acknowledged renewal
	nextSend  clock.Instant
	nextHurry clock.Instant
	deadline  clock.Instant // zero before the first lease
	broken    bool
}

// maxUnanswered bounds the renewals remembered for each witness.
const maxUnanswered = 16

// NewHolder returns the holder of an incarnation whose join record was sent at
// joinSent.
func NewHolder(p Params, joinSent clock.Instant, witnesses []string) *Holder {
	h := &Holder{
		params:    p,
		witnesses: slices.Clone(witnesses),
		joinSent:  joinSent,
		sent:      map[string]map[uint64]clock.Instant{},
		acked:     map[string]clock.Instant{},
	}
	for _, w := range witnesses {
		h.sent[w] = map[uint64]clock.Instant{}
	}
	return h
}

// hurryTerms is the part of a term left of the lease from which on renewals
// that got no answer are repeated at once, hurryParts times in each interval.
const (
	hurryTerms = 0.5
	hurryParts = 4
)

// Tick returns the renewals to send at now, if any are due.
func (h *Holder) Tick(now clock.Instant) []Renewal {
	h.check(now)
	switch {
	case h.broken:
		return nil
	case now >= h.nextSend:
		h.nextSend = now.Add(h.params.Renew)
		h.nextHurry = now.Add(h.params.Renew / hurryParts)
		return h.renew(now, h.witnesses)
	case h.endangered(now) && now >= h.nextHurry:
		h.nextHurry = now.Add(h.params.Renew / hurryParts)
		return h.renew(now, h.lagging(now))
	default:
		return nil
	}
}

// endangered reports whether the lease ends soon.
func (h *Holder) endangered(now clock.Instant) bool {
	return h.deadline != 0 && h.deadline.Sub(now) < scale(h.params.Term, hurryTerms)
}

// lagging returns the witnesses that acknowledged no renewal of the last
// interval.
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
		h.remember(w, now)
		renewals = append(renewals, Renewal{Witness: w, Seq: h.seq, Joining: h.deadline == 0})
	}
	return renewals
}

func (h *Holder) remember(witness string, now clock.Instant) {
	pending := h.sent[witness]
	for seq := range pending {
		if seq+maxUnanswered <= h.seq {
			delete(pending, seq)
		}
	}
	pending[h.seq] = now
}

// Ack takes in an acknowledgement that arrived at now.
func (h *Holder) Ack(now clock.Instant, witness string, seq uint64) {
	h.check(now)
	if h.broken {
		return
	}
	at, ok := h.sent[witness][seq]
	if !ok {
		return
	}
	delete(h.sent[witness], seq)
	if at > h.acked[witness] {
		h.acked[witness] = at
	}
	h.extend()
}

// Refuse takes in a witness's statement that it sealed the incarnation. The
// lease runs on until its deadline if other witnesses keep it up.
func (h *Holder) Refuse(witness string) {
	delete(h.sent, witness)
	h.sent[witness] = map[uint64]clock.Instant{}
}

// extend moves the deadline to what a majority of witnesses has acknowledged.
func (h *Holder) extend() {
	times := make([]clock.Instant, 0, len(h.witnesses))
	for _, w := range h.witnesses {
		if at, ok := h.acked[w]; ok {
			times = append(times, at)
		}
	}
	need := majority(len(h.witnesses))
	if len(times) < need {
		return
	}
	slices.Sort(times)
	until := times[len(times)-need].Add(h.params.holderTerm())
	if until > h.deadline {
		h.deadline = until
	}
}

// check breaks the lease when its deadline, or the time for the first lease,
// has passed.
func (h *Holder) check(now clock.Instant) {
	if h.deadline == 0 {
		if now >= h.joinSent.Add(h.params.firstLease()) {
			h.broken = true
		}
		return
	}
	if now >= h.deadline {
		h.broken = true
	}
}

// Silent returns the witnesses that have acknowledged nothing.
func (h *Holder) Silent() []string {
	var list []string
	for _, w := range h.witnesses {
		if _, ok := h.acked[w]; !ok {
			list = append(list, w)
		}
	}
	return list
}

// Deadline returns the instant before which the lease is held, or zero when
// it is not held.
func (h *Holder) Deadline(now clock.Instant) clock.Instant {
	h.check(now)
	if h.broken {
		return 0
	}
	return h.deadline
}

// Broken reports whether the incarnation has lost its lease for good.
func (h *Holder) Broken(now clock.Instant) bool {
	h.check(now)
	return h.broken
}
