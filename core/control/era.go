package control

import (
	"slices"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/snapshot"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

const (
	// startDelay is the time for which the first planner waits for the start of an era
	// before it writes one.
	startDelay = 100 * time.Millisecond
	// startStagger is the extra delay of each further planner.
	startStagger = 400 * time.Millisecond
	// startDelayOther is the delay of daemons that are not planners, which may have read
	// nothing but the restored past.
	startDelayOther = 1500 * time.Millisecond
	// startSpread is the random extra delay of these daemons.
	startSpread = 500 * time.Millisecond
	// startRetry is the time after which a start that was not read is written again.
	startRetry = 2 * time.Second
	// minRetention is the time for which the log keeps records at least.
	minRetention = 15 * time.Second
)

// eraState is the progress of a new era of the placement stream.
type eraState struct {
	settled   bool          // as in the newest view
	log       uint64        // newest era of the log
	waiting   bool          // records are not applied until the start of the era
	writeAt   clock.Instant // when this daemon writes the start; zero if none is due
	startedAt clock.Instant // when the start was read
	openAt    clock.Instant // when this daemon writes the opening; zero if none is due
}

// needsStart reports whether the log is in a later era than the replayed placement.
func (s *State) needsStart() bool { return s.era.waiting || s.fold.NeedsStart(s.era.log) }

// placementSettled reports whether shards may change hands: the era of the log has been
// started and opened.
func (s *State) placementSettled() bool { return !s.needsStart() && !s.fold.Claiming }

// stampEra is the era of the records that this daemon writes.
func (s *State) stampEra() uint64 {
	if s.fold.Era == 0 {
		return min(s.era.log, logstream.FirstEra)
	}
	return s.fold.Era
}

// restored handles a log that came back from a copy. e.First is the position from which
// the stream is read again. It returns false if that is not in a new era, or if this daemon
// has read nothing and the stream's beginning was trimmed.
func (s *State) restored(e Trimmed) bool {
	next := &s.fold.Next
	if e.Stream == logstream.ConfigStream {
		next = &s.history.Next
	}
	if logstream.EraOf(e.First) <= logstream.EraOf(*next) {
		return false
	}
	started := logstream.OffsetOf(*next) > 1
	if !started && logstream.OffsetOf(e.First) > 1 {
		return false // its beginning was trimmed too
	}
	*next = e.First
	if e.Stream == logstream.ConfigStream {
		if started {
			s.emitDecision(Decision{Action: "log_restored", Reason: "configuration; what is in force stays", Generation: logstream.EraOf(e.First)})
			s.history.Restored()
		}
		return true
	}
	s.era.log = logstream.EraOf(e.First)
	s.era.writeAt = 0
	delete(s.collectors, e.Stream)
	if started {
		s.emitDecision(Decision{Action: "log_restored", Reason: "placement; waiting for the start of the era", Generation: s.era.log})
		s.era.waiting = true
		s.caughtUp = false
	}
	return true
}

// skippedStart handles records that were trimmed while this daemon waits for the start of
// an era, and reports whether the start may be among them: the log was not read for so
// long that records of the new era may have been trimmed. The daemon then waits for a
// snapshot.
func (s *State) skippedStart(e Trimmed) bool {
	if s.readAsOf != 0 && s.now.Sub(s.readAsOf) < minRetention {
		return false
	}
	s.era.waiting = false
	if s.member.holder != nil {
		s.emitDecision(Decision{Action: "abandon", Reason: "the start of the era may have been trimmed", Member: s.member.incarnation})
		s.dropIncarnation()
	}
	return true
}

// eraStarted handles the start of an era, which replaced the placement. resplit
// reports that split keys changed. A member keeps its incarnation and what it serves.
func (s *State) eraStarted(start *wire.EraStart, resplit bool) {
	era := s.fold.Base
	s.era.log = max(s.era.log, era)
	s.era.waiting = false
	s.era.writeAt = 0
	s.era.startedAt = s.now
	s.era.openAt = 0
	s.caughtUp = false
	if s.history.Adopt(start.GetStanding(), start.GetConfigNext()) {
		s.emitDecision(Decision{Action: "configuration", Reason: "start of an era", Generation: s.history.Version})
	}
	s.configChanged()
	s.tables.members = nil
	s.tables.next = 0
	s.recheckConsents = true
	s.emitDecision(Decision{Action: "era_started", Reason: "placement of the start is in force", Generation: era})
	s.dropEarlierEra()
	s.reclaimSlot()
	s.adoptEra(resplit)
}

// dropEarlierEra drops what refers to the placement of an earlier era.
func (s *State) dropEarlierEra() {
	s.outbox.keepLeaves(s.now)
	s.planner.outstanding = nil
	s.takeovers = nil
	s.keyChangeID = [16]byte{}
	s.keyChangeShards = nil
	s.member.joinID = [16]byte{}
	s.member.joinSent = 0
	clear(s.lapsed)
	clear(s.sealers)
	clear(s.pendingLapses)
}

// reclaimSlot announces this process again if the start does not know it.
func (s *State) reclaimSlot() {
	slot, ok := s.fold.Slots[s.opts.Slot]
	if ok && s.claim.offset != 0 && slot.Offset == s.claim.offset {
		return
	}
	s.claim = slotClaim{}
	s.member.announced = false
}

// adoptEra writes which shards this daemon serves, or ends its incarnation if the era
// cannot know it.
func (s *State) adoptEra(resplit bool) {
	m := &s.member
	if m.incarnation == 0 || m.holder == nil {
		return
	}
	if self := s.self(); self == nil || self.Phase == fold.Gone || resplit {
		s.emitDecision(Decision{Action: "abandon", Reason: "the start of the era does not know this incarnation or its split keys", Member: m.incarnation})
		s.dropIncarnation()
		return
	}
	m.readySent = s.self().Phase == fold.InService
	adopt := &wire.Adopt{Incarnation: m.incarnation}
	for _, id := range s.shardIDs() {
		r, sh := s.rights[id], s.shard(id)
		if sh == nil || !s.keepRight(r) {
			delete(s.rights, id)
			s.dirty = true
			continue
		}
		if sh.Owner != m.incarnation {
			adopt.Refs = append(adopt.Refs, &wire.ShardRef{Service: id.Service, Shard: id.Shard, Generation: sh.Generation})
		}
	}
	s.append(&wire.Record{Body: &wire.Record_Adopt{Adopt: adopt}})
	s.emitDecision(Decision{Action: "adopt_era", Reason: "shards that the start gives to others are claimed", Member: m.incarnation, Count: len(adopt.Refs)})
}

// keepRight reports whether a right outlasts the start of an era: the shard is served, or
// its release was not sent yet and is aborted. All marks of the earlier era end.
func (s *State) keepRight(r *right) bool {
	if !r.owned && (!r.releasing || r.sent || r.recorded || r.irrevocable) {
		return false
	}
	if r.releasing {
		s.abortRelease(r)
	}
	r.taken, r.consented, r.released = 0, 0, 0
	return true
}

// tickEra writes the start of an era, and its opening, if no other daemon did in time.
func (s *State) tickEra() {
	e := &s.era
	switch {
	case s.needsStart():
		if !s.caughtUp || s.collectors[s.placementStream()] != nil {
			return
		}
		if e.writeAt == 0 {
			e.writeAt = s.now.Add(s.startDelay())
		}
		if s.now >= e.writeAt {
			e.writeAt = s.now.Add(startRetry)
			s.writeStart()
		}
	case s.fold.Claiming:
		s.tickOpening()
	}
}

// startDelay returns the time for which this daemon waits for another's start.
func (s *State) startDelay() time.Duration {
	if rank := slices.Index(s.planners(), s.member.incarnation); rank >= 0 && s.leaseHeld() {
		return startDelay + time.Duration(rank)*startStagger
	}
	return startDelayOther + s.jitter(startSpread)
}

// writeStart writes the start of the log's era from what this daemon knows.
func (s *State) writeStart() {
	parts, err := s.fold.EncodeStart(s.era.log, s.history.Standing(), s.history.Next)
	if err != nil {
		s.emitDecision(Decision{Action: "start_era", Reason: err.Error()})
		return
	}
	for _, part := range parts {
		id := snapshot.RecordID(part)
		rec := &wire.Record{Id: id[:], Author: s.member.incarnation, Era: s.era.log, Body: &wire.Record_Snapshot{Snapshot: part}}
		rec.Version = fold.VersionOf(rec)
		s.emit(Append{Stream: s.placementStream(), Record: rec})
	}
	s.emitDecision(Decision{Action: "start_era", Reason: "the log was restored", Generation: s.era.log, Count: len(parts)})
}

// tickOpening writes the opening of the era. Planners do so in order of rank.
func (s *State) tickOpening() {
	rank := slices.Index(s.planners(), s.member.incarnation)
	if rank < 0 || !s.leaseHeld() || !s.fold.AllAdopted() || !s.caughtUp {
		return
	}
	// Members that have not read the start lose the longest lease in this time.
	wait := s.driftedTerm(s.opts.Lease.Term + s.opts.Lease.Longest())
	if s.now < s.era.startedAt.Add(wait+time.Duration(rank)*startStagger) || s.now < s.era.openAt {
		return
	}
	s.era.openAt = s.now.Add(startRetry)
	s.appendOnce(&wire.Record{Body: &wire.Record_OpenEra{OpenEra: &wire.OpenEra{Era: s.fold.Base}}})
	s.emitDecision(Decision{Action: "open_era", Reason: "all members have adopted it", Generation: s.fold.Base})
}

// publishEra makes a view due when the era has been opened or started.
func (s *State) publishEra() {
	if settled := s.placementSettled(); settled != s.era.settled {
		s.era.settled = settled
		s.dirty = true
	}
}
