package placement

import (
	"slices"

	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// candidate is a member that may own shards, with its load in this plan.
type candidate struct {
	inc      fold.Incarnation
	dc       string
	weight   float64 // capacity
	load     float64 // of the shards that it owns, with moves under way done
	standing float64 // load of the shards that it stands by for
	slowed   bool    // counts for less than its nominal capacity
	owned    []int   // numbers of the shards that it owns and that may move
}

// ratio is the load relative to the capacity.
func (c *candidate) ratio() float64 { return c.load / c.weight }

// round plans one service.
type round struct {
	service  string
	svc      *fold.Service
	plan     *Plan
	cands    []*candidate
	byInc    map[fold.Incarnation]*candidate
	weights  []float64 // load of each shard
	used     []bool    // shards that have a role
	touched  map[int]bool
	total    float64 // load of the service
	capacity float64 // of all candidates
	mean     float64 // load for each unit of capacity
	held     bool    // no moves in this round; standbys may be there for one
	spread   bool    // candidates are in more than one data centre
	bound    float64 // ratio to the mean load from which on shards move
}

// newRound returns nil when no member may own shards of the service.
func newRound(st *fold.State, cfg *fleet.Config, load Load, name string, plan *Plan) *round {
	svc := st.Services[name]
	members := Eligible(st, cfg, name)
	if len(members) == 0 || svc.Base == 0 {
		return nil
	}
	r := &round{
		service: name, svc: svc, plan: plan, byInc: map[fold.Incarnation]*candidate{}, touched: map[int]bool{},
		bound: loadFactor, held: load.Hold[name],
	}
	if tolerance, ok := load.Tolerance[name]; ok {
		r.bound = tolerance
	}
	for _, m := range members {
		c := &candidate{inc: m.Incarnation, weight: 1}
		if name != view.KeeperService { // what a backend server bears says nothing about its daemon
			c.weight = memberWeight(m, load)
			c.slowed = c.weight < memberWeight(m, Load{})
		}
		if slot, ok := st.Slots[m.Slot]; ok {
			c.dc = slot.DataCentre
		}
		r.capacity += c.weight
		r.spread = r.spread || c.dc != r.firstDC(c)
		r.cands = append(r.cands, c)
		r.byInc[c.inc] = c
	}
	r.weigh(load)
	r.mean = r.total / r.capacity
	r.count()
	r.setHotApart()
	return r
}

// hotRounds bounds the rounds in which shards are found to be hot.
const hotRounds = 3

// setHotApart takes shards that exceed a member's share out of the mean, and with
// each a member's capacity: no move makes such a shard smaller, and measured
// against a mean that it raises, all other members would seem to lack load.
func (r *round) setHotApart() {
	usual := r.capacity / float64(len(r.cands))
	for range hotRounds {
		hot, owners := 0.0, map[*candidate]bool{}
		for _, c := range r.cands {
			for _, n := range c.owned {
				if r.weights[n] > r.bound*r.mean*usual {
					hot += r.weights[n]
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
	if len(r.cands) == 0 {
		return c.dc
	}
	return r.cands[0].dc
}

// minWeight keeps the weight of a member positive.
const minWeight = 0.01

func memberWeight(m *fold.Member, load Load) float64 {
	w := float64(max(m.Slots, 1))
	if part, ok := load.MemberWeight[m.Incarnation]; ok {
		w *= max(part, minWeight)
	}
	return w
}

// weigh sets the load of each shard that has a role.
func (r *round) weigh(load Load) {
	n := len(r.svc.Shards)
	r.used = make([]bool, n)
	r.weights = make([]float64, n)
	for i := range min(int(r.svc.Base), n) {
		r.used[i] = true
	}
	for _, number := range r.svc.Split {
		r.used[number] = true
	}
	missing := r.meanShard(load)
	for i := range n {
		if !r.used[i] {
			continue
		}
		w, ok := load.PerShard[view.ShardID{Service: r.service, Shard: uint32(i)}]
		if !ok || w < 0 {
			w = missing
		}
		r.weights[i] = w
		r.total += w
	}
}

// meanShard is the load taken for a shard that was not measured.
func (r *round) meanShard(load Load) float64 {
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

// count adds up the load of the candidates. A shard that is being handed over,
// or whose owner is out of service, counts for its standby.
func (r *round) count() {
	for i := range r.svc.Shards {
		sh := &r.svc.Shards[i]
		if !r.used[i] || sh.Owner == 0 {
			continue
		}
		owner := r.byInc[sh.Owner]
		standby := r.byInc[sh.Standby]
		switch {
		case standby != nil && (sh.Handover || owner == nil):
			standby.load += r.weights[i]
		case owner != nil:
			owner.load += r.weights[i]
			owner.owned = append(owner.owned, i)
		}
		if sh.HasPending {
			standby = r.byInc[sh.Pending]
		}
		if standby != nil {
			standby.standing += r.weights[i]
		}
	}
}

func (r *round) ref(n int) *wire.ShardRef {
	return &wire.ShardRef{Service: r.service, Shard: uint32(n), Generation: r.svc.Shards[n].Generation}
}

// fill proposes owners for ownerless shards and standbys for shards that lack
// one, whose standby is out of service, or whose standby shares the owner's
// data centre without need.
func (r *round) fill(limits Limits) {
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
	next := sh.Standby
	if sh.HasPending {
		next = sh.Pending
	}
	standby := r.byInc[next]
	ownerDC := ""
	if owner != nil {
		ownerDC = owner.dc
	}
	if standby != nil && (r.held || sh.Handover || owner == nil || standby.dc != ownerDC || !r.spread || r.relieves(owner, standby)) {
		return
	}
	c := r.pick(n, func(c *candidate) float64 { return c.standing }, sh.Owner, ownerDC)
	if c == nil || c.inc == next || standby != nil && c.dc == ownerDC {
		return
	}
	c.standing += r.weights[n]
	r.plan.Placements = append(r.plan.Placements, &wire.Placement{Ref: r.ref(n), Owner: sh.Owner, Standby: c.inc})
}

// assign proposes owner and standby of an ownerless shard.
func (r *round) assign(n int) {
	owner := r.pick(n, func(c *candidate) float64 { return c.load }, 0, "")
	owner.load += r.weights[n]
	pl := &wire.Placement{Ref: r.ref(n), Owner: owner.inc}
	if c := r.pick(n, func(c *candidate) float64 { return c.standing }, owner.inc, owner.dc); c != nil {
		c.standing += r.weights[n]
		pl.Standby = c.inc
	}
	r.plan.Placements = append(r.plan.Placements, pl)
}

// probes is the number of candidates looked at for one shard, so that the cost
// of a round does not grow with the product of shards and members.
const probes = 32

// Flaws of a choice, the sum of which is compared.
const (
	beyondBound    = 1
	sameDataCentre = 2
)

// pick returns the candidate with the highest rendezvous weight of those that
// stay within the bound, preferring other data centres than avoidDC. It
// returns nil when there is no candidate but avoid.
func (r *round) pick(n int, load func(*candidate) float64, avoid fold.Incarnation, avoidDC string) *candidate {
	var best *candidate
	var bestWeight uint64
	bestClass := 0
	start := int(rendezvous(r.service, n, 0) % uint64(len(r.cands)))
	for i := range r.cands {
		c := r.cands[(start+i)%len(r.cands)]
		if i >= probes && best != nil && bestClass == 0 {
			break
		}
		if c.inc == avoid {
			continue
		}
		class := 0
		if load(c)+r.weights[n] > max(loadFactor*r.mean*c.weight, r.weights[n]) {
			class += beyondBound
		}
		if avoidDC != "" && c.dc == avoidDC {
			class += sameDataCentre
		}
		weight := rendezvous(r.service, n, c.inc)
		if best == nil || class < bestClass || class == bestClass && r.better(class, load, c, best, weight, bestWeight) {
			best, bestClass, bestWeight = c, class, weight
		}
	}
	return best
}

// better decides between candidates of one class: within the bound by
// rendezvous weight, beyond it by the smaller load.
func (r *round) better(class int, load func(*candidate) float64, a, b *candidate, wa, wb uint64) bool {
	if class&beyondBound == 0 || load(a)/a.weight == load(b)/b.weight {
		return wa > wb
	}
	return load(a)/a.weight < load(b)/b.weight
}

// drop removes a shard from a candidate's list.
func (c *candidate) drop(n int) {
	c.owned = slices.DeleteFunc(c.owned, func(i int) bool { return i == n })
}
