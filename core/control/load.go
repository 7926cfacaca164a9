package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/loadstat"
	"github.com/sesamemoor/sesamemoor/core/placement"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// LoadReceived is a member's load report to this daemon as planner. Ticket
// ties the answer.
type LoadReceived struct {
	Report *wire.LoadReport
	Ticket uint64
}

// OwnLoad is what this daemon's backend server was asked to do lately, with the
// planner's newest answer.
type OwnLoad struct {
	Report *wire.LoadReport
	Answer *wire.LoadAnswer
}

// AnswerLoad answers a load report.
type AnswerLoad struct {
	Ticket uint64
	Answer *wire.LoadAnswer
}

func (LoadReceived) event() {}
func (OwnLoad) event()      {}
func (AnswerLoad) effect()  {}

const (
	// reportQuorum is the part of a service's members whose reports must be
	// there before measured load decides placement.
	reportQuorum = 0.9
	// baseRate is added to the measured rate of each shard, in requests a
	// second, so that chance does not move shards of little load.
	baseRate = 0.25
	// baseRangeRate is the same for ranges, of which each of thousands has a
	// fraction of a request a second. It spreads a service without load evenly.
	baseRangeRate = 0.001
	// baseShare is the same as a part of the service's mean shard.
	baseShare = 0.1
	// overload is the ratio to a member's mean load from which on it splits keys
	// off its shards.
	overload = 1.1
	// minHotRate is the least rate of a key that gets a shard of its own, in
	// requests a second.
	minHotRate = 10
	// splitShare is the part of a member's mean load from which on a key gets a
	// shard of its own.
	splitShare = 0.2
	// mergeShare is the part of a member's mean load below which a split key
	// returns to the shard of its hash.
	mergeShare = 0.02
	// learnTime is the time for which a new first planner waits for reports before
	// it balances services without any. Members report to the first planner only.
	learnTime = 4 * time.Second
	// maxSplits bounds the split keys of one service.
	maxSplits = 4096
	// rateMilli is the unit of rates in messages, parts of a request a second.
	rateMilli = 1000
)

// loadReceived takes in a member's report if this daemon plans.
func (s *State) loadReceived(e LoadReceived) {
	if !s.isPlanner() {
		s.emit(AnswerLoad{Ticket: e.Ticket, Answer: &wire.LoadAnswer{}})
		return
	}
	s.loads.Take(s.now, e.Report)
	s.emit(AnswerLoad{Ticket: e.Ticket, Answer: s.loads.Answer(e.Report.GetService(), s.membersOf(view.KeeperService))})
}

// placementLoad returns what placement should take into account. Services of
// which too few members have reported are held as they are.
func (s *State) placementLoad() placement.Load {
	rates, weights := s.loads.Load(s.now)
	load := placement.Load{
		PerShard: map[view.ShardID]float64{}, MemberWeight: weights, Hold: map[string]bool{},
		Tolerance: map[string]float64{}, Gather: map[string]bool{},
	}
	for name, svc := range s.fold.Services {
		load.Gather[name] = s.gathers(name, svc)
		switch {
		case name == view.KeeperService: // by the number of shards
		case s.reported(name):
			s.addServiceLoad(&load, name, svc, rates)
		default:
			load.Hold[name] = s.anyReported(name) || !s.isFirstPlanner() || s.now.Sub(s.planner.since) < learnTime
		}
	}
	return load
}

// addServiceLoad adds what was measured of one service.
func (s *State) addServiceLoad(load *placement.Load, name string, svc *fold.Service, rates map[view.ShardID]float64) {
	least := baseRate
	if s.history.Config.Services[name].KeySpace != 0 {
		least = baseRangeRate
	}
	if s.loads.BusySince(name) != 0 { // single requests say nothing
		addShardLoads(load.PerShard, name, svc, rates, least)
	}
	s.paceRanges(name, load)
}

// paceRanges keeps the balancing of a service with many small ranges from
// following chance: it begins at a clear imbalance, goes on until little is left,
// and leaves time between rounds.
func (s *State) paceRanges(name string, load *placement.Load) {
	if s.history.Config.Services[name].KeySpace == 0 {
		return
	}
	load.Hold[name] = s.now < s.planner.nextBalance || s.now.Sub(s.loads.BusySince(name)) < rangeLearnTime
	load.Tolerance[name] = beginBalance
	if s.now < s.planner.balancing {
		load.Tolerance[name] = endBalance
	}
}

// noteBalance takes in whether a round began or continued moves.
func (s *State) noteBalance(plan placement.Plan, load placement.Load) {
	for name := range load.Tolerance {
		if load.Hold[name] || !plan.Moves(name) {
			continue
		}
		s.planner.nextBalance = s.now.Add(balanceInterval)
		if moves(plan, name) >= int(s.history.Config.Services[name].Shards/fewMoves) {
			s.planner.balancing = s.now.Add(balanceMemory)
		}
	}
}

