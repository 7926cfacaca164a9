package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// balance starts or continues shard moves from overloaded to underloaded members
// and returns the number of moves.
func (r *round) balance(limits Limits) int {
	moves := 0
	before := r.distribution()
	for moves < limits.MaxMoves {
		from, to, n := r.nextMove()
		if from == nil {
			break
		}
		from.removeShard(n)
		from.load -= r.shardLoads[n]
		to.load += r.shardLoads[n]
		r.touched[n] = true
		moves++
		r.advance(n, to)
	}
	if moves > 0 {
		before.Moves = moves
		r.plan.Balances = append(r.plan.Balances, before)
	}
	return moves
}

// distribution returns the load distribution of the service before any move.
func (r *round) distribution() Balance {
	members := float64(len(r.candidates))
	highest, lowest := r.highest(nil), r.lowest(func(*candidate) bool { return true })
	b := Balance{
		Service: r.service, Bound: r.bound, Member: highest.inc,
		Highest: highest.ratio() / r.mean, Lowest: lowest.ratio() / r.mean,
		Capacity: highest.weight / (r.capacity / members),
	}
	for _, c := range r.candidates {
		if c.slowed {
			b.Slowed++
		}
	}
	for _, n := range highest.owned {
		b.Hottest = max(b.Hottest, r.shardLoads[n]/(r.total/members))
	}
	return b
}

// advance plans the next step of a move: first the change of standby, then the
// handover.
func (r *round) advance(n int, to *candidate) {
	sh := &r.svc.Shards[n]
	switch {
	case sh.HasPending && sh.Pending == to.inc:
		// The current standby has not yet consented to the replacement.
	case sh.Standby == to.inc && !sh.HasPending:
		r.plan.Handovers = append(r.plan.Handovers, r.ref(n))
	default:
		r.plan.Placements = append(r.plan.Placements, &wire.Placement{Ref: r.ref(n), Owner: sh.Owner, Standby: to.inc})
	}
}

// nextMove returns the most effective move, or nil members if all candidates are
// within the bounds or no move lowers the imbalance.
func (r *round) nextMove() (from, to *candidate, shard int) {
	lowest := r.lowest(func(*candidate) bool { return true })
	tried := map[*candidate]bool{}
	for len(tried) < maxSources {
		highest := r.highest(tried)
		if highest == nil || highest == lowest || !r.unbalanced(highest, lowest) {
			return nil, nil, 0
		}
		if n, standby, ok := r.chooseForStandby(highest); ok {
			return highest, standby, n
		}
		for _, to := range r.destinations(highest, lowest) {
			if n, ok := r.chooseShard(highest, to); ok {
				return highest, to, n
			}
		}
		tried[highest] = true
	}
	return nil, nil, 0
}

// destinations returns the members that may receive shards of from, in order of
// preference. Another data centre comes first: during a move within one data
// centre, the loss of that data centre takes both owner and standby.
func (r *round) destinations(from, lowest *candidate) []*candidate {
	if lowest.dc != from.dc || !r.multiDC {
		return []*candidate{lowest}
	}
	otherDC := r.lowest(func(c *candidate) bool { return c.dc != from.dc })
	if otherDC == nil || otherDC.ratio() >= r.mean {
		return []*candidate{lowest}
	}
	return []*candidate{otherDC, lowest}
}

// maxSources is the maximum number of overloaded members examined for one move.
const maxSources = 8

// unbalanced reports whether high is above the upper bound, or low is below the
// lower bound while high is above the mean.
func (r *round) unbalanced(high, low *candidate) bool {
	if high.ratio() > r.mean*r.bound && r.significant(high) {
		return true
	}
	return high.ratio() > r.mean && low.ratio() < r.mean/r.bound && r.significant(low)
}

// significant reports whether a member's load deviates from its share by at least
// half of the deviation that the bound allows a member of average capacity. A
// smaller deviation, as of a member of small capacity, is noise that justifies no
// move.
func (r *round) significant(c *candidate) bool {
	typical := r.mean * r.capacity / float64(len(r.candidates))
	return math.Abs(c.load-r.mean*c.weight) >= (r.bound-1)/2*typical
}

// relieves reports whether a standby in its owner's data centre may result from a
// load move that an earlier round started.
func (r *round) relieves(owner, standby *candidate) bool {
	return r.unbalanced(owner, standby) && owner.ratio() > r.mean && standby.ratio() < r.mean
}

