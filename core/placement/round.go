package placement

import (
	"slices"

	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// candidate is a member that may own shards, with its load under this plan.
type candidate struct {
	inc         fold.Incarnation
	dc          string
	weight      float64 // capacity in usable slots; 1 for the keeper service
	load        float64 // of the shards that it owns, counting moves in progress as done
	standbyLoad float64 // load of the shards whose standby it is
	slowed      bool    // capacity is below the nominal capacity
	owned       []int   // numbers of its shards that may move
	isNew       bool    // of the version that is being rolled out
	barred      bool    // chosen by no fillRoles
}

// ratio returns the load per unit of capacity.
func (c *candidate) ratio() float64 { return c.load / c.weight }

// round is the working state of one planning round for one service.
type round struct {
	service    string
	svc        *fold.Service
	plan       *Plan
	candidates []*candidate
	byInc      map[fold.Incarnation]*candidate
	shardLoads []float64    // load of each shard
	used       []bool       // shards in use: base shards and split-off shards
	touched    map[int]bool // shards that move in this round
	total      float64      // load of the service
	capacity   float64      // of all candidates
	mean       float64      // load per unit of capacity
	frozen     bool         // no moves in this round; a standby may belong to a move in progress
	multiDC    bool         // candidates are in more than one data centre
	bound      float64      // ratio to the mean load above which shards move
	runLength  int          // neighbouring shards that prefer the same member
	owners     runChoice    // of the owner of the last shard that was placed
	standbys   runChoice    // of its standby
	versions   *Versions    // nil if members are not restricted
}

// runChoice is the member that was chosen for the last shard, in one role.
type runChoice struct {
	run int
	inc fold.Incarnation
}

// newRound returns the round of a service, or nil if no member may own its shards
// or it has no shards.
func newRound(st *fold.State, cfg *fleet.Config, load Load, name string, plan *Plan) *round {
	svc := st.Services[name]
	members := Eligible(st, cfg, name)
	versions := load.Versions[name]
	members = slices.DeleteFunc(members, func(m *fold.Member) bool { return !versions.Allows(m) })
	if len(members) == 0 || svc.Base == 0 {
		return nil
	}
	r := &round{
		service: name, svc: svc, plan: plan, byInc: map[fold.Incarnation]*candidate{}, touched: map[int]bool{},
		bound: loadFactor, frozen: load.Frozen[name], runLength: 1,
	}
	if cfg.Services[name].Contiguous {
		r.runLength = runLength(int(svc.Base), len(members))
	}
	if tolerance, ok := load.Tolerance[name]; ok {
		r.bound = tolerance
	}
	for _, m := range members {
		c := &candidate{inc: m.Incarnation, weight: 1}
		if name != view.KeeperService { // the capacity of a backend server is independent of its daemon's
			c.weight = memberWeight(m, load)
			c.slowed = c.weight < memberWeight(m, Load{})
		}
		if slot, ok := st.Slots[m.Slot]; ok {
			c.dc = slot.DataCentre
		}
		r.capacity += c.weight
		r.multiDC = r.multiDC || c.dc != r.firstDC(c)
		r.candidates = append(r.candidates, c)
		r.byInc[c.inc] = c
	}
	r.setVersions(versions)
	r.setShardLoads(load)
	r.mean = r.total / r.capacity
	r.addLoads()
	r.excludeHotShards()
	return r
}

// maxRuns is the number of runs of neighbouring shards of a member for which the length
// of runs is chosen. It leaves a member room for the runs of a lost one, and for shards
// that move alone.
const maxRuns = 64

// runLength returns the length of runs with which members have at most maxRuns each.
func runLength(shards, members int) int {
	return max(1, (shards+maxRuns*members-1)/(maxRuns*members))
}

// weight returns the rendezvous weight of a member for shard n. It is the same for all
// shards of a run.
func (r *round) weight(n int, inc fold.Incarnation) uint64 {
	return rendezvous(r.service, n/r.runLength, inc)
}

// maxHotPasses is the maximum number of passes that search for hot shards.
const maxHotPasses = 3

// excludeHotShards excludes from the mean the shards whose load exceeds a member's
// share, together with the capacity of their owners. No move reduces the load of
// such a shard, and against a mean that it raises, all other members would appear
// underloaded.
func (r *round) excludeHotShards() {
	typicalCapacity := r.capacity / float64(len(r.candidates))
	for range maxHotPasses {
		hot, owners := 0.0, map[*candidate]bool{}
		for _, c := range r.candidates {
			for _, n := range c.owned {
				if r.shardLoads[n] > r.bound*r.mean*typicalCapacity {
					hot += r.shardLoads[n]
					owners[c] = true
				}
			}
		}
		rest := r.capacity
		for c := range owners {
			rest -= c.weight
		}
		if len(owners) == 0 || rest <= 0 {
			return
		}
		mean := (r.total - hot) / rest
		if mean >= r.mean {
			return
		}
		r.mean = mean
	}
}

func (r *round) firstDC(c *candidate) string {
	if len(r.candidates) == 0 {
		return c.dc
	}
	return r.candidates[0].dc
}

// minWeight is the lower limit of MemberWeight; it keeps capacities positive.
const minWeight = 0.01

func memberWeight(m *fold.Member, load Load) float64 {
	w := float64(max(m.Slots, 1))
	if part, ok := load.MemberWeight[m.Incarnation]; ok {
		w *= max(part, minWeight)
	}
	return w
}

// setShardLoads sets the load of each shard in use.
func (r *round) setShardLoads(load Load) {
	n := len(r.svc.Shards)
	r.used = make([]bool, n)
	r.shardLoads = make([]float64, n)
	for i := range min(int(r.svc.Base), n) {
		r.used[i] = true
	}
	for _, number := range r.svc.Split {
		r.used[number] = true
	}
	fallback := r.meanShardLoad(load)
	for i := range n {
		if !r.used[i] {
			continue
		}
		w, ok := load.PerShard[view.ShardID{Service: r.service, Shard: uint32(i)}]
		if !ok || w < 0 {
			w = fallback
		}
		r.shardLoads[i] = w
		r.total += w
	}
}

// meanShardLoad returns the load assumed for a shard without a measurement: the
// mean of the measured shards, or 1 if there are none.
func (r *round) meanShardLoad(load Load) float64 {
	sum, count := 0.0, 0
	for id, w := range load.PerShard {
		if id.Service == r.service && w > 0 {
			sum += w
			count++
		}
	}
	if count == 0 {
		return 1
	}
	return sum / float64(count)
}

// addLoads sums the load of each candidate. A shard that is being handed off, or
// whose owner is no candidate, counts toward its standby.
func (r *round) addLoads() {
	for i := range r.svc.Shards {
		sh := &r.svc.Shards[i]
		if !r.used[i] || sh.Owner == 0 {
			continue
		}
		owner := r.byInc[sh.Owner]
		standby := r.byInc[sh.Standby]
		switch {
		case standby != nil && (sh.Handover || owner == nil):
			standby.load += r.shardLoads[i]
		case owner != nil:
			owner.load += r.shardLoads[i]
			owner.owned = append(owner.owned, i)
		}
		if sh.HasPending {
			standby = r.byInc[sh.Pending]
		}
		if standby != nil {
			standby.standbyLoad += r.shardLoads[i]
		}
	}
}

func (r *round) ref(n int) *wire.ShardRef {
	return &wire.ShardRef{Service: r.service, Shard: uint32(n), Generation: r.svc.Shards[n].Generation}
}

// fillRoles proposes owners for ownerless shards. It proposes a standby for a shard
// that has none, whose standby is out of service, or whose standby is in the
// owner's data centre although another data centre is available.
func (r *round) fillRoles(limits Limits) {
	for n := range r.svc.Shards {
		if len(r.plan.Placements) >= limits.MaxPlacements {
			return
		}
		if r.used[n] && !r.touched[n] {
			r.fillShard(n)
		}
	}
}

func (r *round) fillShard(n int) {
	sh := &r.svc.Shards[n]
	if sh.Owner == 0 {
		r.assign(n)
		return
	}
	owner := r.byInc[sh.Owner]
	nextStandby := sh.Standby
	if sh.HasPending {
		nextStandby = sh.Pending
	}
	standby := r.byInc[nextStandby]
	ownerDC := ""
	if owner != nil {
		ownerDC = owner.dc
	}
	if r.replaceBarred(n, owner) {
		return
	}
	if standby != nil && (r.frozen || sh.Handover || owner == nil || standby.dc != ownerDC || !r.multiDC || r.relieves(owner, standby)) {
		return
	}
	c := r.pickCandidate(n, &r.standbys, func(c *candidate) float64 { return c.standbyLoad }, sh.Owner, ownerDC)
	if c == nil || c.inc == nextStandby || standby != nil && c.dc == ownerDC {
		return
	}
	c.standbyLoad += r.shardLoads[n]
	r.plan.Placements = append(r.plan.Placements, &wire.Placement{Ref: r.ref(n), Owner: sh.Owner, Standby: c.inc})
}

// assign proposes an owner and a standby for an ownerless shard.
func (r *round) assign(n int) {
	owner := r.pickCandidate(n, &r.owners, func(c *candidate) float64 { return c.load }, 0, "")
	owner.load += r.shardLoads[n]
	pl := &wire.Placement{Ref: r.ref(n), Owner: owner.inc}
	if c := r.pickCandidate(n, &r.standbys, func(c *candidate) float64 { return c.standbyLoad }, owner.inc, owner.dc); c != nil {
		c.standbyLoad += r.shardLoads[n]
		pl.Standby = c.inc
	}
	r.plan.Placements = append(r.plan.Placements, pl)
}

// maxProbes is the number of candidates examined for one shard. Further candidates are
// examined only until one without penalty is found. The limit keeps the cost of a round
// from growing with the product of shards and members.
const maxProbes = 32

// Penalties of a candidate. Their sum decides; the lowest wins.
const (
	penaltyOverBound = 1
	penaltySameDC    = 2
)

// pickCandidate returns the candidate with the lowest penalty for shard n, where
// load returns the load of a candidate in the role to fill. A candidate is penalized
// if the shard raises its load above loadFactor times its share of the mean, unless it
// has no load yet or was chosen for the shard before in the same run, and more if it
// is in avoidDC. The method better decides ties. The choice is kept in last.
// It returns nil if there is no candidate other than avoid.
func (r *round) pickCandidate(n int, last *runChoice, load func(*candidate) float64, avoid fold.Incarnation, avoidDC string) *candidate {
	var best *candidate
	var bestWeight uint64
	bestPenalty := 0
	start := int(r.weight(n, 0) % uint64(len(r.candidates)))
	for i := range r.candidates {
		c := r.candidates[(start+i)%len(r.candidates)]
		if i >= maxProbes && best != nil && bestPenalty == 0 {
			break
		}
		if c.inc == avoid || c.barred {
			continue
		}
		penalty := 0
		continuesRun := r.runLength > 1 && *last == runChoice{n / r.runLength, c.inc}
		if !continuesRun && load(c)+r.shardLoads[n] > max(loadFactor*r.mean*c.weight, r.shardLoads[n]) {
			penalty += penaltyOverBound
		}
		if avoidDC != "" && c.dc == avoidDC {
			penalty += penaltySameDC
		}
		weight := r.weight(n, c.inc)
		if best == nil || penalty < bestPenalty || penalty == bestPenalty && r.better(penalty, load, c, best, weight, bestWeight) {
			best, bestPenalty, bestWeight = c, penalty, weight
		}
	}
	if best != nil {
		*last = runChoice{n / r.runLength, best.inc}
	}
	return best
}

// better reports whether a is preferred to b of the same penalty: by the higher
// rendezvous weight within the bound, by the lower load ratio above it.
func (r *round) better(penalty int, load func(*candidate) float64, a, b *candidate, wa, wb uint64) bool {
	if penalty&penaltyOverBound == 0 || load(a)/a.weight == load(b)/b.weight {
		return wa > wb
	}
	return load(a)/a.weight < load(b)/b.weight
}

// removeShard removes a shard from the movable shards of the candidate.
func (c *candidate) removeShard(n int) {
	c.owned = slices.DeleteFunc(c.owned, func(i int) bool { return i == n })
}