const (
	// beginBalance and endBalance are the ratios of a member's load to its share
	// at which moves of ranges begin and end. Between them lies what a load that
	// does not change seems to vary by in a few seconds.
	beginBalance = 1.35
	endBalance   = 1.15
	// balanceInterval is the time between rounds with moves of ranges: a change of
	// standby takes effect within it.
	balanceInterval = 500 * time.Millisecond
	// rangeLearnTime is the time from the first load of a service on after which it
	// is balanced: each member has measured two windows by then.
	rangeLearnTime = 2 * loadstat.MinInterval
	// balanceMemory is the time after a round with moves for which balancing goes
	// on down to endBalance.
	balanceMemory = 1500 * time.Millisecond
	// fewMoves is the number of ranges of a service for each move of a round that
	// shows a true imbalance: with fewer moves, what is left is chance, and
	// balancing ends.
	fewMoves = 64
)

// moves returns the moves of a service in a plan for the sake of load.
func moves(plan placement.Plan, service string) int {
	for _, b := range plan.Balances {
		if b.Service == service {
			return b.Moves
		}
	}
	return 0
}

// addShardLoads adds the load of a service's shards, with a base of at least so
// much for each.
func addShardLoads(loads map[view.ShardID]float64, name string, svc *fold.Service, rates map[view.ShardID]float64, least float64) {
	total := 0.0
	for i := range svc.Shards {
		total += rates[view.ShardID{Service: name, Shard: uint32(i)}]
	}
	base := max(least, baseShare*total/float64(max(len(svc.Shards), 1)))
	for i := range svc.Shards {
		id := view.ShardID{Service: name, Shard: uint32(i)}
		loads[id] = rates[id] + base
	}
}

// reported reports whether enough members of a service have reported.
func (s *State) reported(service string) bool {
	members, have := s.countReports(service)
	return members > 0 && float64(have) >= reportQuorum*float64(members)
}

// anyReported reports whether any member of a service has reported.
func (s *State) anyReported(service string) bool {
	_, have := s.countReports(service)
	return have > 0
}

func (s *State) countReports(service string) (members, have int) {
	for inc, m := range s.fold.Members {
		if m.Phase != fold.InService || m.Service != service {
			continue
		}
		members++
		if s.loads.Has(inc) {
			have++
		}
	}
	return members, have
}

// ownLoad splits the hottest key of an overloaded member's shards, and merges
// split keys that have become cold. One change is on its way at a time.
func (s *State) ownLoad(e OwnLoad) {
	if !s.leaseHeld() || s.stopping || s.selfOut() || s.changing() || e.Answer.GetMeanRateMilli() == 0 {
		return
	}
	if s.history.Config.Services[e.Report.GetService()].KeySpace != 0 {
		return // ranges have no keys of their own
	}
	mean := float64(e.Answer.GetMeanRateMilli()) / rateMilli
	if totalRate(e.Report) > overload*mean && s.splitHottest(e.Report, mean) {
		return
	}
	s.mergeColdest(e.Report, mean)
}

func totalRate(report *wire.LoadReport) float64 {
	sum := uint64(0)
	for _, l := range report.GetShards() {
		sum += l.GetRateMilli()
	}
	return float64(sum) / rateMilli
}

// changing reports whether a split or merge of this daemon is on its way.
func (s *State) changing() bool {
	_, pending := s.outbox.pending[s.splitID]
	return pending
}

// inSplit reports whether a split or merge on its way names the shard. Such a
// shard is not released: replay would give it back to this daemon under a
// standby that has taken it over.
func (s *State) inSplit(id view.ShardID) bool {
	return s.changing() && slices.Contains(s.splitting, id)
}

// splitSeen makes this daemon the dispatcher of a shard that was split off one
// of its own.
func (s *State) splitSeen(sp *wire.SplitKey) {
	parent := view.ShardID{Service: sp.GetService(), Shard: sp.GetParent().GetShard()}
	child := view.ShardID{Service: sp.GetService(), Shard: sp.GetShard()}
	from, ok := s.rights[parent]
	sh := s.shard(child)
	if !ok || !from.owned || sh == nil || sh.Owner != s.member.incarnation {
		return
	}
	r := s.right(child)
	s.acquire(child, r, sh.Generation, TakeOver{From: parent}, from.freshHistory, "split off an own shard")
	r.since = from.since
	s.tables.next = 0 // the view must show the split with the new right
}

