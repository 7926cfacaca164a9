package rollout

import (
	"maps"
	"slices"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/placement"
	"github.com/sesamemoor/sesamemoor/core/view"
)

// limitVersions tells the planner of this daemon which members of each service with shards
// may have them, if that has changed.
func (e *entries) limitVersions(v *view.View) {
	limits := map[string]*placement.Versions{}
	for service := range v.Services {
		if members := v.Servers[service]; len(members) > 0 {
			limits[service] = e.versionsOf(v, service, members)
		}
	}
	if maps.EqualFunc(limits, e.limited, equalVersions) {
		return
	}
	e.limited = limits
	e.control.Post(control.VersionLimits{Services: limits})
}

func (e *entries) versionsOf(v *view.View, service string, members []*view.Member) *placement.Versions {
	now, out := e.clock.Now(), &placement.Versions{Known: versionsOf(members), Excluded: map[uint64]bool{}}
	s, order := e.active(v, service)
	k := &knowledge{}
	if s != nil {
		k = s.known.Load()
	}
	old, new, pending := e.divide(v, now, members, k, order)
	allowed := old
	expired := k.run != nil && len(new) > 0 && !now.Before(k.answer.Until)
	unanswered := k.run == nil && order != nil && order.Problem == "" && order.ID > k.newest && len(pending) > 0
	if len(old) > 0 && (expired || unanswered) {
		// The daemon in charge is lost, this daemon is cut off, or it has begun to plan: shards
		// that members of the new version have stay there, and no others come to them.
		new = slices.Concat(new, pending)
		out.New, out.Hold = map[uint64]bool{}, true
		for _, m := range new {
			out.New[m.Incarnation] = true
		}
		allowed = slices.Concat(old, new)
	} else if share := k.share(now, len(old), len(new)); share > 0 {
		servers := new
		if share < 1 {
			servers = k.selectServers(new, max(1, k.answer.Servers))
		}
		out.New, out.Share = map[uint64]bool{}, share
		for _, m := range servers {
			out.New[m.Incarnation] = true
		}
		allowed = slices.Concat(old, servers)
	} else if len(old) == 0 {
		allowed = pending
	}
	for _, m := range members {
		out.Excluded[m.Incarnation] = !slices.Contains(allowed, m)
	}
	maps.DeleteFunc(out.Excluded, func(_ uint64, excluded bool) bool { return !excluded })
	return out
}

// share returns the share of the new version now.
func (k *knowledge) share(now clock.Instant, old, new int) float64 {
	switch {
	case k.run == nil || new == 0:
		return 0
	case old == 0:
		return 1
	case now.Before(k.answer.Until):
		return k.answer.Share
	}
	return 0
}

func equalVersions(a, b *placement.Versions) bool {
	return slices.Equal(a.Known, b.Known) && maps.Equal(a.Excluded, b.Excluded) && maps.Equal(a.New, b.New) && a.Share == b.Share && a.Hold == b.Hold
}
