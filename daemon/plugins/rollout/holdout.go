package rollout

import (
	"reflect"
	"sync/atomic"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/view"
)

// holdout holds requests back from a server that appears with another version than the
// other servers of its service: the order that it was started for may not have been read
// yet. It is safe for concurrent use; only one goroutine calls update.
type holdout struct {
	time time.Duration // for which a server is held out
	seen atomic.Pointer[map[uint64]clock.Instant]
	last map[string][]*view.Member // the servers that update has read last
}

// update records the members that have appeared.
func (h *holdout) update(now clock.Instant, v *view.View) {
	// Views share the map until the members change.
	if h.last != nil && reflect.ValueOf(v.Servers).Pointer() == reflect.ValueOf(h.last).Pointer() {
		return
	}
	h.last = v.Servers
	last, seen := h.load(), map[uint64]clock.Instant{}
	for _, members := range v.Servers {
		for _, m := range members {
			at, ok := last[m.Incarnation]
			if !ok {
				at = now
			}
			seen[m.Incarnation] = at
		}
	}
	h.seen.Store(&seen)
}

func (h *holdout) load() map[uint64]clock.Instant {
	if seen := h.seen.Load(); seen != nil {
		return *seen
	}
	return nil
}

// uniform reports whether all members have the same version.
func uniform(members []*view.Member) bool {
	for _, m := range members {
		if m.Version != members[0].Version {
			return false
		}
	}
	return true
}

// settled returns the members that are not held out: those of a version that a member
// has had for the time of the holdout. If there is none, the version that most members
// have is taken for the one of the service.
func (h *holdout) settled(now clock.Instant, members []*view.Member) []*view.Member {
	if len(members) == 0 || uniform(members) {
		return members
	}
	seen := h.load()
	known, count, first := map[string]bool{}, map[string]int{}, members[0].Version
	for _, m := range members {
		if at, ok := seen[m.Incarnation]; ok && now.Sub(at) >= h.time {
			known[m.Version] = true
		}
		if count[m.Version]++; count[m.Version] > count[first] {
			first = m.Version
		}
	}
	if len(known) == 0 {
		known[first] = true
	}
	var out []*view.Member
	for _, m := range members {
		if known[m.Version] || m.Version == "" {
			out = append(out, m)
		}
	}
	return out
}
