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
	return s.now.Sub(g.changed) < gatherQuiet && s.now.Sub(g.since) < gatherMost
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

// membersOf counts the members in service that may own shards of a service.
func (s *State) membersOf(service string) int {
	n := 0
	for _, m := range s.fold.Members {
		if m.Phase == fold.InService && (m.Service == service || service == view.KeeperService) {
			n++
		}
	}
	return n
}
