package control

import "github.com/sesamemoor/sesamemoor/core/view"

// awaitsVersionLimits reports whether the members of a service have several versions and
// VersionLimits has not said yet which of them may have shards.
func (s *State) awaitsVersionLimits(service string) bool {
	if !s.opts.Rollouts || service == view.KeeperService || s.versions[service] != nil {
		return false
	}
	version, found := "", false
	for _, m := range s.tables.servers[service] {
		if found && m.Version != version {
			return true
		}
		version, found = m.Version, true
	}
	return false
}
