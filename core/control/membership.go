package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// joinRetry is the time after which a join that replay has not shown is abandoned for a
// new one. It stays below the timeout of the first lease.
const joinRetry = 2 * time.Second

// joinInterval is the minimum time between two joins.
const joinInterval = 500 * time.Millisecond

// avoidWitnessTime is the time for which a witness that did not answer is chosen last.
const avoidWitnessTime = 30 * time.Second

// membership is the state of this daemon's membership: announce, join, first lease,
// ready. After a broken lease it starts again from join.
type membership struct {
	backend          *BackendUp // nil while no backend server is announced
	draining         bool       // the backend server asked to stop
	announced        bool       // announce record sent
	joinID           [16]byte   // id of the join in flight; zero if none
	joinSent         clock.Instant
	incarnation      fold.Incarnation
	holder           leaseHolder
	leaseTerm        time.Duration // length of its leases
	witnesses        []string
	readySent        bool
	departReason     string                   // why the incarnation hands off its shards and leaves; empty if it stays
	departingSince   clock.Instant            // when the departure started
	abandonedJoins   map[[16]byte]bool        // joins that replay did not show in time
	avoidedWitnesses map[string]clock.Instant // witnesses that did not answer, with the time until which they are avoided

	predecessorsEnded bool                      // see endPredecessors
	ownIncarnations   map[fold.Incarnation]bool // joins of this process that replay has shown
	endedIncarnations map[fold.Incarnation]bool // incarnations of earlier processes, see endPredecessors
}

func (s *State) tickMembership() {
	m := &s.member
	if !m.announced {
		m.announced = true
		s.claim.id = s.append(&wire.Record{Body: &wire.Record_Announce{Announce: s.announcement()}})
	}
	s.endPredecessors()
	if m.holder != nil {
		s.tickHolder()
		return
	}
	wait := joinInterval
	if m.joinID != [16]byte{} {
		wait = joinRetry
	}
	if m.joinSent != 0 && s.now < m.joinSent.Add(wait) {
		return
	}
	s.abandonJoin()
	s.join()
}

// recordOwn records an incarnation of this process.
func (m *membership) recordOwn(inc fold.Incarnation) {
	if m.ownIncarnations == nil {
		m.ownIncarnations = map[fold.Incarnation]bool{}
	}
	m.ownIncarnations[inc] = true
}

// restartSpread is the time within which hosts that lost power together start again. A
// join after their announcements is acknowledged by them at once, see
// lease.Witness.SetStartOffset.
const restartSpread = 400 * time.Millisecond

// termMargin is added to the length of a lease. After both, nothing is held under the lease of
// a process that ended.
const termMargin = 100 * time.Millisecond

// endPredecessors ends the incarnations of the previous process in this slot. That
// process ended before this one started. Grants to its backend server are invalid once
// a term has passed, or once the server has rebooted, because a new boot holds nothing. An
// announcement of another boot proves that only if that boot is later: it may have been
// delayed until the boot that sent it was over.
func (s *State) endPredecessors() {
	m := &s.member
	if !s.opts.SlotIsHost || s.claim.offset == 0 || s.stopping || m.predecessorsEnded {
		return
	}
	ended := true
	for _, inc := range slices.Sorted(maps.Keys(s.fold.Members)) {
		old := s.fold.Members[inc]
		if old.Slot != s.opts.Slot || old.Phase == fold.Gone || inc > s.claim.offset || m.ownIncarnations[inc] || m.endedIncarnations[inc] {
			continue
		}
		rebooted := m.backend != nil && isLaterBoot(m.backend.Name, old.BackendServer)
		if !rebooted && s.now < s.started.Add(s.leaseOf(old)+termMargin) {
			ended = false
			continue
		}
		m.recordEnded(inc)
		s.sendAs(inc, &wire.Record{Body: &wire.Record_Leave{Leave: &wire.Leave{Incarnation: inc}}}, false)
		s.emitDecision(Decision{Action: "end_predecessor", Reason: "an earlier process of this slot has ended", Member: inc})
	}
	m.predecessorsEnded = ended && s.now >= s.started.Add(s.driftedTerm(s.opts.Lease.Term)+termMargin)
}

// leaseOf returns the time after which nothing is held under the last lease of a member.
func (s *State) leaseOf(m *fold.Member) time.Duration {
	return s.driftedTerm(max(s.opts.Lease.Term, milliseconds(m.LeaseMS)))
}

// driftedTerm returns the time on this clock that covers a term on any other.
func (s *State) driftedTerm(term time.Duration) time.Duration {
	return time.Duration(float64(term) * (1 + s.opts.Lease.Drift))
}

