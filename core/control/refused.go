package control

import (
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// A shard that was handed off while the log is down has no standby. If the log definitely
// did not accept the takeover, the new owner never appends it again and tells the previous
// one, which stays the recorded owner: it resumes the shard once the new owner's lease has
// lapsed, under the generation that the record of the lapse gives the shard, and records the
// release itself once the log is read again.

// mayResume reports whether this daemon may resume a shard that it releases now.
func (s *State) mayResume() bool { return s.member.departReason == "" && !s.stopping }

// releaseAccepted handles the answer of a standby that accepted a release.
func (s *State) releaseAccepted(r *right, unrecorded bool) {
	r.answered = true
	r.answeredAt = s.now
	r.nextSend = s.now.Add(appendRetry)
	if s.mayResume() {
		r.nextSend = s.now.Add(releaseRetry)
	}
	if unrecorded && !r.unappended {
		r.unappended = true
		r.unappendedAt = s.now
	}
}

// withdrawTakeovers handles a takeover record that the log definitely did not accept.
// This daemon does not append again the takeovers whose previous owner may resume, and
// its own releases to standbys that do not. The others are appended in another record.
func (s *State) withdrawTakeovers(id [16]byte, t *wire.Takeover) {
	if t.GetIncarnation() != s.member.incarnation || !s.mayResume() {
		return
	}
	var rest []*wire.ShardRef
	for _, ref := range t.GetRefs() {
		if !s.withdrawTakeover(ref) {
			rest = append(rest, ref)
		}
	}
	if len(rest) == len(t.GetRefs()) {
		return
	}
	delete(s.outbox.pending, id)
	for _, ref := range rest {
		s.queueTakeover(pendingTakeover{ref: ref, previousOwnerStandby: t.GetFormerStandsBy(), due: s.now.Add(appendRetry)})
	}
	s.emitDecision(Decision{Action: "withdraw_takeover", Reason: "the log did not accept the takeover", Count: len(t.GetRefs()) - len(rest)})
}

func (s *State) withdrawTakeover(ref *wire.ShardRef) bool {
	r, ok := s.rights[view.ShardID{Service: ref.GetService(), Shard: ref.GetShard()}]
	generation := ref.GetGeneration()
	switch {
	case !ok:
		return false
	case r.taken == generation+1 && r.ownerResumes == generation+1:
		r.unrecorded = generation + 1
		return true
	case r.releasing && r.releaseGen == generation && r.recorded && r.unappended:
		r.recorded = false
		r.unappendedAt = s.now
		return true
	}
	return false
}

// takeoverRefused reports whether this daemon took a shard over and will not append that.
func (s *State) takeoverRefused(ref *wire.ShardRef) bool {
	r, ok := s.rights[view.ShardID{Service: ref.GetService(), Shard: ref.GetShard()}]
	return ok && r.taken == ref.GetGeneration()+1 && r.unrecorded == ref.GetGeneration()+1
}

// afterRefusedTakeover resumes a released shard whose new owner is lost, or records the
// release if the log was read since. It reports whether the shard was resumed.
func (s *State) afterRefusedTakeover(id view.ShardID, sh *fold.Shard, r *right) (resumed bool) {
	if r.recorded || !s.placementUnchanged(sh, r) || !s.mayResume() || !s.placementSettled() {
		return false
	}
	if s.lapsed[sh.Standby] {
		s.abortRelease(r)
		s.acquire(id, r, sh.Generation+2, TakeOver{Resumed: r.resumed}, true, "the new owner is lost and its takeover is not recorded")
		return true
	}
	if max(s.readAsOf, s.fresh.Known()) > r.unappendedAt {
		r.recorded = true
		s.queueTakeover(pendingTakeover{ref: &wire.ShardRef{Service: id.Service, Shard: id.Shard, Generation: r.releaseGen}, due: s.now})
		s.emitDecision(Decision{Action: "record_release", Reason: "the log did not accept the takeover", Shard: id, Generation: r.releaseGen, Member: sh.Standby})
		return false
	}
	if s.now.Sub(r.answeredAt) >= standbyTimeout+releaseRetry {
		s.suspect(sh.Standby, "no answer to a release", true)
	}
	return false
}
