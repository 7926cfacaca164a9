package control

import (
	"cmp"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sesamemoor/sesamemoor/core/lease"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/view"
)

// defaultOdds is the default mix of faults of a simulation.
var defaultOdds = faultOdds{
	Drift: 0.02, Lose: 0.05, Delay: 0.02, Duplicate: 0.02,
	AppendLost: 0.05, AppendLate: 0.05, AppendTwice: 0.05,
	Pause: 0.002, Restart: 0.001, Partition: 0.002, Outage: 0.0005,
	CutLog: 0.001, BackendFlap: 0.0005, Patch: 0.0005, Leave: 0.0002, Stall: 0.02,
	Trim: 0.0005, Suspect: 0.005,
}

// injectFaults injects random faults and starts requests.
func (w *world) injectFaults() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	other := w.nodes[w.rng.IntN(len(w.nodes))]
	o := w.odds
	if w.chance(o.Pause) {
		n.pausedUntil = w.now + w.pauseLength()
		w.tracef("%s paused until %v", n.name, n.pausedUntil)
	}
	if w.chance(o.Restart) || n.stopped && w.chance(0.01) {
		w.tracef("%s restarts", n.name)
		w.restart(n)
	}
	if w.chance(o.Partition) {
		until := w.now + w.pauseLength()
		w.blocked[[2]int{n.index, other.index}] = until
		if w.chance(0.7) {
			w.blocked[[2]int{other.index, n.index}] = until
		}
	}
	if w.chance(o.Outage) {
		w.logDownUntil = w.now + w.randomUpTo(15*time.Second)
		w.tracef("log down until %v", w.logDownUntil)
	}
	if w.chance(o.CutLog) {
		n.logCutUntil = w.now + w.randomUpTo(12*time.Second)
	}
	if w.chance(o.BackendFlap) {
		n.inbox = append(n.inbox, BackendDown{Reason: "health check failed"})
		w.schedule(w.randomUpTo(2*time.Second), func() { n.inbox = append(n.inbox, n.backend) })
	}
	if w.chance(o.BackendFlap) {
		n.inbox = append(n.inbox, BackendLeaving{})
		w.schedule(w.randomUpTo(2*time.Second), func() { n.inbox = append(n.inbox, n.backend) })
	}
	if w.chance(o.Trim) && w.now > w.restoredAt+20*time.Second && w.logDownUntil <= w.now && n.nextOff <= logstream.Position(w.era, uint64(len(w.log))) && logstream.EraOf(n.nextOff) == w.era {
		w.tracef("%s: log trimmed", n.name)
		w.trim(n)
	}
	if w.chance(o.Suspect) && n.view != nil {
		n.inbox = append(n.inbox, Suspicion{Incarnation: other.state.member.incarnation})
	}
	if w.chance(o.Patch) {
		dc := string(rune('a' + w.rng.IntN(3)))
		w.patch(fmt.Sprintf(`{"data_centres":{%q:{"out":%v}}}`, dc, w.chance(0.5)))
	}
	if w.chance(o.Leave) {
		n.inbox = append(n.inbox, Shutdown{})
	}
	if w.chance(o.Restore) {
		w.restoreLog()
	}
	w.startRequests()
}

// restoreLog takes the log down and brings it back without the records of its last
// seconds.
func (w *world) restoreLog() {
	back := w.randomUpTo(9 * time.Second)
	away := w.randomUpTo(3 * time.Second)
	w.logDownUntil = w.now + away
	kept := 0
	for kept < len(w.log) && w.appendedAt[kept] < w.now-back {
		kept++
	}
	w.tracef("log restored to %d of %d records, away until %v", kept, len(w.log), w.logDownUntil)
	w.log, w.appendedAt = w.log[:kept:kept], w.appendedAt[:kept]
	w.era++
	w.restoredAt = w.logDownUntil
}

// pauseLength returns a random pause, usually near the lease term and sometimes much
// longer.
func (w *world) pauseLength() time.Duration {
	if w.chance(0.2) {
		return w.randomUpTo(30 * time.Second)
	}
	return w.randomUpTo(3 * time.Second)
}

