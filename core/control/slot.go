package control

import (
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fold"
)

// reclaimWait is the time after which a process that lost its slot to another announces
// itself again if no member joined in the slot since. The other announce record was
// then a delayed one of a process that has ended.
const reclaimWait = 10 * time.Second

// slotClaim is this process's claim to its slot. The newest announce record holds the
// slot: an older process ends its incarnation, and it neither joins nor acts as witness
// any more.
type slotClaim struct {
	id     [16]byte      // of the announce record in force
	offset uint64        // of that record; zero until replay shows it
	lost   uint64        // offset of another process's announce record; zero if none
	lostAt clock.Instant // when replay showed it
}

// announceSeen applies an accepted announce record of this daemon's slot. It reports
// whether the record is this process's own.
func (c *slotClaim) announceSeen(offset uint64, id []byte) bool {
	if [16]byte(id) != c.id {
		return false
	}
	c.offset = offset
	c.lost = 0
	return true
}

// reconcileSlot compares the claim with replay. If another process holds the slot, the
// incarnation departs.
func (s *State) reconcileSlot() {
	c := &s.claim
	slot, ok := s.fold.Slots[s.opts.Slot]
	if !ok || c.offset == 0 || slot.Offset <= c.offset || slot.Offset == c.lost {
		return
	}
	c.lost = slot.Offset
	c.lostAt = s.now
	s.emitDecision(Decision{Action: "slot_lost", Reason: "another process announced itself in the slot", Member: s.member.incarnation})
	s.abandonJoin()
	s.depart("another process runs in the slot")
}

// slotLost reports whether another process holds this daemon's slot.
func (s *State) slotLost() bool { return s.claim.lost != 0 }

// tickSlot announces this process again if the one that took its slot never joined.
func (s *State) tickSlot() {
	c := &s.claim
	if !s.slotLost() || s.now.Sub(c.lostAt) < reclaimWait || s.member.holder != nil {
		return
	}
	c.lostAt = s.now
	if !s.slotTaken() {
		s.member.announced = false
	}
}

// slotTaken reports whether a member joined in the slot since it was lost.
func (s *State) slotTaken() bool {
	for inc, m := range s.fold.Members {
		if m.Slot == s.opts.Slot && inc > s.claim.lost && m.Phase != fold.Gone {
			return true
		}
	}
	return false
}
