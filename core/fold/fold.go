// Package fold replays the placement stream of a region. Replay is a pure
// function of the records and their offsets: every daemon that has read the
// same records has the same state, and a record whose conditions are not met
// has no effect on any daemon.
package fold

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/idwindow"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/snapshot"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

const (
	// MaxShards bounds the shard numbers of a service; the highest is MaxShards-1.
	MaxShards = 1 << 20
	// maxRecordedShards bounds the shards that records refer to, over all services.
	maxRecordedShards = 1 << 22
)

const (
	// RecordVersion is the newest record format that this code supports.
	RecordVersion = 2
	// baseVersion is the format of records that use no newer field.
	baseVersion = 1
	// ownerStandbyVersion is the format of takeovers that keep the previous owner as
	// standby.
	ownerStandbyVersion = 2
)

// VersionOf returns the oldest format version that can express rec. Daemons that
// do not support this version reject the record and count it in State.Newer.
func VersionOf(rec *wire.Record) uint32 {
	if rec.GetTakeover().GetFormerStandsBy() {
		return ownerStandbyVersion
	}
	return baseVersion
}

// Incarnation is the position of a member's join record. Its era is State.Base, so that
// incarnations of an era are above those of earlier ones. Zero means none.
type Incarnation = uint64

// Slot is a place where a daemon runs. The daemon may act as witness.
type Slot struct {
	Name        string
	DataCentre  string
	Region      string
	PeerAddr    string
	WitnessAddr string
	EntryAddr   string
	Offset      uint64 // offset of the slot's newest announce record
}

// Phase is the state of a member.
type Phase uint8

// Phases, in the only order in which a member passes through them.
const (
	Joined    Phase = iota // has not obtained its first lease; owns nothing
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
	Slots         uint32 // number of requests that the backend server runs concurrently
	ChecksFence   bool   // the backend server rejects stale generations
	Witnesses     []string
	Version       string // of the backend server's software; empty if unknown
	LeaseMS       uint32 // length of its leases in milliseconds; 0 means one lease term
	Phase         Phase
	Era           uint64 // era that the member has adopted or joined in
}

// Shard is the placement of one shard.
//
// A takeover by the recorded standby of generation g uses generation g+1, both
// in the log and before the log has recorded it. Every other change of owner or
// standby, every split and every merge increases the generation by two, so that
// only that standby uses g+1.
type Shard struct {
	Owner      Incarnation
	Standby    Incarnation
	Generation uint64
	Pending    Incarnation // proposed standby, if HasPending; 0 to remove the standby
	HasPending bool        // a proposed standby waits for the consent of the current one
	Handover   bool        // the owner was asked to release the shard to its standby
}

// Service is the placement of one service's shards. Shards with the number Base
// or higher belong to split keys.
type Service struct {
	Shards   []Shard
	Base     uint32            // number of hash shards, from the configuration
	Split    map[uint64]uint32 // key hash to shard number
	Free     []uint32          // shard numbers of merged keys, available for reuse
	recorded int               // one more than the highest shard number that a record referred to
}