// recordEnded records an incarnation of an earlier process that this one ended.
func (m *membership) recordEnded(inc fold.Incarnation) {
	if m.endedIncarnations == nil {
		m.endedIncarnations = map[fold.Incarnation]bool{}
	}
	m.endedIncarnations[inc] = true
}

// abandonJoin stops waiting for the join in flight. If replay shows it later, joinSeen
// ends that incarnation.
func (s *State) abandonJoin() {
	m := &s.member
	if m.joinID == [16]byte{} {
		return
	}
	if m.abandonedJoins == nil {
		m.abandonedJoins = map[[16]byte]bool{}
	}
	m.abandonedJoins[m.joinID] = true
	m.joinID = [16]byte{}
}

func (s *State) announcement() *wire.Announce {
	return &wire.Announce{
		Slot:        s.opts.Slot,
		DataCentre:  s.opts.DataCentre,
		Region:      s.opts.Region,
		PeerAddr:    s.opts.PeerAddr,
		WitnessAddr: s.opts.WitnessAddr,
		EntryAddr:   s.opts.EntryAddr,
	}
}

// join sends a join record once the backend server is announced, the placement stream
// is read, and enough witnesses are known.
func (s *State) join() {
	m := &s.member
	if m.backend == nil || m.draining || !s.caughtUp || s.needsStart() || s.stopping || s.slotLost() {
		return
	}
	if s.opts.SlotIsHost && s.now < s.started.Add(restartSpread) {
		return
	}
	if _, ok := s.fold.Slots[s.opts.Slot]; !ok {
		m.announced = len(s.outbox.pending) > 0 // replay deletes slots that are unused for long; announce again if nothing is in flight
		return
	}
	witnesses := s.chooseWitnesses()
	settled := s.now >= s.started.Add(s.opts.JoinWait)
	if len(witnesses) == 0 || (len(witnesses) < s.opts.Witnesses && !settled) {
		return
	}
	m.incarnation = 0
	m.witnesses = witnesses
	m.joinSent = s.now
	m.leaseTerm = s.leaseTermOf(m.backend.Service)
	m.joinID = s.appendOnce(&wire.Record{Body: &wire.Record_Join{Join: &wire.Join{
		Slot:           s.opts.Slot,
		Service:        m.backend.Service,
		BackendServer:  m.backend.Name,
		BackendAddr:    m.backend.Addr,
		Slots:          m.backend.Slots,
		ChecksFence:    m.backend.ChecksFence,
		Witnesses:      witnesses,
		LeaseMs:        uint32(m.leaseTerm.Milliseconds()),
		BackendVersion: m.backend.Version,
	}}})
	s.emitDecision(Decision{Action: "join", Reason: "backend server announced", Count: len(witnesses)})
}

// joinSeen starts the lease when replay shows the join in flight.
func (s *State) joinSeen(offset uint64, id []byte) {
	m := &s.member
	join := [16]byte(id)
	if m.abandonedJoins[join] || join == m.joinID {
		m.recordOwn(offset)
	}
	if m.abandonedJoins[join] {
		delete(m.abandonedJoins, join)
		s.sendAs(offset, &wire.Record{Body: &wire.Record_Leave{Leave: &wire.Leave{Incarnation: offset}}}, false)
		return
	}
	if join != m.joinID {
		return
	}
	m.joinID = [16]byte{}
	m.incarnation = offset
	m.readySent = false
	m.departReason = ""
	m.holder = s.newHolder(s.opts.Lease, m.joinSent, m.witnesses, m.leaseTerm)
	s.cell = new(view.LeaseCell)
	s.dirty = true
	if s.stopping {
		s.depart("shutdown")
	}
}

func (s *State) tickHolder() {
	m := &s.member
	for _, r := range m.holder.Tick(s.now) {
		s.sendTo(r.Witness, &wire.Datagram{Body: &wire.Datagram_Renew{
			Renew: &wire.Renew{Incarnation: m.incarnation, Seq: r.Seq, Joining: r.Joining, Era: s.fold.Base, TermMs: uint32(r.Term.Milliseconds())}}})
	}
	if !m.readySent && s.leaseHeld() {
		m.readySent = true
		s.append(&wire.Record{Body: &wire.Record_Ready{Ready: &wire.Ready{Incarnation: m.incarnation}}})
		s.emitDecision(Decision{Action: "ready", Reason: "first lease acquired", Member: m.incarnation})
	}
}

// checkLease ends the incarnation once its lease is broken, before the step's event is
// handled.
func (s *State) checkLease() {
	m := &s.member
	if m.holder == nil || !m.holder.Lost(s.now) {
		return
	}
	s.emitDecision(Decision{Action: "lease_lost", Reason: "no majority of witnesses acknowledged in time", Member: m.incarnation})
	s.avoidUnresponsiveWitnesses()
	s.leaveIncarnation()
}

