package fold

import (
	"slices"

	"github.com/sesamemoor/sesamemoor/core/wire"
)

func (s *State) propose(p *wire.Propose) Verdict {
	count := 0
	for _, pl := range p.GetPlacements() {
		if s.proposeOne(pl) {
			count++
		}
	}
	if count == 0 {
		return rejected("none of %d placements can be applied", len(p.GetPlacements()))
	}
	return accepted()
}

// proposeOne applies one placement. It reports false if the placement has no
// effect. A shard without an owner or without a standby is changed at once; an
// existing standby is replaced once it consents.
func (s *State) proposeOne(pl *wire.Placement) bool {
	ref := pl.GetRef()
	if ref.GetGeneration() == 0 && !s.recordShard(ref.GetService(), ref.GetShard()) {
		return false
	}
	sh, err := s.shard(ref)
	if err != nil {
		return false
	}
	if slices.Contains(s.Services[ref.GetService()].Free, ref.GetShard()) {
		return false
	}
	if pl.GetStandby() != 0 && !s.inService(pl.GetStandby()) {
		return false
	}
	if sh.Owner == 0 {
		return s.assign(sh, pl)
	}
	if pl.GetOwner() != 0 && pl.GetOwner() != sh.Owner {
		return false
	}
	if pl.GetStandby() == sh.Owner || pl.GetStandby() == sh.Standby {
		return false
	}
	if sh.HasPending && pl.GetStandby() == sh.Pending {
		return false
	}
	if sh.Standby == 0 {
		sh.setStandby(pl.GetStandby(), s.floor())
		return true
	}
	sh.Pending = pl.GetStandby()
	sh.HasPending = true
	return true
}

// assign sets the owner and the standby of a shard without an owner, which has
// no standby either.
func (s *State) assign(sh *Shard, pl *wire.Placement) bool {
	if !s.inService(pl.GetOwner()) || pl.GetOwner() == pl.GetStandby() {
		return false
	}
	sh.Owner = pl.GetOwner()
	sh.setStandby(pl.GetStandby(), s.floor())
	return true
}

func (s *State) consent(author Incarnation, c *wire.Consent) Verdict {
	if author != c.GetIncarnation() {
		return rejected("author %d of the consent is not its incarnation %d", author, c.GetIncarnation())
	}
	count := 0
	for _, ref := range c.GetRefs() {
		sh, err := s.shard(ref)
		if err != nil || sh.Standby != author || sh.Owner == 0 {
			continue
		}
		sh.setStandby(sh.Pending, s.floor())
		count++
	}
	if count == 0 {
		return rejected("none of %d shards has an owner and standby %d at the given generation", len(c.GetRefs()), author)
	}
	return accepted()
}

func (s *State) handover(h *wire.Handover) Verdict {
	count := 0
	for _, ref := range h.GetRefs() {
		sh, err := s.shard(ref)
		if err != nil || sh.Standby == 0 || sh.Handover {
			continue
		}
		sh.Handover = true
		count++
	}
	if count == 0 {
		return rejected("none of %d handovers can be applied", len(h.GetRefs()))
	}
	return accepted()
}

// takeover makes the standby of each shard its owner. The author is the standby
// that took over, or the owner that stopped and got no answer to its release.
// After an orderly handover, the previous owner may become the standby with the
// same record, so that the shard has a standby even if the log fails next.
func (s *State) takeover(author Incarnation, t *wire.Takeover) Verdict {
	if author != t.GetIncarnation() {
		return rejected("author %d of the takeover is not its incarnation %d", author, t.GetIncarnation())
	}
	count := 0
	for _, ref := range t.GetRefs() {
		sh, err := s.shard(ref)
		if err != nil || sh.Standby == 0 || sh.Standby != author && sh.Owner != author {
			continue
		}
		previous := sh.Owner
		sh.promote(s.floor())
		if t.GetFormerStandsBy() && sh.Standby == 0 && sh.Owner == author && s.inService(previous) {
			sh.setStandby(previous, s.floor())
		}
		count++
	}
	if count == 0 {
		return rejected("none of %d takeovers can be applied", len(t.GetRefs()))
	}
	return accepted()
}
