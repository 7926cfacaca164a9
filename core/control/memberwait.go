package control

import (
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/view"
)

const (
	// memberQuietTime is the time without a new member after which the shards of a
	// service are first placed. It is longer than the gap between the members of one
	// roll-out, which start within a second or two.
	memberQuietTime = 600 * time.Millisecond
	// memberWaitMax is the maximum length of that wait from the first member on, so
	// that a service that grows slowly is served by its present members.
	memberWaitMax = 3 * time.Second
)

// memberWait is the wait of a service whose shards were never placed. If they were all
// placed on its first member, they would have to move again when the others join.
type memberWait struct {
	members int
	since   clock.Instant // of the first member
	changed clock.Instant // when the number of members last changed
}

// until returns the end of the wait if no other member joins.
func (w memberWait) until() clock.Instant {
	return min(w.changed.Add(memberQuietTime), w.since.Add(memberWaitMax))
}

// waitedInLastRound reports whether a first placement was still waiting in the last
// round, so that a round is due although nothing changes.
func (s *State) waitedInLastRound() bool {
	for _, w := range s.planner.memberWait {
		if s.planner.lastRound < w.until() {
			return true
		}
	}
	return false
}

// waitsForMembers reports whether the first placement of a service waits for members.
func (s *State) waitsForMembers(name string, svc *fold.Service) bool {
	if placedBefore(svc) {
		delete(s.planner.memberWait, name)
		return false
	}
	members := s.membersOf(name)
	w, ok := s.planner.memberWait[name]
	if !ok {
		w = memberWait{since: s.now}
	}
	if !ok || w.members != members {
		w.members = members
		w.changed = s.now
	}
	s.planner.memberWait[name] = w
	return s.now < w.until()
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

// membersOf returns the number of members in service that may own shards of a service:
// for the keeper service, all of them.
func (s *State) membersOf(service string) int {
	n := 0
	for _, m := range s.fold.Members {
		if m.Phase == fold.InService && (m.Service == service || service == view.KeeperService) {
			n++
		}
	}
	return n
}
