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

// joinRetry is the time after which a join that replay has not shown is given
// up for a new one. It stays below the time for a first lease.
const joinRetry = 2 * time.Second

// joinInterval is the least time between two joins.
const joinInterval = 500 * time.Millisecond

// shunTime is the time for which a witness that never answered is chosen last.
const shunTime = 30 * time.Second

// membership is this daemon's way into the fleet: announce, join, first lease,
// ready; and again from join after the lease broke.
type membership struct {
	backend     *BackendUp // nil while no backend server is announced
	draining    bool       // the backend server wants to stop
	announced   bool       // announce record sent
	joinID      [16]byte   // id of the join in flight; zero if none
	joinSent    clock.Instant
	incarnation fold.Incarnation
	holder      leaseHolder
	witnesses   []string
	readySent   bool
	departing   string                   // why the incarnation hands over and leaves; empty if it stays
	departSince clock.Instant            // when it began to depart
	givenUp     map[[16]byte]bool        // joins that replay did not show in time
	shunned     map[string]clock.Instant // witnesses that did not answer, until then

	predecessorsEnded bool                      // see endPredecessors
	own               map[fold.Incarnation]bool // joins of this process that replay has shown
	ended             map[fold.Incarnation]bool // incarnations of earlier processes, see endPredecessors
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
	s.giveUpJoin()
	s.join()
}

// noteOwn remembers an incarnation of this process.
func (m *membership) noteOwn(inc fold.Incarnation) {
	if m.own == nil {
		m.own = map[fold.Incarnation]bool{}
	}
	m.own[inc] = true
}

// restartSpread is the time within which hosts that lost power together start
// again. A join that comes after their announcements is acknowledged by them at
// once, see lease.Witness.Began.
const restartSpread = 400 * time.Millisecond

// holdMargin is added to the lease term after which nothing is held any more
// under the lease of a process that ended.
const holdMargin = 100 * time.Millisecond

// endPredecessors ends the incarnations of the process that ran in this slot
// before. That process ended before this one started. What its backend server was
// granted is over once a term has passed, or once the server has begun another
// life, which holds nothing.
func (s *State) endPredecessors() {
	m := &s.member
	if !s.opts.SlotIsHost || s.claim.offset == 0 || s.stopping || m.predecessorsEnded {
		return
	}
	term := time.Duration(float64(s.opts.Lease.Term) * (1 + s.opts.Lease.Drift))
	over := s.now >= s.started.Add(term+holdMargin)
	if !over && m.backend == nil {
		return
	}
	m.predecessorsEnded = over
	for _, inc := range slices.Sorted(maps.Keys(s.fold.Members)) {
		old := s.fold.Members[inc]
		if old.Slot != s.opts.Slot || old.Phase == fold.Gone || inc > s.claim.offset || m.own[inc] || m.ended[inc] {
			continue
		}
		if !over && old.BackendServer == m.backend.Name {
			continue
		}
		m.noteEnded(inc)
		s.sendAs(inc, &wire.Record{Body: &wire.Record_Leave{Leave: &wire.Leave{Incarnation: inc}}}, false)
		s.decide(Decision{Action: "end_predecessor", Reason: "an earlier process of this slot has ended", Member: inc})
	}
}

// noteEnded remembers an incarnation of an earlier process that was ended.
func (m *membership) noteEnded(inc fold.Incarnation) {
	if m.ended == nil {
		m.ended = map[fold.Incarnation]bool{}
	}
	m.ended[inc] = true
}

// giveUpJoin stops waiting for the join in flight. Should replay show it later,
// that incarnation is ended.
func (s *State) giveUpJoin() {
	m := &s.member
	if m.joinID == [16]byte{} {
		return
	}
	if m.givenUp == nil {
		m.givenUp = map[[16]byte]bool{}
	}
	m.givenUp[m.joinID] = true
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

// join sends a join record when the backend server is there, the placement
// stream is read, and enough witnesses are known.
func (s *State) join() {
	m := &s.member
	if m.backend == nil || m.draining || !s.caughtUp || s.stopping || s.slotLost() {
		return
	}
	if s.opts.SlotIsHost && s.now < s.started.Add(restartSpread) {
		return
	}
	if _, ok := s.fold.Slots[s.opts.Slot]; !ok {
		m.announced = len(s.outbox.pending) > 0 // replay forgot a slot long unused
		return
	}
	witnesses := s.chooseWitnesses()
	settled := s.now >= s.started.Add(s.opts.Settle)
	if len(witnesses) == 0 || (len(witnesses) < s.opts.Witnesses && !settled) {
		return
	}
	m.incarnation = 0
	m.witnesses = witnesses
	m.joinSent = s.now
	m.joinID = s.appendOnce(&wire.Record{Body: &wire.Record_Join{Join: &wire.Join{
		Slot:          s.opts.Slot,
		Service:       m.backend.Service,
		BackendServer: m.backend.Name,
		BackendAddr:   m.backend.Addr,
		Slots:         m.backend.Slots,
		ChecksFence:   m.backend.ChecksFence,
		Witnesses:     witnesses,
	}}})
	s.decide(Decision{Action: "join", Reason: "backend server announced", Count: len(witnesses)})
}

// joinSeen starts the lease when replay shows the join in flight.
func (s *State) joinSeen(offset uint64, id []byte) {
	m := &s.member
	join := [16]byte(id)
	if m.givenUp[join] || join == m.joinID {
		m.noteOwn(offset)
	}
	if m.givenUp[join] {
		delete(m.givenUp, join)
		s.sendAs(offset, &wire.Record{Body: &wire.Record_Leave{Leave: &wire.Leave{Incarnation: offset}}}, false)
		return
	}
	if join != m.joinID {
		return
	}
	m.joinID = [16]byte{}
	m.incarnation = offset
	m.readySent = false
	m.departing = ""
	m.holder = s.newHolder(s.opts.Lease, m.joinSent, m.witnesses)
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
			Renew: &wire.Renew{Incarnation: m.incarnation, Seq: r.Seq, Joining: r.Joining}}})
	}
	if !m.readySent && s.leaseHeld() {
		m.readySent = true
		s.append(&wire.Record{Body: &wire.Record_Ready{Ready: &wire.Ready{Incarnation: m.incarnation}}})
		s.decide(Decision{Action: "ready", Reason: "first lease won", Member: m.incarnation})
	}
}