// mergeSeen passes the request ids of a merged shard on to the one that its key
// returns to.
func (s *State) mergeSeen(m *wire.MergeKey) {
	parent := view.ShardID{Service: m.GetService(), Shard: m.GetParent().GetShard()}
	child := view.ShardID{Service: m.GetService(), Shard: m.GetSplit().GetShard()}
	sh := s.shard(parent)
	if sh == nil || sh.Owner != s.member.incarnation {
		return
	}
	r, ok := s.rights[child]
	s.emit(Merge{Shard: parent, From: child, Whole: ok && (r.owned || r.releasing && !r.sent)})
	s.tables.next = 0 // the view must show the merge at once
	s.dirty = true    // traffic waits for the next view
}

func (s *State) splitHottest(report *wire.LoadReport, mean float64) bool {
	keys := slices.Clone(report.GetHotKeys())
	slices.SortFunc(keys, func(a, b *wire.KeyLoad) int { return cmp.Compare(b.GetRateMilli(), a.GetRateMilli()) })
	svc, ok := s.fold.Services[report.GetService()]
	if !ok || len(svc.Split) >= maxSplits {
		return false
	}
	for _, k := range keys {
		rate := float64(k.GetRateMilli()) / rateMilli
		if rate < splitShare*mean || rate < minHotRate {
			return false
		}
		if s.split(report.GetService(), svc, k.GetKeyHash(), rate) {
			return true
		}
	}
	return false
}

// split gives a key its own shard, if this daemon holds the key's shard firmly
// and the shard has other keys.
func (s *State) split(service string, svc *fold.Service, hash uint64, rate float64) bool {
	if _, dup := svc.Split[hash]; dup {
		return false
	}
	id := view.ShardID{Service: service, Shard: svc.ShardOf(hash)}
	if !s.holdsFirmly(id) {
		return false
	}
	sh := s.shard(id)
	s.splitting = []view.ShardID{id}
	s.splitID = s.append(&wire.Record{Body: &wire.Record_SplitKey{SplitKey: &wire.SplitKey{
		Service: service,
		KeyHash: hash,
		Parent:  &wire.ShardRef{Service: service, Shard: id.Shard, Generation: sh.Generation},
		Shard:   svc.NextSplit(),
	}}})
	s.decide(Decision{Action: "split", Reason: "hot key", Shard: id, Generation: sh.Generation, Count: int(rate)})
	return true
}

func (s *State) mergeColdest(report *wire.LoadReport, mean float64) {
	rates := map[uint32]float64{}
	for _, l := range report.GetShards() {
		rates[l.GetShard()] = float64(l.GetRateMilli()) / rateMilli
	}
	svc, ok := s.fold.Services[report.GetService()]
	if !ok {
		return
	}
	for hash, number := range svc.Split {
		if rates[number] > mergeShare*mean {
			s.coldSince[hash] = 0
			continue
		}
		if s.cold(hash) && s.merge(report.GetService(), svc, hash, number) {
			return
		}
	}
}

// cold reports whether a split key of this daemon has had little load for long.
func (s *State) cold(hash uint64) bool {
	since := s.coldSince[hash]
	if since == 0 {
		s.coldSince[hash] = s.now
		return false
	}
	return s.now.Sub(since) >= coldTime
}

// merge returns a split key to the shard of its hash, if this daemon holds
// both firmly and one standby stands by for both.
func (s *State) merge(service string, svc *fold.Service, hash uint64, number uint32) bool {
	child := view.ShardID{Service: service, Shard: number}
	parent := view.ShardID{Service: service, Shard: svc.HashShard(hash)}
	if !s.holdsFirmly(child) || !s.holdsFirmly(parent) || s.shard(child).Standby != s.shard(parent).Standby {
		return false
	}
	delete(s.coldSince, hash)
	s.splitting = []view.ShardID{child, parent}
	s.splitID = s.append(&wire.Record{Body: &wire.Record_MergeKey{MergeKey: &wire.MergeKey{
		Service: service,
		KeyHash: hash,
		Parent:  &wire.ShardRef{Service: service, Shard: parent.Shard, Generation: s.shard(parent).Generation},
		Split:   &wire.ShardRef{Service: service, Shard: child.Shard, Generation: s.shard(child).Generation},
	}}})
	s.decide(Decision{Action: "merge", Reason: "cold key", Shard: child, Generation: s.shard(child).Generation})
	return true
}

// holdsFirmly reports whether replay shows this daemon as owner of the shard
// and nothing is under way with it.
func (s *State) holdsFirmly(id view.ShardID) bool {
	sh := s.shard(id)
	r, ok := s.rights[id]
	return ok && sh != nil && sh.Owner == s.member.incarnation && r.owned && !r.releasing &&
		!sh.HasPending && !sh.Handover
}

// coldTime is the time for which a split key must have little load before it is
// merged.
const coldTime = 60 * time.Second
