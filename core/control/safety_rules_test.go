package control

import (
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/lease"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// mutation disables one safety rule.
type mutation struct {
	name  string
	odds  func(*faultOdds) // raises the odds of the faults that the rule covers
	apply func(*world)
	runs  int // number of simulations within which a violation must be found
}

// manyMoves takes data centres out of service and back more often, so that more shards
// move.
func manyMoves(o *faultOdds) { o.Patch *= 10 }

// mutations disable the safety rules of this package. Package lease has such tests for
// the rules of the lease protocol alone.
var mutations = []mutation{
	{name: "consent of the old standby", odds: func(o *faultOdds) { manyMoves(o); o.CutLog *= 5 },
		apply: func(w *world) { w.forgeConsent = true }, runs: 200},
	{name: "drift margin", odds: func(o *faultOdds) { o.Drift = 0.15; o.Partition *= 3 },
		apply: func(w *world) { w.params.Drift = 0 }, runs: 200},
	{name: "seals of a majority", runs: 200, apply: func(w *world) {
		w.onNewState = func(s *State) {
			s.newSealer = func(p lease.Params, witnesses []string) leaseSealer {
				return lease.NewSealer(p, witnesses[:1])
			}
		}
	}},
	{name: "stop before release", odds: manyMoves, runs: 200,
		apply: func(w *world) { w.keepServing = true }},
	{name: "drain before release", odds: manyMoves, runs: 200,
		apply: func(w *world) { w.noDrain = true }},
	{name: "resume only after the record", odds: manyMoves, runs: 200, apply: func(w *world) {
		w.afterStep = func(_ *world, n *node) {
			for _, r := range n.state.rights {
				if r.releasing && r.released != 0 {
					n.state.abortRelease(r)
					r.released = 0
				}
			}
		}
	}},
	{name: "a lease cell for each incarnation", runs: 200,
		apply: func(w *world) { w.sharedCell = true }},
}

func (m mutation) world(seed uint64) *world {
	odds := defaultOdds
	if m.odds != nil {
		m.odds(&odds)
	}
	return newWorld(seed, 5, 3, odds)
}

// TestDisabledRuleBreaksOwnership disables one rule at a time and expects the
// simulation to find two owners; with the rule the same simulation must pass.
func TestDisabledRuleBreaksOwnership(t *testing.T) {
	for _, m := range mutations {
		t.Run(strings.ReplaceAll(m.name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= uint64(m.runs); seed++ {
				w := m.world(seed)
				m.apply(w)
				err := w.simulate(60 * time.Second)
				if err == nil || !isOwnershipError(err) {
					continue
				}
				t.Logf("seed %d: %v", seed, err)
				unmodified := m.world(seed)
				if err := unmodified.simulate(60 * time.Second); err != nil {
					unmodified.fail(t, seed, err)
				}
				if os.Getenv("SESAMEMOOR_TRACE") != "" {
					w.fail(t, seed, err)
				}
				return
			}
			t.Fatalf("no counterexample in %d simulations without the rule", m.runs)
		})
	}
}

// isOwnershipError distinguishes a second owner or a reused token from a shard that is
// merely not served.
func isOwnershipError(err error) bool {
	return err != nil && strings.Contains(err.Error(), "two owners") || err != nil && strings.Contains(err.Error(), "token")
}

// TestNoTakeoverAfterConsent lets an owner release to a standby whose consent to its
// successor is still in flight to the log.
func TestNoTakeoverAfterConsent(t *testing.T) {
	is := is.New(t)
	is.NoErr(releaseAfterConsent(t, false))
	is.True(isOwnershipError(releaseAfterConsent(t, true)))
}

func releaseAfterConsent(t *testing.T, forgetConsent bool) error {
	t.Helper()
	w := newWorld(1, 4, 1, faultOdds{})
	w.start()
	if err := w.run(10 * time.Second); err != nil {
		return err
	}
	st := w.replay()
	sh := st.Services[simService].Shards[0]
	standby := w.nodeNamed(st.Members[sh.Standby].Slot)
	w.heldNode = standby
	ref := &wire.ShardRef{Service: simService, Generation: sh.Generation}
	w.record(&wire.Record{Body: &wire.Record_Propose{Propose: &wire.Propose{Placements: []*wire.Placement{
		{Ref: ref, Standby: otherMember(st, sh)}}}}})
	if err := w.run(time.Second); err != nil {
		return err
	}
	r := standby.state.rights[view.ShardID{Service: simService}]
	if r == nil || r.consented != sh.Generation+1 {
		t.Fatalf("standby has not consented: right is %+v", r)
	}
	if forgetConsent {
		w.afterStep = func(_ *world, n *node) {
			for _, r := range n.state.rights {
				r.consented = 0
			}
		}
	}
	w.record(&wire.Record{Body: &wire.Record_Handover{Handover: &wire.Handover{Refs: []*wire.ShardRef{ref}}}})
	if err := w.run(250 * time.Millisecond); err != nil {
		return err
	}
	standby.logCutUntil = w.now + time.Hour
	for _, data := range w.heldRecords {
		w.appendNow(data)
	}
	err := w.run(2 * time.Second)
	return err
}

// otherMember returns a member in service that has no right to sh.
func otherMember(st *fold.State, sh fold.Shard) uint64 {
	for _, inc := range slices.Sorted(maps.Keys(st.Members)) {
		if inc != sh.Owner && inc != sh.Standby && st.Members[inc].Phase == fold.InService {
			return inc
		}
	}
	return 0
}