// startRequests starts requests, and stalls some between loading the view and checking
// the lease.
func (w *world) startRequests() {
	for _, n := range w.nodes {
		if n.pausedUntil > w.now || n.stopped || n.view == nil {
			continue
		}
		if n.stalledView == nil && w.chance(w.odds.Stall) {
			n.stalledView = n.view
			n.stalledUntil = w.now + w.pauseLength()
		}
		if !w.chance(0.1) {
			continue
		}
		now := w.clock(n)
		for _, id := range sortedShards(n.view.Held) {
			held := n.view.Held[id]
			if n.view.Lease.Valid(now) && w.chance(0.3) {
				until := min(now.Add(w.randomUpTo(time.Second)), n.view.Lease.Deadline())
				n.running = append(n.running, running{shard: id, token: held.Token, until: until})
			}
		}
	}
}

// sortedShards returns the keys of m in order, so that a seed always gives the same
// simulation.
func sortedShards[V any](m map[view.ShardID]V) []view.ShardID {
	return slices.SortedFunc(maps.Keys(m), func(a, b view.ShardID) int { return cmp.Compare(a.Shard, b.Shard) })
}

// claim is a daemon's current right to a shard or its running request for it.
type claim struct {
	who   string
	token uint64
}

// claims returns which daemons could dispatch or run requests of each shard now. A
// paused daemon counts, because it may resume at any time.
func (w *world) claims() map[view.ShardID][]claim {
	all := map[view.ShardID][]claim{}
	for _, n := range w.nodes {
		now := w.clock(n)
		mine := map[view.ShardID]uint64{}
		for _, v := range []*view.View{n.view, n.stalledView} {
			if v == nil || n.stopped || !v.Lease.Valid(now) {
				continue
			}
			for id, held := range v.Held {
				mine[id] = held.Token
			}
		}
		for _, r := range n.running {
			if now < r.until {
				mine[r.shard] = max(mine[r.shard], r.token)
			}
		}
		for id, token := range mine {
			all[id] = append(all[id], claim{who: fmt.Sprintf("%s/%d", n.name, n.boot), token: token})
		}
	}
	return all
}

// check returns an error if a shard has two owners or tokens do not ascend.
func (w *world) check() error {
	if w.orderError != nil {
		return w.orderError
	}
	claims := w.claims()
	for _, id := range sortedShards(claims) {
		list := claims[id]
		if len(list) > 1 {
			return fmt.Errorf("shard %d has two owners: %v", id.Shard, list)
		}
		c := list[0]
		last := w.lastOwner[id]
		if c.who != last.who && c.token <= last.token {
			return fmt.Errorf("shard %d: token %d of %s after %d of %s", id.Shard, c.token, c.who, last.token, last.who)
		}
		w.lastOwner[id] = claim{who: c.who, token: max(c.token, last.token)}
		key := tokenKey{shard: id, token: c.token}
		if was, ok := w.tokens[key]; ok && was != c.who {
			return fmt.Errorf("shard %d: token %d of %s was used by %s", id.Shard, c.token, c.who, was)
		}
		w.tokens[key] = c.who
	}
	return nil
}

// simulate injects faults for the given time, ends them, and checks that every shard is
// served again.
func (w *world) simulate(length time.Duration) error {
	w.start()
	for w.now < length {
		w.injectFaults()
		w.advance()
		if err := w.check(); err != nil {
			return fmt.Errorf("at %v: %w", w.now, err)
		}
	}
	return w.heal()
}

// recoveryLimit is the time within which all shards must recover after the last fault.
const recoveryLimit = 30 * time.Second

func (w *world) heal() error {
	w.odds = faultOdds{Drift: w.odds.Drift}
	w.logDownUntil = 0
	clear(w.blocked)
	w.patch(`{"data_centres":{"a":{"out":false},"b":{"out":false},"c":{"out":false}}}`)
	for _, n := range w.nodes {
		n.pausedUntil, n.logCutUntil = 0, 0
		if n.stopped {
			w.restart(n)
		}
	}
	if err := w.run(recoveryLimit); err != nil {
		return err
	}
	if err := w.checkTables(); err != nil {
		return err
	}
	return w.checkServed()
}

