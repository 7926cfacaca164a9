package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sesamemoor/sesamemoor/core/fold"
)

// TestAnyOneLossWithTheLogDown checks that after the loss of any one daemon every shard
// is served again in time without the log.
func TestAnyOneLossWithTheLogDown(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		for i := range 6 {
			w := settledWorld(t, 100+seed)
			w.logDownUntil = time.Hour
			lost := w.nodes[i]
			lost.pausedUntil = time.Hour
			w.expectServed(t, seed, w.allShards(), takeoverLimit, lost)
		}
	}
}

// TestAnyTwoLosses checks that after the simultaneous loss of any two daemons every
// shard is served again within 5 s while the log accepts records.
func TestAnyTwoLosses(t *testing.T) {
	t.Parallel()
	const bound = 5 * time.Second
	eachPair(func(i, j int) {
		w := settledWorld(t, 200)
		lost := []*node{w.nodes[i], w.nodes[j]}
		for _, n := range lost {
			n.pausedUntil = time.Hour
		}
		w.expectServed(t, 200, w.allShards(), bound, lost...)
	})
}

// TestAnyTwoLossesWithTheLogDown checks which shards two losses leave served without
// the log: those whose owner or standby is alive and keeps two of its own witnesses, as
// long as the lost daemon has two live witnesses to seal its lease. The others wait for
// the log.
func TestAnyTwoLossesWithTheLogDown(t *testing.T) {
	t.Parallel()
	kept, all := 0, 0
	eachPair(func(i, j int) {
		w := settledWorld(t, 300)
		lost := []*node{w.nodes[i], w.nodes[j]}
		shards := w.servedWithoutLog(lost)
		kept += len(shards)
		all += int(w.shards)
		w.logDownUntil = time.Hour
		for _, n := range lost {
			n.pausedUntil = time.Hour
		}
		w.expectServed(t, 300, shards, takeoverLimit, lost...)
	})
	t.Logf("%d of %d shards are served without the log", kept, all)
}

func eachPair(f func(i, j int)) {
	for i := range 6 {
		for j := range i {
			f(i, j)
		}
	}
}

func (w *world) allShards() []uint32 {
	all := make([]uint32, w.shards)
	for i := range all {
		all[i] = uint32(i)
	}
	return all
}

func (w *world) expectServed(t *testing.T, seed uint64, shards []uint32, bound time.Duration, lost ...*node) {
	t.Helper()
	took, err := w.timeToServeShards(shards, lost...)
	if err == nil && took > bound {
		err = fmt.Errorf("served again after %v", took)
	}
	if err != nil {
		w.fail(t, seed, fmt.Errorf("%s lost: %w", names(lost), err))
	}
}

func names(nodes []*node) string {
	text := ""
	for _, n := range nodes {
		text += n.name + " "
	}
	return text
}

// servedWithoutLog returns the shards that stay served, or are served again without the
// log, after the loss of some daemons.
func (w *world) servedWithoutLog(lost []*node) []uint32 {
	st := w.replay()
	witnessed := func(n *node) bool {
		alive := 0
		for _, name := range n.state.member.witnesses {
			if !slices.Contains(lost, w.nodeNamed(name)) {
				alive++
			}
		}
		return alive >= 2
	}
	keeps := func(n *node) bool { return !slices.Contains(lost, n) && witnessed(n) }
	var shards []uint32
	for i, sh := range st.Services[simService].Shards {
		owner, standby := w.nodeNamed(st.Members[sh.Owner].Slot), w.nodeNamed(st.Members[sh.Standby].Slot)
		if keeps(owner) || keeps(standby) && witnessed(owner) {
			shards = append(shards, uint32(i))
		}
	}
	return shards
}

// protected reports whether all daemons are in service and every shard has an owner and
// a standby.
func (w *world) protected() bool {
	st := w.replay()
	inService := 0
	for _, m := range st.Members {
		if m.Phase == fold.InService {
			inService++
		}
	}
	for _, sh := range st.Services[simService].Shards {
		if sh.Owner == 0 || sh.Standby == 0 || sh.HasPending || sh.Handover {
			return false
		}
	}
	return inService == len(w.nodes)
}
