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
)

// planner remembers when this daemon may propose next.
type planner struct {
	next  clock.Instant
	since uint64 // replay position at the last round
}

// planners returns the oldest members in service, the first to plan first.
// More than one planner at a time does no harm: replay takes the first record
// and rejects those that were based on the state before it.
func (s *State) planners() []fold.Incarnation {
	var list []fold.Incarnation
	for inc, m := range s.fold.Members {
		if m.Phase == fold.InService {
			list = append(list, inc)
		}
	}
	slices.Sort(list)
	return list[:min(len(list), plannerCount)]
}

func (s *State) isPlanner() bool {
	return slices.Contains(s.planners(), s.member.incarnation)
}

func (s *State) tickPlanner() {
	if s.now < s.planner.next || !s.leaseHeld() || s.stopping {
		return
	}
	rank := slices.Index(s.planners(), s.member.incarnation)
	if rank < 0 {
		s.planner.next = s.now.Add(planInterval)
		return
	}
	wait := planInterval + time.Duration(rank)*plannerStagger
	s.planner.next = s.now.Add(wait)
	if rank > 0 && s.planner.since != s.fold.Next {
		s.planner.since = s.fold.Next
		return
	}
	s.propose()
}

func (s *State) propose() {
	plan := placement.Make(s.fold, s.history.Config, placement.DefaultLimits)
	if len(plan.Placements) > 0 {
		s.appendOnce(&wire.Record{Body: &wire.Record_Propose{Propose: &wire.Propose{Placements: plan.Placements}}})
		s.decide(Decision{Action: "propose", Reason: "shards lack an owner or standby", Count: len(plan.Placements)})
	}
	if len(plan.Handovers) > 0 {
		s.appendOnce(&wire.Record{Body: &wire.Record_Handover{Handover: &wire.Handover{Refs: plan.Handovers}}})
		s.decide(Decision{Action: "hand_over", Reason: "balance", Count: len(plan.Handovers)})
	}
}
