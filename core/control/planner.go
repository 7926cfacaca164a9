package control

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/placement"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

const (
	// plannerCount is the number of planners of a region.
	plannerCount = 3
	// planInterval is the minimum time between rounds of a planner.
	planInterval = 300 * time.Millisecond
	// plannerStagger is the extra delay of each further planner, so that those before
	// it act first.
	plannerStagger = 1500 * time.Millisecond
	// replanInterval is the time after which a round runs although nothing changed,
	// because the records of the last one may be lost.
	replanInterval = 1 * time.Second
	// fallbackCount is the number of members that plan in place of the planners when shards stay
	// without an owner and replay shows no planner's record: after a loss of power the oldest
	// members, which are the planners, may all be gone, and their leases lapse seconds later. The
	// youngest members have joined since.
	fallbackCount = 8
	// fallbackDelay is the time for which the first of them waits. The first planner needs a
	// fifth of it.
	fallbackDelay = plannerStagger
	// fallbackStagger is the extra delay of each further one: the time in which replay usually
	// shows the record of the one before.
	fallbackStagger = 300 * time.Millisecond
	// unattendedTime is the time after which any other daemon plans. The witnesses of the
	// planners may be gone too, so that their leases do not lapse.
	unattendedTime = plannerCount * plannerStagger
	// unattendedSpread is the range of the additional delay of each such daemon.
	unattendedSpread = 2 * time.Second
)

// planner is the state of this daemon's planning.
type planner struct {
	next         clock.Instant
	lastBasis    planBasis     // state on which the last round was based
	lastRound    clock.Instant // time of the last round
	outstanding  [][16]byte    // records of the last round that replay has not shown
	workSince    clock.Instant // since when rounds have found work; zero if the last found none
	peerPlanSeen clock.Instant // when replay last showed another planner's record
	since        clock.Instant // when this daemon became a planner; zero while it is none
	orphansSince clock.Instant // since when shards have had no owner; zero while all have one

	memberWait   map[string]memberWait // by service
	nextBalance  clock.Instant         // when ranges may move again
	balanceUntil clock.Instant         // until when moves of ranges continue
}

// planBasis identifies the replayed placement and the configuration on which a plan is
// based. Plans also depend on the load reports and on time.
type planBasis struct {
	replay, config uint64
}

// plannerList is the list of planners, cached until members change.
type plannerList struct {
	epoch uint64
	valid bool
	list  []fold.Incarnation
	// fallback lists those that plan in place of lost planners, the youngest first.
	fallback []fold.Incarnation
}

// planners returns the oldest members in service, the first planner first. Several
// planners at a time do no harm: replay accepts the first record and rejects records
// based on an earlier state.
func (s *State) planners() []fold.Incarnation { return s.plannerLists().list }

func (s *State) plannerLists() *plannerList {
	c := &s.plannerCache
	if c.valid && c.epoch == s.fold.Epoch {
		return c
	}
	var list []fold.Incarnation
	for inc, m := range s.fold.Members {
		if m.Phase == fold.InService {
			list = append(list, inc)
		}
	}
	slices.Sort(list)
	planners := min(len(list), plannerCount)
	fallback := slices.Clone(list[max(planners, len(list)-fallbackCount):])
	slices.Reverse(fallback)
	*c = plannerList{epoch: s.fold.Epoch, valid: true, list: slices.Clone(list[:planners]), fallback: fallback}
	return c
}

func (s *State) isPlanner() bool {
	return slices.Contains(s.planners(), s.member.incarnation)
}

func (s *State) isFirstPlanner() bool {
	list := s.planners()
	return len(list) > 0 && list[0] == s.member.incarnation
}

func (s *State) tickPlanner() {
	p := &s.planner
	if s.now < p.next || !s.leaseHeld() || s.stopping || !s.placementSettled() {
		return
	}
	p.next = s.now.Add(planInterval)
	rank := slices.Index(s.planners(), s.member.incarnation)
	if rank < 0 && s.unattended() {
		rank = 0
	}
	s.recordPlanning(rank >= 0)
	if rank < 0 || s.proposalsOutstanding() || !s.planDue() {
		return
	}
	plan := s.plan()
	if plan.Empty() {
		p.workSince = 0
		return
	}
	if s.mayPropose(rank) {
		s.propose(plan)
	}
}

// unattended reports whether shards that could have an owner have had none for so long that
// the planners seem to be lost.
func (s *State) unattended() bool {
	p := &s.planner
	if !s.hasOrphans() {
		p.orphansSince = 0
		return false
	}
	if p.orphansSince == 0 {
		p.orphansSince = s.now
	}
	delay := unattendedTime + time.Duration(xxhash.Sum64String(s.opts.Slot)%uint64(unattendedSpread))
	if rank := slices.Index(s.plannerLists().fallback, s.member.incarnation); rank >= 0 {
		delay = fallbackDelay + time.Duration(rank)*fallbackStagger
	}
	return s.now >= max(p.orphansSince, p.peerPlanSeen).Add(delay)
}

