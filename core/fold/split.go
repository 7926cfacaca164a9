package fold

import (
	"slices"

	"github.com/sesamemoor/sesamemoor/core/wire"
)

// splitKey gives a key its own shard with the owner and standby of its parent.
//
// The author is the parent's owner: it releases neither shard while its record
// is on the way, so the parent cannot be at its standby by a release that
// replay has not seen. Both generations step past every earlier one, so a
// standby takes either shard by release only after it has read the split. A
// takeover by lapse without having read it leaves all at the one standby; the
// new shard moves elsewhere only after that standby consented or lapsed.
func (s *State) splitKey(author Incarnation, sp *wire.SplitKey) Verdict {
	parent, err := s.shard(sp.GetParent())
	if err != nil {
		return rejected("%v", err)
	}
	if author == 0 || parent.Owner != author {
		return rejected("author %d does not own the parent", author)
	}
	svc := s.Services[sp.GetParent().GetService()]
	if sp.GetService() != sp.GetParent().GetService() {
		return rejected("parent of another service")
	}
	if _, dup := svc.Split[sp.GetKeyHash()]; dup || svc.isSplit(sp.GetParent().GetShard()) {
		return rejected("key %x is split already", sp.GetKeyHash())
	}
	if !s.free(svc, sp.GetShard()) || !s.name(sp.GetService(), sp.GetShard()) {
		return rejected("shard number %d is taken", sp.GetShard())
	}
	parent = &svc.Shards[sp.GetParent().GetShard()] // growing may have moved it
	child := &svc.Shards[sp.GetShard()]
	child.Owner = parent.Owner
	child.setStandby(parent.Standby)
	parent.step()
	svc.Split[sp.GetKeyHash()] = sp.GetShard()
	svc.Free = slices.DeleteFunc(svc.Free, func(n uint32) bool { return n == sp.GetShard() })
	return accepted()
}

// step moves past the generation of a takeover that was not seen yet. A
// proposal that waits goes on waiting.
func (sh *Shard) step() {
	sh.Generation += 2
	sh.Handover = false
}

// isSplit reports whether the number belongs to a split key.
func (svc *Service) isSplit(number uint32) bool {
	for _, n := range svc.Split {
		if n == number {
			return true
		}
	}
	return false
}

// free reports whether the number may be used for a split key.
func (s *State) free(svc *Service, number uint32) bool {
	if int(number) >= svc.named {
		return true
	}
	return slices.Contains(svc.Free, number)
}

// NextSplit returns a shard number for a new split key.
func (svc *Service) NextSplit() uint32 {
	if len(svc.Free) > 0 {
		return svc.Free[0]
	}
	return uint32(max(int(svc.Base), svc.named))
}

// mergeKey returns a split key to the shard that its hash names. The author
// owns both shards and releases neither meanwhile; both have one standby. The
// number keeps its generation for its next use.
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
		return rejected("shards of another service")
	}
	if n, ok := svc.Split[m.GetKeyHash()]; !ok || n != m.GetSplit().GetShard() || child == parent {
		return rejected("key %x is not split", m.GetKeyHash())
	}
	if author == 0 || parent.Owner != author || child.Owner != author || child.Standby != parent.Standby {
		return rejected("the shards differ in owner or standby, or have another owner than %d", author)
	}
	*child = Shard{Generation: child.Generation + 2}
	parent.step()
	delete(svc.Split, m.GetKeyHash())
	svc.Free = append(svc.Free, m.GetSplit().GetShard())
	slices.Sort(svc.Free)
	return accepted()
}
