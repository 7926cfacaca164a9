package control

import (
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/placement"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// A shard that was handed over has no standby until one is proposed. Its new owner
// proposes the former one as soon as replay shows the takeover, which is sooner
// than a planner's next round: should the log go down and the new owner be lost in
// between, nobody could take the shard over. The former owner also knows the
// shard's request ids.

// proposeFormers proposes the former owners of shards that this daemon took over
// as their standbys.
func (s *State) proposeFormers() {
	var placements []*wire.Placement
	for _, id := range s.shardIDs() {
		r := s.rights[id]
		sh := s.shard(id)
		if r.former == 0 || !r.owned || sh.Owner != s.member.incarnation {
			continue
		}
		former := r.former
		r.former = 0
		if sh.Standby != 0 || sh.HasPending || !s.standsApart(former) {
			continue
		}
		placements = append(placements, &wire.Placement{
			Ref:   &wire.ShardRef{Service: id.Service, Shard: id.Shard, Generation: sh.Generation},
			Owner: sh.Owner, Standby: former,
		})
	}
	if len(placements) == 0 {
		return
	}
	s.appendOnce(&wire.Record{Body: &wire.Record_Propose{Propose: &wire.Propose{Placements: placements}}})
	s.decide(Decision{Action: "propose", Reason: "former owners as standbys", Count: len(placements)})
}

// standsApart reports whether a member may stand by for this daemon: it is in
// service and in another data centre.
func (s *State) standsApart(inc fold.Incarnation) bool {
	m, ok := s.fold.Members[inc]
	if !ok || m.Phase != fold.InService || s.lapsed[inc] || s.doubted(inc) || placement.IsOut(s.fold, s.history.Config, m) {
		return false
	}
	slot, ok := s.fold.Slots[m.Slot]
	return ok && slot.DataCentre != s.opts.DataCentre
}
