package control

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFirstPlacementWaitsForMembers starts the members of a service one after another,
// 180 ms apart. The first one must not become the owner of all shards.
func TestFirstPlacementWaitsForMembers(t *testing.T) {
	is := is.New(t)
	const gap = 180 * time.Millisecond
	f := newFakeFleet(t, 1, 3)
	f.patch(0, fakeConfig)
	for i := 1; i < 6; i++ {
		for next := f.now.Add(gap); f.now < next; {
			f.tick()
		}
		f.add(i, 3)
	}
	f.until(5*time.Second, "first placement", func() bool { return f.held("storefront") == 12 })
	for _, sh := range f.daemons[0].state.fold.Services["storefront"].Shards {
		is.Equal(sh.Generation, uint64(2)) // placed once, owner and standby together
	}
	for _, d := range f.daemons {
		is.True(len(d.view.Held) > 0)
	}
}

// TestFirstPlacementWaitIsBounded checks that members that keep joining do not
// prevent the present ones from serving.
func TestFirstPlacementWaitIsBounded(t *testing.T) {
	f := newFakeFleet(t, 1, 3)
	f.patch(0, fakeConfig)
	started := f.now
	joined := 1
	for f.held("storefront") < 12 {
		if f.now.Sub(started) > memberWaitMax+8*time.Second {
			t.Fatal("shards are not placed in time")
		}
		f.tick()
		if f.now.Sub(started) > time.Duration(joined)*memberQuietTime/2 {
			f.add(joined, 3)
			joined++
		}
	}
}

// TestServiceWithoutMembersCausesNoRounds checks that a service whose first placement
// never happens triggers no planning rounds while nothing changes.
func TestServiceWithoutMembersCausesNoRounds(t *testing.T) {
	is := is.New(t)
	f := startedFleet(t, 4)
	f.patch(1, `{"services":{"empty":{"region":"r","shards":4}}}`)
	first := f.firstPlanner()
	for range int(2 * memberWaitMax / TickInterval) {
		f.tick()
	}
	rounds, last := 0, first.state.planner.lastRound
	for range int(10 * time.Second / TickInterval) {
		f.tick()
		if lastRound := first.state.planner.lastRound; lastRound != last {
			rounds, last = rounds+1, lastRound
		}
	}
	is.True(rounds <= int(10*time.Second/replanInterval))
}
