package control

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// TestAnsweredReleaseRaisesNoSuspicion checks that a standby that accepted a release is
// neither suspected nor bypassed by a recorded release while the log is slow to show
// its record. A suspicion would delay all further releases to it.
func TestAnsweredReleaseRaisesNoSuspicion(t *testing.T) {
	is := is.New(t)
	w := settledWorld(t, 3)
	id := view.ShardID{Service: simService}
	sh := w.replay().Services[simService].Shards[0]
	owner, standby := w.owner(0), w.standby(0)
	w.record(handover(0, sh))
	for r := owner.state.rights[id]; !r.answered; {
		is.NoErr(w.run(simStep))
	}
	w.logDownUntil = w.now + 4*time.Second
	for end := w.now + 3*time.Second; w.now < end; {
		is.NoErr(w.run(simStep))
		is.Equal(len(owner.state.sealers), 0)
		is.True(!owner.state.rights[id].recorded)
	}
	_, held := standby.view.Held[id]
	is.True(held)
}

// TestSuspicionExpires checks that a standby that was wrongly suspected can take
// shards again, although the suspicion is repeated.
func TestSuspicionExpires(t *testing.T) {
	is := is.New(t)
	w := settledWorld(t, 4)
	sh := w.replay().Services[simService].Shards[0]
	owner := w.owner(0)
	suspect := func() { owner.state.suspect(sh.Standby, "test", true) }
	suspect()
	is.True(!owner.state.usableStandby(&sh))
	for range 2*suspicionTerms + 1 {
		is.NoErr(w.run(w.params.Term / 2))
		suspect()
	}
	is.True(owner.state.sealers[sh.Standby] != nil)
	is.True(owner.state.usableStandby(&sh))
}

// TestTakeoversAreBatched checks that takeovers of the shards of a data centre that
// is taken out of service are recorded together, not one by one.
func TestTakeoversAreBatched(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 6, 64, faultOdds{})
	w.start()
	is.NoErr(w.run(12 * time.Second))
	moving := 0
	for _, n := range w.nodes {
		if n.state.opts.DataCentre == "a" {
			moving += len(n.view.Held)
		}
	}
	is.True(moving >= 10)
	from := len(w.log)
	w.patch(`{"data_centres":{"a":{"out":true}}}`)
	is.NoErr(w.run(2 * time.Second))
	records, refs := w.takeoversSince(t, from)
	is.True(refs >= moving)
	is.True(records <= 3*len(w.nodes)) // what each standby accepts within a tick
}

// TestLeaveRecordReplacesTakeoverRecords checks that the leave record of a departing
// member suffices for its shards, without records of the daemons that took them over.
func TestLeaveRecordReplacesTakeoverRecords(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 4, 64, faultOdds{})
	w.start()
	is.NoErr(w.run(12 * time.Second))
	leaver := w.owner(0)
	shards, leaving := len(leaver.view.Held), leaver.state.member.incarnation
	is.True(shards >= 10)
	from := len(w.log)
	is.NoErr(w.shutDown(leaver))
	is.NoErr(w.run(500 * time.Millisecond))
	records, _ := w.takeoversSince(t, from)
	is.Equal(records, 0)
	for _, svc := range w.replay().Services {
		for _, sh := range svc.Shards {
			is.True(sh.Owner != leaving)
		}
	}
}

// takeoversSince returns the number of takeover records from an index of the log on,
// and the number of shards that they name.
func (w *world) takeoversSince(t *testing.T, from int) (records, refs int) {
	t.Helper()
	for _, e := range w.log[from:] {
		rec := new(wire.Record)
		if err := proto.Unmarshal(e.Data, rec); err != nil {
			t.Fatal(err)
		}
		if n := len(rec.GetTakeover().GetRefs()); n > 0 {
			records++
			refs += n
		}
	}
	return records, refs
}

// TestAppendBackoff checks that a record that the log does not show is
// appended again after 1 s, 3 s, 7 s and 11 s.
func TestAppendBackoff(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 1, 1)
	f.logDown = true
	d := f.daemons[0]
	begin := f.now
	var at []time.Duration
	for f.now.Sub(begin) < 12*time.Second {
		before := d.appends
		f.tick()
		if d.appends > before {
			at = append(at, f.now.Sub(begin).Round(time.Second))
		}
	}
	is.Equal(at, []time.Duration{0, 1 * time.Second, 3 * time.Second, 7 * time.Second, 11 * time.Second})
}

// TestWitnessAfterPartition: a daemon that was partitioned from the rest has sealed
// members that others keep alive, and reports them as overdue from then on. Moves to
// these members must still complete; pending ones would block all further moves.
func TestWitnessAfterPartition(t *testing.T) {
	is := is.New(t)
	w := settledWorld(t, 6)
	holder := w.nodes[1]
	partitioned := w.nodeNamed(holder.state.member.witnesses[0])
	for _, n := range w.nodes {
		w.blocked[[2]int{partitioned.index, n.index}] = w.now + 5*time.Second
		w.blocked[[2]int{n.index, partitioned.index}] = w.now + 5*time.Second
	}
	w.blocked[[2]int{holder.index, partitioned.index}] = w.now + 6*time.Second // its renewals arrive late
	partitioned.logCutUntil = w.now + 5*time.Second
	is.NoErr(w.run(15 * time.Second))
	is.True(w.sealedAlive(partitioned) > 0)
	for i, sh := range w.replay().Services[simService].Shards {
		w.record(handover(uint32(i), sh))
	}
	is.NoErr(w.run(5 * time.Second))
	for i, sh := range w.replay().Services[simService].Shards {
		if sh.Handover {
			t.Errorf("shard %d is still due for handover to member %d", i, sh.Standby)
		}
	}
}

// sealedAlive returns the number of members that a witness has sealed and that still
// hold their leases.
func (w *world) sealedAlive(witness *node) int {
	count := 0
	for _, n := range w.nodes {
		inc := n.state.member.incarnation
		if n == witness || !n.state.leaseHeld() || !slices.Contains(n.state.member.witnesses, witness.name) {
			continue
		}
		if _, refused := witness.state.witness.Renew(w.clock(witness), inc, false, 0); refused {
			count++
		}
	}
	return count
}
