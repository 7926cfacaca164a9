package control

import (
	"slices"

	"github.com/sesamemoor/sesamemoor/core/placement"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// divideKeys proposes the number of ranges of services whose shards were never placed, once
// enough members are known. It reports whether one waits for such a record. A service whose
// members can hold a bounded number of ranges keeps the configured number.
func (s *State) divideKeys(rank int) (waiting bool) {
	names := make([]string, 0, len(s.history.Config.Services))
	for name := range s.history.Config.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		cfg, svc := s.history.Config.Services[name], s.fold.Services[name]
		if cfg.KeySpace == 0 || cfg.Contiguous || cfg.Region != s.opts.Region || svc == nil || svc.Divided > 0 || placedBefore(svc) {
			continue
		}
		members := s.membersOf(name)
		count := placement.RangeCount(cfg.Shards, cfg.KeySpace, members)
		if members == 0 || count == cfg.Shards || s.waitsForMembers(name, svc) {
			continue
		}
		waiting = true
		if s.mayPropose(rank) {
			s.planner.outstanding = append(s.planner.outstanding, s.appendOnce(&wire.Record{Body: &wire.Record_DivideKeys{
				DivideKeys: &wire.DivideKeys{Service: name, Shards: count}}}))
			s.emitDecision(Decision{Action: "divide_keys", Reason: "number of members", Count: int(count)})
		}
	}
	return waiting
}
