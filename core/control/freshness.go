package control

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/view"
)

// LogOutage reports that as of AsOf a majority of the data centres answered a survey
// and none had read the log recently.
type LogOutage struct{ AsOf clock.Instant }

func (LogOutage) event() {}

// logOutage records that a survey found the log down for a majority of the data centres.
func (s *State) logOutage(e LogOutage) { s.fresh.RecordOutage(e.AsOf) }

// checkNewerRecords counts the log records of a newer version that this daemon cannot
// decode, and logs the first of them.
func (s *State) checkNewerRecords() {
	count := s.fold.Newer + s.history.Newer
	if count > 0 && s.newerRecords == 0 {
		s.emitDecision(Decision{Action: "too_old", Reason: "the log holds records of a newer version; replace this daemon"})
	}
	if count != s.newerRecords {
		s.newerRecords = count
		s.dirty = true
	}
}

// daemonList is the list of daemons in service, cached until members change.
type daemonList struct {
	epoch               uint64
	inService, starting []view.Daemon
}

// daemons returns the daemons in service.
func (s *State) daemons() []view.Daemon { return s.daemonLists().inService }

// starting returns the daemons of this data centre that have announced themselves, as
// long as none of them is in service.
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

// sortDaemons orders daemons in the same way on every daemon and keeps each slot once:
// by data centre, then by the hash of the slot, so that load does not follow the order
// of names.
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
