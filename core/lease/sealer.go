package lease

import (
	"slices"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// sealRetry is the interval between requests to a witness that did not seal.
const sealRetry = 100 * time.Millisecond

// Request is a seal request to be sent to a witness.
type Request struct {
	Witness string
	Seq     uint64
}

// Sealer collects seals of one incarnation's lease.
//
// A seal counts only while its request was sent less than a term ago on this
// host's clock: an older answer may come from a witness that has restarted
// since and forgotten the seal.
type Sealer struct {
	params    Params
	witnesses []string
	seq       uint64
	sent      map[uint64]sealRequest
	sealed    map[string]clock.Instant // send time of the newest sealed request
	next      map[string]clock.Instant // when to ask each witness again
}

type sealRequest struct {
	witness string
	at      clock.Instant
}

// NewSealer returns a sealer that asks the given witnesses.
func NewSealer(p Params, witnesses []string) *Sealer {
	return &Sealer{
		params:    p,
		witnesses: slices.Clone(witnesses),
		sent:      map[uint64]sealRequest{},
		sealed:    map[string]clock.Instant{},
		next:      map[string]clock.Instant{},
	}
}

// Tick returns the requests to send at now.
func (s *Sealer) Tick(now clock.Instant) []Request {
	for seq, r := range s.sent {
		if now.Sub(r.at) >= s.validity() {
			delete(s.sent, seq)
		}
	}
	var requests []Request
	for _, w := range s.witnesses {
		if now < s.next[w] {
			continue
		}
		s.seq++
		s.sent[s.seq] = sealRequest{witness: w, at: now}
		s.next[w] = now.Add(sealRetry)
		requests = append(requests, Request{Witness: w, Seq: s.seq})
	}
	return requests
}

// Answer takes in a witness's answer. wait is the time that a live witness
// named; it is not asked again before.
func (s *Sealer) Answer(now clock.Instant, witness string, seq uint64, state SealState, wait time.Duration) {
	r, ok := s.sent[seq]
	if !ok || r.witness != witness {
		return
	}
	delete(s.sent, seq)
	if state == Live {
		s.next[witness] = now.Add(max(wait, time.Millisecond))
		return
	}
	if r.at > s.sealed[witness] {
		s.sealed[witness] = r.at
	}
}

// SealedBy returns the witnesses whose seals count at now.
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

// Lapsed reports whether a majority of witnesses has sealed the lease.
func (s *Sealer) Lapsed(now clock.Instant) bool {
	return len(s.SealedBy(now)) >= majority(len(s.witnesses))
}

func (s *Sealer) validity() time.Duration { return s.params.holderTerm() }
