// Package placement decides which member should own each shard and which
// should stand by, and derives the log records that lead there.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// loadFactor bounds a member's owned shards relative to the mean.
const loadFactor = 1.15

// Limits bounds one round of planning.
type Limits struct {
	MaxPlacements int // entries in the propose record
	MaxHandovers  int // entries in the handover record
}

// DefaultLimits is the churn allowed in one round.
var DefaultLimits = Limits{MaxPlacements: 4096, MaxHandovers: 8}

// Plan is what one round of planning proposes. Empty slices mean nothing to do.
type Plan struct {
	Placements []*wire.Placement
	Handovers  []*wire.ShardRef
}

// Empty reports whether the plan proposes nothing.
func (p Plan) Empty() bool { return len(p.Placements) == 0 && len(p.Handovers) == 0 }

// candidate is a member that may own shards, with its load in this plan.
type candidate struct {
	inc        fold.Incarnation
	dc         string
	owned      int
	standingBy int
}

// Make plans one round for all services of the state.
func Make(st *fold.State, cfg *fleet.Config, limits Limits) Plan {
	var plan Plan
	names := make([]string, 0, len(st.Services))
	for name := range st.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		planService(&plan, st, cfg, name, limits)
	}
	return plan
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

func planService(plan *Plan, st *fold.State, cfg *fleet.Config, name string, limits Limits) {
	svc := st.Services[name]
	cands := candidates(st, cfg, name, svc)
	if len(cands) == 0 {
		return
	}
	bound := int(math.Ceil(loadFactor * float64(len(svc.Shards)) / float64(len(cands))))
	byInc := map[fold.Incarnation]*candidate{}
	for _, c := range cands {
		byInc[c.inc] = c
	}
	for n := range svc.Shards {
		if len(plan.Placements) >= limits.MaxPlacements {
			return
		}
		sh := &svc.Shards[n]
		ref := &wire.ShardRef{Service: name, Shard: uint32(n), Generation: sh.Generation}
		planShard(plan, sh, ref, cands, byInc, bound)
	}
}

func candidates(st *fold.State, cfg *fleet.Config, name string, svc *fold.Service) []*candidate {
	owned := map[fold.Incarnation]int{}
	standing := map[fold.Incarnation]int{}
	for i := range svc.Shards {
		owned[svc.Shards[i].Owner]++
		standing[svc.Shards[i].Standby]++
	}
	var list []*candidate
	for _, m := range Eligible(st, cfg, name) {
		dc := ""
		if slot, ok := st.Slots[m.Slot]; ok {
			dc = slot.DataCentre
		}
		list = append(list, &candidate{
			inc: m.Incarnation, dc: dc, owned: owned[m.Incarnation], standingBy: standing[m.Incarnation],
		})
	}
	return list
}

// planShard proposes an owner for an ownerless shard and a standby for a
// shard that lacks one or whose standby is out of service.
func planShard(plan *Plan, sh *fold.Shard, ref *wire.ShardRef, cands []*candidate, byInc map[fold.Incarnation]*candidate, bound int) {
	owner := sh.Owner
	if owner == 0 {
		c := pick(cands, ref, func(c *candidate) int { return c.owned }, bound, 0, "")
		if c == nil {
			return
		}
		c.owned++
		owner = c.inc
	} else if sh.Standby != 0 && byInc[sh.Standby] != nil || sh.HasPending && byInc[sh.Pending] != nil {
		return
	}
	ownerDC := ""
	if c := byInc[owner]; c != nil {
		ownerDC = c.dc
	}
	pl := &wire.Placement{Ref: ref, Owner: owner}
	if c := pick(cands, ref, func(c *candidate) int { return c.standingBy }, bound, owner, ownerDC); c != nil {
		c.standingBy++
		pl.Standby = c.inc
	}
	if sh.Owner != 0 && pl.Standby == 0 {
		return
	}
	plan.Placements = append(plan.Placements, pl)
}

// pick returns the candidate with the highest rendezvous weight below the
// bound, preferring other data centres than avoidDC.
func pick(cands []*candidate, ref *wire.ShardRef, load func(*candidate) int, bound int, avoid fold.Incarnation, avoidDC string) *candidate {
	var best *candidate
	var bestWeight uint64
	bestClass := 3
	for _, c := range cands {
		if c.inc == avoid {
			continue
		}
		class := 0
		if avoidDC != "" && c.dc == avoidDC {
			class++
		}
		if load(c) >= bound {
			class += 2
		}
		weight := rendezvous(ref, c.inc)
		if best == nil || class < bestClass || class == bestClass && weight > bestWeight {
			best, bestClass, bestWeight = c, class, weight
		}
	}
	return best
}

// rendezvous returns the weight of a member for a shard.
func rendezvous(ref *wire.ShardRef, inc fold.Incarnation) uint64 {
	var b [12]byte
	for i := range 8 {
		b[i] = byte(inc >> (8 * i))
	}
	for i := range 4 {
		b[8+i] = byte(ref.GetShard() >> (8 * i))
	}
	d := xxhash.New()
	_, _ = d.WriteString(ref.GetService())
	_, _ = d.Write(b[:])
	return d.Sum64()
}
