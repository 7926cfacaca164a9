// Package fold replays the placement stream of a region. Replay is a pure
// function of the records and their offsets: every daemon that has read the
// same records holds the same state, and a record whose conditions do not hold
// has no effect anywhere.
package fold

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/idwindow"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

const (
	// MaxShards bounds the shard numbers of a service.
	MaxShards = 1 << 20
	// maxNamed bounds the shards that records name, over all services.
	maxNamed = 1 << 22
)

const (
	// RecordVersion is the newest record format that this code understands.
	RecordVersion = 2
	// baseVersion is the format of records that say nothing newer.
	baseVersion = 1
	// formerVersion is the format of takeovers that keep the former owner as standby.
	formerVersion = 2
)

// VersionOf returns the oldest format that says all that a record does. Daemons
// that are too old for it know that they missed something.
func VersionOf(rec *wire.Record) uint32 {
	if rec.GetTakeover().GetFormerStandsBy() {
		return formerVersion
	}
	return baseVersion
}

// Incarnation is the offset of a member's join record. Zero means none.
type Incarnation = uint64

// Slot is a place where a daemon runs; it may act as witness.
type Slot struct {
	Name        string
	DataCentre  string
	Region      string
	PeerAddr    string
	WitnessAddr string
	EntryAddr   string
	Offset      uint64 // of the newest announce record
}

// Phase is the state of a member.
type Phase uint8

// Phases in their only order.
const (
	Joined    Phase = iota // has not won its first lease; owns nothing
	InService              // may own shards
	Gone                   // lapsed or left
)

// Member is one incarnation of a backend server with its daemon.
type Member struct {
	Incarnation   Incarnation
	Slot          string
	Service       string
	BackendServer string
	BackendAddr   string
	Slots         uint32
	ChecksFence   bool
	Witnesses     []string
	Phase         Phase
}

// Shard is the placement of one shard.
//
// Generation rules: a takeover by the recorded standby of generation g uses
// g+1, in the log or ahead of it; every other change of a shard steps the
// generation by two, so that g+1 belongs to that standby alone.
type Shard struct {
	Owner      Incarnation
	Standby    Incarnation
	Generation uint64
	Pending    Incarnation // proposed standby that waits for consent; see HasPending
	HasPending bool        // a proposal waits; Pending may be 0 to remove the standby
	Handover   bool        // the owner was asked to release to the standby
}

// Service is the placement of one service's shards. Shards from the base
// count on are split keys.
type Service struct {
	Shards []Shard
	Base   uint32            // number of hash shards, from the configuration
	Split  map[uint64]uint32 // key hash to shard number
	Free   []uint32          // numbers of merged split shards for reuse
	named  int               // one more than the highest shard that a record named
}

// State is the folded placement of a region.
type State struct {
	Next     uint64 // offset of the first record not yet applied
	Slots    map[string]*Slot
	Members  map[Incarnation]*Member
	Services map[string]*Service
	// Newer counts the records that this code is too old to understand. They
	// have no effect here.
	Newer uint64
	// Epoch changes with each change of slots or members. It is local.
	Epoch uint64

	seen  *idwindow.Window
	gone  []Incarnation // ended members that are kept, oldest first
	named int           // sum over services
}

// New returns the state before the first record.
func New() *State {
	return &State{
		Next:     1,
		Slots:    map[string]*Slot{},
		Members:  map[Incarnation]*Member{},
		Services: map[string]*Service{},
		seen:     idwindow.New(),
	}
}

// Verdict tells what a record did.
type Verdict struct {
	Accepted bool
	Reason   string // why it was rejected, or a short description
}

func accepted() Verdict { return Verdict{Accepted: true} }

func rejected(format string, args ...any) Verdict {
	return Verdict{Reason: fmt.Sprintf(format, args...)}
}

// Apply replays the record at offset. Offsets ascend but need not be dense.
func (s *State) Apply(offset uint64, data []byte) (*wire.Record, Verdict) {
	if offset < s.Next {
		return nil, rejected("offset %d already applied", offset)
	}
	s.Next = offset + 1
	rec := new(wire.Record)
	if err := proto.Unmarshal(data, rec); err != nil {
		return nil, rejected("not a record: %v", err)
	}
	if rec.GetVersion() > RecordVersion {
		s.Newer++
		return rec, rejected("record version %d is newer than %d", rec.GetVersion(), RecordVersion)
	}
	if len(rec.GetId()) != idwindow.IDBytes {
		return rec, rejected("record id of %d bytes", len(rec.GetId()))
	}
	if !s.seen.Add(idwindow.ID(rec.GetId())) {
		return rec, rejected("record id seen before")
	}
	return rec, s.applyBody(offset, rec)
}

