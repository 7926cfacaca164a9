package fold

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/idwindow"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// ErrState reports that the decoded bytes are not a valid encoded state.
var ErrState = errors.New("fold: invalid encoded state")

// Flags of an encoded shard.
const (
	flagPending  = 1 << 0
	flagHandover = 1 << 1
)

// Encode returns the encoded state. Equal states have equal encodings. Data from
// the configuration, such as Service.Base, is not encoded.
func (s *State) Encode() ([]byte, error) {
	out := &wire.PlacementState{Next: s.Next, RecentIds: s.seen.Encode(), Gone: s.ended, Newer: s.Newer, Era: s.Era, Base: s.Base, Claiming: s.Claiming}
	for _, name := range slices.Sorted(maps.Keys(s.Slots)) {
		slot := s.Slots[name]
		out.Slots = append(out.Slots, &wire.SlotState{Offset: slot.Offset, Announce: &wire.Announce{
			Slot: slot.Name, DataCentre: slot.DataCentre, Region: slot.Region,
			PeerAddr: slot.PeerAddr, WitnessAddr: slot.WitnessAddr, EntryAddr: slot.EntryAddr,
		}})
	}
	for _, inc := range slices.Sorted(maps.Keys(s.Members)) {
		m := s.Members[inc]
		out.Members = append(out.Members, &wire.MemberState{Incarnation: inc, Phase: uint32(m.Phase), Era: m.Era, Join: &wire.Join{
			Slot: m.Slot, Service: m.Service, BackendServer: m.BackendServer, BackendAddr: m.BackendAddr,
			Slots: m.Slots, ChecksFence: m.ChecksFence, Witnesses: m.Witnesses, LeaseMs: m.LeaseMS, BackendVersion: m.Version,
		}})
	}
	for _, name := range slices.Sorted(maps.Keys(s.Services)) {
		if svc := s.Services[name]; svc.recorded > 0 {
			out.Services = append(out.Services, svc.encode(name))
		}
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("fold: encode: %w", err)
	}
	return data, nil
}

func (svc *Service) encode(name string) *wire.ServiceState {
	out := &wire.ServiceState{Name: name, Named: uint32(svc.recorded), Free: svc.Free}
	for _, sh := range svc.Shards[:svc.recorded] {
		out.Owners = append(out.Owners, sh.Owner)
		out.Standbys = append(out.Standbys, sh.Standby)
		out.Generations = append(out.Generations, sh.Generation)
		out.Pending = append(out.Pending, sh.Pending)
		flags := byte(0)
		if sh.HasPending {
			flags |= flagPending
		}
		if sh.Handover {
			flags |= flagHandover
		}
		out.Flags = append(out.Flags, flags)
	}
	for _, hash := range slices.Sorted(maps.Keys(svc.Split)) {
		out.SplitHashes = append(out.SplitHashes, hash)
		out.SplitShards = append(out.SplitShards, svc.Split[hash])
	}
	return out
}

// Decode returns the state that Encode wrote to data. It returns an error that
// wraps ErrState if data is invalid.
func Decode(data []byte) (*State, error) {
	in := new(wire.PlacementState)
	if err := proto.Unmarshal(data, in); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrState, err)
	}
	s := New()
	window, ok := idwindow.Decode(in.GetRecentIds())
	if !ok || in.GetNext() == 0 {
		return nil, fmt.Errorf("%w: invalid next offset or record ids", ErrState)
	}
	s.Next, s.seen, s.ended, s.Newer = in.GetNext(), window, in.GetGone(), in.GetNewer()
	s.Era, s.Base, s.Claiming = in.GetEra(), in.GetBase(), in.GetClaiming()
	for _, slot := range in.GetSlots() {
		a := slot.GetAnnounce()
		s.Slots[a.GetSlot()] = &Slot{
			Name: a.GetSlot(), DataCentre: a.GetDataCentre(), Region: a.GetRegion(), PeerAddr: a.GetPeerAddr(),
			WitnessAddr: a.GetWitnessAddr(), EntryAddr: a.GetEntryAddr(), Offset: slot.GetOffset(),
		}
	}
	for _, m := range in.GetMembers() {
		j := m.GetJoin()
		if m.GetPhase() > uint32(Gone) {
			return nil, fmt.Errorf("%w: unknown phase %d", ErrState, m.GetPhase())
		}
		s.Members[m.GetIncarnation()] = &Member{
			Incarnation: m.GetIncarnation(), Slot: j.GetSlot(), Service: j.GetService(), BackendServer: j.GetBackendServer(),
			BackendAddr: j.GetBackendAddr(), Slots: j.GetSlots(), ChecksFence: j.GetChecksFence(),
			Witnesses: j.GetWitnesses(), LeaseMS: j.GetLeaseMs(), Version: j.GetBackendVersion(), Phase: Phase(m.GetPhase()), Era: m.GetEra(),
		}
	}
	for _, inc := range s.ended {
		if s.Members[inc] == nil {
			return nil, fmt.Errorf("%w: ended member %d is missing", ErrState, inc)
		}
	}
	for _, svc := range in.GetServices() {
		if err := s.decodeService(svc); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *State) decodeService(in *wire.ServiceState) error {
	n := len(in.GetOwners())
	if n == 0 || n > MaxShards || int(in.GetNamed()) != n || len(in.GetStandbys()) != n || len(in.GetGenerations()) != n ||
		len(in.GetPending()) != n || len(in.GetFlags()) != n || len(in.GetSplitHashes()) != len(in.GetSplitShards()) {
		return fmt.Errorf("%w: inconsistent list lengths in service %q", ErrState, in.GetName())
	}
	if !s.recordShard(in.GetName(), uint32(n-1)) {
		return fmt.Errorf("%w: service %q has too many shards", ErrState, in.GetName())
	}
	svc := s.Services[in.GetName()]
	for i := range n {
		svc.Shards[i] = Shard{
			Owner: in.Owners[i], Standby: in.Standbys[i], Generation: in.Generations[i], Pending: in.Pending[i],
			HasPending: in.Flags[i]&flagPending != 0, Handover: in.Flags[i]&flagHandover != 0,
		}
	}
	for i, hash := range in.GetSplitHashes() {
		if int(in.SplitShards[i]) >= n {
			return fmt.Errorf("%w: split key refers to unknown shard %d", ErrState, in.SplitShards[i])
		}
		svc.Split[hash] = in.SplitShards[i]
	}
	svc.Free = in.GetFree()
	return nil
}
