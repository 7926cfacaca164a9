package control

import (
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// A shard that was handed over has no standby until one is proposed. Its new owner
// proposes the former one as soon as replay shows the takeover, which is sooner
// than a planner's next round: should the log go down and the new owner be lost in
// between, nobody could take the shard over. The former owner also knows the
// shard's request ids.

// formerOwner returns, once for each planned takeover that replay shows, the former
// owner of a shard that it may stand by for; 0 otherwise.
func (s *State) formerOwner(sh *fold.Shard, r *right) fold.Incarnation {
	if r.former == 0 || !r.owned || sh.Owner != s.member.incarnation {
		return 0
	}
	former := r.former
	r.former = 0
	if sh.Standby != 0 || sh.HasPending || !s.usable(former) || !s.elsewhere(former) {
		return 0
	}
	return former
}

// proposeFormers proposes former owners as the standbys of their shards.
func (s *State) proposeFormers(placements []*wire.Placement) {
	if len(placements) == 0 {
		return
	}
	s.appendOnce(&wire.Record{Body: &wire.Record_Propose{Propose: &wire.Propose{Placements: placements}}})
	s.decide(Decision{Action: "propose", Reason: "former owners as standbys", Count: len(placements)})
}

// elsewhere reports whether a member is in another data centre than this daemon.
func (s *State) elsewhere(inc fold.Incarnation) bool {
	slot, ok := s.fold.Slots[s.fold.Members[inc].Slot]
	return ok && slot.DataCentre != s.opts.DataCentre
}