// checkTables compares each daemon's routing tables with its replay.
func (w *world) checkTables() error {
	for _, n := range w.nodes {
		if n.stopped || n.state.tables.stale {
			continue // rebuilt within tableInterval
		}
		svc := n.state.fold.Services[simService]
		for i, sh := range n.view.Services[simService].Shards {
			want := svc.Shards[i]
			if sh.Generation != want.Generation || incarnation(sh.Owner) != want.Owner || incarnation(sh.Standby) != want.Standby {
				return fmt.Errorf("%s routes shard %d as %+v, recorded %+v", n.name, i, sh, want)
			}
		}
	}
	return nil
}

func incarnation(m *view.Member) uint64 {
	if m == nil {
		return 0
	}
	return m.Incarnation
}

func (w *world) checkServed() error {
	claims := w.claims()
	for name, svc := range w.replay().Services {
		for i, sh := range svc.Shards {
			list := claims[view.ShardID{Service: name, Shard: uint32(i)}]
			if len(list) != 1 {
				return fmt.Errorf("shard %d has no owner %v after the faults: recorded %+v", i, recoveryLimit, sh)
			}
		}
	}
	return nil
}

// fail reports a counterexample with the end of its trace.
func (w *world) fail(t *testing.T, seed uint64, err error) {
	t.Helper()
	t.Fatalf("seed %d: %v\n%s", seed, err, strings.Join(w.trace[max(0, len(w.trace)-60):], "\n"))
}

// simulationCount returns the number of simulations requested by SESAMEMOOR_WALKS, or
// defaultCount.
func simulationCount(t *testing.T, defaultCount int) int {
	text := os.Getenv("SESAMEMOOR_WALKS")
	if text == "" {
		return defaultCount
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("SESAMEMOOR_WALKS: %v", err)
	}
	return n
}

// oddsFor returns the fault odds of a seed's simulation.
func oddsFor(seed uint64) faultOdds {
	odds := defaultOdds
	switch seed % 4 {
	case 1:
		odds.Restart *= 6
	case 2:
		odds.Drift = 0.15
		odds.Partition *= 3
	case 3:
		odds.Patch *= 20
		odds.AppendLate *= 3
		odds.BackendFlap *= 3
	}
	return odds
}

// A log that comes back without the records of its last seconds must not lead to two
// owners of a shard, to a token that was given before, or to a shard that nobody serves.
func TestRestoredLogHasTwoOwnersOfAShard(t *testing.T) {
	first, _ := strconv.ParseUint(os.Getenv("SESAMEMOOR_WALK_SEED"), 10, 64)
	for i := range simulationCount(t, 16) {
		seed := first + uint64(i) + 1
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			odds := oddsFor(seed)
			odds.Restore = 0.001
			w := newWorld(seed, 5+int(seed%3), 3, odds)
			if err := w.simulate(60 * time.Second); err != nil {
				w.fail(t, seed, err)
			}
		})
	}
}

// Members whose leases are as long as there are stand beside others with the shortest.
func TestSimulationWithLongLeases(t *testing.T) {
	first, _ := strconv.ParseUint(os.Getenv("SESAMEMOOR_WALK_SEED"), 10, 64)
	for i := range simulationCount(t, 16) {
		seed := first + uint64(i) + 1
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			odds := oddsFor(seed)
			if seed%2 == 0 {
				odds.Restore = 0.001
			}
			w := newWorld(seed, 5+int(seed%3), 3, odds)
			w.params.MaxTerm = lease.MaxTerms * w.params.Term
			w.onNewState = func(s *State) {
				s.leaseTermOf = func(string) time.Duration {
					if s.opts.DataCentre == "a" {
						return s.opts.Lease.Term
					}
					return s.opts.Lease.Longest()
				}
			}
			if err := w.simulate(60 * time.Second); err != nil {
				w.fail(t, seed, err)
			}
		})
	}
}

func TestSimulationHasOneOwnerPerShard(t *testing.T) {
	first, _ := strconv.ParseUint(os.Getenv("SESAMEMOOR_WALK_SEED"), 10, 64)
	for i := range simulationCount(t, 16) {
		seed := first + uint64(i) + 1
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			w := newWorld(seed, 5+int(seed%3), 3, oddsFor(seed))
			if err := w.simulate(60 * time.Second); err != nil {
				w.fail(t, seed, err)
			}
		})
	}
}
