package placement

import (
	"math"
	"testing"

	"github.com/sesamemoor/sesamemoor/core/fold"
)

// TestSharesOfVersions checks that the members of a new version have their share of the shards,
// that they have no part in the others, and that all shards move to one side in the end. A member
// that is neither owner nor standby gets no request, whoever is lost.
func TestSharesOfVersions(t *testing.T) {
	const shards = 240
	m := newModel(t, shards, 3)
	var old, new []uint64
	for n := range 3 {
		old = append(old, m.join(n))
	}
	for m.step(t) {
	}
	for n := range 3 {
		new = append(new, m.join(3+n))
	}
	members := func(list []uint64) map[fold.Incarnation]bool {
		out := map[fold.Incarnation]bool{}
		for _, inc := range list {
			out[inc] = true
		}
		return out
	}
	for _, c := range []struct {
		name     string
		versions Versions
		want     float64 // part of the shards that the new version owns
	}{
		{"held out", Versions{Excluded: members(new)}, 0},
		{"small share", Versions{New: members(new[:1]), Excluded: members(new[1:]), Share: 0.08}, 0.08},
		{"larger share", Versions{New: members(new), Share: 0.3}, 0.3},
		{"smaller again", Versions{New: members(new), Share: 0.1}, 0.1},
		{"all", Versions{New: members(new), Share: 1}, 1},
		{"completed", Versions{Excluded: members(old)}, 1},
		{"rolled back", Versions{Excluded: members(new)}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.versions.Known = []string{""}
			m.load.Versions = map[string]*Versions{service: &c.versions}
			rounds := 0
			for ; m.stepVersions(t) && rounds < 60; rounds++ {
			}
			owned, standby := 0, 0
			for _, sh := range m.shards() {
				if members(new)[sh.Owner] {
					owned++
				}
				if members(new)[sh.Standby] && !members(new)[sh.Owner] {
					standby++
				}
			}
			t.Logf("%d of %d shards after %d rounds", owned, shards, rounds)
			if math.Abs(float64(owned)-c.want*shards) > 1 || rounds == 60 {
				t.Errorf("the new version owns %d of %d shards after %d rounds, expected %.0f", owned, shards, rounds, c.want*shards)
			}
			if standby > 0 && c.want < 1 {
				t.Errorf("the new version stands by for %d shards of the old one", standby)
			}
		})
	}
}

// stepVersions makes one plan and executes it, and reports whether anything changed.
func (m *fleetModel) stepVersions(t fataler) bool {
	plan := m.applyPlan(t)
	m.completePlan(service)
	return !plan.Empty()
}
