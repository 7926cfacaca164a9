// Package control is the daemon's control state as a pure step function: State.Step
// receives an event and returns effects for the plug-ins to carry out. It composes
// replay of the log, this daemon's lease, the witness role, sealing of the leases of
// lost members, the rights to own shards, and planning.
//
// Replay is the fold of the placement stream as far as this daemon has read it. It shows
// a record once the record is applied.
//
// Invariants: a shard is dispatched only while its right is owned and this daemon's
// lease is valid; see right for the rules of release and takeover. Effects that depend
// on the withdrawal of a right follow the Publish of the view without it, and a
// configuration counts as current only after the Publish of the view with it. One
// goroutine owns a State. Times are readings of this host's boot clock.
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
	"github.com/sesamemoor/sesamemoor/core/placement"
	"github.com/sesamemoor/sesamemoor/core/snapshot"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// Options are the fixed settings of a State.
type Options struct {
	Slot        string
	DataCentre  string
	Region      string
	PeerAddr    string
	WitnessAddr string
	EntryAddr   string

	Lease lease.Params
	// Freshness has the ages of the configuration from which callers are refused.
	Freshness view.FreshnessLimits
	JoinWait  time.Duration // how long the first join waits for other slots to announce themselves
	Witnesses int           // desired size of the witness set, odd
	// SlotIsHost reports that a slot belongs to one host, on which the platform runs
	// one process at a time. A new process can then assume that the previous one has
	// ended, and may end its incarnations. The name of a backend server then changes
	// with each boot.
	SlotIsHost bool
	// PublishedConfig reports that an external author publishes whole versions of the
	// configuration, so the configuration stream needs no snapshots.
	PublishedConfig bool
	// Rollouts reports that the deployment has roll-outs: join records have the versions of
	// backend servers, and VersionLimits events restrict the members of services that have
	// several.
	Rollouts bool
	// SnapshotRecords is the number of records after which a snapshot of a stream is
	// due; 0 means the default.
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
	caughtUp bool          // the placement stream has been read to its head at least once
	readAsOf clock.Instant // time as of which the whole placement stream is known

	versions map[string]*placement.Versions // by service

	witness       witnessRole
	leaseTermOf   func(service string) time.Duration // length of the leases of a service's members
	newHolder     func(p lease.Params, joinSent clock.Instant, witnesses []string, term time.Duration) leaseHolder
	newSealer     func(lease.Params, []string) leaseSealer
	member        membership
	claim         slotClaim
	era           eraState
	rights        map[view.ShardID]*right
	takeovers     []pendingTakeover       // takeovers and recorded releases that are not appended yet
	sealers       map[uint64]*sealAttempt // by incarnation
	lapsed        map[uint64]bool         // incarnations whose leases this daemon found lapsed, until replay shows them as gone
	pendingLapses map[uint64]lapseRecord  // by incarnation
	nextWatch     clock.Instant           // when the witness role next receives the list of members
	outbox        *outbox
	planner       planner
	loads         *loadstat.Table

	keyChangeID     [16]byte                 // id of the newest split or merge record
	keyChangeShards []view.ShardID           // shards that the record names
	coldSince       map[uint64]clock.Instant // by hash of a split key; zero while it has load

	collectors        map[string]*snapshot.Collector // by stream that waits for a snapshot
	snapshotSchedule  map[string]*snapshotSchedule   // by stream
	nextSnapshotCheck clock.Instant

	fresh        *view.Freshness
	newerRecords uint64 // number of records in a version that this daemon cannot decode
	daemonCache  daemonList

	plannerCache plannerList

	cell            *view.LeaseCell // of the current incarnation; never reused, since requests may still hold an older view
	tables          tables
	dirty           bool          // a new view must be published
	recheckConsents bool          // replay changed since consents were last checked
	consentRefused  clock.Instant // when the log last refused a consent; zero if never
	afterView       []Effect      // effects that follow the view of the step
	configAsOf      clock.Instant // as of which the step has read the whole configuration; zero if it has not
	stopping        bool
	stoppingSince   clock.Instant
	departed        bool
	departedAt      clock.Instant // when the daemon stopped being a member for good
}

