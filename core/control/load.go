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

// LoadReceived is a member's load report to this daemon as planner. Ticket identifies
// the answer.
type LoadReceived struct {
	Report *wire.LoadReport
	Ticket uint64
}

// OwnLoad is the recent load of this daemon's backend server, with the planner's newest
// answer.
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
	// reportQuorum is the fraction of a service's members that must have reported
	// before measured load decides placement.
	reportQuorum = 0.9
	// baseRate is added to the measured rate of each shard, in requests/s, so that
	// random variation does not move shards with little load.
	baseRate = 0.25
	// baseRangeRate is the base rate of a range, in requests/s. It is lower because a
	// service has thousands of ranges, each with a fraction of a request per second. It
	// spreads a service without load evenly.
	baseRangeRate = 0.001
	// baseShare is the minimum base rate as a fraction of the service's mean rate per
	// shard.
	baseShare = 0.1
	// overloadRatio is the ratio of a member's load to the mean load per member above
	// which the member splits keys off its shards.
	overloadRatio = 1.1
	// minHotRate is the minimum rate of a key that gets its own shard, in requests/s.
	minHotRate = 10
	// splitShare is the fraction of the mean load per member from which a key gets its
	// own shard.
	splitShare = 0.2
	// mergeShare is the fraction of the mean load per member at or below which a split
	// key counts as cold and returns to the shard of its hash.
	mergeShare = 0.02
	// reportWait is the time after a daemon became a planner during which, if it is the
	// first planner, it does not balance services without reports. Members report only
	// to the first planner.
	reportWait = 4 * time.Second
	// maxSplits is the maximum number of split keys of one service.
	maxSplits = 4096
	// rateMilli is the number of rate units per request/s in messages.
	rateMilli = 1000
)

// loadReceived records a member's report if this daemon is a planner, and answers it.
func (s *State) loadReceived(e LoadReceived) {
	if !s.isPlanner() {
		s.emit(AnswerLoad{Ticket: e.Ticket, Answer: &wire.LoadAnswer{}})
		return
	}
	s.loads.Apply(s.now, e.Report)
	s.emit(AnswerLoad{Ticket: e.Ticket, Answer: s.loads.Answer(e.Report.GetService(), s.membersOf(view.KeeperService))})
}

// placementLoad returns the load that placement takes into account. Services of which
// too few members have reported keep their placement.
func (s *State) placementLoad() placement.Load {
	rates, weights := s.loads.Load(s.now)
	load := placement.Load{
		PerShard: map[view.ShardID]float64{}, MemberWeight: weights, Frozen: map[string]bool{},
		Tolerance: map[string]float64{}, AwaitMembers: map[string]bool{},
	}
	if s.opts.Rollouts {
		load.Versions = s.versions
	}
	for name, svc := range s.fold.Services {
		load.AwaitMembers[name] = s.waitsForMembers(name, svc) || s.awaitsVersionLimits(name)
		switch {
		case name == view.KeeperService: // balanced by the number of shards
		case s.reported(name):
			s.addServiceLoad(&load, name, svc, rates)
		default:
			load.Frozen[name] = s.anyReported(name) || !s.isFirstPlanner() || s.now.Sub(s.planner.since) < reportWait
		}
	}
	return load
}

// addServiceLoad adds the measured load of one service.
func (s *State) addServiceLoad(load *placement.Load, name string, svc *fold.Service, rates map[view.ShardID]float64) {
	minBase := baseRate
	if s.history.Config.Services[name].KeySpace != 0 {
		minBase = baseRangeRate
	}
	if s.loads.BusySince(name) != 0 { // a few single requests are not significant
		addShardLoads(load.PerShard, name, svc, rates, minBase)
	}
	s.limitRangeMoves(name, load)
}

// limitRangeMoves prevents the balancing of a service with many small ranges from
// following random variation: balancing starts at a clear imbalance, continues until
// little of it is left, and pauses between rounds.
func (s *State) limitRangeMoves(name string, load *placement.Load) {
	if s.history.Config.Services[name].KeySpace == 0 {
		return
	}
	load.Frozen[name] = s.now < s.planner.nextBalance || s.now.Sub(s.loads.BusySince(name)) < rangeMeasureTime
	load.Tolerance[name] = balanceStartRatio
	if s.now < s.planner.balanceUntil {
		load.Tolerance[name] = balanceStopRatio
	}
}