// lowest returns the least loaded candidate that matches, or nil.
func (r *round) lowest(match func(*candidate) bool) *candidate {
	var best *candidate
	for _, c := range r.candidates {
		if match(c) && (best == nil || c.ratio() < best.ratio()) {
			best = c
		}
	}
	return best
}

// highest returns the most loaded candidate that is not in skip, or nil.
func (r *round) highest(skip map[*candidate]bool) *candidate {
	var best *candidate
	for _, c := range r.candidates {
		if !skip[c] && (best == nil || c.ratio() > best.ratio()) {
			best = c
		}
	}
	return best
}

// chooseShard returns the shard of from that is best moved to to. It prefers moves
// already started, then the load closest to the imbalance, then the higher
// rendezvous weight.
func (r *round) chooseShard(from, to *candidate) (int, bool) {
	want := min(from.load-r.mean*from.weight, r.mean*to.weight-to.load)
	return from.best(func(n int) (rank, bool) {
		return r.rank(n, to, want), r.mayMove(n, from, to)
	})
}

// chooseForStandby returns the shard of an overloaded member that is best handed
// off to its current standby, and that standby. The standby must stay within its
// share. Such a move takes one step and needs no change of standby.
func (r *round) chooseForStandby(from *candidate) (int, *candidate, bool) {
	if from.ratio() <= r.mean*r.bound {
		return 0, nil, false
	}
	excess := from.load - r.mean*from.weight
	n, ok := from.best(func(n int) (rank, bool) {
		to := r.byInc[r.svc.Shards[n].Standby]
		if to == nil || r.svc.Shards[n].HasPending || to.load+r.shardLoads[n] > r.mean*to.weight {
			return rank{}, false
		}
		return r.rank(n, to, excess), true
	})
	if !ok {
		return 0, nil, false
	}
	return n, r.byInc[r.svc.Shards[n].Standby], true
}

// best returns the movable shard of the candidate with the smallest rank.
func (c *candidate) best(rankOf func(n int) (k rank, mayMove bool)) (int, bool) {
	best, found := 0, false
	var bestRank rank
	for _, n := range c.owned {
		k, ok := rankOf(n)
		if ok && (!found || k.less(bestRank)) {
			best, bestRank, found = n, k, true
		}
	}
	return best, found
}

// mayMove reports whether moving the shard lowers the higher load ratio of the
// pair and no other change of its standby is in progress.
func (r *round) mayMove(n int, from, to *candidate) bool {
	sh := &r.svc.Shards[n]
	if sh.HasPending && sh.Pending != to.inc && r.byInc[sh.Pending] != nil {
		return false
	}
	maxRatio := from.ratio()
	if r.shardLoads[n] > r.mean*to.weight {
		maxRatio /= loadFactor // a hot shard moves only for a clear gain
	}
	return (to.load+r.shardLoads[n])/to.weight < maxRatio
}

// rank orders the movable shards; the smallest moves first.
type rank struct {
	stage    int // 0 if the destination is the standby, 1 if it is proposed as standby, 2 otherwise
	distance float64
	weight   uint64
}

func (a rank) less(b rank) bool {
	if a.stage != b.stage {
		return a.stage < b.stage
	}
	if a.distance != b.distance {
		return a.distance < b.distance
	}
	return a.weight > b.weight
}

func (r *round) rank(n int, to *candidate, want float64) rank {
	sh := &r.svc.Shards[n]
	k := rank{stage: 2, distance: math.Abs(r.shardLoads[n] - want), weight: r.weight(n, to.inc)}
	switch {
	case sh.HasPending && sh.Pending == to.inc:
		k.stage = 1
	case sh.Standby == to.inc && !sh.HasPending:
		k.stage = 0
	}
	return k
}

// rendezvous returns the rendezvous hashing weight of a member for a shard.
func rendezvous(service string, shard int, inc fold.Incarnation) uint64 {
	var b [12]byte
	for i := range 8 {
		b[i] = byte(inc >> (8 * i))
	}
	for i := range 4 {
		b[8+i] = byte(shard >> (8 * i))
	}
	var d xxhash.Digest
	d.ResetWithSeed(uint64(len(service)))
	_, _ = d.WriteString(service)
	_, _ = d.Write(b[:])
	return d.Sum64()
}
