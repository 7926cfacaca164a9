package fold

import (
	"slices"

	"github.com/sesamemoor/sesamemoor/core/wire"
)

// splitKey assigns a key its own shard with the owner and standby of its parent.
//
// The author is the parent's owner. It releases neither shard while its record
// is in flight, so the standby cannot have taken over the parent by a release
// that is not in the log yet. Both generations become higher than any used
// before, so a standby accepts a release of either shard only after it has read
// the split. A standby that takes over after a lapse, without having read the
// split, owns both shards; the new shard moves to another owner only after that
// standby consented or lapsed.
func (s *State) splitKey(author Incarnation, body *wire.SplitKey) Verdict {
	parent, err := s.shard(body.GetParent())
	if err != nil {
		return rejected("%v", err)
	}
	if author == 0 || parent.Owner != author {
		return rejected("author %d does not own the parent shard", author)
	}
	svc := s.Services[body.GetParent().GetService()]
	if body.GetService() != body.GetParent().GetService() {
		return rejected("parent shard belongs to another service")
	}
	if _, exists := svc.Split[body.GetKeyHash()]; exists || svc.isSplit(body.GetParent().GetShard()) {
		return rejected("key %x is already split, or its parent is a split shard", body.GetKeyHash())
	}
	if !s.numberFree(svc, body.GetShard()) || !s.recordShard(body.GetService(), body.GetShard()) {
		return rejected("shard number %d is in use or exceeds a limit", body.GetShard())
	}
	parent = &svc.Shards[body.GetParent().GetShard()] // recordShard may have reallocated the shards
	child := &svc.Shards[body.GetShard()]
	child.Owner = parent.Owner
	child.setStandby(parent.Standby, s.floor())
	parent.advanceGeneration(s.floor())
	svc.Split[body.GetKeyHash()] = body.GetShard()
	svc.Free = slices.DeleteFunc(svc.Free, func(n uint32) bool { return n == body.GetShard() })
	return accepted()
}

// advanceGeneration increases the generation by two, past that of a takeover that
// is not in the log yet. A pending standby proposal stays pending.
func (sh *Shard) advanceGeneration(floor uint64) {
	sh.raise(2, floor)
	sh.Handover = false
}

// isSplit reports whether the shard number belongs to a split key.
func (svc *Service) isSplit(number uint32) bool {
	for _, n := range svc.Split {
		if n == number {
			return true
		}
	}
	return false
}

// numberFree reports whether the shard number may be used for a split key.
func (s *State) numberFree(svc *Service, number uint32) bool {
	if int(number) >= svc.recorded {
		return true
	}
	return slices.Contains(svc.Free, number)
}

// NextSplit returns a shard number for a new split key.
func (svc *Service) NextSplit() uint32 {
	if len(svc.Free) > 0 {
		return svc.Free[0]
	}
	return uint32(max(int(svc.Base), svc.recorded))
}

// mergeKey ends the split of a key, which then belongs to the shard that its hash
// selects; the author gives this shard as the parent. The author owns both shards
// and releases neither while the record is in flight; both have the same standby.
// The number of the split shard keeps its generation for its next use.
func (s *State) mergeKey(author Incarnation, m *wire.MergeKey) Verdict {
	parent, err := s.shard(m.GetParent())
	if err != nil {
		return rejected("%v", err)
	}
	child, err := s.shard(m.GetSplit())
	if err != nil {
		return rejected("%v", err)
	}
	svc := s.Services[m.GetService()]
	if m.GetService() != m.GetParent().GetService() || m.GetService() != m.GetSplit().GetService() {
		return rejected("parent or split shard belongs to another service")
	}
	if n, ok := svc.Split[m.GetKeyHash()]; !ok || n != m.GetSplit().GetShard() || child == parent {
		return rejected("key %x is not split to the given shard", m.GetKeyHash())
	}
	if author == 0 || parent.Owner != author || child.Owner != author || child.Standby != parent.Standby {
		return rejected("the shards have different standbys or are not both owned by %d", author)
	}
	*child = Shard{Generation: child.Generation + 2}
	parent.advanceGeneration(s.floor())
	delete(svc.Split, m.GetKeyHash())
	svc.Free = append(svc.Free, m.GetSplit().GetShard())
	slices.Sort(svc.Free)
	return accepted()
}