// recordBalance records whether a round started or continued moves.
func (s *State) recordBalance(plan placement.Plan, load placement.Load) {
	for name := range load.Tolerance {
		if load.Frozen[name] || !plan.Moves(name) {
			continue
		}
		s.planner.nextBalance = s.now.Add(balanceInterval)
		if moves(plan, name) >= int(s.history.Config.Services[name].Shards/rangesPerSignificantMove) {
			s.planner.balanceUntil = s.now.Add(balanceContinueTime)
		}
	}
}

const (
	// balanceStartRatio and balanceStopRatio are the ratios of a member's load to its
	// share at which moves of ranges start and stop. The gap between them covers the
	// apparent variation of a constant load within a few seconds.
	balanceStartRatio = 1.35
	balanceStopRatio  = 1.15
	// balanceInterval is the time between rounds with moves of ranges. A change of
	// standby takes effect within it.
	balanceInterval = 500 * time.Millisecond
	// rangeMeasureTime is the time for which a service is not balanced after it became
	// busy. By its end each member has measured two windows.
	rangeMeasureTime = 2 * loadstat.MinInterval
	// balanceContinueTime is the time after a round with moves during which balancing
	// continues down to balanceStopRatio.
	balanceContinueTime = 1500 * time.Millisecond
	// rangesPerSignificantMove sets the number of moves in a round that indicates a true
	// imbalance: one for this many ranges of the service. With fewer moves, the rest is
	// random variation and balancing ends.
	rangesPerSignificantMove = 64
)

// moves returns the number of moves of a service in a plan that balance load.
func moves(plan placement.Plan, service string) int {
	for _, b := range plan.Balances {
		if b.Service == service {
			return b.Moves
		}
	}
	return 0
}

