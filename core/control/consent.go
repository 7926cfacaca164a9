package control

import (
	"maps"
	"slices"

	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// appendRefused withdraws a consent that the log definitely did not accept: this daemon
// is still the standby of the shards and the only one that may take them over while the
// log is down. Other records are retried.
func (s *State) appendRefused(e AppendRefused) {
	out, ok := s.outbox.pending[e.ID]
	if !ok {
		return
	}
	out.refused++
	consent := out.record.GetConsent()
	if consent == nil || out.refused < out.attempts {
		return
	}
	delete(s.outbox.pending, e.ID)
	for _, ref := range consent.GetRefs() {
		s.withdrawConsent(ref)
	}
	s.consentRefused = s.now
	s.recheckConsents = true
	if s.leaseHeld() {
		for _, inc := range slices.Sorted(maps.Keys(s.lapsed)) {
			s.takeOverShardsOf(inc)
		}
	}
	s.emitDecision(Decision{Action: "withdraw_consent", Reason: "the log did not accept the consent", Count: len(consent.GetRefs())})
}

// withdrawConsent makes this daemon the standby of a shard again.
func (s *State) withdrawConsent(ref *wire.ShardRef) {
	r, ok := s.rights[view.ShardID{Service: ref.GetService(), Shard: ref.GetShard()}]
	if ok && r.consented == ref.GetGeneration()+1 {
		r.consented = 0
	}
}

// mayConsent reports whether the log is likely to accept a consent: it was read since
// it last refused one.
func (s *State) mayConsent() bool {
	return s.consentRefused == 0 || max(s.readAsOf, s.fresh.Known()) > s.consentRefused
}
