package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/wire"
)

// firstPlanner returns the daemon whose turn to plan comes first.
func (f *fakeFleet) firstPlanner() *fakeDaemon {
	for _, d := range f.daemons {
		if list := d.state.planners(); len(list) > 0 && list[0] == d.state.member.incarnation {
			return d
		}
	}
	f.t.Fatal("no planner")
	return nil
}

// TestPlanningGoesOnWithoutTheFirstPlanner: the first planner keeps its lease
// but is cut from the log, which others keep busy; a lost daemon's shards still
// get new standbys.
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
		f.append(f.daemons[0].state.placementStream(), &wire.Record{Id: make([]byte, 16)}) // noise without effect
		return f.protected(other, "storefront")
	})
}

// TestFollowerDrainsWhileThePlacementStreamIsQuiet: a daemon that hears of the
// placement stream only when it has records still hands over at once.
func TestFollowerDrainsWhileThePlacementStreamIsQuiet(t *testing.T) {
	f := startedFleet(t, 4)
	d := f.daemons[1]
	d.follows = true
	for range int(15 * time.Second / TickInterval) {
		f.tick()
	}
	if !d.state.logFresh() {
		t.Fatal("the log counts as down although its configuration is read")
	}
	f.patch(1, `{"backend_servers":{"server-1":{"out":true}}}`)
	f.until(5*time.Second, "drain", func() bool { return len(d.view.Held) == 0 })
}

// TestPlansDoNotPileUpWhileTheLogIsDown bounds what a planner sends.
func TestPlansDoNotPileUpWhileTheLogIsDown(t *testing.T) {
	is := is.New(t)
	f := startedFleet(t, 6)
	f.logDown = true
	for _, d := range f.daemons {
		if d != f.firstPlanner() {
			d.dead = true // its shards lack standbys, but no record gets through
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