// hasOrphans reports whether a shard of a service with members has no owner.
func (s *State) hasOrphans() bool {
	for name, svc := range s.fold.Services {
		orphan := func(sh fold.Shard) bool { return sh.Owner == 0 }
		if slices.ContainsFunc(svc.Shards[:min(int(svc.Base), len(svc.Shards))], orphan) && s.membersOf(name) > 0 {
			return true
		}
	}
	return false
}

// recordPlanning records since when this daemon has been a planner.
func (s *State) recordPlanning(planning bool) {
	switch {
	case !planning:
		s.planner.since = 0
	case s.planner.since == 0:
		s.planner.since = s.now
		s.planner.memberWait = map[string]memberWait{}
	}
}

// proposalsOutstanding reports whether replay has not yet shown all records of the last
// round. Plans made meanwhile would have the same basis, and would accumulate while the
// log is slow or down.
func (s *State) proposalsOutstanding() bool {
	p := &s.planner
	p.outstanding = slices.DeleteFunc(p.outstanding, func(id [16]byte) bool { return s.outbox.pending[id] == nil })
	return len(p.outstanding) > 0
}

// planDue reports whether a plan is due: something changed since the last round, or the
// last round is older than replanInterval.
func (s *State) planDue() bool {
	basis := planBasis{replay: s.fold.Next, config: s.history.Next}
	return basis != s.planner.lastBasis || s.waitedInLastRound() || s.now >= s.planner.lastRound.Add(replanInterval)
}

// mayPropose reports whether a planner may propose now. A planner of rank n waits for n
// times plannerStagger after it found work and after replay showed another planner's
// record, so that those before it act first. A planner that is partitioned from the log
// delays the others no longer than that, however busy the log is.
func (s *State) mayPropose(rank int) bool {
	p := &s.planner
	if p.workSince == 0 {
		p.workSince = s.now
	}
	return rank == 0 || s.now >= max(p.workSince, p.peerPlanSeen).Add(time.Duration(rank)*plannerStagger)
}

// recordPeerPlan records that another planner's record took effect.
func (s *State) recordPeerPlan(rec *wire.Record) {
	if rec.GetAuthor() != s.member.incarnation && (rec.GetPropose() != nil || rec.GetHandover() != nil) {
		s.planner.peerPlanSeen = s.now
	}
}

func (s *State) plan() placement.Plan {
	p := &s.planner
	p.lastBasis = planBasis{replay: s.fold.Next, config: s.history.Next}
	p.lastRound = s.now
	load := s.placementLoad()
	plan := placement.Make(s.fold, s.history.Config, load, s.planLimits())
	s.recordBalance(plan, load)
	return plan
}

const (
	// rangesPerMove sets the number of ranges that may be moving at once: one for this
	// many ranges of each service. A member that joins then gets its share within 2 s.
	rangesPerMove = 32
	// rangePlacements is the maximum number of placements in one record of a service
	// with many ranges. It covers all ranges of a service with some thousand, in a
	// record below the log's size limit.
	rangePlacements = 4096
)

// planLimits returns the number of changes allowed in a round.
func (s *State) planLimits() placement.Limits {
	limits := placement.DefaultLimits
	for _, svc := range s.history.Config.Services {
		if svc.KeySpace != 0 && svc.Region == s.opts.Region {
			limits.MaxMoves += int(svc.Shards / rangesPerMove)
			limits.MaxPlacements = rangePlacements
		}
	}
	return limits
}

// propose appends the plan's records once each. A lost one is planned again.
func (s *State) propose(plan placement.Plan) {
	p := &s.planner
	for _, b := range plan.Balances {
		s.emitDecision(Decision{Action: "balance", Reason: "load of a member is outside its bounds", Count: b.Moves, Balance: &b})
	}
	if len(plan.Placements) > 0 {
		id := s.appendOnce(&wire.Record{Body: &wire.Record_Propose{Propose: &wire.Propose{Placements: plan.Placements}}})
		p.outstanding = append(p.outstanding, id)
		s.emitDecision(Decision{Action: "propose", Reason: "owners, standbys or balance", Count: len(plan.Placements)})
	}
	if len(plan.Handovers) > 0 {
		id := s.appendOnce(&wire.Record{Body: &wire.Record_Handover{Handover: &wire.Handover{Refs: plan.Handovers}}})
		p.outstanding = append(p.outstanding, id)
		s.emitDecision(Decision{Action: "hand_over", Reason: "balance", Count: len(plan.Handovers)})
	}
}