// witnessRole is the part of lease.Witness that State uses.
type witnessRole interface {
	SetStartOffset(offset uint64)
	Renew(now clock.Instant, inc uint64, joining bool, term time.Duration) (promised time.Duration, refused bool)
	Seal(now clock.Instant, inc uint64) (lease.SealState, time.Duration)
	Watch(now clock.Instant, inc uint64)
	Expired(now clock.Instant) []lease.Overdue
}

// leaseHolder is the part of lease.Holder that State uses.
type leaseHolder interface {
	Tick(now clock.Instant) []lease.Renewal
	Ack(now clock.Instant, witness string, seq uint64, promise time.Duration)
	Refused(witness string)
	Unresponsive() []string
	Deadline(now clock.Instant) clock.Instant
	Lost(now clock.Instant) bool
}

// leaseSealer is the part of lease.Sealer that State uses.
type leaseSealer interface {
	Tick(now clock.Instant) []lease.Request
	Answer(now clock.Instant, witness string, seq uint64, state lease.SealState, wait time.Duration)
	SealedBy(now clock.Instant) []string
	Lapsed(now clock.Instant) bool
}

// New returns the State of a daemon that started at now.
func New(opts Options, now clock.Instant) *State {
	s := &State{
		opts:             opts,
		started:          now,
		now:              now,
		fold:             fold.New(),
		history:          fleet.NewHistory(),
		witness:          lease.NewWitness(opts.Lease, now),
		rights:           map[view.ShardID]*right{},
		sealers:          map[uint64]*sealAttempt{},
		lapsed:           map[uint64]bool{},
		pendingLapses:    map[uint64]lapseRecord{},
		outbox:           newOutbox(),
		loads:            loadstat.NewTable(),
		coldSince:        map[uint64]clock.Instant{},
		cell:             new(view.LeaseCell),
		collectors:       map[string]*snapshot.Collector{},
		snapshotSchedule: map[string]*snapshotSchedule{},
		fresh:            view.NewFreshness(opts.Freshness),
		dirty:            true,
		newHolder: func(p lease.Params, sent clock.Instant, witnesses []string, term time.Duration) leaseHolder {
			return lease.NewHolder(p, sent, witnesses, term)
		},
		newSealer: func(p lease.Params, witnesses []string) leaseSealer {
			return lease.NewSealer(p, witnesses)
		},
	}
	s.leaseTermOf = func(service string) time.Duration { return leaseTerm(s.opts.Lease, s.history.Config, service) }
	s.tables.stale = true
	s.fold.EnsureService(view.KeeperService, view.KeeperShards)
	return s
}

// Step applies one event at now and returns the effects to carry out, in order. The
// slice is valid until the next call.
func (s *State) Step(now clock.Instant, ev Event) []Effect {
	if now > s.now {
		s.now = now
	}
	s.effects = s.effects[:0]
	s.afterView = s.afterView[:0]
	s.configAsOf = 0
	s.checkLease()
	s.handle(ev)
	s.refreshTables()
	if s.dirty {
		s.dirty = false
		s.emit(Publish{View: s.buildView()})
	}
	if s.configAsOf != 0 || s.fresh.Next() != s.history.Next {
		s.emit(ConfirmConfig{Freshness: s.fresh, Next: s.history.Next, AsOf: s.configAsOf, Now: s.now})
	}
	s.effects = append(s.effects, s.afterView...)
	return s.effects
}

