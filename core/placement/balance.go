package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// balance begins or continues moves from overloaded to underloaded members and
// returns their number.
func (r *round) balance(limits Limits) int {
	moves := 0
	before := r.standing()
	for moves < limits.MaxMoves {
		from, to, n := r.nextMove()
		if from == nil {
			break
		}
		from.drop(n)
		from.load -= r.weights[n]
		to.load += r.weights[n]
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

// standing returns how the service's load is spread.
func (r *round) standing() Balance {
	members := float64(len(r.cands))
	highest, lowest := r.highest(nil), r.lowest(func(*candidate) bool { return true })
	b := Balance{
		Service: r.service, Bound: r.bound, Member: highest.inc,
		Highest: highest.ratio() / r.mean, Lowest: lowest.ratio() / r.mean,
		Bears: highest.weight / (r.capacity / members),
	}
	for _, c := range r.cands {
		if c.slowed {
			b.Slowed++
		}
	}
	for _, n := range highest.owned {
		b.Hottest = max(b.Hottest, r.weights[n]/(r.total/members))
	}
	return b
}

// advance takes the next step of a move: the standby first, then the handover.
func (r *round) advance(n int, to *candidate) {
	sh := &r.svc.Shards[n]
	switch {
	case sh.HasPending && sh.Pending == to.inc:
		// The standby in place has still to consent.
	case sh.Standby == to.inc && !sh.HasPending:
		r.plan.Handovers = append(r.plan.Handovers, r.ref(n))
	default:
		r.plan.Placements = append(r.plan.Placements, &wire.Placement{Ref: r.ref(n), Owner: sh.Owner, Standby: to.inc})
	}
}

// nextMove returns the move that helps most, or nil when all candidates are
// within bounds or no move would help.
func (r *round) nextMove() (from, to *candidate, shard int) {
	lowest := r.lowest(func(*candidate) bool { return true })
	tried := map[*candidate]bool{}
	for len(tried) < maxDonors {
		highest := r.highest(tried)
		if highest == nil || highest == lowest || !r.unbalanced(highest, lowest) {
			return nil, nil, 0
		}
		if n, standby, ok := r.direct(highest); ok {
			return highest, standby, n
		}
		for _, to := range r.destinations(highest, lowest) {
			if n, ok := r.choose(highest, to); ok {
				return highest, to, n
			}
		}
		tried[highest] = true
	}
	return nil, nil, 0
}

// destinations returns the members to which one may hand shards, the preferred one
// first: while a shard moves within a data centre, its owner and standby are lost
// together with it.
func (r *round) destinations(from, lowest *candidate) []*candidate {
	if lowest.dc != from.dc || !r.spread {
		return []*candidate{lowest}
	}
	away := r.lowest(func(c *candidate) bool { return c.dc != from.dc })
	if away == nil || away.ratio() >= r.mean {
		return []*candidate{lowest}
	}
	return []*candidate{away, lowest}
}

// maxDonors bounds the members looked at for one move.
const maxDonors = 8

// unbalanced reports whether a pair of members is outside the bounds.
func (r *round) unbalanced(high, low *candidate) bool {
	if high.ratio() > r.mean*r.bound && r.matters(high) {
		return true
	}
	return high.ratio() > r.mean && low.ratio() < r.mean/r.bound && r.matters(low)
}

// matters reports whether a member's load differs from its share by as much as
// half of what the bound allows a usual member: what one of small capacity is off
// by is chance and not worth moves.
func (r *round) matters(c *candidate) bool {
	usual := r.mean * r.capacity / float64(len(r.cands))
	return math.Abs(c.load-r.mean*c.weight) >= (r.bound-1)/2*usual
}

// relieves reports whether a standby in its owner's data centre may be there for
// a move of load that began in an earlier round.
func (r *round) relieves(owner, standby *candidate) bool {
	return r.unbalanced(owner, standby) && owner.ratio() > r.mean && standby.ratio() < r.mean
}

// lowest returns the least loaded candidate of those that match, or nil.
func (r *round) lowest(match func(*candidate) bool) *candidate {
	var best *candidate
	for _, c := range r.cands {
		if match(c) && (best == nil || c.ratio() < best.ratio()) {
			best = c
		}
	}
	return best
}

// highest returns the most loaded candidate that is not to be skipped, or nil.
func (r *round) highest(skip map[*candidate]bool) *candidate {
	var best *candidate
	for _, c := range r.cands {
		if !skip[c] && (best == nil || c.ratio() > best.ratio()) {
			best = c
		}
	}
	return best
}

// choose returns the shard whose move from one member to another helps most:
// a move that was begun, then the fitting load, then the rendezvous weight.
func (r *round) choose(from, to *candidate) (int, bool) {
	want := min(from.load-r.mean*from.weight, r.mean*to.weight-to.load)
	return from.best(func(n int) (rank, bool) {
		return r.rank(n, to, want), r.mayMove(n, from, to)
	})
}

// direct returns the shard of an overloaded member that is best handed to the
// standby it has, which is below its share: such a move takes one step and costs
// no change of standby.
func (r *round) direct(from *candidate) (int, *candidate, bool) {
	if from.ratio() <= r.mean*r.bound {
		return 0, nil, false
	}
	excess := from.load - r.mean*from.weight
	n, ok := from.best(func(n int) (rank, bool) {
		to := r.byInc[r.svc.Shards[n].Standby]
		if to == nil || r.svc.Shards[n].HasPending || to.load+r.weights[n] > r.mean*to.weight {
			return rank{}, false
		}
		return r.rank(n, to, excess), true
	})
	if !ok {
		return 0, nil, false
	}
	return n, r.byInc[r.svc.Shards[n].Standby], true
}

// best returns the shard of the candidate with the smallest rank of those that may
// move.
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

// mayMove reports whether moving the shard lowers the higher ratio of the pair
// and no other change of its standby is under way.
func (r *round) mayMove(n int, from, to *candidate) bool {
	sh := &r.svc.Shards[n]
	if sh.HasPending && sh.Pending != to.inc && r.byInc[sh.Pending] != nil {
		return false
	}
	most := from.ratio()
	if r.weights[n] > r.mean*to.weight {
		most /= loadFactor // a hot shard moves for a clear gain only
	}
	return (to.load+r.weights[n])/to.weight < most
}

// rank orders the shards that may move; the smallest goes first.
type rank struct {
	begun    int // 0 if the destination stands by already, 1 if it is proposed, 2 otherwise
	distance float64
	weight   uint64
}

func (a rank) less(b rank) bool {
	if a.begun != b.begun {
		return a.begun < b.begun
	}
	if a.distance != b.distance {
		return a.distance < b.distance
	}
	return a.weight > b.weight
}

func (r *round) rank(n int, to *candidate, want float64) rank {
	sh := &r.svc.Shards[n]
	k := rank{begun: 2, distance: math.Abs(r.weights[n] - want), weight: rendezvous(r.service, n, to.inc)}
	switch {
	case sh.HasPending && sh.Pending == to.inc:
		k.begun = 1
	case sh.Standby == to.inc && !sh.HasPending:
		k.begun = 0
	}
	return k
}

// rendezvous returns the weight of a member for a shard.
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