// avoidUnresponsiveWitnesses records the witnesses that did not answer, so that the
// next incarnation chooses others.
func (s *State) avoidUnresponsiveWitnesses() {
	m := &s.member
	if m.avoidedWitnesses == nil {
		m.avoidedWitnesses = map[string]clock.Instant{}
	}
	for _, slot := range m.holder.Unresponsive() {
		m.avoidedWitnesses[slot] = s.now.Add(avoidWitnessTime)
	}
}

// leaveIncarnation ends this daemon's incarnation and records its leave. Its lease has
// expired, or no request runs under it any more.
func (s *State) leaveIncarnation() {
	s.sendTakeovers()
	s.append(&wire.Record{Body: &wire.Record_Leave{Leave: &wire.Leave{Incarnation: s.member.incarnation}}})
	s.dropIncarnation()
}

// dropIncarnation stops dispatch and renewal at once without a leave record: requests
// may still run within the lease, so other daemons must wait for its lapse.
func (s *State) dropIncarnation() {
	m := &s.member
	m.holder = nil
	m.incarnation = 0
	m.departReason = ""
	clear(s.rights)
	clear(s.sealers)
	s.takeovers = nil
	s.cell.Set(0)
	s.cell = new(view.LeaseCell)
	s.dirty = true
}

func (s *State) backendUp(e BackendUp) {
	m := &s.member
	s.cancelDrain()
	if !s.opts.Rollouts {
		e.Version = "" // join records of deployments without roll-outs do not have it
	}
	if m.backend != nil && *m.backend == e {
		return
	}
	if m.backend != nil {
		s.backendDown(BackendDown{Reason: "another backend server announced itself"})
	}
	m.backend = &e
	s.dirty = true
}

// backendDown hands off all shards and ends the incarnation, because the daemon cannot
// serve them without a backend server.
func (s *State) backendDown(e BackendDown) {
	m := &s.member
	if m.backend == nil {
		return
	}
	m.backend = nil
	m.draining = false
	s.dirty = true
	s.abandonJoin()
	s.depart(e.Reason)
}

// chooseWitnesses returns an odd number of other slots, spread over data centres. It
// prefers slots whose daemon is a known member.
func (s *State) chooseWitnesses() []string {
	ranks := s.rankSlots()
	var slots []*fold.Slot
	for _, slot := range s.fold.Slots {
		if slot.Name != s.opts.Slot {
			slots = append(slots, slot)
		}
	}
	slices.SortFunc(slots, func(a, b *fold.Slot) int {
		return cmp.Or(
			cmp.Compare(ranks[a.Name], ranks[b.Name]),
			cmp.Compare(s.witnessOrder(a.Name), s.witnessOrder(b.Name)),
		)
	})
	return pickSpread(slots, s.opts.Witnesses)
}

// rankSlots returns the rank of each slot as a witness, the best first: 0 with a member
// in service, 1 without a member so far or with one that has only joined, 2 when its
// last member is gone, 3 when it did not answer recently.
func (s *State) rankSlots() map[string]int {
	ranks := map[string]int{}
	for name := range s.fold.Slots {
		ranks[name] = 1
	}
	newest := map[string]fold.Incarnation{}
	for inc, m := range s.fold.Members {
		if inc < newest[m.Slot] {
			continue
		}
		newest[m.Slot] = inc
		switch m.Phase {
		case fold.InService:
			ranks[m.Slot] = 0
		case fold.Joined:
			ranks[m.Slot] = 1
		case fold.Gone:
			ranks[m.Slot] = 2
		}
	}
	for slot, until := range s.member.avoidedWitnesses {
		if s.now < until {
			ranks[slot] = 3
		}
	}
	return ranks
}

// witnessOrder returns the order of a slot among slots of equal rank. It depends on
// this daemon's slot, so that daemons choose different witnesses.
func (s *State) witnessOrder(slot string) uint64 {
	return xxhash.Sum64String(s.opts.Slot + "\x00" + slot)
}

// pickSpread returns the names of an odd number of slots, as many as possible but at
// most want. It first takes slots in data centres that are not used yet.
func pickSpread(slots []*fold.Slot, want int) []string {
	n := min(want, len(slots))
	if n%2 == 0 {
		n--
	}
	if n <= 0 {
		return nil
	}
	perDC := map[string]int{}
	var chosen []string
	for round := 0; len(chosen) < n; round++ {
		for _, slot := range slots {
			if len(chosen) == n {
				break
			}
			if perDC[slot.DataCentre] == round && !slices.Contains(chosen, slot.Name) {
				perDC[slot.DataCentre]++
				chosen = append(chosen, slot.Name)
			}
		}
	}
	return chosen
}
