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
	epoch               uint64
	inService, starting []view.Daemon
}

// daemons returns the daemons in service.
func (s *State) daemons() []view.Daemon { return s.daemonLists().inService }

// starting returns the daemons of this data centre that have announced themselves,
// as long as none of them is in service.
func (s *State) starting() []view.Daemon { return s.daemonLists().starting }

func (s *State) daemonLists() *daemonList {
	c := &s.daemonCache
	if c.inService != nil && c.epoch == s.fold.Epoch {
		return c
	}
	*c = daemonList{epoch: s.fold.Epoch, inService: []view.Daemon{}}
	served := false
	for _, m := range s.fold.Members {
		slot, ok := s.fold.Slots[m.Slot]
		if m.Phase == fold.InService && ok {
			c.inService = append(c.inService, daemonOf(slot))
			served = served || slot.DataCentre == s.opts.DataCentre
		}
	}
	for _, slot := range s.fold.Slots {
		if !served && slot.DataCentre == s.opts.DataCentre {
			c.starting = append(c.starting, daemonOf(slot))
		}
	}
	c.inService = sortDaemons(c.inService)
	c.starting = sortDaemons(c.starting)
	return c
}

func daemonOf(slot *fold.Slot) view.Daemon {
	return view.Daemon{Slot: slot.Name, DataCentre: slot.DataCentre, PeerAddr: slot.PeerAddr}
}

// sortDaemons orders daemons in the same way everywhere, each slot once: by data
// centre, then by the hash of the slot, so that load order follows no name.
func sortDaemons(list []view.Daemon) []view.Daemon {
	slices.SortFunc(list, func(a, b view.Daemon) int {
		return cmp.Or(
			cmp.Compare(a.DataCentre, b.DataCentre),
			cmp.Compare(xxhash.Sum64String(a.Slot), xxhash.Sum64String(b.Slot)),
			cmp.Compare(a.Slot, b.Slot),
		)
	})
	return slices.CompactFunc(list, func(a, b view.Daemon) bool { return a.Slot == b.Slot })
}
