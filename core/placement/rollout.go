package placement

import (
	"slices"

	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// Versions restricts the members that may have the shards of a service by the version of
// their backend servers.
type Versions struct {
	// Known are the versions that the restriction was made for. Members of other versions
	// have no shards.
	Known []string
	// Excluded are members that have no shards.
	Excluded map[fold.Incarnation]bool
	// New are the members of a version that is being rolled out, and Share is the part of
	// the service's load that they have together, 0 to 1. The rest is for the others.
	New   map[fold.Incarnation]bool
	Share float64
	// Hold leaves the shards where they are: it is not known what the share is now.
	Hold bool
}

// Allows reports whether a member may have shards. A nil Versions allows all members.
func (v *Versions) Allows(m *fold.Member) bool {
	return v == nil || !v.Excluded[m.Incarnation] && slices.Contains(v.Known, m.Version)
}

// shardsPerRolloutMove sets the number of ranges of a service that may move at once when
// members must give up their shards: one for this many. 2,048 ranges then move within
// about 4 s, in rounds of 300 ms with two steps a move; with one for 8 ranges they do not.
const shardsPerRolloutMove = 4

// versionMoves returns how many shards a service may move at once on behalf of a roll-out.
func versionMoves(svc *fold.Service, limits Limits) int {
	return max(limits.MaxMoves, int(svc.Base)/shardsPerRolloutMove)
}

// setVersions marks the candidates that get no shards by fillRoles: those of the new version,
// or the others once the new one gets all.
func (r *round) setVersions(v *Versions) {
	r.versions = v
	if v == nil || len(v.New) == 0 {
		return
	}
	barred := 0
	for _, c := range r.candidates {
		c.isNew = v.New[c.inc]
		c.barred = c.isNew != (v.Share >= 1 && !v.Hold)
		if c.barred {
			barred++
		}
	}
	if barred == len(r.candidates) {
		for _, c := range r.candidates {
			c.barred = false
		}
	}
}

// rollOut moves shards between the members of the new version and the others, so that the
// new ones have their share, and returns the number of moves.
func (r *round) rollOut(limits Limits) int {
	moves, have := 0, 0.0
	for _, c := range r.candidates {
		if c.isNew {
			have += c.load
		}
	}
	want := r.versions.Share * r.total
	for moves < versionMoves(r.svc, limits) {
		toNew := have < want
		from, to := r.mostLoaded(!toNew), r.leastLoaded(toNew)
		if from == nil || to == nil {
			return moves
		}
		n := r.startedMove(from, toNew)
		if standby := r.byInc[r.svc.Shards[n].Standby]; standby != nil && standby.isNew == toNew && !r.svc.Shards[n].HasPending {
			to = standby
		}
		// A move that overshoots by more than it was short changes nothing for the better.
		load := r.shardLoads[n]
		if toNew && r.versions.Share < 1 && have+load-want > want-have || !toNew && have-want <= load && r.versions.Share > 0 {
			return moves
		}
		if toNew {
			have += load
		} else {
			have -= load
		}
		from.removeShard(n)
		from.load -= load
		to.load += load
		r.touched[n] = true
		moves++
		r.advance(n, to)
	}
	return moves
}

// mostLoaded returns the most loaded member of the new version, or of the others, that has
// a shard to give up.
func (r *round) mostLoaded(isNew bool) *candidate {
	var best *candidate
	for _, c := range r.candidates {
		if c.isNew == isNew && len(c.owned) > 0 && (best == nil || c.ratio() > best.ratio()) {
			best = c
		}
	}
	return best
}

// leastLoaded returns the least loaded member of the new version, or of the others.
func (r *round) leastLoaded(isNew bool) *candidate {
	return r.lowest(func(c *candidate) bool { return c.isNew == isNew })
}

// startedMove returns the shard of a member that is best moved to the members of the other
// side: one whose move has begun, if there is one.
func (r *round) startedMove(from *candidate, toNew bool) int {
	best, bestStage := from.owned[0], 3
	for _, n := range from.owned {
		sh := &r.svc.Shards[n]
		stage := 2
		if standby := r.byInc[sh.Standby]; standby != nil && standby.isNew == toNew && !sh.HasPending {
			stage = 0
		} else if pending := r.byInc[sh.Pending]; sh.HasPending && pending != nil && pending.isNew == toNew {
			stage = 1
		}
		if stage < bestStage {
			best, bestStage = n, stage
		}
	}
	return best
}

// evacuate hands the shards of members that may have none to their standbys. fillRoles gives
// those shards standbys that may have them.
func (r *round) evacuate(st *fold.State, limits Limits) {
	moves := 0
	for n := range r.svc.Shards {
		sh := &r.svc.Shards[n]
		if moves >= versionMoves(r.svc, limits) || !r.used[n] || sh.Owner == 0 || r.byInc[sh.Owner] != nil {
			continue
		}
		owner := st.Members[sh.Owner]
		if owner == nil || owner.Phase != fold.InService || r.versions.Allows(owner) {
			continue
		}
		if r.byInc[sh.Standby] != nil && !sh.HasPending && !sh.Handover {
			r.plan.Handovers = append(r.plan.Handovers, r.ref(n))
			r.touched[n] = true
			moves++
		}
	}
}

// replaceBarred proposes another standby for a shard whose standby gets no shards, and
// reports whether it did. It would take the shard over if the owner were lost. Standbys of
// the old version stay until the new one has all shards, so that they do not delay that.
func (r *round) replaceBarred(n int, owner *candidate) bool {
	sh := &r.svc.Shards[n]
	standby := r.byInc[sh.Standby]
	if r.versions == nil || r.versions.Hold || standby == nil || !standby.barred || !standby.isNew || sh.HasPending || sh.Handover || owner != nil && owner.barred {
		return false
	}
	dc := ""
	if owner != nil {
		dc = owner.dc
	}
	c := r.pickCandidate(n, &r.standbys, func(c *candidate) float64 { return c.standbyLoad }, sh.Owner, dc)
	if c == nil {
		return false
	}
	c.standbyLoad += r.shardLoads[n]
	r.plan.Placements = append(r.plan.Placements, &wire.Placement{Ref: r.ref(n), Owner: sh.Owner, Standby: c.inc})
	return true
}
