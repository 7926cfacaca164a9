package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/wire"
)

// firstPlanner returns the daemon of the first planner.
func (f *fakeFleet) firstPlanner() *fakeDaemon {
	for _, d := range f.daemons {
		if list := d.state.planners(); len(list) > 0 && list[0] == d.state.member.incarnation {
			return d
		}
	}
	f.t.Fatal("no planner")
	return nil
}

// TestPlanningGoesOnWithoutTheFirstPlanner: the first planner keeps its lease but is
// partitioned from the log, to which others keep writing. The shards of a lost daemon
// must still get new standbys.
func TestPlanningGoesOnWithoutTheFirstPlanner(t *testing.T) {
	f := startedFleet(t, 6)
	first := f.firstPlanner()
	first.cutLog = true
	var lost, other *fakeDaemon
	for _, d := range f.daemons {
		if d != first {
			lost, other = d, lost
		}
	}
	lost.dead = true
	f.until(2*time.Second, "takeover", func() bool { return f.held("storefront") == 12 })
	f.until(5*time.Second, "new standbys", func() bool {
		f.append(f.daemons[0].state.placementStream(), &wire.Record{Id: make([]byte, 16)}) // a record without effect
		return f.protected(other, "storefront")
	})
}

// TestFollowerDrainsWhileThePlacementStreamIsQuiet checks that a daemon that receives
// batches of the placement stream only when it has records still hands off its shards
// at once.
func TestFollowerDrainsWhileThePlacementStreamIsQuiet(t *testing.T) {
	f := startedFleet(t, 4)
	d := f.daemons[1]
	d.followsPeer = true
	for range int(15 * time.Second / TickInterval) {
		f.tick()
	}
	if !d.state.logFresh() {
		t.Fatal("logFresh is false although the configuration stream is read")
	}
	f.patch(1, `{"backend_servers":{"server-1":{"out":true}}}`)
	f.until(5*time.Second, "drain", func() bool { return len(d.view.Held) == 0 })
}

// TestProposalsAreBoundedWhileLogIsDown checks that the records of at most one plan are
// outstanding while the log is down.
func TestProposalsAreBoundedWhileLogIsDown(t *testing.T) {
	is := is.New(t)
	f := startedFleet(t, 6)
	f.logDown = true
	for _, d := range f.daemons {
		if d != f.firstPlanner() {
			d.dead = true // its shards lack standbys, but no record reaches the log
			break
		}
	}
	f.until(2*time.Second, "takeover", func() bool { return f.held("storefront") == 12 })
	first := f.firstPlanner()
	plan := first.state.plan()
	before := len(first.state.outbox.pending)
	for range int(time.Minute / TickInterval) {
		f.tick()
	}
	is.True(len(first.state.outbox.pending) <= before+2) // one plan has at most two records
	is.True(first.state.plan().Empty() == plan.Empty())
	f.logDown = false
	f.until(5*time.Second, "new standbys", func() bool { return f.protected(first, "storefront") })
}

// TestOnlyThePlannerWithReportsBalances checks that the second planner does not undo
// the moves of the first: members report their load to the first planner only.
func TestOnlyThePlannerWithReportsBalances(t *testing.T) {
	is := is.New(t)
	f := startedFleet(t, 4)
	hot := uint32(0)
	for range int(10 * time.Second / TickInterval) {
		f.reportLoad("storefront", hot)
		f.tick()
	}
	first := f.firstPlanner()
	owned := map[uint64]int{}
	for _, sh := range first.state.fold.Services["storefront"].Shards {
		owned[sh.Owner]++
	}
	owner := first.state.fold.Services["storefront"].Shards[hot].Owner
	is.True(owned[owner] < 3) // its other shards moved elsewhere
	for range int(10 * time.Second / TickInterval) {
		f.reportLoad("storefront", hot)
		f.tick()
		for _, d := range f.daemons {
			if d != first && d.state.isPlanner() {
				is.True(!d.changesPlacement("storefront"))
			}
		}
	}
}

// changesPlacement reports whether the daemon's plan moves a shard or replaces a
// standby. Naming a standby for a shard without one does not count.
func (d *fakeDaemon) changesPlacement(service string) bool {
	plan := d.state.plan()
	for _, pl := range plan.Placements {
		if d.state.fold.Services[service].Shards[pl.GetRef().GetShard()].Standby != 0 && pl.GetRef().GetService() == service {
			return true
		}
	}
	return len(plan.Handovers) > 0
}

// reportLoad sends the first planner the load reports of all members, in which one
// shard has 220 requests/s and the others 20 requests/s each.
func (f *fakeFleet) reportLoad(service string, hot uint32) {
	first := f.firstPlanner()
	for _, d := range f.daemons {
		report := &wire.LoadReport{Incarnation: d.view.Incarnation, Service: service, WindowMs: 50}
		for id := range d.view.Held {
			if id.Service != service {
				continue
			}
			rate := uint64(20 * rateMilli)
			if id.Shard == hot {
				rate = 220 * rateMilli
			}
			report.Shards = append(report.Shards, &wire.ShardLoad{Shard: id.Shard, RateMilli: rate})
		}
		first.inbox = append(first.inbox, LoadReceived{Report: report})
	}
}
