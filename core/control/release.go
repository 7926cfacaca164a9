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

// releaseRetry is the interval between release messages that get no answer.
const releaseRetry = 200 * time.Millisecond

// abortRelease ends a release whose standby has changed meanwhile. The change ended the
// right of the standby that may have received the release.
func (s *State) abortRelease(r *right) {
	r.resumed = ResumedUnsent
	if r.sent {
		r.resumed = ResumedAfterSend
	}
	r.releasing = false
	r.quiesced = false
	r.answered = false
	r.recorded = false
	r.marks = nil
	r.levels = nil
	r.handover = ""
}

// shouldRelease reports whether this daemon must release sh now. For a departing daemon
// departingMayRelease decides. Any other daemon releases if a handover was requested or
// it is out of service, provided that the standby can serve the shard and the log is
// available: without the log an interrupted move could not be resumed.
func (s *State) shouldRelease(sh *fold.Shard) bool {
	if s.member.departReason != "" {
		return s.departingMayRelease(sh)
	}
	if sh.Owner != s.member.incarnation || !sh.Handover && !s.selfOut() {
		return false
	}
	return s.usableStandby(sh) && s.logFresh()
}

// usableStandby reports whether sh has a standby that can serve it.
func (s *State) usableStandby(sh *fold.Shard) bool { return s.usable(sh.Standby) }

// usable reports whether a member can serve shards that are assigned to it now.
func (s *State) usable(inc fold.Incarnation) bool {
	m, ok := s.fold.Members[inc]
	if !ok || m.Phase != fold.InService || s.lapsed[inc] || s.recentlySuspected(inc) {
		return false
	}
	return !placement.IsOut(s.fold, s.history.Config, m)
}

// logFreshness is the maximum age of the newest known log head at which planned moves
// start. The head counts as of the time when the read was sent, so with long polls it
// becomes up to two poll waits old before the next answer arrives.
const logFreshness = 3 * time.Second

// logFresh reports whether the log was read within logFreshness. Daemons that follow a
// peer rarely learn the head of an idle placement stream, but learn that of the
// configuration about once a second; either one proves that the log accepts records.
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
		r.releaseGen = r.taken // replay does not show the takeover yet
	}
	s.dirty = true
	s.emitAfterView(Quiesce{Shard: id, Token: r.token})
	s.emitDecision(Decision{Action: "release", Reason: s.releaseReason(sh), Shard: id, Generation: sh.Generation, Member: sh.Standby})
}

