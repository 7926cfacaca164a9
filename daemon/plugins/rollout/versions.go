package rollout

import (
	"slices"

	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/rollout"
	"github.com/sesamemoor/sesamemoor/core/view"
)

// ended is the outcome of the last roll-out of a service.
type ended struct {
	order uint64
	state rollout.State // Completed or RolledBack
	to    string
	from  []string
}

// allows reports whether the outcome allows requests at a version. A version that the
// roll-out did not have, as one that is started later, is allowed.
func (e *ended) allows(version string) bool {
	switch {
	case e == nil || version == "":
		return true
	case e.state == rollout.Completed:
		return version == e.to || !slices.Contains(e.from, version)
	default:
		return version != e.to
	}
}

// running is a roll-out that has not ended, as a daemon knows it.
type running struct {
	order uint64
	to    string
	from  []string // versions that the service had before; empty if not known
}

// excludes reports whether a version is neither the new one nor one of those before.
func (r *running) excludes(version string) bool {
	return r != nil && version != "" && len(r.from) > 0 && !slices.Contains(r.from, version)
}

// split divides the members of a service that may get requests by version. last is the
// outcome of the last roll-out, which does not restrict the version of a newer order.
// pending are the members of other versions, which get requests only if old has no members.
func split(v *view.View, members []*view.Member, last *ended, run *running, order *fleet.RolloutOrder) (old, new, pending []*view.Member) {
	for _, m := range members {
		switch {
		case v.Config.DataCentres[m.DataCentre].Out || v.Config.BackendServers[m.BackendName].Out:
		case run != nil && m.Version == run.to:
			new = append(new, m)
		case order != nil && m.Version == order.To, run.excludes(m.Version):
			pending = append(pending, m)
		case last.allows(m.Version):
			old = append(old, m)
		}
	}
	return old, new, pending
}

// versionsOf returns the versions of members in ascending order.
func versionsOf(members []*view.Member) []string {
	var list []string
	for _, m := range members {
		if !slices.Contains(list, m.Version) {
			list = append(list, m.Version)
		}
	}
	slices.Sort(list)
	return list
}