// State is the folded placement of a region.
type State struct {
	Next     uint64 // offset of the first record not yet applied
	Slots    map[string]*Slot
	Members  map[Incarnation]*Member
	Services map[string]*Service
	// Newer counts the records in formats or of kinds that this code does not
	// support. They have no effect on this state.
	Newer uint64
	// Epoch increases with each change of slots or members. It is not encoded, and
	// its values may differ between daemons.
	Epoch uint64

	// Era is the era of the newest records; 0 if they name none. Base is the newest era
	// with a start, 0 if there was none. While Claiming is set it is not open: no shard
	// changes hands.
	Era, Base uint64
	Claiming  bool

	seen     *idwindow.Window
	starts   *snapshot.Assembler // of the starts of eras; nil if none is incomplete
	ended    []Incarnation       // ended members that are retained, oldest first
	recorded int                 // sum of Service.recorded over all services
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

// Verdict is the result of replaying a record.
type Verdict struct {
	Accepted bool
	Reason   string         // why the record was rejected; empty if it was accepted
	WrongEra bool           // rejected for its era only: the author may append it again in the present one
	Start    *wire.EraStart // the start of an era, which replaced the state
	Resplit  bool           // the start has other split keys than the state before
}

func accepted() Verdict { return Verdict{Accepted: true} }

func rejected(format string, args ...any) Verdict {
	return Verdict{Reason: fmt.Sprintf(format, args...)}
}

// Apply replays the record at offset. Offsets must increase but may have gaps.
// Apply returns a nil record if offset was already applied or data is malformed.
func (s *State) Apply(offset uint64, data []byte) (*wire.Record, Verdict) {
	if offset < s.Next {
		return nil, rejected("offset %d already applied", offset)
	}
	s.Next = offset + 1
	rec := new(wire.Record)
	if err := proto.Unmarshal(data, rec); err != nil {
		return nil, rejected("record cannot be decoded: %v", err)
	}
	if rec.GetVersion() > RecordVersion {
		s.Newer++
		return rec, rejected("record version %d is newer than the supported version %d", rec.GetVersion(), RecordVersion)
	}
	if len(rec.GetId()) != idwindow.IDBytes {
		return rec, rejected("record id has %d bytes instead of 16", len(rec.GetId()))
	}
	if rec.GetSnapshot().GetStartsEra() != 0 {
		return rec, s.applyStart(rec.GetSnapshot())
	}
	if verdict := s.checkEra(rec); !verdict.Accepted {
		return rec, verdict
	}
	if !s.seen.Add(idwindow.ID(rec.GetId())) {
		return rec, rejected("record id was seen before")
	}
	return rec, s.applyBody(logstream.Position(s.Base, logstream.OffsetOf(offset)), rec)
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
		return rejected("the witnesses of an incarnation cannot be changed")
	case *wire.Record_SplitKey:
		return s.splitKey(rec.GetAuthor(), body.SplitKey)
	case *wire.Record_MergeKey:
		return s.mergeKey(rec.GetAuthor(), body.MergeKey)
	case *wire.Record_Adopt:
		return s.adopt(rec.GetAuthor(), body.Adopt)
	case *wire.Record_OpenEra:
		return s.openEra(body.OpenEra)
	case *wire.Record_Snapshot:
		return accepted()
	default:
		return s.rejectUnknown(rec)
	}
}

// rejectUnknown rejects a record that has no body, or a body of a kind that this
// code does not support.
func (s *State) rejectUnknown(rec *wire.Record) Verdict {
	if rec.GetBody() == nil && len(rec.ProtoReflect().GetUnknown()) == 0 {
		return rejected("record has no body")
	}
	s.Newer++
	return rejected("record kind is not supported by this version")
}

// EnsureService sets the number of a service's hash shards, which never changes,
// and allocates the shards. The number comes from the configuration, for which
// replay does not wait: whether a record is accepted never depends on it.
func (s *State) EnsureService(name string, shards uint32) *Service {
	svc := s.service(name)
	svc.Base = shards
	svc.grow(int(shards))
	return svc
}

// service returns the placement of a service and creates it on first use.
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

// recordShard allocates a shard that a record may refer to for the first time.
// It reports false if the record must be rejected: shard numbers and their sum
// over all services are bounded, so that records cannot make replay allocate
// unbounded memory.
func (s *State) recordShard(service string, number uint32) bool {
	if !validName(service) || number >= MaxShards {
		return false
	}
	n := int(number) + 1
	added := n
	if svc, ok := s.Services[service]; ok {
		added = max(0, n-svc.recorded)
	}
	if s.recorded+added > maxRecordedShards {
		return false
	}
	svc := s.service(service)
	svc.grow(n)
	svc.recorded = max(svc.recorded, n)
	s.recorded += added
	return true
}

// shard returns the shard that ref refers to. It returns an error if the shard
// does not exist or is at another generation.
func (s *State) shard(ref *wire.ShardRef) (*Shard, error) {
	svc, ok := s.Services[ref.GetService()]
	if !ok {
		return nil, fmt.Errorf("unknown service %q", ref.GetService())
	}
	if int(ref.GetShard()) >= len(svc.Shards) {
		return nil, fmt.Errorf("unknown shard %d of service %q", ref.GetShard(), ref.GetService())
	}
	sh := &svc.Shards[ref.GetShard()]
	if sh.Generation != ref.GetGeneration() {
		return nil, fmt.Errorf("shard %s/%d is at generation %d, not %d",
			ref.GetService(), ref.GetShard(), sh.Generation, ref.GetGeneration())
	}
	return sh, nil
}

// inService reports whether inc is in service, so that it may own shards or be a
// standby.
func (s *State) inService(inc Incarnation) bool {
	m, ok := s.Members[inc]
	return ok && m.Phase == InService
}
