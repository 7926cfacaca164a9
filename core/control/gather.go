package control

import (
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/view"
)

const (
	// gatherQuiet is the time without a further member after which the shards of
	// a service are placed for the first time: longer than the gap between the
	// members of one roll-out, which start within a second or two.
	gatherQuiet = 600 * time.Millisecond
	// gatherMost bounds that wait from the first member on: a service that grows
	// slowly is served by those that are there.
	gatherMost = 3 * time.Second
)

// gathering is a service whose shards were never placed. Placed at its first
// member, all of them would have to move again when the others join.
type gathering struct {
	members int
	since   clock.Instant // of the first member
	changed clock.Instant // when their number last changed
}

// until is the end of the wait as things are.
func (g gathering) until() clock.Instant {
	return min(g.changed.Add(gatherQuiet), g.since.Add(gatherMost))
}

// gatheringEnds reports whether a first placement waited in the last round, so that
// a round is due although nothing changes.
func (s *State) gatheringEnds() bool {
	for _, g := range s.planner.gathering {
		if s.planner.made < g.until() {
			return true
		}
	}
	return false
}

// gathers reports whether the first placement of a service waits for members.
func (s *State) gathers(name string, svc *fold.Service) bool {
	if placedBefore(svc) {
		delete(s.planner.gathering, name)
		return false
	}
	members := s.membersOf(name)
	g, ok := s.planner.gathering[name]
	if !ok {
		g = gathering{since: s.now}
	}
	if !ok || g.members != members {
		g.members = members
		g.changed = s.now
	}
	s.planner.gathering[name] = g
	return s.now < g.until()
}

// placedBefore reports whether any shard of the service ever had an owner.
func placedBefore(svc *fold.Service) bool {
	for i := range svc.Shards {
		if svc.Shards[i].Generation != 0 {
			return true
		}
	}
	return false
}

// membersOf counts the members in service that may own shards of a service: for
// the keeper service all.
func (s *State) membersOf(service string) int {
	n := 0
	for _, m := range s.fold.Members {
		if m.Phase == fold.InService && (m.Service == service || service == view.KeeperService) {
			n++
		}
	}
	return n
}