func (s *State) handle(ev Event) {
	switch e := ev.(type) {
	case Tick:
		s.tick()
	case Records:
		s.applyRecords(e)
	case Datagram:
		s.handleDatagram(e.Msg)
	case VersionLimits:
		s.versions = e.Services
		s.planner.lastBasis = planBasis{} // a plan is due
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
	s.tickEra()
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

// emitAfterView adds an effect that must follow the step's view, under which no new
// requests of the shard are dispatched.
func (s *State) emitAfterView(e Effect) { s.afterView = append(s.afterView, e) }

func (s *State) emitDecision(d Decision) { s.emit(d) }

// placementStream returns the name of the placement stream of this daemon's region.
func (s *State) placementStream() string { return logstream.PlacementStream(s.opts.Region) }

func (s *State) applyRecords(e Records) {
	e = s.collect(e)
	if e.Stream == logstream.ConfigStream {
		s.applyConfigRecords(e)
		return
	}
	if e.Stream != s.placementStream() {
		return
	}
	s.era.log = max(s.era.log, logstream.EraOf(e.Next))
	before := s.fold.Next
	for _, entry := range e.Entries {
		s.applyPlacementRecord(entry)
	}
	if s.fold.Next != before {
		s.publishEra()
		s.reconcileSlot()
		s.reconcileRights()
	}
	if e.AsOf != 0 && s.fold.Next >= e.Next {
		s.caughtUp = true
		s.readAsOf = max(s.readAsOf, e.AsOf)
	}
	s.checkNewerRecords()
}

func (s *State) applyPlacementRecord(entry logstream.Entry) {
	if entry.Offset < s.fold.Next {
		return
	}
	var rec *wire.Record
	var verdict fold.Verdict
	if s.era.waiting {
		verdict = s.fold.ApplyRecordOfStart(entry.Data)
		s.fold.Next = entry.Offset + 1
	} else {
		rec, verdict = s.fold.Apply(entry.Offset, entry.Data)
	}
	switch {
	case verdict.Start != nil:
		s.eraStarted(verdict.Start, verdict.Resplit)
		return
	case s.era.waiting:
		return
	}
	s.trackSnapshot(s.placementStream(), rec)
	switch {
	case verdict.WrongEra:
		s.outbox.resend(rec.GetId(), s.now)
	case rec != nil:
		s.outbox.confirm(rec.GetId())
	}
	if !verdict.Accepted {
		s.emitDecision(Decision{Action: "reject_record", Reason: verdict.Reason})
		return
	}
	s.tables.stale = true
	s.recheckConsents = true
	if rec.GetAnnounce() != nil || rec.GetSnapshot() != nil {
		s.tables.members = nil // addresses may have changed
	}
	if a := rec.GetAnnounce(); a != nil && a.GetSlot() == s.opts.Slot {
		if at := s.fold.Slots[s.opts.Slot].Offset; s.claim.announceSeen(at, rec.GetId()) {
			s.witness.SetStartOffset(at)
		}
	}
	if rec.GetJoin() != nil {
		s.joinSeen(logstream.Position(s.fold.Base, logstream.OffsetOf(entry.Offset)), rec.GetId())
	}
	if sp := rec.GetSplitKey(); sp != nil {
		s.splitSeen(sp)
	}
	if m := rec.GetMergeKey(); m != nil {
		s.mergeSeen(m)
	}
	if rec.GetSplitKey() != nil || rec.GetMergeKey() != nil {
		s.tables.next = 0 // lookups of held shards need tables with the new split keys
	}
	s.recordPeerPlan(rec)
}

func (s *State) applyConfigRecords(e Records) {
	for _, entry := range e.Entries {
		if entry.Offset < s.history.Next {
			continue
		}
		rec, verdict := s.history.Apply(entry.Offset, entry.Data)
		s.trackSnapshot(e.Stream, rec)
		if verdict.Reason == fleet.ReasonSnapshot {
			continue
		}
		if !verdict.Accepted {
			s.emitDecision(Decision{Action: "reject_configuration", Reason: verdict.Reason})
			continue
		}
		if order := rec.GetRolloutOrder(); order != nil {
			s.emitDecision(Decision{Action: "rollout_order", Reason: order.GetService() + " to " + order.GetTo(), Generation: entry.Offset})
			s.dirty = true
			continue
		}
		if rec.GetRolloutStatus() != nil {
			s.dirty = true
			continue
		}
		s.emitDecision(Decision{Action: "configuration", Generation: verdict.Version})
		s.configChanged()
	}
	// A daemon that starts in a new era learns the configuration in force from its start.
	known := s.fresh.Known() != 0 || logstream.EraOf(e.Next) == 0 || s.caughtUp && !s.needsStart()
	if e.AsOf != 0 && s.history.Next >= e.Next && known {
		s.configAsOf = e.AsOf
	}
	s.checkNewerRecords()
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

// self returns this daemon's member, or nil until replay shows its join record.
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

// sendTo sends a witness message to a slot. It drops the message if replay does not
// show the slot.
func (s *State) sendTo(slot string, msg *wire.Datagram) {
	target, ok := s.fold.Slots[slot]
	if !ok {
		return
	}
	msg.From = s.opts.Slot
	s.emit(SendDatagram{Addr: target.WitnessAddr, Msg: msg})
}
