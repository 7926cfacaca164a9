// Package control is the daemon's control state as a pure step function: events
// go in, effects come out. It composes replay, the lease, the witness role, the
// sealing of lapsed owners, the rights to own shards, and planning.
//
// State is owned by one goroutine. Instants are of this host's boot clock.
package control

import (
	"math/rand/v2"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/lease"
	"github.com/sesamemoor/sesamemoor/core/loadstat"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/snapshot"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// Options are the fixed inputs of a control state.
type Options struct {
	Slot        string
	DataCentre  string
	Region      string
	PeerAddr    string
	WitnessAddr string
	EntryAddr   string

	Lease lease.Params
	// StaleConfig is the age of configuration knowledge after which open
	// routes are refused.
	StaleConfig time.Duration
	Settle      time.Duration // wait for other slots before the first join
	Witnesses   int           // wanted size of the witness set, odd
	// SlotIsHost tells that a slot belongs to one host, on which the platform runs
	// one process at a time: a process that starts knows the one before it to have
	// ended, and may end its incarnations. The name of a backend server then
	// changes with each of its lives.
	SlotIsHost bool
	// PublishedConfig tells that an outside author publishes whole versions of
	// the configuration: the stream needs no snapshots.
	PublishedConfig bool
	// SnapshotRecords is the number of records after which a snapshot of a
	// stream is due; 0 means the default.
	SnapshotRecords int

	Rand *rand.Rand // source of record ids and jitter
}

// State is the control state of one daemon.
type State struct {
	opts    Options
	started clock.Instant
	now     clock.Instant
	effects []Effect

	fold     *fold.State
	history  *fleet.History
	caughtUp bool          // the placement stream was read to its head once
	readAsOf clock.Instant // instant as of which the whole placement stream is known

	witness   witnessRole
	newHolder func(lease.Params, clock.Instant, []string) leaseHolder
	newSealer func(lease.Params, []string) leaseSealer
	member    membership
	claim     slotClaim
	rights    map[view.ShardID]*right
	takeovers []takenShard // taken over or released by record, not sent yet
	sealers   map[uint64]*sealing
	lapsed    map[uint64]bool // lapses established here that replay does not show yet
	lapseDue  map[uint64]lapseRecord
	nextWatch clock.Instant // when the witness role is told of members again
	outbox    *outbox
	planner   planner
	loads     *loadstat.Book

	splitID   [16]byte                 // record of the newest split or merge
	splitting []view.ShardID           // shards that it names
	coldSince map[uint64]clock.Instant // by hash of a split key; zero while it has load

	boots             map[string]*snapshot.Collector
	snapshots         map[string]*snapshots
	nextSnapshotCheck clock.Instant

	fresh       *view.Freshness
	newer       uint64 // records too new to be understood
	daemonCache daemonList

	plannerCache plannerList

	cell           *view.LeaseCell // of the present incarnation, never used for another
	tables         tables
	dirty          bool          // a new view is due
	reconsider     bool          // replay changed since consents were last considered
	consentRefused clock.Instant // when the log last refused a consent; zero if never
	late           []Effect      // effects that come after the step's view
	stopping       bool
	left           bool
	leftAt         clock.Instant // when the daemon ceased to be a member for good
}

// witnessRole is what the control state needs of a lease.Witness.
type witnessRole interface {
	Began(offset uint64)
	Renew(now clock.Instant, inc uint64, joining bool) (ack, refused bool)
	Seal(now clock.Instant, inc uint64) (lease.SealState, time.Duration)
	Watch(now clock.Instant, inc uint64)
	Expired(now clock.Instant) []lease.Overdue
}

// leaseHolder is what the control state needs of a lease.Holder.
type leaseHolder interface {
	Tick(now clock.Instant) []lease.Renewal
	Ack(now clock.Instant, witness string, seq uint64)
	Refuse(witness string)
	Silent() []string
	Deadline(now clock.Instant) clock.Instant
	Broken(now clock.Instant) bool
}

// leaseSealer is what the control state needs of a lease.Sealer.
type leaseSealer interface {
	Tick(now clock.Instant) []lease.Request
	Answer(now clock.Instant, witness string, seq uint64, state lease.SealState, wait time.Duration)
	SealedBy(now clock.Instant) []string
	Lapsed(now clock.Instant) bool
}

// New returns the control state of a daemon that started at now.
func New(opts Options, now clock.Instant) *State {
	s := &State{
		opts:      opts,
		started:   now,
		now:       now,
		fold:      fold.New(),
		history:   fleet.NewHistory(),
		witness:   lease.NewWitness(opts.Lease, now),
		rights:    map[view.ShardID]*right{},
		sealers:   map[uint64]*sealing{},
		lapsed:    map[uint64]bool{},
		lapseDue:  map[uint64]lapseRecord{},
		outbox:    newOutbox(),
		loads:     loadstat.NewBook(),
		coldSince: map[uint64]clock.Instant{},
		cell:      new(view.LeaseCell),
		boots:     map[string]*snapshot.Collector{},
		snapshots: map[string]*snapshots{},
		fresh:     view.NewFreshness(opts.StaleConfig),
		dirty:     true,
		newHolder: func(p lease.Params, sent clock.Instant, witnesses []string) leaseHolder {
			return lease.NewHolder(p, sent, witnesses)
		},
		newSealer: func(p lease.Params, witnesses []string) leaseSealer {
			return lease.NewSealer(p, witnesses)
		},
	}
	s.tables.stale = true
	s.fold.EnsureService(view.KeeperService, view.KeeperShards)
	return s
}

// Step takes in one event at now and returns the effects to carry out, in
// order. The slice is valid until the next call.
func (s *State) Step(now clock.Instant, ev Event) []Effect {
	if now > s.now {
		s.now = now
	}
	s.effects = s.effects[:0]
	s.late = s.late[:0]
	s.checkLease()
	s.handle(ev)
	s.refreshTables()
	if s.dirty {
		s.dirty = false
		s.emit(Publish{View: s.buildView()})
	}
	s.effects = append(s.effects, s.late...)
	return s.effects
}

func (s *State) handle(ev Event) {
	switch e := ev.(type) {
	case Tick:
		s.tick()
	case Records:
		s.takeRecords(e)
	case Datagram:
		s.takeDatagram(e.Msg)
	case BackendUp:
		s.backendUp(e)
	case BackendDown:
		s.backendDown(e)
	case BackendLeaving:
		s.backendLeaving()
	case Suspicion:
		s.suspect(e.Incarnation, "request failed", false)
	case ReleaseReceived:
		s.releaseReceived(e)
	case ReleaseAnswered:
		s.releaseAnswered(e)
	case Quiesced:
		s.quiesced(e)
	case LoadReceived:
		s.loadReceived(e)
	case OwnLoad:
		s.ownLoad(e)
	case Trimmed:
		s.trimmed(e)
	case AppendRefused:
		s.appendRefused(e)
	case LogOutage:
		s.logOutage(e)
	case Shutdown:
		s.shutdown()
	}
}

func (s *State) tick() {
	s.tickSlot()
	s.tickMembership()
	s.tickWitness()
	s.tickSealers()
	s.tickLapses()
	s.tickRights()
	s.sendTakeovers()
	s.tickDeparture()
	s.tickPlanner()
	s.tickSnapshots()
	s.tickOutbox()
	s.tickDrain()
	s.tickShutdown()
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// emitLate adds an effect that must come after the step's view: traffic must
// have stopped by that view first.
func (s *State) emitLate(e Effect) { s.late = append(s.late, e) }

func (s *State) decide(d Decision) { s.emit(d) }

// placementStream returns the stream of this daemon's region.
func (s *State) placementStream() string { return logstream.PlacementStream(s.opts.Region) }

func (s *State) takeRecords(e Records) {
	e = s.collect(e)
	if e.Stream == logstream.ConfigStream {
		s.takeConfig(e)
		return
	}
	if e.Stream != s.placementStream() {
		return
	}
	before := s.fold.Next
	for _, entry := range e.Entries {
		s.takePlacementRecord(entry)
	}
	if s.fold.Next != before {
		s.followSlot()
		s.followPlacement()
	}
	if e.AsOf != 0 && s.fold.Next >= e.Next {
		s.caughtUp = true
		s.readAsOf = max(s.readAsOf, e.AsOf)
	}
	s.noteNewer()
}

func (s *State) takePlacementRecord(entry logstream.Entry) {
	if entry.Offset < s.fold.Next {
		return
	}
	rec, verdict := s.fold.Apply(entry.Offset, entry.Data)
	s.noteSnapshot(s.placementStream(), rec)
	if rec != nil {
		s.outbox.seen(rec.GetId())
	}
	if !verdict.Accepted {
		s.decide(Decision{Action: "reject_record", Reason: verdict.Reason})
		return
	}
	s.tables.stale = true
	s.reconsider = true
	if rec.GetAnnounce() != nil || rec.GetSnapshot() != nil {
		s.tables.members = nil // addresses may have changed
	}
	if a := rec.GetAnnounce(); a != nil && a.GetSlot() == s.opts.Slot {
		if s.claim.announceSeen(entry.Offset, rec.GetId()) {
			s.witness.Began(entry.Offset)
		}
	}
	if rec.GetJoin() != nil {
		s.joinSeen(entry.Offset, rec.GetId())
	}
	if sp := rec.GetSplitKey(); sp != nil {
		s.splitSeen(sp)
	}
	if m := rec.GetMergeKey(); m != nil {
		s.mergeSeen(m)
	}
	if rec.GetSplitKey() != nil || rec.GetMergeKey() != nil {
		s.tables.next = 0 // the shards held are judged by the keys of the tables
	}
	s.notePlan(rec)
}

func (s *State) takeConfig(e Records) {
	for _, entry := range e.Entries {
		if entry.Offset < s.history.Next {
			continue
		}
		rec, verdict := s.history.Apply(entry.Offset, entry.Data)
		s.noteSnapshot(e.Stream, rec)
		if verdict.Reason == fleet.ReasonSnapshot {
			continue
		}
		if !verdict.Accepted {
			s.decide(Decision{Action: "reject_configuration", Reason: verdict.Reason})
			continue
		}
		s.decide(Decision{Action: "configuration", Generation: verdict.Version})
		s.configChanged()
	}
	if e.AsOf != 0 && s.history.Next >= e.Next {
		s.fresh.Advance(e.AsOf)
	}
	s.noteNewer()
}

func (s *State) configChanged() {
	s.dirty = true
	s.tables.stale = true
	s.tables.callers = callers(s.history.Config)
	s.tables.hosts = fleet.NewHostTable(s.history.Config)
	for name, svc := range s.history.Config.Services {
		if svc.Region == s.opts.Region && !svc.Keyless {
			s.fold.EnsureService(name, svc.Shards)
		}
	}
}

// self returns this daemon's member, or nil before its join record is read.
func (s *State) self() *fold.Member {
	if s.member.incarnation == 0 {
		return nil
	}
	return s.fold.Members[s.member.incarnation]
}

// leaseHeld reports whether this daemon holds its lease.
func (s *State) leaseHeld() bool {
	return s.member.holder != nil && s.member.holder.Deadline(s.now) > s.now
}

// sendTo sends a witness message to a slot, if its address is known.
func (s *State) sendTo(slot string, msg *wire.Datagram) {
	target, ok := s.fold.Slots[slot]
	if !ok {
		return
	}
	msg.From = s.opts.Slot
	s.emit(SendDatagram{Addr: target.WitnessAddr, Msg: msg})
}