// addShardLoads adds the load of a service's shards, with a base of at least minBase
// requests/s each.
func addShardLoads(loads map[view.ShardID]float64, name string, svc *fold.Service, rates map[view.ShardID]float64, minBase float64) {
	total := 0.0
	for i := range svc.Shards {
		total += rates[view.ShardID{Service: name, Shard: uint32(i)}]
	}
	base := max(minBase, baseShare*total/float64(max(len(svc.Shards), 1)))
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

func (s *State) countReports(service string) (members, reporting int) {
	for inc, m := range s.fold.Members {
		if m.Phase != fold.InService || m.Service != service {
			continue
		}
		members++
		if s.loads.Has(inc) {
			reporting++
		}
	}
	return members, reporting
}

// ownLoad splits off the hottest key of an overloaded member's shards, and merges split
// keys that have become cold. At most one change is in flight.
func (s *State) ownLoad(e OwnLoad) {
	if !s.leaseHeld() || s.stopping || s.selfOut() || s.keyChangePending() || e.Answer.GetMeanRateMilli() == 0 {
		return
	}
	if s.history.Config.Services[e.Report.GetService()].KeySpace != 0 {
		return // ranges cannot be split by key
	}
	mean := float64(e.Answer.GetMeanRateMilli()) / rateMilli
	if totalRate(e.Report) > overloadRatio*mean && s.splitHottest(e.Report, mean) {
		return
	}
	s.mergeColdKey(e.Report, mean)
}

func totalRate(report *wire.LoadReport) float64 {
	sum := uint64(0)
	for _, l := range report.GetShards() {
		sum += l.GetRateMilli()
	}
	return float64(sum) / rateMilli
}

// keyChangePending reports whether a split or merge by this daemon is in flight.
func (s *State) keyChangePending() bool {
	_, pending := s.outbox.pending[s.keyChangeID]
	return pending
}

// inKeyChange reports whether a split or merge in flight names the shard. Such a shard
// is not released: replay would make this daemon its owner again although the standby
// has taken it over.
func (s *State) inKeyChange(id view.ShardID) bool {
	return s.keyChangePending() && slices.Contains(s.keyChangeShards, id)
}

// splitSeen makes this daemon the dispatcher of a shard that was split off one of its
// own.
func (s *State) splitSeen(sp *wire.SplitKey) {
	parent := view.ShardID{Service: sp.GetService(), Shard: sp.GetParent().GetShard()}
	child := view.ShardID{Service: sp.GetService(), Shard: sp.GetShard()}
	from, ok := s.rights[parent]
	sh := s.shard(child)
	if !ok || !from.owned || sh == nil || sh.Owner != s.member.incarnation {
		return
	}
	r := s.right(child)
	s.acquire(child, r, sh.Generation, TakeOver{From: parent}, from.noRequestIDs, "split off a shard of this daemon")
	r.since = from.since
	s.tables.next = 0 // the view must show the split with the new right
}

// mergeSeen transfers the request ids of a merged shard to the shard to which its key
// returns.
func (s *State) mergeSeen(m *wire.MergeKey) {
	parent := view.ShardID{Service: m.GetService(), Shard: m.GetParent().GetShard()}
	child := view.ShardID{Service: m.GetService(), Shard: m.GetSplit().GetShard()}
	sh := s.shard(parent)
	if sh == nil || sh.Owner != s.member.incarnation {
		return
	}
	r, ok := s.rights[child]
	s.emit(Merge{Shard: parent, From: child, Complete: ok && (r.owned || r.releasing && !r.sent)})
	s.tables.next = 0 // the view must show the merge at once
	s.dirty = true    // no request of the parent starts before the next view
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

// split gives a key its own shard. It returns false if the key is already split or its
// shard is not settled on this daemon.
func (s *State) split(service string, svc *fold.Service, hash uint64, rate float64) bool {
	if _, dup := svc.Split[hash]; dup {
		return false
	}
	id := view.ShardID{Service: service, Shard: svc.ShardOf(hash)}
	if !s.ownsSettled(id) {
		return false
	}
	sh := s.shard(id)
	s.keyChangeShards = []view.ShardID{id}
	s.keyChangeID = s.append(&wire.Record{Body: &wire.Record_SplitKey{SplitKey: &wire.SplitKey{
		Service: service,
		KeyHash: hash,
		Parent:  &wire.ShardRef{Service: service, Shard: id.Shard, Generation: sh.Generation},
		Shard:   svc.NextSplit(),
	}}})
	s.emitDecision(Decision{Action: "split", Reason: "hot key", Shard: id, Generation: sh.Generation, Count: int(rate)})
	return true
}

func (s *State) mergeColdKey(report *wire.LoadReport, mean float64) {
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

// cold reports whether a split key has had little load for coldTime in this daemon's
// reports. That includes split keys of other owners, which merge leaves as they are.
func (s *State) cold(hash uint64) bool {
	since := s.coldSince[hash]
	if since == 0 {
		s.coldSince[hash] = s.now
		return false
	}
	return s.now.Sub(since) >= coldTime
}

// merge returns a split key to the shard of its hash. It returns false unless both
// shards are settled on this daemon and have the same standby.
func (s *State) merge(service string, svc *fold.Service, hash uint64, number uint32) bool {
	child := view.ShardID{Service: service, Shard: number}
	parent := view.ShardID{Service: service, Shard: svc.HashShard(hash)}
	if !s.ownsSettled(child) || !s.ownsSettled(parent) || s.shard(child).Standby != s.shard(parent).Standby {
		return false
	}
	delete(s.coldSince, hash)
	s.keyChangeShards = []view.ShardID{child, parent}
	s.keyChangeID = s.append(&wire.Record{Body: &wire.Record_MergeKey{MergeKey: &wire.MergeKey{
		Service: service,
		KeyHash: hash,
		Parent:  &wire.ShardRef{Service: service, Shard: parent.Shard, Generation: s.shard(parent).Generation},
		Split:   &wire.ShardRef{Service: service, Shard: child.Shard, Generation: s.shard(child).Generation},
	}}})
	s.emitDecision(Decision{Action: "merge", Reason: "cold key", Shard: child, Generation: s.shard(child).Generation})
	return true
}

// ownsSettled reports whether the shard is settled on this daemon: replay shows this
// daemon as its owner, and no change of the shard is in progress.
func (s *State) ownsSettled(id view.ShardID) bool {
	sh := s.shard(id)
	r, ok := s.rights[id]
	return ok && sh != nil && sh.Owner == s.member.incarnation && r.owned && !r.releasing &&
		!sh.HasPending && !sh.Handover
}

// coldTime is the time for which a split key must have little load before it is merged.
const coldTime = 60 * time.Second
