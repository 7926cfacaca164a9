package fold

import (
	"slices"

	"github.com/sesamemoor/sesamemoor/core/wire"
)

func (s *State) announce(offset uint64, a *wire.Announce) Verdict {
	if a.GetSlot() == "" || a.GetWitnessAddr() == "" {
		return rejected("announce without slot or witness address")
	}
	s.Slots[a.GetSlot()] = &Slot{
		Name:        a.GetSlot(),
		DataCentre:  a.GetDataCentre(),
		Region:      a.GetRegion(),
		PeerAddr:    a.GetPeerAddr(),
		WitnessAddr: a.GetWitnessAddr(),
		EntryAddr:   a.GetEntryAddr(),
		Offset:      offset,
	}
	return accepted()
}

func (s *State) join(offset uint64, j *wire.Join) Verdict {
	if _, ok := s.Slots[j.GetSlot()]; !ok {
		return rejected("slot %q was not announced", j.GetSlot())
	}
	if len(j.GetWitnesses())%2 == 0 {
		return rejected("%d witnesses", len(j.GetWitnesses()))
	}
	s.Members[offset] = &Member{
		Incarnation:   offset,
		Slot:          j.GetSlot(),
		Service:       j.GetService(),
		BackendServer: j.GetBackendServer(),
		BackendAddr:   j.GetBackendAddr(),
		Slots:         j.GetSlots(),
		ChecksFence:   j.GetChecksFence(),
		Witnesses:     slices.Clone(j.GetWitnesses()),
	}
	return accepted()
}

func (s *State) ready(r *wire.Ready) Verdict {
	m, ok := s.Members[r.GetIncarnation()]
	if !ok || m.Phase != Joined {
		return rejected("incarnation %d is not waiting", r.GetIncarnation())
	}
	m.Phase = InService
	return accepted()
}

// lapse ends an incarnation whose lease a majority of its witnesses sealed.
func (s *State) lapse(l *wire.Lapse) Verdict {
	m, ok := s.Members[l.GetIncarnation()]
	if !ok {
		return rejected("incarnation %d is not a member", l.GetIncarnation())
	}
	sealed := 0
	for _, w := range m.Witnesses {
		if slices.Contains(l.GetSealedBy(), w) {
			sealed++
		}
	}
	if sealed <= len(m.Witnesses)/2 {
		return rejected("incarnation %d: sealed by %d of %d witnesses", m.Incarnation, sealed, len(m.Witnesses))
	}
	return s.end(l.GetIncarnation())
}

func (s *State) leave(author Incarnation, l *wire.Leave) Verdict {
	if author != l.GetIncarnation() {
		return rejected("author %d is not incarnation %d", author, l.GetIncarnation())
	}
	return s.end(author)
}

// end takes an incarnation out of membership: its shards go to their standbys
// and its standby rights end.
func (s *State) end(inc Incarnation) Verdict {
	m, ok := s.Members[inc]
	if !ok || m.Phase == Gone {
		return rejected("incarnation %d is not a member", inc)
	}
	m.Phase = Gone
	for _, svc := range s.Services {
		for i := range svc.Shards {
			svc.Shards[i].end(inc)
		}
	}
	return accepted()
}

func (sh *Shard) end(inc Incarnation) {
	if sh.Owner == inc {
		sh.promote()
	}
	if sh.Standby == inc {
		sh.setStandby(0)
	}
	if sh.HasPending && sh.Pending == inc {
		sh.HasPending = false
		sh.Pending = 0
	}
}

// promote makes the standby the owner, as a takeover does. Without a standby
// the shard is left without owner.
func (sh *Shard) promote() {
	sh.Owner = sh.Standby
	sh.Standby = 0
	if sh.Owner == 0 {
		sh.Generation += 2
	} else {
		sh.Generation++
	}
	sh.Handover = false
	if sh.HasPending {
		next := sh.Pending
		sh.HasPending = false
		sh.Pending = 0
		if next != sh.Owner {
			sh.setStandby(next)
		}
	}
}

// setStandby ends the right of the standby in place and names another.
func (sh *Shard) setStandby(inc Incarnation) {
	sh.Standby = inc
	sh.Generation += 2
	sh.HasPending = false
	sh.Pending = 0
	sh.Handover = false
}
