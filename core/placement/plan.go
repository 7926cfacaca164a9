// Package placement decides which member should own each shard and which
// should stand by, and derives the log records that lead there.
//
// Planning keeps no state: what was begun is recognised by what replay shows.
// A shard moves in two steps, a change of its standby and a handover to it.
package placement

import (
	"cmp"
	"slices"

	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// loadFactor bounds a member's load relative to its share of the mean: members
// above mean*loadFactor shed shards, members below mean/loadFactor take some.
const loadFactor = 1.1

// Limits bounds one round of planning.
type Limits struct {
	MaxPlacements int // entries in the propose record
	MaxMoves      int // shards on their way to another owner at once, over all services
}

// DefaultLimits is the churn allowed in one round.
var DefaultLimits = Limits{MaxPlacements: 512, MaxMoves: 16}

// Load is what was measured of shards and members. The zero value makes all
// shards weigh the same and all members of a service equal.
type Load struct {
	// PerShard is the load of shards in any one unit. Where it is empty every
	// shard counts one; a shard that is absent from it counts as the mean of
	// those present.
	PerShard map[view.ShardID]float64
	// MemberWeight is the part of its nominal capacity that a member bears;
	// absent members bear all of it.
	MemberWeight map[fold.Incarnation]float64
	// Hold names the services whose shards stay with their owners for now,
	// because too little was measured to say which should move.
	Hold map[string]bool
	// Gather names the services whose first placement waits for more members.
	Gather map[string]bool
	// Tolerance is, by service, the ratio of a member's load to its share of the
	// mean from which on shards move; absent services have loadFactor.
	Tolerance map[string]float64
}

// Plan is what one round of planning proposes. Empty slices mean nothing to do.
type Plan struct {
	Placements []*wire.Placement
	Handovers  []*wire.ShardRef
	Balances   []Balance // why shards of a service move to other owners
}

// Balance is what the moves of one service were decided on: loads relative to
// capacity, in parts of the service's mean.
type Balance struct {
	Service string
	Highest float64 // of the most loaded member
	Member  uint64  // its incarnation
	Bears   float64 // its capacity, in parts of the mean member's
	Hottest float64 // the load of its heaviest shard, in parts of the mean member's
	Lowest  float64 // of the least loaded member
	Bound   float64 // ratio from which on shards move
	Slowed  int     // members that count for less than their capacity
	Moves   int     // of this round, begun or continued
}

// Empty reports whether the plan proposes nothing.
func (p Plan) Empty() bool { return len(p.Placements) == 0 && len(p.Handovers) == 0 }

// Moves reports whether the plan changes owners or standbys that a service has.
func (p Plan) Moves(service string) bool {
	for _, h := range p.Handovers {
		if h.GetService() == service {
			return true
		}
	}
	for _, pl := range p.Placements {
		if pl.GetRef().GetService() == service && pl.GetRef().GetGeneration() > 0 {
			return true
		}
	}
	return false
}

// Make plans one round for all services that the configuration names.
func Make(st *fold.State, cfg *fleet.Config, load Load, limits Limits) Plan {
	plan := &Plan{}
	names := make([]string, 0, len(st.Services))
	for name := range st.Services {
		if _, ok := cfg.Services[name]; ok || name == view.KeeperService {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		limits.MaxMoves -= handovers(st.Services[name])
	}
	for _, name := range names {
		if load.Gather[name] {
			continue
		}
		r := newRound(st, cfg, load, name, plan)
		if r == nil {
			continue
		}
		if !load.Hold[name] {
			limits.MaxMoves -= r.balance(limits)
		}
		r.fill(limits)
	}
	return *plan
}

// handovers counts the shards that are being handed over.
func handovers(svc *fold.Service) int {
	n := 0
	for i := range svc.Shards {
		if svc.Shards[i].Handover {
			n++
		}
	}
	return n
}

// Eligible returns the members that may take on shards of a service, in
// ascending order of incarnation.
func Eligible(st *fold.State, cfg *fleet.Config, service string) []*fold.Member {
	var list []*fold.Member
	for _, m := range st.Members {
		if m.Phase != fold.InService || (service != view.KeeperService && m.Service != service) {
			continue
		}
		if !IsOut(st, cfg, m) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *fold.Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return list
}

// IsOut reports whether an operator took the member out of service.
func IsOut(st *fold.State, cfg *fleet.Config, m *fold.Member) bool {
	if cfg.BackendServers[m.BackendServer].Out {
		return true
	}
	slot, ok := st.Slots[m.Slot]
	return ok && cfg.DataCentres[slot.DataCentre].Out
}
