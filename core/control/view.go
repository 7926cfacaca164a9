package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/view"
)

// tableInterval is the minimum time between two builds of the routing tables of all
// shards. Changes of this daemon's own rights are published at once with the existing
// tables.
const tableInterval = 50 * time.Millisecond

// tables are the parts of a view that all views share until replay or the configuration
// changes.
type tables struct {
	services map[string]*view.Service
	members  map[fold.Incarnation]*view.Member
	planners []*view.Member
	callers  map[string]view.Caller
	hosts    *fleet.HostTable
	servers  map[string][]*view.Member // members in service, by service
	stale    bool
	next     clock.Instant // earliest time of the next build
}

// refreshTables rebuilds the tables if they are stale and due.
func (s *State) refreshTables() {
	t := &s.tables
	if !t.stale || s.now < t.next {
		return
	}
	t.stale = false
	t.next = s.now.Add(tableInterval)
	if t.members == nil {
		t.members = map[fold.Incarnation]*view.Member{}
		t.services = nil
	}
	services := make(map[string]*view.Service, len(s.fold.Services))
	for name, svc := range s.fold.Services {
		if svc.Base == 0 {
			continue // named by records, but not by the configuration
		}
		services[name] = s.serviceView(name, svc, t.services[name])
	}
	t.services = services
	t.planners = s.plannerViews()
	t.servers = s.serverViews()
	s.dirty = true
}

// buildView returns the routing view of the current state.
func (s *State) buildView() *view.View {
	return &view.View{
		Incarnation:     s.member.incarnation,
		Backend:         s.backendView(),
		ConfigVersion:   s.history.Version,
		Config:          s.history.Config,
		Callers:         s.tables.callers,
		Services:        s.tables.services,
		Hosts:           s.tables.hosts,
		Servers:         s.tables.servers,
		Planners:        s.tables.planners,
		Held:            s.held(),
		ConfigFreshness: s.fresh,
		Daemons:         s.daemons(),
		Starting:        s.starting(),
		Slots:           len(s.fold.Slots),
		NewerRecords:    s.newerRecords,
		LogEra:          s.era.log,
		EraSettled:      s.placementSettled(),
		Lease:           s.cell,
		OutOfService:    s.selfOut() || s.member.draining,
		Rollouts:        s.history.Rollouts,
		RolloutStatuses: s.history.RolloutStatuses,
		Leaving:         s.stopping,
		LeavingSince:    s.stoppingSince,
	}
}

func (s *State) backendView() *view.Backend {
	b := s.member.backend
	if b == nil {
		return nil
	}
	return &view.Backend{Name: b.Name, Service: b.Service, Addr: b.Addr, Slots: b.Slots}
}

// serviceView returns the routing table of a service, built from the previous one. It
// resolves only the shards whose generation changed, because no owner or standby
// changes without it.
func (s *State) serviceView(name string, svc *fold.Service, last *view.Service) *view.Service {
	if last == nil || len(last.Shards) != len(svc.Shards) || last.Base != svc.Base {
		last = &view.Service{Shards: make([]view.Shard, len(svc.Shards))}
	}
	out := &view.Service{Base: svc.Base, KeySpace: s.history.Config.Services[name].KeySpace, Split: maps.Clone(svc.Split), Shards: slices.Clone(last.Shards)}
	for i := range svc.Shards {
		sh := &svc.Shards[i]
		if sh.Generation == out.Shards[i].Generation {
			continue
		}
		out.Shards[i] = view.Shard{
			Owner:      s.memberView(sh.Owner),
			Standby:    s.memberView(sh.Standby),
			Generation: sh.Generation,
		}
	}
	return out
}

// serverViews returns the members in service of each service, in ascending order of
// incarnation. Members whose lease has lapsed are left out.
func (s *State) serverViews() map[string][]*view.Member {
	servers := map[string][]*view.Member{}
	for inc, m := range s.fold.Members {
		if m.Phase == fold.InService && !s.lapsed[inc] {
			servers[m.Service] = append(servers[m.Service], s.memberView(inc))
		}
	}
	for _, list := range servers {
		slices.SortFunc(list, func(a, b *view.Member) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	}
	return servers
}

// plannerViews returns the members that plan.
func (s *State) plannerViews() []*view.Member {
	var list []*view.Member
	for _, inc := range s.planners() {
		list = append(list, s.memberView(inc))
	}
	return list
}

func (s *State) memberView(inc fold.Incarnation) *view.Member {
	members := s.tables.members
	if inc == 0 {
		return nil
	}
	if m, ok := members[inc]; ok {
		return m
	}
	m, ok := s.fold.Members[inc]
	if !ok {
		return nil
	}
	out := &view.Member{Incarnation: inc, Slot: m.Slot, Service: m.Service, BackendName: m.BackendServer, Slots: m.Slots, Version: m.Version}
	if slot, ok := s.fold.Slots[m.Slot]; ok {
		out.DataCentre = slot.DataCentre
		out.PeerAddr = slot.PeerAddr
	}
	members[inc] = out
	return out
}

func (s *State) held() map[view.ShardID]view.Held {
	held := map[view.ShardID]view.Held{}
	for id, r := range s.rights {
		if !r.owned {
			continue
		}
		held[id] = view.Held{
			Token: r.token, Recorded: s.shard(id).Generation, NoRequestIDs: r.noRequestIDs, Since: r.since,
		}
	}
	return held
}

// callers maps key hashes to teams. Withdrawn keys are left out.
func callers(cfg *fleet.Config) map[string]view.Caller {
	byHash := map[string]view.Caller{}
	for team, t := range cfg.Teams {
		for id, key := range t.Keys {
			if !key.Withdrawn {
				byHash[key.Hash] = view.Caller{Team: team, KeyID: id}
			}
		}
	}
	return byHash
}
