package control

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/view"
)

// LogOutage tells that as of AsOf a majority of the data centres answered and
// none had read the log lately.
type LogOutage struct{ AsOf clock.Instant }

func (LogOutage) event() {}

// logOutage takes in a survey that found the log down for all.
func (s *State) logOutage(e LogOutage) { s.fresh.NoteOutage(e.AsOf) }

// noteNewer tells once that the log holds records which this daemon is too old
// to understand.
func (s *State) noteNewer() {
	count := s.fold.Newer + s.history.Newer
	if count > 0 && s.newer == 0 {
		s.decide(Decision{Action: "too_old", Reason: "the log holds records of a newer version; replace this daemon"})
	}
	if count != s.newer {
		s.newer = count
		s.dirty = true
	}
}

// daemonList is the list of daemons in service, kept until members change.
type daemonList struct {
	epoch uint64
	list  []view.Daemon
}

// daemons returns the daemons in service, in the same order everywhere: by data
// centre, then by the hash of the slot, so that load order follows no name.
func (s *State) daemons() []view.Daemon {
	c := &s.daemonCache
	if c.list != nil && c.epoch == s.fold.Epoch {
		return c.list
	}
	c.epoch = s.fold.Epoch
	c.list = []view.Daemon{}
	for _, m := range s.fold.Members {
		slot, ok := s.fold.Slots[m.Slot]
		if m.Phase == fold.InService && ok {
			c.list = append(c.list, view.Daemon{Slot: slot.Name, DataCentre: slot.DataCentre, PeerAddr: slot.PeerAddr})
		}
	}
	slices.SortFunc(c.list, func(a, b view.Daemon) int {
		return cmp.Or(
			cmp.Compare(a.DataCentre, b.DataCentre),
			cmp.Compare(xxhash.Sum64String(a.Slot), xxhash.Sum64String(b.Slot)),
			cmp.Compare(a.Slot, b.Slot),
		)
	})
	c.list = slices.CompactFunc(c.list, func(a, b view.Daemon) bool { return a.Slot == b.Slot })
	return c.list
}
