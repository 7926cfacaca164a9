package fold

import (
	"fmt"
	"slices"

	"github.com/sesamemoor/sesamemoor/core/wire"
)

// Limits of membership records and of the members kept.
const (
	// maxNameBytes is the maximum length of names and addresses. Reject messages in
	// this file state the number too.
	maxNameBytes = 128
	// MaxWitnesses is the largest size of a witness set. The reject message in
	// checkWitnesses states the number too.
	MaxWitnesses = 7
	// maxEndedMembers is the number of ended members that are retained, so that
	// their slots rank last in the choice of witnesses.
	maxEndedMembers = 1024
)

func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }

func (s *State) announce(offset uint64, a *wire.Announce) Verdict {
	if !validName(a.GetSlot()) || !validName(a.GetWitnessAddr()) {
		return rejected("slot or witness address of the announce is empty or longer than 128 bytes")
	}
	for _, field := range []string{a.GetDataCentre(), a.GetRegion(), a.GetPeerAddr(), a.GetEntryAddr()} {
		if len(field) > maxNameBytes {
			return rejected("announce has a field of %d bytes, which is more than 128", len(field))
		}
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
	s.Epoch++
	return accepted()
}

func (s *State) join(offset uint64, j *wire.Join) Verdict {
	if _, ok := s.Slots[j.GetSlot()]; !ok {
		return rejected("slot %q was not announced", j.GetSlot())
	}
	if !validName(j.GetService()) || len(j.GetBackendServer()) > maxNameBytes || len(j.GetBackendAddr()) > maxNameBytes {
		return rejected("service of the join is empty, or a field of it is longer than 128 bytes")
	}
	if reason := checkWitnesses(j.GetWitnesses()); reason != "" {
		return rejected("%s", reason)
	}
	s.dropReplaced(j.GetSlot())
	s.Members[offset] = &Member{
		Incarnation:   offset,
		Slot:          j.GetSlot(),
		Service:       j.GetService(),
		BackendServer: j.GetBackendServer(),
		BackendAddr:   j.GetBackendAddr(),
		Slots:         j.GetSlots(),
		ChecksFence:   j.GetChecksFence(),
		Witnesses:     slices.Clone(j.GetWitnesses()),
		LeaseMS:       j.GetLeaseMs(),
		Version:       memberVersion(j),
		Era:           s.Base,
	}
	s.Epoch++
	return accepted()
}

// memberVersion returns the version of a joining backend server. One that is too long
// counts as unknown: daemons that do not read the field accept such a join, so that
// replay must accept it too.
func memberVersion(j *wire.Join) string {
	if len(j.GetBackendVersion()) > maxNameBytes {
		return ""
	}
	return j.GetBackendVersion()
}

// checkWitnesses returns the reason why a witness set is invalid, or "".
func checkWitnesses(set []string) string {
	if len(set)%2 == 0 || len(set) > MaxWitnesses {
		return fmt.Sprintf("number of witnesses must be odd and at most 7, but is %d", len(set))
	}
	for i, w := range set {
		if !validName(w) || slices.Contains(set[:i], w) {
			return fmt.Sprintf("witness %q is empty, longer than 128 bytes or listed twice", w)
		}
	}
	return ""
}

// dropReplaced deletes the slot's incarnations that never came into service or
// have ended. An incarnation in service stays until it lapses or leaves.
func (s *State) dropReplaced(slot string) {
	for inc, m := range s.Members {
		if m.Slot == slot && m.Phase != InService {
			delete(s.Members, inc)
		}
	}
	s.ended = slices.DeleteFunc(s.ended, func(inc Incarnation) bool { return s.Members[inc] == nil })
}

// retainEnded retains an ended member. Beyond maxEndedMembers, it deletes the
// oldest ended members, and their slots if no member uses them.
func (s *State) retainEnded(inc Incarnation) {
	s.ended = append(s.ended, inc)
	for len(s.ended) > maxEndedMembers {
		oldest := s.Members[s.ended[0]]
		delete(s.Members, s.ended[0])
		s.ended = s.ended[1:]
		if !s.slotUsed(oldest.Slot) {
			delete(s.Slots, oldest.Slot)
		}
	}
}

// slotUsed reports whether a member runs in the slot, or a member that has not
// ended has it as a witness.
func (s *State) slotUsed(slot string) bool {
	for _, m := range s.Members {
		if m.Slot == slot || m.Phase != Gone && slices.Contains(m.Witnesses, slot) {
			return true
		}
	}
	return false
}

func (s *State) ready(r *wire.Ready) Verdict {
	m, ok := s.Members[r.GetIncarnation()]
	if !ok || m.Phase != Joined {
		return rejected("incarnation %d is not in phase Joined", r.GetIncarnation())
	}
	m.Phase = InService
	s.Epoch++
	return accepted()
}

func (s *State) lapse(l *wire.Lapse) Verdict {
	m, ok := s.Members[l.GetIncarnation()]
	if !ok || m.Phase == Gone {
		return rejected("incarnation %d is not a member", l.GetIncarnation())
	}
	if !sealedByMajority(m.Witnesses, l.GetSealedBy()) {
		return rejected("incarnation %d was not sealed by a majority of its witnesses", l.GetIncarnation())
	}
	return s.end(l.GetIncarnation())
}

// sealedByMajority reports whether sealedBy includes more than half of the
// witnesses.
func sealedByMajority(witnesses, sealedBy []string) bool {
	count := 0
	for _, w := range witnesses {
		if slices.Contains(sealedBy, w) {
			count++
		}
	}
	return 2*count > len(witnesses)
}

func (s *State) leave(author Incarnation, l *wire.Leave) Verdict {
	if author != l.GetIncarnation() {
		return rejected("author %d of the leave is not its incarnation %d", author, l.GetIncarnation())
	}
	return s.end(author)
}

// end ends the membership of an incarnation. Its shards are assigned to their
// standbys, and it is removed as standby and as proposed standby.
func (s *State) end(inc Incarnation) Verdict {
	m, ok := s.Members[inc]
	if !ok || m.Phase == Gone {
		return rejected("incarnation %d is not a member", inc)
	}
	m.Phase = Gone
	s.Epoch++
	s.retainEnded(inc)
	for _, svc := range s.Services {
		for i := range svc.Shards {
			svc.Shards[i].end(inc, s.floor())
		}
	}
	return accepted()
}

func (sh *Shard) end(inc Incarnation, floor uint64) {
	if sh.Owner == inc {
		sh.promote(floor)
	}
	if sh.Standby == inc {
		sh.setStandby(0, floor)
	}
	if sh.HasPending && sh.Pending == inc {
		sh.HasPending = false
		sh.Pending = 0
	}
}

// promote makes the standby the owner, as a takeover does. A shard without a
// standby has no owner afterwards.
func (sh *Shard) promote(floor uint64) {
	sh.Owner = sh.Standby
	sh.Standby = 0
	if sh.Owner == 0 {
		sh.raise(2, floor)
	} else {
		sh.raise(1, floor)
	}
	sh.Handover = false
	if sh.HasPending {
		next := sh.Pending
		sh.HasPending = false
		sh.Pending = 0
		if next != sh.Owner {
			sh.setStandby(next, floor)
		}
	}
}

// setStandby replaces the standby. Since the generation increases by two, the
// previous standby can no longer take over.
func (sh *Shard) setStandby(inc Incarnation, floor uint64) {
	sh.Standby = inc
	sh.raise(2, floor)
	sh.HasPending = false
	sh.Pending = 0
	sh.Handover = false
}
