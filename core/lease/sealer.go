package lease

import (
	"slices"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// sealRetryInterval is the time after which a witness is asked again, unless an
// answer Live sets another time.
const sealRetryInterval = 100 * time.Millisecond

// Request is a seal request to send to a witness.
type Request struct {
	Witness string
	Seq     uint64
}

// Sealer collects seals of one incarnation's lease.
//
// A seal counts for one holder term after its request was sent, on this host's
// clock. The witness of an older seal may have restarted and forgotten it. That does not
// depend on the length of promises: a witness seals only when its own has ended.
type Sealer struct {
	params      Params
	witnesses   []string
	seq         uint64
	sent        map[uint64]sealRequest
	sealed      map[string]clock.Instant // send time of the newest sealed request
	nextRequest map[string]clock.Instant // earliest time of the next request to each witness
}

type sealRequest struct {
	witness string
	at      clock.Instant
}

// NewSealer returns a sealer that asks the given witnesses.
func NewSealer(p Params, witnesses []string) *Sealer {
	return &Sealer{
		params:      p,
		witnesses:   slices.Clone(witnesses),
		sent:        map[uint64]sealRequest{},
		sealed:      map[string]clock.Instant{},
		nextRequest: map[string]clock.Instant{},
	}
}

// Tick returns the requests that are due at now.
func (s *Sealer) Tick(now clock.Instant) []Request {
	for seq, r := range s.sent {
		if now.Sub(r.at) >= s.validity() {
			delete(s.sent, seq)
		}
	}
	var requests []Request
	for _, w := range s.witnesses {
		if now < s.nextRequest[w] {
			continue
		}
		s.seq++
		s.sent[s.seq] = sealRequest{witness: w, at: now}
		s.nextRequest[w] = now.Add(sealRetryInterval)
		requests = append(requests, Request{Witness: w, Seq: s.seq})
	}
	return requests
}

// Answer records a witness's answer. With the state Live, wait is the time until
// the incarnation can be sealed, and the witness is not asked again before its
// end. The shortest wait is one millisecond.
func (s *Sealer) Answer(now clock.Instant, witness string, seq uint64, state SealState, wait time.Duration) {
	r, ok := s.sent[seq]
	if !ok || r.witness != witness {
		return
	}
	delete(s.sent, seq)
	if state == Live {
		s.nextRequest[witness] = now.Add(max(wait, time.Millisecond))
		return
	}
	if r.at > s.sealed[witness] {
		s.sealed[witness] = r.at
	}
}

// SealedBy returns the witnesses whose seals are valid at now.
func (s *Sealer) SealedBy(now clock.Instant) []string {
	var list []string
	for _, w := range s.witnesses {
		at, ok := s.sealed[w]
		if ok && now.Sub(at) < s.validity() {
			list = append(list, w)
		}
	}
	return list
}

// Lapsed reports whether a majority of the witnesses has valid seals at now.
func (s *Sealer) Lapsed(now clock.Instant) bool {
	return len(s.SealedBy(now)) >= majority(len(s.witnesses))
}

// validity returns the time for which a seal counts after its request was sent.
func (s *Sealer) validity() time.Duration { return s.params.holderTerm(s.params.Term) }
