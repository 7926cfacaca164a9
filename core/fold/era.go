package fold

import (
	"fmt"
	"maps"

	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/idwindow"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/snapshot"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// checkEra rejects a record of another era than the one in force. A record of an earlier
// era arrived after the log was restored. One of a later era was written before its
// start; an only era without a start is the first.
func (s *State) checkEra(rec *wire.Record) Verdict {
	era := rec.GetEra()
	wrong := Verdict{WrongEra: true, Reason: fmt.Sprintf("record of era %d in era %d", era, s.Era)}
	switch {
	case era == s.Era, era == 0 && s.Base == 0: // a daemon that knows no era
	case s.Era == 0 && era == logstream.FirstEra:
		s.Era = era
	default:
		return wrong
	}
	if s.Claiming && !duringClaims(rec) {
		return rejected("era %d is not open", s.Era)
	}
	return accepted()
}

// duringClaims reports whether a record may take effect before its era is open: no shard
// changes hands by it except by the end of a member.
func duringClaims(rec *wire.Record) bool {
	switch rec.GetBody().(type) {
	case *wire.Record_Announce, *wire.Record_Join, *wire.Record_Ready, *wire.Record_Lapse, *wire.Record_Leave,
		*wire.Record_Adopt, *wire.Record_OpenEra, *wire.Record_Snapshot:
		return true
	}
	return false
}

// NeedsStart reports whether the log is in a later era than this state.
func (s *State) NeedsStart(era uint64) bool { return era > max(s.Era, logstream.FirstEra) }

// startStream takes the place of a stream's name in the ids of starts.
const startStream = "era-start"

// EncodeStart returns the parts of the start of an era: this state, and what the author
// knows of the configuration.
func (s *State) EncodeStart(era uint64, standing *wire.Standing, configNext uint64) ([]*wire.Snapshot, error) {
	placement, err := s.Encode()
	if err != nil {
		return nil, err
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(&wire.EraStart{Placement: placement, Standing: standing, ConfigNext: configNext})
	if err != nil {
		return nil, fmt.Errorf("fold: encode start: %w", err)
	}
	parts := snapshot.Split(startStream, logstream.Position(era, 0), data)
	for _, part := range parts {
		part.StartsEra = era
	}
	return parts, nil
}

// ApplyRecordOfStart replays a record if it belongs to the start of an era. Other records
// have no effect. It does not change Next.
func (s *State) ApplyRecordOfStart(data []byte) Verdict {
	rec := new(wire.Record)
	if proto.Unmarshal(data, rec) != nil || rec.GetSnapshot().GetStartsEra() == 0 {
		return rejected("not a start")
	}
	return s.applyStart(rec.GetSnapshot())
}

// applyStart replays one part of the start of an era. The first start of an era that is
// complete replaces the state.
func (s *State) applyStart(part *wire.Snapshot) Verdict {
	era := part.GetStartsEra()
	if era <= s.Base || era < s.Era {
		return rejected("start of era %d in era %d", era, s.Era)
	}
	if s.starts == nil {
		s.starts = snapshot.NewAssembler(startStream)
	}
	asOf, data, whole := s.starts.Add(part)
	if !whole {
		return accepted()
	}
	start := new(wire.EraStart)
	if err := proto.Unmarshal(data, start); err != nil || logstream.EraOf(asOf) != era {
		return rejected("start cannot be decoded: %v", err)
	}
	state, err := Decode(start.GetPlacement())
	if err != nil {
		return rejected("%v", err)
	}
	resplit := !sameSplits(s, state) || !sameSplits(state, s)
	s.startEra(era, state)
	return Verdict{Accepted: true, Start: start, Resplit: resplit}
}

// sameSplits reports whether the split keys of a are those of b.
func sameSplits(a, b *State) bool {
	for name, svc := range a.Services {
		if len(svc.Split) == 0 {
			continue
		}
		if other := b.Services[name]; other == nil || !maps.Equal(svc.Split, other.Split) {
			return false
		}
	}
	return true
}

// startEra replaces the state by that of the start of an era. Generations rise above those
// of all earlier eras. What was proposed or requested before has no effect any more: its
// authors cannot know what others read of it.
func (s *State) startEra(era uint64, state *State) {
	for name, svc := range s.Services {
		if svc.Base > 0 {
			state.EnsureService(name, svc.Base)
		}
	}
	state.Next, state.Epoch, state.Newer = s.Next, s.Epoch+1, s.Newer
	*s = *state
	s.Era, s.Base, s.Claiming = era, era, true
	s.seen = idwindow.New()
	for _, svc := range s.Services {
		for i := range svc.Shards {
			if sh := &svc.Shards[i]; sh.Generation != 0 {
				sh.setStandby(sh.Standby, s.floor())
			}
		}
	}
}

// floor is below all generations of the era, and not below any of an earlier one.
func (s *State) floor() uint64 { return logstream.Position(s.Base, 0) }

// raise increases the generation by n, above the floor.
func (sh *Shard) raise(n, floor uint64) { sh.Generation = max(sh.Generation, floor) + n }

func (s *State) adopt(author Incarnation, a *wire.Adopt) Verdict {
	m, ok := s.Members[author]
	if author != a.GetIncarnation() || !ok || m.Phase == Gone {
		return rejected("author %d of the adoption is not its incarnation or not a member", author)
	}
	if !s.Claiming {
		return rejected("era %d is open", s.Era)
	}
	m.Era = s.Base
	if len(a.GetRefs()) > 0 {
		m.Phase = InService // only the record of its first lease is lost
	}
	for _, ref := range a.GetRefs() {
		// The generation may have risen since the start, by the end of a member.
		svc := s.Services[ref.GetService()]
		if svc == nil || int(ref.GetShard()) >= len(svc.Shards) {
			continue
		}
		sh := &svc.Shards[ref.GetShard()]
		if sh.Owner == author {
			continue
		}
		standby := sh.Standby
		if standby == author {
			standby = 0
		}
		sh.Owner = author
		sh.setStandby(standby, s.floor())
	}
	return accepted()
}

// openEra ends the claims once no member in service can have one left.
func (s *State) openEra(o *wire.OpenEra) Verdict {
	if !s.Claiming || o.GetEra() != s.Base {
		return rejected("era %d is not waiting to be opened", o.GetEra())
	}
	if !s.AllAdopted() {
		return rejected("a member in service has not adopted era %d", s.Base)
	}
	s.Claiming = false
	s.Epoch++
	return accepted()
}

// AllAdopted reports whether each member in service has adopted the era.
func (s *State) AllAdopted() bool {
	for m := range maps.Values(s.Members) {
		if m.Phase == InService && m.Era != s.Base {
			return false
		}
	}
	return true
}
