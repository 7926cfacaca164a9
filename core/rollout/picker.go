package rollout

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"sync/atomic"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// Answer is what a daemon last learned about a roll-out from the daemon in charge.
type Answer struct {
	Decision
	Until clock.Instant // end of its validity; a terminal state has none
}

// goldenRatio is 2^64 divided by the golden ratio. The multiples of it are spread evenly
// over all uint64, also those of every second or every third request, so that requests that
// alternate between routes are divided evenly on each route.
const goldenRatio = 0x9E3779B97F4A7C15

// Picker decides at a daemon which requests of a service go to the new version. It is safe
// for concurrent use.
type Picker struct {
	answer   atomic.Pointer[Answer] // nil: none yet
	position atomic.Uint64
}

// NewPicker returns a picker that sends nothing to the new version until it has an answer.
// seed differs between daemons, so that their first requests do not all go to the same
// version.
func NewPicker(seed uint64) *Picker {
	p := &Picker{}
	p.position.Store(mix(seed))
	return p
}

// Set replaces the answer. A terminal state is never replaced.
func (p *Picker) Set(a Answer) {
	for {
		last := p.answer.Load()
		if last != nil && last.State != Running {
			return
		}
		if p.answer.CompareAndSwap(last, &a) {
			return
		}
	}
}

// Pick decides whether the next request goes to the new version, and to how many of its
// servers (see Servers; 0 if it goes to the old version). old and new are the numbers of
// servers in service. While the roll-out runs, requests go to the version that has servers
// if only one has, and to the old one without a valid answer. After a terminal state the
// numbers do not matter.
func (p *Picker) Pick(now clock.Instant, old, new int) (toNew bool, servers int) {
	a := p.answer.Load()
	switch {
	case a != nil && a.State == Completed:
		return true, new
	case a != nil && a.State == RolledBack, new == 0:
		return false, 0
	case old == 0:
		return true, new
	case a == nil || !now.Before(a.Until) || !(a.Share > 0):
		return false, 0
	case a.Share < 1 && p.position.Add(goldenRatio) >= uint64(a.Share*math.MaxUint64):
		return false, 0
	}
	return true, max(1, min(a.Servers, new))
}

// Servers returns the servers of the new version that take its share: n of names in the
// order of a hash of order and name, the same at all daemons. It returns at least one unless
// names is empty, and sorts names in place.
func Servers(order uint64, names []string, n int) []string {
	rank := func(name string) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(name)) // never fails
		return mix(h.Sum64() ^ mix(order))
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b))
	})
	return names[:min(max(n, 1), len(names))]
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += goldenRatio
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}
