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

// sealTimeoutTerms is the time, in lease terms, after which sealing stops if no new
// suspicion arrived.
const sealTimeoutTerms = 5

// witnessSealTerms is the time, in lease terms, after which a witness seals an overdue
// incarnation itself, because its standbys and the planners may be lost too.
const witnessSealTerms = 2

// sealAttempt is the attempt to seal one incarnation's lease.
type sealAttempt struct {
	sealer leaseSealer
	since  clock.Instant
	until  clock.Instant
}

// suspicionTerms is the time, in lease terms, for which a suspected daemon is assumed
// to be lost. A lost one is sealed by then, also by witnesses that have restarted and
// if its leases are the longest.
const suspicionTerms = lease.MaxTerms

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// recentlySuspected reports whether an incarnation was suspected within suspicionTerms
// and may be lost.
func (s *State) recentlySuspected(inc fold.Incarnation) bool {
	sl, ok := s.sealers[inc]
	return ok && s.now.Sub(sl.since) < suspicionTerms*s.opts.Lease.Term
}

func (s *State) handleDatagram(msg *wire.Datagram) {
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
		s.suspect(body.Overdue.GetIncarnation(), "promise of a witness expired", false)
	}
}

func (s *State) renewReceived(from string, r *wire.Renew) {
	if s.slotLost() {
		return // the slot's other process is the witness now
	}
	if r.GetEra() < s.fold.Base {
		return // a member that goes by an earlier era may hold what others were given in this one
	}
	promised, refused := s.witness.Renew(s.now, r.GetIncarnation(), r.GetJoining(), milliseconds(r.GetTermMs()))
	if promised == 0 && !refused {
		return
	}
	s.sendTo(from, &wire.Datagram{Body: &wire.Datagram_RenewAck{RenewAck: &wire.RenewAck{
		Incarnation: r.GetIncarnation(), Seq: r.GetSeq(), Refused: refused, TermMs: uint32(promised.Milliseconds())}}})
}

func (s *State) ackReceived(from string, a *wire.RenewAck) {
	m := &s.member
	if m.holder == nil || a.GetIncarnation() != m.incarnation {
		return
	}
	if a.GetRefused() {
		m.holder.Refused(from)
		return
	}
	m.holder.Ack(s.now, from, a.GetSeq(), milliseconds(a.GetTermMs()))
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

// tickWitness notifies the standbys and planners of incarnations whose promise expired
// at this witness. If they do not act, the witness's own daemon seals the lease.
func (s *State) tickWitness() {
	s.watchMembers()
	for _, o := range s.witness.Expired(s.now) {
		for _, slot := range s.overdueRecipients(o.Incarnation) {
			s.sendTo(slot, &wire.Datagram{Body: &wire.Datagram_Overdue{Overdue: &wire.Overdue{Incarnation: o.Incarnation}}})
		}
		if o.For >= witnessSealTerms*s.opts.Lease.Term {
			s.suspect(o.Incarnation, "no daemon recorded the lapse", true)
		}
	}
}

// watchMembers passes the incarnations that name this slot as witness in replay to the
// witness role, so that a lost one is detected even if all its witnesses have
// restarted.
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

// overdueRecipients returns the slots of the daemons that act on the loss of inc: the
// standbys of its shards and the planners.
func (s *State) overdueRecipients(inc fold.Incarnation) []string {
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

// suspect starts sealing an incarnation if this daemon would act on its lapse: as a
// standby of its shards, as a planner, or if unconditional is set. A repeated suspicion
// extends the attempt.
func (s *State) suspect(inc fold.Incarnation, reason string, unconditional bool) {
	m, ok := s.fold.Members[inc]
	if !ok || m.Phase == fold.Gone || !s.leaseHeld() || inc == s.member.incarnation || s.lapsed[inc] {
		return
	}
	if !unconditional && !s.standbyOf(inc) && !s.isPlanner() {
		return
	}
	until := s.now.Add(sealTimeoutTerms * s.opts.Lease.Term)
	if sl, ok := s.sealers[inc]; ok {
		sl.until = until
		return
	}
	s.sealers[inc] = &sealAttempt{sealer: s.newSealer(s.opts.Lease, m.Witnesses), since: s.now, until: until}
	s.emitDecision(Decision{Action: "seal", Reason: reason, Member: inc})
	s.tickSealer(inc, s.sealers[inc])
}

// standbyOf reports whether this daemon is the recorded standby of a shard of inc.
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

func (s *State) tickSealer(inc fold.Incarnation, sl *sealAttempt) {
	for _, r := range sl.sealer.Tick(s.now) {
		s.sendTo(r.Witness, &wire.Datagram{Body: &wire.Datagram_SealRequest{
			SealRequest: &wire.SealRequest{Incarnation: inc, Seq: r.Seq}}})
	}
}

// checkLapse takes over the shards of which this daemon is the standby once the owner's
// lease has lapsed, and records the lapse.
func (s *State) checkLapse(inc fold.Incarnation, sl *sealAttempt) {
	if !sl.sealer.Lapsed(s.now) || !s.leaseHeld() {
		return
	}
	sealedBy := sl.sealer.SealedBy(s.now)
	delete(s.sealers, inc)
	s.lapsed[inc] = true
	count := s.takeOverShardsOf(inc)
	s.recordLapse(inc, sealedBy)
	s.emitDecision(Decision{Action: "lapse", Reason: "a majority of witnesses sealed the lease", Member: inc, Count: count})
}

// lapseRecord is a lapse to record unless another daemon records it first.
type lapseRecord struct {
	sealedBy []string
	at       clock.Instant
}

const (
	// lapseRecordDelay is the time for which the other daemons wait for the first
	// planner to record a lapse. Without it, each standby of the lost member would
	// write the same record.
	lapseRecordDelay = 300 * time.Millisecond
	// lapseRecordSpread is the time over which their records are spread if the planner
	// writes none.
	lapseRecordSpread = 700 * time.Millisecond
)

// recordLapse writes the record of a lapse: the first planner at once, other daemons
// only if replay has not shown one in time.
func (s *State) recordLapse(inc fold.Incarnation, sealedBy []string) {
	at := s.now
	if !s.isFirstPlanner() {
		at = s.now.Add(lapseRecordDelay + s.jitter(lapseRecordSpread))
	}
	s.pendingLapses[inc] = lapseRecord{sealedBy: sealedBy, at: at}
	s.tickLapses()
}

// tickLapses writes the lapse records that are due and that replay does not show.
func (s *State) tickLapses() {
	for _, inc := range slices.Sorted(maps.Keys(s.pendingLapses)) {
		due := s.pendingLapses[inc]
		m, ok := s.fold.Members[inc]
		if !ok || m.Phase == fold.Gone {
			delete(s.pendingLapses, inc)
			continue
		}
		if s.now < due.at {
			continue
		}
		delete(s.pendingLapses, inc)
		s.append(&wire.Record{Body: &wire.Record_Lapse{Lapse: &wire.Lapse{Incarnation: inc, SealedBy: due.sealedBy}}})
	}
}

// takeOverShardsOf takes over the shards of a lapsed incarnation of which this daemon
// is the standby, and returns their number.
func (s *State) takeOverShardsOf(inc fold.Incarnation) int {
	if s.member.departReason != "" {
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
