// Package placement plans the owner and the standby of each shard and derives the
// log records that implement the plan.
//
// Planning is stateless: moves in progress are recognized from the replayed state.
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

// loadFactor is the default bound on a member's load relative to its share of the
// mean: members above mean*loadFactor lose shards, members below mean/loadFactor
// receive shards.
const loadFactor = 1.1

// Limits bounds one round of planning.
type Limits struct {
	MaxPlacements int // entries in the propose record
	MaxMoves      int // concurrent shard moves to another owner, over all services
}

// DefaultLimits bounds the churn of one round.
var DefaultLimits = Limits{MaxPlacements: 512, MaxMoves: 16}

// Load holds the measured load of shards and the capacity of members. The zero
// value gives all shards the same load and all members their nominal capacity.
type Load struct {
	// PerShard is the load of each shard, in any one unit. If it has no positive
	// load of a service, every absent shard of the service counts as 1; otherwise an
	// absent shard counts as the mean of the positive loads.
	PerShard map[view.ShardID]float64
	// MemberWeight is the usable fraction of a member's nominal capacity; absent
	// members have all of it.
	MemberWeight map[fold.Incarnation]float64
	// Frozen is the set of services whose shards are not rebalanced, because the
	// measurements do not suffice to choose which to move.
	Frozen map[string]bool
	// AwaitMembers is the set of services whose first placement waits for more members.
	AwaitMembers map[string]bool
	// Versions restricts the members of services that have several versions, by service;
	// absent services are not restricted.
	Versions map[string]*Versions
	// Tolerance is, by service, the ratio of a member's load to its share of the
	// mean above which shards move; absent services use loadFactor.
	Tolerance map[string]float64
}

// Plan is the proposal of one planning round. Empty slices mean no change.
type Plan struct {
	Placements []*wire.Placement
	Handovers  []*wire.ShardRef
	Balances   []Balance // load distributions that caused the moves, by service
}

// Balance is the load distribution of one service that its moves are based on.
// Highest and Lowest are loads per unit of capacity, relative to the service's mean.
type Balance struct {
	Service  string
	Highest  float64 // of the most loaded member
	Member   uint64  // its incarnation
	Capacity float64 // its capacity, relative to the mean capacity of a member
	Hottest  float64 // the load of its heaviest shard, relative to the mean load of a member
	Lowest   float64 // of the least loaded member
	Bound    float64 // ratio above which shards move
	Slowed   int     // members whose capacity is below the nominal capacity
	Moves    int     // moves started or continued in this round
}

// Empty reports whether the plan proposes no change.
func (p Plan) Empty() bool { return len(p.Placements) == 0 && len(p.Handovers) == 0 }

// Moves reports whether the plan changes existing owners or standbys of a service.
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

// Make plans one round for the keeper service and all services in the configuration.
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
		if load.AwaitMembers[name] {
			continue
		}
		r := newRound(st, cfg, load, name, plan)
		if r == nil {
			continue
		}
		switch {
		case r.versions != nil && r.versions.Hold:
		case r.versions != nil && len(r.versions.New) > 0:
			limits.MaxMoves = max(0, limits.MaxMoves-r.rollOut(limits))
		case !load.Frozen[name]:
			limits.MaxMoves -= r.balance(limits)
		}
		if r.versions != nil && !r.versions.Hold {
			r.evacuate(st, limits)
		}
		r.fillRoles(limits)
	}
	return *plan
}

// handovers returns the number of shards that are being handed off.
func handovers(svc *fold.Service) int {
	n := 0
	for i := range svc.Shards {
		if svc.Shards[i].Handover {
			n++
		}
	}
	return n
}

// Eligible returns the members that may own shards of a service, in ascending order
// of incarnation.
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

// IsOut reports whether the configuration has the member's backend server or data
// centre out of service.
func IsOut(st *fold.State, cfg *fleet.Config, m *fold.Member) bool {
	if cfg.BackendServers[m.BackendServer].Out {
		return true
	}
	slot, ok := st.Slots[m.Slot]
	return ok && cfg.DataCentres[slot.DataCentre].Out
}
