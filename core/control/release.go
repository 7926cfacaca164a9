package control

import (
	"slices"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/placement"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// releaseRetry is the interval between release messages that got no answer.
const releaseRetry = 200 * time.Millisecond

// abortRelease ends a release whose standby changed meanwhile. The right of
// the standby that may have received it has ended with the change.
func (s *State) abortRelease(r *right) {
	r.resumed = ResumedWhole
	if r.sent {
		r.resumed = ResumedLater
	}
	r.releasing = false
	r.quiesced = false
	r.answered = false
	r.recorded = false
	r.marks = nil
	r.levels = nil
	r.handover = ""
}

// shouldRelease reports whether this daemon is to hand over sh now: it leaves,
// or it was asked to or is itself out of service, and the standby can take it.
// Planned moves wait while the log is silent: an interrupted one could not be
// resumed.
func (s *State) shouldRelease(sh *fold.Shard) bool {
	if s.member.departing != "" {
		return s.departsNow(sh)
	}
	if sh.Owner != s.member.incarnation || !sh.Handover && !s.selfOut() {
		return false
	}
	return s.usableStandby(sh) && s.logFresh()
}

// usableStandby reports whether sh has a standby that may serve it.
func (s *State) usableStandby(sh *fold.Shard) bool { return s.usable(sh.Standby) }

// usable reports whether a member may serve shards that it is given now.
func (s *State) usable(inc fold.Incarnation) bool {
	m, ok := s.fold.Members[inc]
	if !ok || m.Phase != fold.InService || s.lapsed[inc] || s.doubted(inc) {
		return false
	}
	return !placement.IsOut(s.fold, s.history.Config, m)
}

// logFreshness is the age of the newest knowledge of the log's head up to which
// planned moves start. A long poll's answer is up to two of its waits old.
const logFreshness = 3 * time.Second

// logFresh reports whether the log was read lately. Daemons that follow a peer
// learn the head of a quiet placement stream seldom, that of the configuration
// each second or so; either shows that the log takes records.
func (s *State) logFresh() bool {
	at := max(s.readAsOf, s.fresh.Known())
	return at != 0 && s.now.Sub(at) < logFreshness
}

// selfOut reports whether an operator took this daemon out of service.
func (s *State) selfOut() bool {
	m := s.self()
	return m != nil && placement.IsOut(s.fold, s.history.Config, m)
}

func (s *State) startRelease(id view.ShardID, sh *fold.Shard, r *right) {
	r.owned = false
	r.releasing = true
	r.quiesced = false
	r.answered = false
	r.recorded = false
	r.sent = false
	r.releaseGen = sh.Generation
	if sh.Owner != s.member.incarnation {
		r.releaseGen = r.taken // the takeover is not in the log yet
	}
	s.dirty = true
	s.emitLate(Quiesce{Shard: id, Token: r.token})
	s.decide(Decision{Action: "release", Reason: s.releaseReason(sh), Shard: id, Generation: sh.Generation, Member: sh.Standby})
}

func (s *State) releaseReason(sh *fold.Shard) string {
	switch {
	case s.member.departing != "":
		return s.member.departing
	case s.selfOut():
		return "taken out of service"
	case sh.Handover:
		return "handover was asked for"
	default:
		return ""
	}
}

func (s *State) quiesced(e Quiesced) {
	r, ok := s.rights[e.Shard]
	sh := s.shard(e.Shard)
	if !ok || sh == nil || !r.releasing || r.token != e.Token {
		return
	}
	r.quiesced = true
	r.releasedAt = s.now
	r.marks = e.Marks
	r.levels = e.Levels
	r.handover = e.Handover
	s.pursueRelease(e.Shard, sh, r)
}

const (
	// standbyPatience is the time without an answer after which the standby of
	// a release is suspected.
	standbyPatience = 300 * time.Millisecond
	// releaseBound is the time without an answer after which a release is put
	// into the log instead. It leaves time to seal a lost standby first: then
	// the owner takes up the shard again.
	releaseBound = 1500 * time.Millisecond
)

// pursueRelease sends a release until it is answered, and finds another way
// when the standby stays silent.
func (s *State) pursueRelease(id view.ShardID, sh *fold.Shard, r *right) {
	if r.answered && s.now < r.nextSend {
		return
	}
	if s.inSplit(id) {
		if !s.stopping {
			return
		}
		r.final = true
	}
	if s.now >= r.nextSend {
		s.sendRelease(id, sh, r)
	}
	if r.answered {
		return // the standby's record is on its way
	}
	waited := s.now.Sub(r.releasedAt)
	if waited >= standbyPatience {
		s.suspect(sh.Standby, "no answer to a release", true)
	}
	if waited >= releaseBound && !r.recorded && sh.Standby != 0 && s.mayRelease(sh, r) {
		r.recorded = true
		r.sent = true
		s.recordTakeover(takenShard{ref: &wire.ShardRef{Service: id.Service, Shard: id.Shard, Generation: r.releaseGen}})
		s.decide(Decision{Action: "record_release", Reason: "the standby does not answer", Shard: id, Generation: r.releaseGen, Member: sh.Standby})
	}
}

// mayRelease reports whether replay still shows the placement under which the
// release of sh began.
func (s *State) mayRelease(sh *fold.Shard, r *right) bool {
	return sh.Owner == s.member.incarnation && sh.Generation == r.releaseGen
}

func (s *State) sendRelease(id view.ShardID, sh *fold.Shard, r *right) {
	if !s.mayRelease(sh, r) {
		return
	}
	standby, ok := s.fold.Members[sh.Standby]
	if !ok {
		return
	}
	slot, ok := s.fold.Slots[standby.Slot]
	if !ok {
		return
	}
	r.released = r.releaseGen + 1
	r.sent = true
	r.nextSend = s.now.Add(releaseRetry)
	s.emitLate(SendRelease{PeerAddr: slot.PeerAddr, Shard: id, Msg: &wire.Release{
		Owner: s.member.incarnation,
		Ref:   &wire.ShardRef{Service: id.Service, Shard: id.Shard, Generation: r.releaseGen},
		Marks: r.marks, Levels: r.levels, Handover: r.handover,
	}})
}

func (s *State) releaseAnswered(e ReleaseAnswered) {
	if e.Question {
		s.questionAnswered(e)
		return
	}
	if e.Accepted {
		if r, ok := s.rights[e.Shard]; ok && r.releasing && r.releaseGen == e.Generation {
			r.answered = true
			r.nextSend = s.now.Add(appendRetry)
		}
		return
	}
	s.decide(Decision{Action: "release_refused", Reason: e.Reason, Shard: e.Shard, Generation: e.Generation})
}

// releaseReceived takes over a shard from its owner if replay names this
// daemon as standby at the same generation.
func (s *State) releaseReceived(e ReleaseReceived) {
	reason := s.acceptRelease(e.Msg)
	s.emit(AnswerRelease{Ticket: e.Ticket, Answer: &wire.ReleaseAnswer{Accepted: reason == "", Reason: reason}})
}

func (s *State) acceptRelease(msg *wire.Release) string {
	id := view.ShardID{Service: msg.GetRef().GetService(), Shard: msg.GetRef().GetShard()}
	sh := s.shard(id)
	generation := msg.GetRef().GetGeneration()
	switch {
	case sh == nil:
		return "unknown shard"
	case !s.leaseHeld():
		return "no lease"
	case s.member.departing != "" || s.stopping:
		return "leaving"
	case sh.Generation != generation || msg.GetOwner() != 0 && sh.Owner != msg.GetOwner() || sh.Standby != s.member.incarnation:
		return "replay shows another placement"
	}
	r := s.right(id)
	if r.consented == generation+1 {
		return "standby right was given up"
	}
	if r.taken == generation+1 || msg.GetOwner() == 0 {
		return ""
	}
	s.takeOver(id, sh, false, TakeOver{
		Marks: msg.GetMarks(), Levels: msg.GetLevels(), Handover: msg.GetHandover(),
	})
	s.recordTakeover(s.takenFrom(sh, msg.GetRef(), msg.GetOwner()))
	return ""
}

// takenShard is a shard that changed hands, for the record of it.
type takenShard struct {
	ref            *wire.ShardRef
	formerStandsBy bool          // its former owner becomes the standby
	due            clock.Instant // when the record is to be sent
}

// leaveGather is the time for which the takeovers from a departing member wait for
// its leave record, which says the same of all its shards at once. It is short: until
// a takeover is in the log nobody can stand by for its shard.
const leaveGather = 600 * time.Millisecond

// recordTakeover notes a takeover for a record of this tick. Many shards change
// hands at once when a daemon leaves; one record for each would fill the log.
func (s *State) recordTakeover(t takenShard) { s.takeovers = append(s.takeovers, t) }

// takenFrom returns the takeover of a shard that a member released. A former owner
// that goes on serving other shards stands by: it knows the shard's request ids, and
// one of the same data centre is better than none until a planner names another.
func (s *State) takenFrom(sh *fold.Shard, ref *wire.ShardRef, former fold.Incarnation) takenShard {
	t := takenShard{ref: ref, formerStandsBy: sh.Handover && s.usable(former), due: s.now}
	if m := s.fold.Members[former]; !sh.Handover && m != nil && !placement.IsOut(s.fold, s.history.Config, m) {
		t.due = s.now.Add(leaveGather)
	}
	return t
}

// maxTakeovers bounds the shards that one takeover record names.
const maxTakeovers = 1000

// sendTakeovers appends the takeovers once one of them is due, those that no other
// record has shown meanwhile. A daemon that gives up shards itself has no time to
// wait.
func (s *State) sendTakeovers() {
	s.takeovers = slices.DeleteFunc(s.takeovers, s.shown)
	due := func(t takenShard) bool { return s.now >= t.due }
	if s.member.departing == "" && !slices.ContainsFunc(s.takeovers, due) {
		return
	}
	for _, formerStandsBy := range []bool{false, true} {
		var refs []*wire.ShardRef
		for _, t := range s.takeovers {
			if t.formerStandsBy == formerStandsBy {
				refs = append(refs, t.ref)
			}
		}
		for part := range slices.Chunk(refs, maxTakeovers) {
			s.append(&wire.Record{Body: &wire.Record_Takeover{Takeover: &wire.Takeover{
				Incarnation: s.member.incarnation, Refs: slices.Clone(part), FormerStandsBy: formerStandsBy}}})
		}
	}
	s.takeovers = nil
}

// shown reports whether replay shows a placement after the takeover's.
func (s *State) shown(t takenShard) bool {
	sh := s.shard(view.ShardID{Service: t.ref.GetService(), Shard: t.ref.GetShard()})
	return sh != nil && sh.Generation > t.ref.GetGeneration()
}