func (s *State) releaseReason(sh *fold.Shard) string {
	switch {
	case s.member.departReason != "":
		return s.member.departReason
	case s.selfOut():
		return "taken out of service"
	case sh.Handover:
		return "handover was requested"
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
	s.advanceRelease(e.Shard, sh, r)
}

const (
	// standbyTimeout is the time without an answer after which the standby of a release
	// is suspected.
	standbyTimeout = 300 * time.Millisecond
	// releaseTimeout is the time without an answer after which a release is written to
	// the log instead. It leaves time to seal the lease of a lost standby first; in
	// that case the owner resumes the shard.
	releaseTimeout = 1500 * time.Millisecond
)

// advanceRelease sends a release, and repeats it after releaseRetry or, once the standby
// has accepted it, after appendRetry, until replay shows the change. Without an answer it
// suspects the standby and finally writes the release to the log.
func (s *State) advanceRelease(id view.ShardID, sh *fold.Shard, r *right) {
	if r.answered && s.now < r.nextSend {
		return
	}
	if s.inKeyChange(id) {
		if !s.stopping {
			return
		}
		r.irrevocable = true
	}
	if s.now >= r.nextSend {
		s.sendRelease(id, sh, r)
	}
	if r.answered {
		return // the standby's takeover record will follow
	}
	waited := s.now.Sub(r.releasedAt)
	if waited >= standbyTimeout {
		s.suspect(sh.Standby, "no answer to a release", true)
	}
	if waited >= releaseTimeout && !r.recorded && sh.Standby != 0 && s.placementUnchanged(sh, r) {
		r.recorded = true
		r.sent = true
		s.queueTakeover(pendingTakeover{ref: &wire.ShardRef{Service: id.Service, Shard: id.Shard, Generation: r.releaseGen}})
		s.emitDecision(Decision{Action: "record_release", Reason: "the standby does not answer", Shard: id, Generation: r.releaseGen, Member: sh.Standby})
	}
}

// placementUnchanged reports whether replay still shows the placement under which the
// release of sh started.
func (s *State) placementUnchanged(sh *fold.Shard, r *right) bool {
	return sh.Owner == s.member.incarnation && sh.Generation == r.releaseGen
}

func (s *State) sendRelease(id view.ShardID, sh *fold.Shard, r *right) {
	if !s.placementUnchanged(sh, r) {
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
	s.emitAfterView(SendRelease{PeerAddr: slot.PeerAddr, Shard: id, Msg: &wire.Release{
		Owner: s.member.incarnation,
		Ref:   &wire.ShardRef{Service: id.Service, Shard: id.Shard, Generation: r.releaseGen},
		Marks: r.marks, Levels: r.levels, Handover: r.handover,
	}})
}

func (s *State) releaseAnswered(e ReleaseAnswered) {
	if e.ReadinessCheck {
		s.readinessAnswered(e)
		return
	}
	if e.Accepted {
		if r, ok := s.rights[e.Shard]; ok && r.releasing && r.releaseGen == e.Generation {
			r.answered = true
			r.nextSend = s.now.Add(appendRetry)
		}
		return
	}
	s.emitDecision(Decision{Action: "release_refused", Reason: e.Reason, Shard: e.Shard, Generation: e.Generation})
}

// releaseReceived takes over a shard from its owner if replay shows this daemon as its
// standby at the same generation. It also answers readiness checks.
func (s *State) releaseReceived(e ReleaseReceived) {
	reason := s.acceptRelease(e.Msg)
	s.emit(AnswerRelease{Ticket: e.Ticket, Answer: &wire.ReleaseAnswer{Accepted: reason == "", Reason: reason}})
}

// acceptRelease returns the reason why a release is refused, or "" if it is accepted. An
// accepted release takes over the shard unless that was done before or the message is a
// readiness check.
func (s *State) acceptRelease(msg *wire.Release) string {
	id := view.ShardID{Service: msg.GetRef().GetService(), Shard: msg.GetRef().GetShard()}
	sh := s.shard(id)
	generation := msg.GetRef().GetGeneration()
	switch {
	case sh == nil:
		return "unknown shard"
	case !s.leaseHeld():
		return "the standby holds no lease"
	case s.member.departReason != "" || s.stopping:
		return "leaving"
	case s.fold.Claiming:
		return "the era of the log is not open"
	case sh.Generation != generation || msg.GetOwner() != 0 && sh.Owner != msg.GetOwner() || sh.Standby != s.member.incarnation:
		return "replay shows another placement"
	}
	r := s.right(id)
	if r.consented == generation+1 {
		return "the standby consented to its successor"
	}
	if r.taken == generation+1 || msg.GetOwner() == 0 {
		return ""
	}
	s.takeOver(id, sh, false, TakeOver{
		Marks: msg.GetMarks(), Levels: msg.GetLevels(), Handover: msg.GetHandover(),
	})
	s.queueTakeover(s.takeoverFrom(sh, msg.GetRef(), msg.GetOwner()))
	return ""
}

// pendingTakeover is a shard whose owner changed and whose takeover record is not
// appended yet.
type pendingTakeover struct {
	ref                  *wire.ShardRef
	previousOwnerStandby bool          // its previous owner becomes the standby
	due                  clock.Instant // when the record is due
}

// leaveRecordWait is the time for which takeovers from a departing member wait for its
// leave record, which covers all its shards at once. It is short because a shard has no
// standby until its takeover is in the log.
const leaveRecordWait = 600 * time.Millisecond

// queueTakeover queues a takeover for a shared record. Many shards change owner at once
// when a daemon leaves; one record for each would flood the log.
func (s *State) queueTakeover(t pendingTakeover) { s.takeovers = append(s.takeovers, t) }

// takeoverFrom returns the takeover of a shard that a member released. A previous owner
// that keeps serving other shards becomes the standby: it knows the shard's request
// ids, and a standby in the same data centre is better than none until a planner names
// another.
func (s *State) takeoverFrom(sh *fold.Shard, ref *wire.ShardRef, previous fold.Incarnation) pendingTakeover {
	t := pendingTakeover{ref: ref, previousOwnerStandby: sh.Handover && s.usable(previous), due: s.now}
	if m := s.fold.Members[previous]; !sh.Handover && m != nil && !placement.IsOut(s.fold, s.history.Config, m) {
		t.due = s.now.Add(leaveRecordWait)
	}
	return t
}

// maxTakeovers is the maximum number of shards in one takeover record.
const maxTakeovers = 1000

// sendTakeovers appends the queued takeovers once one of them is due, except those that
// replay already shows. A departing daemon appends them at once because it has no time
// to wait.
func (s *State) sendTakeovers() {
	s.takeovers = slices.DeleteFunc(s.takeovers, s.takeoverRecorded)
	due := func(t pendingTakeover) bool { return s.now >= t.due }
	if s.member.departReason == "" && !slices.ContainsFunc(s.takeovers, due) {
		return
	}
	for _, previousOwnerStandby := range []bool{false, true} {
		var refs []*wire.ShardRef
		for _, t := range s.takeovers {
			if t.previousOwnerStandby == previousOwnerStandby {
				refs = append(refs, t.ref)
			}
		}
		for part := range slices.Chunk(refs, maxTakeovers) {
			s.append(&wire.Record{Body: &wire.Record_Takeover{Takeover: &wire.Takeover{
				Incarnation: s.member.incarnation, Refs: slices.Clone(part), FormerStandsBy: previousOwnerStandby}}})
		}
	}
	s.takeovers = nil
}

// takeoverRecorded reports whether replay shows a later placement than the one that the
// takeover ended.
func (s *State) takeoverRecorded(t pendingTakeover) bool {
	sh := s.shard(view.ShardID{Service: t.ref.GetService(), Shard: t.ref.GetShard()})
	return sh != nil && sh.Generation > t.ref.GetGeneration()
}
