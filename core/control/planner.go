package control

import (
	"slices"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/placement"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

const (
	// plannerCount is the number of daemons of a region that plan.
	plannerCount = 3
	// planInterval is the time between rounds of the first planner.
	planInterval = 300 * time.Millisecond
	// plannerStagger is the extra time that each further planner leaves to
	// those before it.
	plannerStagger = 1500 * time.Millisecond
	// replanInterval is the time after which a round is made although nothing
	// changed: the last one's records may be lost.
	replanInterval = 1 * time.Second
)

// planner remembers when this daemon may propose next.
type planner struct {
	next      clock.Instant
	planned   planBasis     // what the last round was made on
	made      clock.Instant // when
	out       [][16]byte    // records of the last round that replay has not shown
	workSince clock.Instant // since when rounds find something to do; zero if the last did not
	heard     clock.Instant // when replay last showed another planner's record
	since     clock.Instant // when this daemon became planner; zero while it is not

	gathering   map[string]gathering // by service
	nextBalance clock.Instant        // when ranges may move again
	balancing   clock.Instant        // until when moves of ranges go on
}

// planBasis is what a plan is made on. Equal bases give equal plans.
type planBasis struct {
	replay, config uint64
}

// plannerList is the list of planners, kept until members change.
type plannerList struct {
	epoch uint64
	valid bool
	list  []fold.Incarnation
}

// planners returns the oldest members in service, the first to plan first.
// More than one planner at a time does no harm: replay takes the first record
// and rejects those that were based on the state before it.
func (s *State) planners() []fold.Incarnation {
	c := &s.plannerCache
	if c.valid && c.epoch == s.fold.Epoch {
		return c.list
	}
	var list []fold.Incarnation
	for inc, m := range s.fold.Members {
		if m.Phase == fold.InService {
			list = append(list, inc)
		}
	}
	slices.Sort(list)
	list = slices.Clone(list[:min(len(list), plannerCount)])
	*c = plannerList{epoch: s.fold.Epoch, valid: true, list: list}
	return list
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
	if s.now < p.next || !s.leaseHeld() || s.stopping {
		return
	}
	p.next = s.now.Add(planInterval)
	rank := slices.Index(s.planners(), s.member.incarnation)
	s.notePlanner(rank >= 0)
	if rank < 0 || s.proposalsOut() || !s.planDue() {
		return
	}
	plan := s.plan()
	if plan.Empty() {
		p.workSince = 0
		return
	}
	if s.plannerTurn(rank) {
		s.propose(plan)
	}
}

// notePlanner remembers since when this daemon plans.
func (s *State) notePlanner(planning bool) {
	switch {
	case !planning:
		s.planner.since = 0
	case s.planner.since == 0:
		s.planner.since = s.now
		s.planner.gathering = map[string]gathering{}
	}
}

// proposalsOut reports whether records of the last round are still on their
// way. Plans made meanwhile would be on the same base and pile up while the log
// is slow or down.
func (s *State) proposalsOut() bool {
	p := &s.planner
	p.out = slices.DeleteFunc(p.out, func(id [16]byte) bool { return s.outbox.pending[id] == nil })
	return len(p.out) > 0
}

// planDue reports whether anything changed since the last round, or that round
// is long ago.
func (s *State) planDue() bool {
	basis := planBasis{replay: s.fold.Next, config: s.history.Next}
	return basis != s.planner.planned || s.gatheringEnds() || s.now >= s.planner.made.Add(replanInterval)
}

// plannerTurn reports whether a planner may propose. The later ones leave each
// piece of work to those before them for a while; a planner that is cut from
// the log, however busy the log is, holds the others up no longer than that.
func (s *State) plannerTurn(rank int) bool {
	p := &s.planner
	if p.workSince == 0 {
		p.workSince = s.now
	}
	return rank == 0 || s.now >= max(p.workSince, p.heard).Add(time.Duration(rank)*plannerStagger)
}

// notePlan remembers that another planner's record took effect.
func (s *State) notePlan(rec *wire.Record) {
	if rec.GetAuthor() != s.member.incarnation && (rec.GetPropose() != nil || rec.GetHandover() != nil) {
		s.planner.heard = s.now
	}
}

func (s *State) plan() placement.Plan {
	p := &s.planner
	p.planned = planBasis{replay: s.fold.Next, config: s.history.Next}
	p.made = s.now
	load := s.placementLoad()
	plan := placement.Make(s.fold, s.history.Config, load, s.planLimits())
	s.noteBalance(plan, load)
	return plan
}

const (
	// rangesAMove is the number of ranges of a service for each one that may be on
	// its way at once: a member that joins then has its share within two seconds.
	rangesAMove = 32
	// rangePlacements is the number of placements of one record where a service
	// has many ranges: all of a service of some thousand, in a record that stays
	// below the log's limit.
	rangePlacements = 4096
)

// planLimits returns the churn allowed in a round.
func (s *State) planLimits() placement.Limits {
	limits := placement.DefaultLimits
	for _, svc := range s.history.Config.Services {
		if svc.KeySpace != 0 && svc.Region == s.opts.Region {
			limits.MaxMoves += int(svc.Shards / rangesAMove)
			limits.MaxPlacements = rangePlacements
		}
	}
	return limits
}

// propose appends the plan's records once each. A lost one is planned again.
func (s *State) propose(plan placement.Plan) {
	p := &s.planner
	for _, b := range plan.Balances {
		s.decide(Decision{Action: "balance", Reason: "a member's load is out of bounds", Count: b.Moves, Balance: &b})
	}
	if len(plan.Placements) > 0 {
		id := s.appendOnce(&wire.Record{Body: &wire.Record_Propose{Propose: &wire.Propose{Placements: plan.Placements}}})
		p.out = append(p.out, id)
		s.decide(Decision{Action: "propose", Reason: "owners, standbys or balance", Count: len(plan.Placements)})
	}
	if len(plan.Handovers) > 0 {
		id := s.appendOnce(&wire.Record{Body: &wire.Record_Handover{Handover: &wire.Handover{Refs: plan.Handovers}}})
		p.out = append(p.out, id)
		s.decide(Decision{Action: "hand_over", Reason: "balance", Count: len(plan.Handovers)})
	}
}