// checkLease drops the incarnation once its lease is broken, before anything
// else is taken in.
func (s *State) checkLease() {
	m := &s.member
	if m.holder == nil || !m.holder.Broken(s.now) {
		return
	}
	s.decide(Decision{Action: "lease_lost", Reason: "no majority of witnesses acknowledged in time", Member: m.incarnation})
	s.shunSilent()
	s.leaveIncarnation()
}

// shunSilent remembers the witnesses that never answered, so that the next
// incarnation chooses others.
func (s *State) shunSilent() {
	m := &s.member
	if m.shunned == nil {
		m.shunned = map[string]clock.Instant{}
	}
	for _, slot := range m.holder.Silent() {
		m.shunned[slot] = s.now.Add(shunTime)
	}
}

// leaveIncarnation ends the own incarnation. Its lease is over, or nothing runs
// under it any more.
func (s *State) leaveIncarnation() {
	s.sendTakeovers()
	s.append(&wire.Record{Body: &wire.Record_Leave{Leave: &wire.Leave{Incarnation: s.member.incarnation}}})
	s.dropIncarnation()
}

// dropIncarnation stops dispatch and renewal at once and says nothing: requests
// may still run, inside the lease, so others must wait for its lapse.
func (s *State) dropIncarnation() {
	m := &s.member
	m.holder = nil
	m.incarnation = 0
	m.departing = ""
	clear(s.rights)
	clear(s.sealers)
	s.takeovers = nil
	s.cell.Set(0)
	s.cell = new(view.LeaseCell)
	s.dirty = true
}

func (s *State) backendUp(e BackendUp) {
	m := &s.member
	s.resumeBackend()
	if m.backend != nil && *m.backend == e {
		return
	}
	if m.backend != nil {
		s.backendDown(BackendDown{Reason: "another backend server announced itself"})
	}
	m.backend = &e
	s.dirty = true
}

// backendDown hands over all shards and ends the incarnation: without a backend
// server it can do nothing for them.
func (s *State) backendDown(e BackendDown) {
	m := &s.member
	if m.backend == nil {
		return
	}
	m.backend = nil
	m.draining = false
	s.dirty = true
	s.giveUpJoin()
	s.depart(e.Reason)
}

// chooseWitnesses picks an odd number of other slots, spread over data
// centres, preferring slots whose daemon is known to be a member.
func (s *State) chooseWitnesses() []string {
	standing := s.slotStanding()
	var slots []*fold.Slot
	for _, slot := range s.fold.Slots {
		if slot.Name != s.opts.Slot {
			slots = append(slots, slot)
		}
	}
	slices.SortFunc(slots, func(a, b *fold.Slot) int {
		return cmp.Or(
			cmp.Compare(standing[a.Name], standing[b.Name]),
			cmp.Compare(s.witnessWeight(a.Name), s.witnessWeight(b.Name)),
		)
	})
	return spread(slots, s.opts.Witnesses)
}

// slotStanding ranks slots: 0 with a member in service, 1 without a member
// so far, 2 when its last member is gone, 3 when it did not answer lately.
func (s *State) slotStanding() map[string]int {
	standing := map[string]int{}
	for name := range s.fold.Slots {
		standing[name] = 1
	}
	newest := map[string]fold.Incarnation{}
	for inc, m := range s.fold.Members {
		if inc < newest[m.Slot] {
			continue
		}
		newest[m.Slot] = inc
		switch m.Phase {
		case fold.InService:
			standing[m.Slot] = 0
		case fold.Joined:
			standing[m.Slot] = 1
		case fold.Gone:
			standing[m.Slot] = 2
		}
	}
	for slot, until := range s.member.shunned {
		if s.now < until {
			standing[slot] = 3
		}
	}
	return standing
}

func (s *State) witnessWeight(slot string) uint64 {
	return xxhash.Sum64String(s.opts.Slot + "\x00" + slot)
}

// spread returns the largest odd number of at most want slots, taking slots of
// data centres not used yet first.
func spread(slots []*fold.Slot, want int) []string {
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
