package control

import (
	"maps"
	"slices"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/lease"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// sealPatience is the time, in terms, after which sealing is given up when no
// new suspicion came.
const sealPatience = 5

// orphanTerms is the time, in terms, after which a witness seals an overdue
// incarnation itself, since its standbys and the planners may be lost too.
const orphanTerms = 2

// sealing is the attempt to seal one incarnation's lease.
type sealing struct {
	sealer leaseSealer
	since  clock.Instant
	until  clock.Instant
}

// doubtTerms is the time, in terms, for which a suspected daemon is taken for
// lost. A lost one is sealed by then, by witnesses that have restarted too.
const doubtTerms = 3

// doubted reports whether an incarnation was suspected lately and may be lost.
func (s *State) doubted(inc fold.Incarnation) bool {
	sl, ok := s.sealers[inc]
	return ok && s.now.Sub(sl.since) < doubtTerms*s.opts.Lease.Term
}

func (s *State) takeDatagram(msg *wire.Datagram) {
	switch body := msg.GetBody().(type) {
	case *wire.Datagram_Renew:
		s.renewReceived(msg.GetFrom(), body.Renew)
	case *wire.Datagram_RenewAck:
		s.ackReceived(msg.GetFrom(), body.RenewAck)
	case *wire.Datagram_SealRequest:
		s.sealRequested(msg.GetFrom(), body.SealRequest)
	case *wire.Datagram_SealAnswer:
		s.sealAnswered(msg.GetFrom(), body.SealAnswer)
	case *wire.Datagram_Overdue:
		s.suspect(body.Overdue.GetIncarnation(), "promise of a witness ran out", false)
	}
}

func (s *State) renewReceived(from string, r *wire.Renew) {
	if s.slotLost() {
		return // the slot's other process gives promises and seals now
	}
	ack, refused := s.witness.Renew(s.now, r.GetIncarnation(), r.GetJoining())
	if !ack && !refused {
		return
	}
	s.sendTo(from, &wire.Datagram{Body: &wire.Datagram_RenewAck{RenewAck: &wire.RenewAck{
		Incarnation: r.GetIncarnation(), Seq: r.GetSeq(), Refused: refused}}})
}

func (s *State) ackReceived(from string, a *wire.RenewAck) {
	m := &s.member
	if m.holder == nil || a.GetIncarnation() != m.incarnation {
		return
	}
	if a.GetRefused() {
		m.holder.Refuse(from)
		return
	}
	m.holder.Ack(s.now, from, a.GetSeq())
	s.cell.Set(m.holder.Deadline(s.now))
}

func (s *State) sealRequested(from string, r *wire.SealRequest) {
	if s.slotLost() {
		return
	}
	state, wait := s.witness.Seal(s.now, r.GetIncarnation())
	answer := &wire.SealAnswer{Incarnation: r.GetIncarnation(), Seq: r.GetSeq()}
	switch state {
	case lease.Sealed:
		answer.State = wire.SealState_SEAL_STATE_SEALED
	case lease.Live:
		answer.State = wire.SealState_SEAL_STATE_LIVE
		answer.WaitMs = uint32(wait.Milliseconds()) + 1
	}
	s.sendTo(from, &wire.Datagram{Body: &wire.Datagram_SealAnswer{SealAnswer: answer}})
}

func (s *State) sealAnswered(from string, a *wire.SealAnswer) {
	sl, ok := s.sealers[a.GetIncarnation()]
	if !ok {
		return
	}
	state := lease.Live
	if a.GetState() == wire.SealState_SEAL_STATE_SEALED {
		state = lease.Sealed
	}
	wait := time.Duration(a.GetWaitMs()) * time.Millisecond
	sl.sealer.Answer(s.now, from, a.GetSeq(), state, wait)
	s.checkLapse(a.GetIncarnation(), sl)
}

// tickWitness tells the standbys and planners of incarnations whose promise
// ran out here. When they do not act, the witness's own daemon does.
func (s *State) tickWitness() {
	s.watchMembers()
	for _, o := range s.witness.Expired(s.now) {
		for _, slot := range s.interestedIn(o.Incarnation) {
			s.sendTo(slot, &wire.Datagram{Body: &wire.Datagram_Overdue{Overdue: &wire.Overdue{Incarnation: o.Incarnation}}})
		}
		if o.For >= orphanTerms*s.opts.Lease.Term {
			s.suspect(o.Incarnation, "nobody recorded the lapse", true)
		}
	}
}

// watchMembers tells the witness role which incarnations replay names it for, so
// that one that dies is noticed even when all its witnesses have restarted.
func (s *State) watchMembers() {
	if !s.caughtUp || s.now < s.nextWatch {
		return
	}
	s.nextWatch = s.now.Add(s.opts.Lease.Term)
	for inc, m := range s.fold.Members {
		if m.Phase != fold.Gone && slices.Contains(m.Witnesses, s.opts.Slot) {
			s.witness.Watch(s.now, inc)
		}
	}
}

// interestedIn returns the slots of the daemons that act on the loss of inc:
// the standbys of its shards and the first planners.
func (s *State) interestedIn(inc fold.Incarnation) []string {
	m, ok := s.fold.Members[inc]
	if !ok || m.Phase == fold.Gone {
		return nil
	}
	incs := map[fold.Incarnation]bool{}
	for _, svc := range s.fold.Services {
		for i := range svc.Shards {
			if svc.Shards[i].Owner == inc && svc.Shards[i].Standby != 0 {
				incs[svc.Shards[i].Standby] = true
			}
		}
	}
	for _, planner := range s.planners() {
		incs[planner] = true
	}
	var slots []string
	for _, other := range slices.Sorted(maps.Keys(incs)) {
		if om, ok := s.fold.Members[other]; ok && other != inc {
			slots = append(slots, om.Slot)
		}
	}
	return slots
}

// suspect starts sealing an incarnation if this daemon would act on its lapse:
// as a standby of its shards, as a planner, or when asked to in any case.
func (s *State) suspect(inc fold.Incarnation, reason string, always bool) {
	m, ok := s.fold.Members[inc]
	if !ok || m.Phase == fold.Gone || !s.leaseHeld() || inc == s.member.incarnation || s.lapsed[inc] {
		return
	}
	if !always && !s.standbyOf(inc) && !s.isPlanner() {
		return
	}
	until := s.now.Add(sealPatience * s.opts.Lease.Term)
	if sl, ok := s.sealers[inc]; ok {
		sl.until = until
		return
	}
	s.sealers[inc] = &sealing{sealer: s.newSealer(s.opts.Lease, m.Witnesses), since: s.now, until: until}
	s.decide(Decision{Action: "seal", Reason: reason, Member: inc})
	s.tickSealer(inc, s.sealers[inc])
}

// standbyOf reports whether this daemon is recorded standby of a shard of inc.
func (s *State) standbyOf(inc fold.Incarnation) bool {
	me := s.member.incarnation
	for _, svc := range s.fold.Services {
		for i := range svc.Shards {
			if svc.Shards[i].Owner == inc && svc.Shards[i].Standby == me {
				return true
			}
		}
	}
	return false
}

func (s *State) tickSealers() {
	for _, inc := range slices.Sorted(maps.Keys(s.sealers)) {
		sl := s.sealers[inc]
		m, ok := s.fold.Members[inc]
		if !ok || m.Phase == fold.Gone || s.now >= sl.until {
			delete(s.sealers, inc)
			continue
		}
		s.tickSealer(inc, sl)
	}
}

func (s *State) tickSealer(inc fold.Incarnation, sl *sealing) {
	for _, r := range sl.sealer.Tick(s.now) {
		s.sendTo(r.Witness, &wire.Datagram{Body: &wire.Datagram_SealRequest{
			SealRequest: &wire.SealRequest{Incarnation: inc, Seq: r.Seq}}})
	}
}

// checkLapse takes over the shards that this daemon stands by for once the
// owner's lease has lapsed, and records the lapse.
func (s *State) checkLapse(inc fold.Incarnation, sl *sealing) {
	if !sl.sealer.Lapsed(s.now) || !s.leaseHeld() {
		return
	}
	sealedBy := sl.sealer.SealedBy(s.now)
	delete(s.sealers, inc)
	s.lapsed[inc] = true
	count := s.inherit(inc)
	s.recordLapse(inc, sealedBy)
	s.decide(Decision{Action: "lapse", Reason: "a majority of witnesses sealed the lease", Member: inc, Count: count})
}

// lapseRecord is a lapse that is recorded unless another daemon does it first.
type lapseRecord struct {
	sealedBy []string
	at       clock.Instant
}

const (
	// lapsePatience is the time that daemons leave the first planner to record
	// a lapse. Each standby of the lost member would write the same record.
	lapsePatience = 300 * time.Millisecond
	// lapseSpread is the time over which they write it if the planner does not.
	lapseSpread = 700 * time.Millisecond
)

// recordLapse writes the record of a lapse: at once as the first planner, else
// when nobody else did.
func (s *State) recordLapse(inc fold.Incarnation, sealedBy []string) {
	at := s.now
	if !s.isFirstPlanner() {
		at = s.now.Add(lapsePatience + s.jitter(lapseSpread))
	}
	s.lapseDue[inc] = lapseRecord{sealedBy: sealedBy, at: at}
	s.tickLapses()
}

// tickLapses writes the records of lapses that are due and that replay does
// not show.
func (s *State) tickLapses() {
	for _, inc := range slices.Sorted(maps.Keys(s.lapseDue)) {
		due := s.lapseDue[inc]
		m, ok := s.fold.Members[inc]
		if !ok || m.Phase == fold.Gone {
			delete(s.lapseDue, inc)
			continue
		}
		if s.now < due.at {
			continue
		}
		delete(s.lapseDue, inc)
		s.append(&wire.Record{Body: &wire.Record_Lapse{Lapse: &wire.Lapse{Incarnation: inc, SealedBy: due.sealedBy}}})
	}
}

// inherit takes over the shards of a lapsed incarnation for which this daemon
// stands by, and returns their number.
func (s *State) inherit(inc fold.Incarnation) int {
	if s.member.departing != "" {
		return 0
	}
	count := 0
	for _, name := range s.serviceNames() {
		shards := s.fold.Services[name].Shards
		for i := range shards {
			sh := &shards[i]
			if sh.Owner != inc || sh.Standby != s.member.incarnation {
				continue
			}
			id := view.ShardID{Service: name, Shard: uint32(i)}
			if s.takeOver(id, sh, true, TakeOver{}) {
				count++
			}
		}
	}
	return count
}

// serviceNames returns the names of all services in order.
func (s *State) serviceNames() []string {
	return slices.Sorted(maps.Keys(s.fold.Services))
}