func (s *State) applyBody(offset uint64, rec *wire.Record) Verdict {
	switch body := rec.GetBody().(type) {
	case *wire.Record_Announce:
		return s.announce(offset, body.Announce)
	case *wire.Record_Join:
		return s.join(offset, body.Join)
	case *wire.Record_Ready:
		return s.ready(body.Ready)
	case *wire.Record_Lapse:
		return s.lapse(body.Lapse)
	case *wire.Record_Leave:
		return s.leave(rec.GetAuthor(), body.Leave)
	case *wire.Record_Propose:
		return s.propose(body.Propose)
	case *wire.Record_Consent:
		return s.consent(rec.GetAuthor(), body.Consent)
	case *wire.Record_Handover:
		return s.handover(body.Handover)
	case *wire.Record_Takeover:
		return s.takeover(rec.GetAuthor(), body.Takeover)
	case *wire.Record_ChangeWitnesses:
		return rejected("the witnesses of an incarnation are fixed")
	case *wire.Record_SplitKey:
		return s.splitKey(rec.GetAuthor(), body.SplitKey)
	case *wire.Record_MergeKey:
		return s.mergeKey(rec.GetAuthor(), body.MergeKey)
	case *wire.Record_Snapshot:
		return accepted()
	default:
		return s.unknown(rec)
	}
}

// unknown rejects a record without a body that this code knows.
func (s *State) unknown(rec *wire.Record) Verdict {
	if rec.GetBody() == nil && len(rec.ProtoReflect().GetUnknown()) == 0 {
		return rejected("record without body")
	}
	s.Newer++
	return rejected("unknown record kind")
}

// EnsureService makes room for a service's hash shards and names their number.
// It is driven by the configuration, which replay does not wait for: whether a
// record is accepted never depends on it. The number of a service is fixed.
func (s *State) EnsureService(name string, shards uint32) *Service {
	svc := s.service(name)
	svc.Base = shards
	svc.grow(int(shards))
	return svc
}

// service returns the row of a service, made on first use.
func (s *State) service(name string) *Service {
	svc, ok := s.Services[name]
	if !ok {
		svc = &Service{Split: map[uint64]uint32{}}
		s.Services[name] = svc
	}
	return svc
}

func (svc *Service) grow(n int) {
	if n > len(svc.Shards) {
		svc.Shards = append(svc.Shards, make([]Shard, n-len(svc.Shards))...)
	}
}

// name makes room for a shard that a record names for the first time. It
// reports false when the record must be rejected: numbers and their sum are
// bounded, so that no record makes replay take unbounded memory.
func (s *State) name(service string, number uint32) bool {
	if !validName(service) || number >= MaxShards {
		return false
	}
	n := int(number) + 1
	added := n
	if svc, ok := s.Services[service]; ok {
		added = max(0, n-svc.named)
	}
	if s.named+added > maxNamed {
		return false
	}
	svc := s.service(service)
	svc.grow(n)
	svc.named = max(svc.named, n)
	s.named += added
	return true
}

// shard returns the shard that ref names if its generation matches.
func (s *State) shard(ref *wire.ShardRef) (*Shard, error) {
	svc, ok := s.Services[ref.GetService()]
	if !ok {
		return nil, fmt.Errorf("no service %q", ref.GetService())
	}
	if int(ref.GetShard()) >= len(svc.Shards) {
		return nil, fmt.Errorf("no shard %d of %q", ref.GetShard(), ref.GetService())
	}
	sh := &svc.Shards[ref.GetShard()]
	if sh.Generation != ref.GetGeneration() {
		return nil, fmt.Errorf("shard %s/%d is at generation %d, not %d",
			ref.GetService(), ref.GetShard(), sh.Generation, ref.GetGeneration())
	}
	return sh, nil
}

// inService reports whether inc may be given shards.
func (s *State) inService(inc Incarnation) bool {
	m, ok := s.Members[inc]
	return ok && m.Phase == InService
}
