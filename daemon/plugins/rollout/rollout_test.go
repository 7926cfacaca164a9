package rollout

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/protocol"
	"github.com/sesamemoor/sesamemoor/core/rollout"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

const tick = stepInterval

// memoryStatuses keeps the statuses in memory.
type memoryStatuses struct {
	statuses map[string]protocol.RolloutStatus
	position uint64
}

func newMemoryStatuses() *memoryStatuses {
	return &memoryStatuses{statuses: map[string]protocol.RolloutStatus{}}
}

// Read implements protocol.RolloutStatuses.
func (m *memoryStatuses) Read(context.Context) (map[string]protocol.RolloutStatus, uint64, error) {
	return maps.Clone(m.statuses), m.position, nil
}

// Write implements protocol.RolloutStatuses.
func (m *memoryStatuses) Write(_ context.Context, status protocol.RolloutStatus, position uint64) (uint64, error) {
	if position != m.position {
		return 0, protocol.ErrConflict
	}
	m.statuses[status.Service] = status
	m.position++
	return m.position, nil
}

// fakeStore keeps statuses and may be down or lose the answers to writes.
type fakeStore struct {
	*memoryStatuses
	down, loseAnswers bool
	calls             int
	written           []protocol.RolloutStatus
}

var errStore = errors.New("store")

func (s *fakeStore) Read(ctx context.Context) (map[string]protocol.RolloutStatus, uint64, error) {
	s.calls++
	if s.down {
		return nil, 0, errStore
	}
	return s.memoryStatuses.Read(ctx)
}

func (s *fakeStore) Write(ctx context.Context, status protocol.RolloutStatus, position uint64) (uint64, error) {
	s.calls++
	if s.down {
		return 0, errStore
	}
	next, err := s.memoryStatuses.Write(ctx, status, position)
	if err == nil {
		s.written = append(s.written, status)
	}
	if s.loseAnswers {
		return 0, errStore
	}
	return next, err
}

// ends returns the number of statuses that are ends and were written.
func (s *fakeStore) ends() (n int) {
	for _, status := range s.written {
		if status.State != rollout.Running {
			n++
		}
	}
	return n
}

// fakeFleet is some daemons that share a view, apart from who they are, and virtual time.
type fakeFleet struct {
	planners int // number of them
	t        *testing.T
	now      clock.Instant
	store    *fakeStore
	base     view.View
	daemons  []*fakeDaemon
	calls    int
	failAt   func(version string) bool // whether a request to a version fails
	oldFails oldFault                  // how the servers of v1 fail
}

// oldFault is what a request meets at a server of the old version that has stopped.
type oldFault int

const (
	works    oldFault = iota
	refuses           // nothing arrives; the request is sent elsewhere
	resets            // the request may have run and is not sent again
	isSilent          // no answer by the deadline of requestTimeout
)

// requestTimeout is the deadline of requests.
const requestTimeout = 2 * time.Second

// lateResult is the result of a request that gets no answer by its deadline.
type lateResult struct {
	at    clock.Instant
	count func(*wire.Response, error)
}

// fakeDaemon is a daemon. It implements kernel.Control and kernel.Peers.
type fakeDaemon struct {
	fleet       *fakeFleet
	slot        string
	incarnation uint64
	planner     uint64 // incarnation of the daemon that it takes for the one in charge; 0 for the first
	cut         bool   // its calls fail
	deaf        bool   // its calls of the first daemon fail
	frozen      bool   // does nothing
	lease       view.LeaseCell
	entries     *entries
	coordinator *coordinator
	sequence    int
	unreachable map[string]bool // servers, by version
	perTick     int             // requests
	sentTo      map[string]int  // requests by version
	served      int
	avoided     map[uint64]clock.Instant // servers that were unreachable, until when
	late        []lateResult
}

func (d *fakeDaemon) Now() clock.Instant { return d.fleet.now }
func (d *fakeDaemon) Post(control.Event) {}
func (d *fakeDaemon) View() *view.View {
	v := d.fleet.base
	v.Incarnation, v.Lease = d.incarnation, &d.lease
	for _, other := range d.fleet.daemons {
		if d.planner == other.incarnation || d.planner == 0 && !other.frozen && len(v.Planners) < d.fleet.planners {
			v.Planners = append(v.Planners, &view.Member{Incarnation: other.incarnation, PeerAddr: other.slot})
		}
	}
	return &v
}

func (d *fakeDaemon) Call(ctx context.Context, addr string, frame *wire.Frame) (*wire.Frame, error) {
	d.fleet.calls++
	for _, other := range d.fleet.daemons {
		if other.slot == addr && !(d.deaf && other.incarnation == 1) && !d.cut && !other.cut && !other.frozen {
			return other.coordinator.HandleFrame(ctx, d.slot, frame), nil
		}
	}
	return nil, outcome.New(outcome.OwnerUnreachable, "unreachable")
}

// newFakeFleet returns three daemons and a service with old servers of v1 and new ones of v2.
func newFakeFleet(t *testing.T, old, new int) *fakeFleet {
	f := &fakeFleet{t: t, planners: 3, now: clock.Instant(time.Hour), store: &fakeStore{memoryStatuses: newMemoryStatuses()}}
	f.base = view.View{
		Config:          &fleet.Config{Services: map[string]fleet.Service{"shop": {Keyless: true}}},
		Servers:         map[string][]*view.Member{},
		ConfigFreshness: view.NewFreshness(view.FreshnessLimits{}),
	}
	f.base.ConfigFreshness.SetNext(1000)
	f.addServers("v1", old)
	f.addServers("v2", new)
	set := settings.Default()
	set.Bounds.ExposureShare, set.Bounds.ExposureSlack, set.Bounds.RollbackS = 0.1, 50, 5
	for i := range 3 {
		d := &fakeDaemon{fleet: f, slot: fmt.Sprint("d-", i), incarnation: uint64(i + 1), perTick: 10, sentTo: map[string]int{}, avoided: map[uint64]clock.Instant{}}
		d.lease.Set(clock.Instant(100 * time.Hour))
		set.Slot = d.slot
		p := params{Settings: set, Control: d, Peers: d, Clock: d, Log: zap.NewNop(), Statuses: f.store}
		d.coordinator = newCoordinator(p)
		d.coordinator.now = func() time.Time { return time.Unix(0, int64(f.now)) }
		d.entries = newEntries(p, d.coordinator)
		f.daemons = append(f.daemons, d)
		f.base.Daemons = append(f.base.Daemons, view.Daemon{})
	}
	return f
}

func (f *fakeFleet) addServers(version string, n int) {
	list := f.base.Servers["shop"]
	for range n {
		inc := uint64(100 + len(list))
		list = append(list[:len(list):len(list)], &view.Member{Incarnation: inc, Service: "shop", BackendName: fmt.Sprint("b-", inc), Version: version,
			PeerAddr: map[string]string{"v1": "d-0", "v2": "d-1"}[version]})
	}
	f.base.Servers = map[string][]*view.Member{"shop": list}
}

func (f *fakeFleet) order(id uint64, to string, duration time.Duration) {
	f.base.Rollouts = map[string]fleet.RolloutOrder{"shop": {Service: "shop", To: to, Duration: duration, ID: id}}
}

// request sends one request through a daemon, with up to three attempts as far as it has not
// arrived, and returns the version that got it last, or "".
func (d *fakeDaemon) request() string {
	v, req, choice := d.View(), &wire.Request{Service: "shop", Route: "r"}, &kernel.VersionChoice{}
	last, failed := "", map[uint64]bool{}
	for range 3 {
		m := d.choose(v, req, choice, failed)
		if m == nil {
			break
		}
		last = m.Version
		d.sentTo[m.Version]++
		count := d.entries.Sent(v, req, m)
		if count == nil {
			count = func(*wire.Response, error) {}
		}
		fault := works
		if m.Version == "v1" {
			fault = d.fleet.oldFails
		}
		switch fault {
		case refuses:
			count(nil, outcome.New(outcome.OwnerUnreachable, "refused"))
			failed[m.Incarnation], d.avoided[m.Incarnation] = true, d.fleet.now.Add(time.Second)
			continue
		case resets:
			count(nil, outcome.New(outcome.BackendReset, "reset"))
			return last
		case isSilent:
			d.late = append(d.late, lateResult{d.fleet.now.Add(requestTimeout), count})
			return last
		}
		resp := &wire.Response{Kind: uint32(outcome.OK), Status: 200, ServiceTimeUs: 5000}
		if d.fleet.failAt != nil && d.fleet.failAt(m.Version) {
			resp.Status = 500
		}
		count(resp, nil)
		d.served++
		return last
	}
	return last
}

// choose returns the member for an attempt: one that is not avoided, if there is one.
func (d *fakeDaemon) choose(v *view.View, req *wire.Request, choice *kernel.VersionChoice, failed map[uint64]bool) *view.Member {
	usable := func(m *view.Member) bool {
		return !d.unreachable[m.Version] && !failed[m.Incarnation] && d.fleet.now >= d.avoided[m.Incarnation]
	}
	allowed := d.entries.Allowed(v, req, choice, usable)
	var avoided *view.Member
	d.sequence++
	members := v.Servers["shop"]
	for i := range members {
		m := members[(d.sequence+i)%len(members)]
		switch {
		case allowed != nil && !allowed(m) || failed[m.Incarnation]:
		case usable(m):
			return m
		case avoided == nil:
			avoided = m
		}
	}
	return avoided
}

// run lets the daemons work for a time, with requests through each, and returns how many
// requests each version got.
func (f *fakeFleet) run(d time.Duration) map[string]int {
	before := map[string]int{}
	for _, daemon := range f.daemons {
		for version, n := range daemon.sentTo {
			before[version] -= n
		}
	}
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(tick) {
		for _, daemon := range f.daemons {
			if daemon.frozen {
				continue
			}
			for range daemon.perTick {
				daemon.request()
			}
			daemon.work()
		}
	}
	for _, daemon := range f.daemons {
		for version, n := range daemon.sentTo {
			before[version] += n
		}
	}
	return before
}

// work does what the daemon's goroutines do in a tick.
func (d *fakeDaemon) work() {
	v := d.View()
	d.entries.holdout.update(d.fleet.now, v)
	for service := range v.Rollouts {
		d.entries.of(service, true)
	}
	d.coordinator.step()
	select {
	case <-d.coordinator.wake:
		for range 4 { // a store that fails is tried again in the next tick
			if !d.coordinator.exchange(context.Background()) {
				break
			}
		}
	default:
	}
	for len(d.late) > 0 && d.late[0].at <= d.fleet.now {
		d.late[0].count(nil, outcome.New(outcome.DeadlineMaybeRan, "no answer"))
		d.late = d.late[1:]
	}
	for _, s := range d.entries.services {
		if d.entries.mustAsk(v, s) {
			d.entries.ask(context.Background(), v, s)
		}
		if len(v.Planners) > 0 && d.entries.due(v, s) {
			d.entries.report(context.Background(), v, s)
		}
	}
}

func (f *fakeFleet) state() (rollout.State, bool) {
	statuses, _, _ := f.store.memoryStatuses.Read(context.Background())
	s, ok := statuses["shop"]
	return s.State, ok
}

func (f *fakeFleet) expectState(state rollout.State) {
	f.t.Helper()
	if got, ok := f.state(); !ok || got != state {
		f.t.Fatalf("status %v (recorded: %v), expected %v", got, ok, state)
	}
}

// TestNoOrderCostsNothing checks that a deployment with roll-outs, but without an order, makes
// no call of a daemon or of the store for them.
func TestNoOrderCostsNothing(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 3, 0)
	got := f.run(10 * time.Second)
	is.Equal(f.calls, 0)
	is.Equal(f.store.calls, 0)
	is.Equal(len(f.daemons[0].entries.services), 0)
	is.True(got["v1"] > 0)
}

// TestNothingAfterRollback checks that no request goes to the new version once its rollback is
// recorded, through no daemon, also not while the last answers are still valid.
func TestNothingAfterRollback(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 3, 3)
	f.failAt = func(version string) bool { return version == "v2" }
	f.order(7, "v2", 12*time.Second)
	for range 100 {
		f.run(tick)
		if ch := f.daemons[0].coordinator.rollouts["shop"]; ch != nil && ch.decision.State == rollout.RolledBack {
			f.daemons[2].cut = true // its last answer stays valid for a second
		}
		if s, _ := f.state(); s == rollout.RolledBack {
			break
		}
	}
	f.expectState(rollout.RolledBack)
	is.Equal(f.run(2 * time.Second)["v2"], 0)
}

// TestGoodVersionIsCompleted checks that the old version gets nothing once a completion is
// recorded, also through a daemon that had no part in the roll-out.
func TestGoodVersionIsCompleted(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 3, 3)
	f.order(7, "v2", 12*time.Second)
	f.run(12 * time.Second)
	f.expectState(rollout.Completed)
	got := f.run(2 * time.Second)
	is.Equal(got["v1"], 0)
	is.True(got["v2"] > 0)
	calls := f.calls
	f.run(5 * time.Second)
	is.Equal(f.calls, calls) // the reports have stopped
}

// TestBadVersionIsRolledBack checks the exposure of a bad version, and that a new order for the
// same version is a new roll-out, while the recorded end of the first one stays.
func TestBadVersionIsRolledBack(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 3, 3)
	f.failAt = func(version string) bool { return version == "v2" }
	f.order(7, "v2", 12*time.Second)
	got := f.run(6 * time.Second)
	f.expectState(rollout.RolledBack)
	is.True(float64(got["v2"]) <= 0.1*float64(got["v1"]+got["v2"])+50)
	is.Equal(f.run(5 * time.Second)["v2"], 0)
	f.failAt = nil
	f.order(9, "v2", 12*time.Second)
	f.run(14 * time.Second)
	f.expectState(rollout.Completed)
	is.Equal(f.store.written[1].Order, uint64(7))
	is.Equal(f.store.written[1].State, rollout.RolledBack)
}

// TestDaemonInChargeIsFrozen checks that shares end with their validity when the daemon in
// charge answers no more, and that the next planner goes on with the same order.
func TestDaemonInChargeIsFrozen(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 3, 3)
	f.order(7, "v2", 20*time.Second)
	is.True(f.run(4 * time.Second)["v2"] > 0)
	for _, d := range f.daemons { // the others still take the first one for the planner
		d.planner = 1
	}
	f.daemons[0].frozen = true
	f.run(minValidity + 2*reportInterval)
	is.Equal(f.run(2 * time.Second)["v2"], 0)
	for _, d := range f.daemons {
		d.planner = 0
	}
	f.run(13 * time.Second)
	f.expectState(rollout.Completed)
	is.Equal(f.store.statuses["shop"].Order, uint64(7))
}

// TestTwoDaemonsInCharge checks that the conditional write admits one end of a roll-out when two
// daemons take themselves for the one in charge and decide differently, and that the other adopts
// it.
func TestTwoDaemonsInCharge(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 3, 3)
	f.order(7, "v2", 12*time.Second)
	f.daemons[1].planner, f.daemons[2].planner = 2, 2
	one, two := f.daemons[0], f.daemons[1]
	f.run(3 * time.Second)
	is.True(one.coordinator.inCharge && two.coordinator.inCharge)
	end := func(d *fakeDaemon, state rollout.State) {
		ch := d.coordinator.rollouts["shop"]
		ch.decision, ch.endQueued = rollout.Decision{State: state}, true
		ch.pending = append(ch.pending, d.coordinator.statusOf(ch, state))
	}
	end(one, rollout.RolledBack)
	end(two, rollout.Completed)
	f.run(time.Second)
	is.Equal(f.store.ends(), 1)
	is.Equal(one.coordinator.rollouts["shop"].state, two.coordinator.rollouts["shop"].state)
}

// TestRefusalReplacesNoEnd checks that a daemon in charge that refuses an order, since it does not
// know that another one has ended the order before, keeps to what the other one has recorded: an end
// stays in force, and the order is not refused once the other one has accepted it.
func TestRefusalReplacesNoEnd(t *testing.T) {
	for name, accepted := range map[string]bool{"end of the order before": false, "end of the order": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeFleet(t, 3, 3)
			f.order(7, "v2", 12*time.Second)
			f.daemons[1].planner, f.daemons[2].planner = 2, 2
			f.run(time.Second)
			c := f.daemons[0].coordinator
			ended := protocol.RolloutStatus{Service: "shop", To: "v2", From: []string{"v1"}, State: rollout.Completed, Order: 7}
			if accepted {
				ended.Last, ended.To, ended.From, ended.Order = &protocol.RolloutStatus{Service: "shop", To: "v2", State: rollout.Completed, Order: 7}, "v3", []string{"v2"}, 8
			}
			f.daemons[1].frozen, f.daemons[2].frozen = true, true
			f.store.statuses["shop"] = ended
			f.store.position++
			f.order(8, "v3", 12*time.Second)
			f.run(time.Second)
			got := f.store.statuses["shop"]
			if got.Problem != "" {
				is.Equal(got.Order, uint64(8))
				is.True(!accepted && got.Last != nil)
				got = *got.Last
			}
			is.Equal(got.Order, ended.Order)
			is.Equal(got.State, rollout.Completed)
			is.Equal(c.rollouts["shop"].state, rollout.Completed)
		})
	}
}

// TestRunningOrderOutlivesARefusal checks that the next daemon in charge goes on with a roll-out if
// the one before is lost right after it has recorded the refusal of another order.
func TestRunningOrderOutlivesARefusal(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 3, 3)
	f.order(7, "v2", 12*time.Second)
	f.run(time.Second)
	f.order(8, "v3", 12*time.Second)
	c := f.daemons[0].coordinator
	c.step()
	c.mu.Lock()
	refusal, ok := c.nextWrite()
	c.mu.Unlock()
	is.True(ok && refusal.Problem != "")
	is.NoErr(c.write(context.Background(), refusal, c.position))
	f.daemons[0].frozen = true
	f.run(14 * time.Second)
	got := f.store.statuses["shop"]
	is.Equal(got.Order, uint64(7))
	is.Equal(got.State, rollout.Completed)
}

// TestTakenOverOrderKeepsItsTime checks that a roll-out that another daemon in charge has accepted, of
// which this one learns by a read, has the time and the shards that it began with.
func TestTakenOverOrderKeepsItsTime(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 3, 3)
	f.base.Config.Services["shop"] = fleet.Service{Shards: 32}
	c, ch := f.daemons[0].coordinator, &coordinated{}
	c.adopt(ch, protocol.RolloutStatus{
		Service: "shop", To: "v2", Order: 7, Started: c.now().Add(-9 * time.Second), Duration: 12 * time.Second,
	})
	is.Equal(ch.limit, f.now.Add(3*time.Second))
	is.Equal(ch.shards, uint32(32))
}

// refusingStatuses refuses all writes, as the log does with the status of an order that has ended.
type refusingStatuses struct{ writes int }

func (s *refusingStatuses) Read(context.Context) (map[string]protocol.RolloutStatus, uint64, error) {
	return map[string]protocol.RolloutStatus{}, 0, nil
}

func (s *refusingStatuses) Write(ctx context.Context, _ protocol.RolloutStatus, _ uint64) (uint64, error) {
	s.writes++
	if s.writes > 10 {
		return 0, errStore
	}
	return 0, protocol.ErrConflict
}

// TestRefusedWritesArePaced checks that a status that the store refuses again and again is not
// written without a pause.
func TestRefusedWritesArePaced(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 3, 3)
	c, s := f.daemons[0].coordinator, new(refusingStatuses)
	c.statuses = s
	f.order(7, "v2", 12*time.Second)
	c.step()
	c.exchange(context.Background())
	c.step()
	is.True(c.exchange(context.Background()))
	is.True(s.writes <= 2)
}

// TestStoreIsDown checks that a rollback takes effect while the store is down, and is recorded
// when it is back, and that a completion has no effect until then.
func TestStoreIsDown(t *testing.T) {
	for name, bad := range map[string]bool{"bad": true, "good": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeFleet(t, 3, 3)
			f.order(7, "v2", 12*time.Second)
			f.run(time.Second)
			f.store.down = true
			f.failAt = func(version string) bool { return bad && version == "v2" }
			f.run(11 * time.Second)
			f.expectState(rollout.Running)
			got := f.run(3 * time.Second)
			for _, d := range f.daemons { // no daemon knows of an end that is not recorded
				is.True(d.entries.services["shop"].known.Load().last == nil)
			}
			if bad {
				is.True(got["v1"] > 0)
				is.Equal(got["v2"], 0)
			}
			f.store.down = false
			f.run(2 * time.Second)
			if bad {
				f.expectState(rollout.RolledBack)
			} else {
				f.expectState(rollout.Completed)
				is.Equal(f.run(time.Second)["v1"], 0)
			}
		})
	}
}

// TestAnswersOfTheStoreAreLost checks that a write whose answer is lost is read again and not
// followed by another end.
func TestAnswersOfTheStoreAreLost(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 3, 3)
	f.order(7, "v2", 12*time.Second)
	f.store.loseAnswers = true
	f.run(14 * time.Second)
	f.expectState(rollout.Completed)
	is.Equal(f.run(2 * time.Second)["v1"], 0)
	is.Equal(f.store.ends(), 1)
}

// TestDaemonHearsNothing checks that a daemon that is cut off sends nothing to the new version,
// unless the old one has no servers.
func TestDaemonHearsNothing(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 3, 3)
	f.daemons[2].cut = true
	f.order(7, "v2", 20*time.Second)
	f.run(5 * time.Second)
	is.Equal(f.daemons[2].sentTo["v2"], 0)
	is.True(f.daemons[1].sentTo["v2"] > 0)
	f.base.Servers = map[string][]*view.Member{"shop": f.base.Servers["shop"][3:]}
	is.Equal(f.daemons[2].request(), "v2")
}

// TestIdleDaemonLearnsTheEnd checks that a daemon that sends its first request after a completion
// sends it to the new version: the servers of the old one have stopped.
func TestIdleDaemonLearnsTheEnd(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 3, 3)
	f.daemons[2].perTick = 0
	f.planners = 2 // a planner asks anyway
	f.order(7, "v2", 12*time.Second)
	f.run(13 * time.Second)
	f.expectState(rollout.Completed)
	is.Equal(f.daemons[2].request(), "v2")
}

// TestOldVersionStopsAtCompletion checks that requests go to the new version when the servers of
// the old one, and with them the daemon in charge, stop before the daemons learned of the end.
func TestOldVersionStopsAtCompletion(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 3, 3)
	f.order(7, "v2", 12*time.Second)
	for {
		f.run(tick)
		if s, _ := f.state(); s == rollout.Completed {
			break
		}
	}
	for _, d := range f.daemons {
		d.planner = 1
		d.unreachable = map[string]bool{"v1": true}
	}
	f.daemons[0].frozen = true
	f.daemons[1].perTick, f.daemons[2].perTick = 0, 0
	f.run(4 * time.Second)
	is.Equal(f.daemons[2].request(), "v2")
	f.daemons[2].unreachable = nil
	if f.daemons[2].entries.services["shop"].known.Load().run != nil {
		is.Equal(f.daemons[2].request(), "v1") // the end is not known, and the old version has servers
	}
}

// TestOldVersionAndDaemonInChargeStopAtTheEnd checks that all requests that are sent 2 s after a
// completion or later are served, and that a version that was rolled back gets none from the record
// on, when the daemon in charge stops with the record and the old servers fail from then on. It guards
// against an entry that sends to the old version, or to the one that was rolled back, since its
// answer has expired and it has not learned the end.
func TestOldVersionAndDaemonInChargeStopAtTheEnd(t *testing.T) {
	for _, end := range []rollout.State{rollout.Completed, rollout.RolledBack} {
		// The last answer that the entry gets is the one before this is so: by the decision of the
		// daemon in charge, and by the share in the entry's last answer.
		for last, deaf := range map[string]func(d rollout.Decision, share float64) bool{
			"after decision":  func(rollout.Decision, float64) bool { return false },
			"before decision": func(d rollout.Decision, _ float64) bool { return d.State != rollout.Running },
			"share 1":         func(_ rollout.Decision, share float64) bool { return share >= 1 },
			"lower share":     func(d rollout.Decision, _ float64) bool { return d.Share > 0.3 },
			"none":            func(rollout.Decision, float64) bool { return true },
		} {
			for fault, name := range map[oldFault]string{refuses: "refuses", resets: "resets", isSilent: "silent"} {
				for _, next := range []string{"late", "later", "without the store"} {
					t.Run(fmt.Sprintf("%v/%s/%s/%s", end, last, name, next), func(t *testing.T) {
						playEnd(t, end, deaf, last, fault, next)
					})
				}
			}
		}
	}
}

func playEnd(t *testing.T, end rollout.State, deaf func(rollout.Decision, float64) bool, last string, fault oldFault, next string) {
	f := newFakeFleet(t, 3, 3)
	inCharge, successor, entry := f.daemons[0], f.daemons[1], f.daemons[2]
	successor.perTick = 0
	decision := func() (d rollout.Decision) {
		if ch := inCharge.coordinator.rollouts["shop"]; ch != nil {
			d = ch.decision
		}
		return d
	}
	f.failAt = func(version string) bool {
		return end == rollout.RolledBack && last != "share 1" && version == "v2" && decision().Share > 0.2
	}
	f.order(7, "v2", 12*time.Second)
	for {
		share := 0.
		if k := entry.entries.knowledge("shop"); k != nil {
			share = k.answer.Share
		}
		if deaf(decision(), share) {
			entry.deaf = true
			if last == "share 1" && end == rollout.RolledBack {
				f.base.Rollouts = nil // withdrawn
			}
		}
		f.run(tick)
		if s, _ := f.state(); s != rollout.Running {
			break
		}
	}
	f.expectState(end)
	inCharge.frozen, f.oldFails = true, fault
	for _, d := range f.daemons { // they still take it for the one in charge
		d.planner = inCharge.incarnation
	}
	f.store.down = next == "without the store"
	appears := map[string]time.Duration{"late": time.Second, "later": 5 * time.Second, "without the store": time.Second}[next]
	toNew, served, sent := entry.sentTo["v2"], 0, 0
	for after := time.Duration(0); after < 8*time.Second; after += tick {
		if after == appears {
			successor.planner, entry.planner = successor.incarnation, successor.incarnation
		}
		if after == 5*time.Second {
			f.store.down = false
		}
		before := entry.served
		f.run(tick)
		if after >= 2*time.Second {
			served, sent = served+entry.served-before, sent+entry.perTick
		}
	}
	if end == rollout.Completed && served != sent {
		t.Errorf("%d of %d requests were served from 2 s after the end on", served, sent)
	}
	if got := entry.sentTo["v2"] - toNew; end == rollout.RolledBack && got > 0 {
		t.Errorf("%d requests went to the version that was rolled back", got)
	}
}

// TestDecidedCompletionIsKept checks that a completion that daemons were told is recorded by the next
// daemon in charge if the former one stops before it is. Otherwise an entry that relies on it would
// send to a version that is rolled back.
func TestDecidedCompletionIsKept(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 3, 3)
	f.order(7, "v2", 12*time.Second)
	for {
		f.run(tick)
		if ch := f.daemons[0].coordinator.rollouts["shop"]; ch != nil && ch.decision.State == rollout.Completed {
			break
		}
	}
	f.store.down = true
	f.run(3 * reportInterval)
	f.expectState(rollout.Running)
	is.True(f.daemons[2].entries.services["shop"].known.Load().completing())
	f.daemons[0].frozen, f.store.down = true, false
	f.run(time.Second)
	f.expectState(rollout.Completed)
	is.Equal(f.run(time.Second)["v1"], 0)
}

// TestNewVersionWithoutServers checks that a version without servers is rolled back in time.
func TestNewVersionWithoutServers(t *testing.T) {
	f := newFakeFleet(t, 3, 0)
	f.order(7, "v2", 12*time.Second)
	f.run(5 * time.Second)
	f.expectState(rollout.RolledBack)
}

// TestInvalidOrders checks that an invalid order gets a status and changes nothing: the version
// that the service has stays in use, and so does a roll-out that is running.
func TestInvalidOrders(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 3, 0)
	f.order(7, "v1", 12*time.Second)
	f.run(time.Second)
	f.expectState(rollout.RolledBack)
	is.True(f.run(time.Second)["v1"] > 0)

	f.addServers("v2", 3)
	f.order(8, "v2", 12*time.Second)
	f.run(2 * time.Second)
	f.order(9, "v3", 12*time.Second)
	is.True(f.run(4 * time.Second)["v2"] > 0)
	f.expectState(rollout.Running)
	is.Equal(f.store.statuses["shop"].Order, uint64(8))
	is.Equal(f.store.written[len(f.store.written)-2].Problem, "another order for the service is running")
	f.run(8 * time.Second)
	f.expectState(rollout.Completed)

	f.base.Config = &fleet.Config{Services: map[string]fleet.Service{"another": {}}}
	f.order(11, "v5", time.Second)
	written := len(f.store.written)
	f.run(time.Second)
	is.Equal(len(f.store.written), written) // the service is not known
}

// TestOrderIsWithdrawn checks that a withdrawn order is rolled back, also if the daemon in charge
// changes at the same time.
func TestOrderIsWithdrawn(t *testing.T) {
	for name, change := range map[string]bool{"same daemon in charge": false, "another": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeFleet(t, 3, 3)
			f.order(7, "v2", 20*time.Second)
			f.run(4 * time.Second)
			f.daemons[0].frozen = change
			f.base.Rollouts = nil
			f.run(2 * time.Second)
			f.expectState(rollout.RolledBack)
			is.Equal(f.run(2 * time.Second)["v2"], 0)
		})
	}
}

// TestServerAppearsBeforeItsOrder checks that a server of another version gets nothing until its
// order may be expected to be known, and is used after that if there is none.
func TestServerAppearsBeforeItsOrder(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 3, 0)
	f.run(6 * time.Second)
	f.addServers("v2", 1)
	is.Equal(f.run(4500 * time.Millisecond)["v2"], 0) // config_apply_s is 5 s
	is.True(f.run(2 * time.Second)["v2"] > 0)
	is.Equal(f.calls, 0)
}

// TestReportIsCountedOnce checks that a report whose answer was lost is not counted again.
func TestReportIsCountedOnce(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 3, 3)
	f.order(7, "v2", 20*time.Second)
	f.run(time.Second)
	c := f.daemons[0].coordinator
	report := &wire.RolloutReport{Service: "shop", Order: 7, Slot: "other", Sequence: 4,
		Counts: []*wire.RolloutCounts{{Version: "v2", Sent: 5}}}
	before := c.rollouts["shop"].exposure
	is.True(c.receive(report).GetAccepted())
	is.True(c.receive(report).GetAccepted())
	is.Equal(c.rollouts["shop"].exposure, before+5)
}

// TestReportIntervalGrows checks the rate of reports at the daemon in charge with many daemons.
func TestReportIntervalGrows(t *testing.T) {
	for _, daemons := range []int{1, 100, 101, 2000} {
		if rate := float64(daemons) / intervalOf(daemons).Seconds(); rate > maxReportsPerS+1 {
			t.Errorf("%d daemons: %.0f reports a second", daemons, rate)
		}
	}
}

// TestEndStandsAfterRestart checks that a recorded end stands when all daemons start anew and read
// the order again: nothing is written, and no request goes to the version that was rolled back.
func TestEndStandsAfterRestart(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 3, 3)
	f.failAt = func(version string) bool { return version == "v2" }
	f.order(7, "v2", 12*time.Second)
	f.run(6 * time.Second)
	f.expectState(rollout.RolledBack)
	restarted := newFakeFleet(t, 3, 3)
	restarted.store = f.store
	for _, d := range restarted.daemons {
		d.coordinator.statuses = f.store
	}
	written := len(f.store.written)
	restarted.order(7, "v2", 12*time.Second)
	is.Equal(restarted.run(5 * time.Second)["v2"], 0)
	is.Equal(len(f.store.written), written)
	is.Equal(restarted.daemons[1].entries.services["shop"].known.Load().last.state, rollout.RolledBack)
}

// TestRetriesDuringRollout checks that the repeat of an idempotent request leaves the new version,
// and that another request stays with its version while that has a member that was not tried.
func TestRetriesDuringRollout(t *testing.T) {
	is := is.New(t)
	f := newFakeFleet(t, 3, 3)
	f.order(7, "v2", 12*time.Second)
	f.run(2 * time.Second)
	d := f.daemons[1]
	v := d.View()
	attempt := func(idempotent bool, choice *kernel.VersionChoice, tried map[uint64]bool) *view.Member {
		allowed := d.entries.Allowed(v, &wire.Request{Service: "shop", Idempotent: idempotent}, choice,
			func(m *view.Member) bool { return !tried[m.Incarnation] })
		for _, m := range v.Servers["shop"] {
			if (allowed == nil || allowed(m)) && !tried[m.Incarnation] {
				return m
			}
		}
		return nil
	}
	for _, idempotent := range []bool{true, false} {
		first := map[string]string{} // version of the first attempt to that of the second
		for range 500 {
			choice, tried := &kernel.VersionChoice{}, map[uint64]bool{}
			m := attempt(idempotent, choice, tried)
			tried[m.Incarnation] = true
			if second := attempt(idempotent, choice, tried); second != nil {
				first[m.Version] = second.Version
			}
		}
		is.Equal(first["v1"], "v1")
		is.Equal(first["v2"], "v1") // one server of the new version gets requests
	}
	choice, all := &kernel.VersionChoice{Order: 7, New: true, Servers: 3}, map[uint64]bool{}
	for range 3 {
		m := attempt(false, choice, all)
		is.Equal(m.Version, "v2")
		all[m.Incarnation] = true
	}
	is.Equal(attempt(false, choice, all).Version, "v1")
}

// TestJudge checks which results of attempts are evidence: a crash and a missing answer are
// failures, refusals of a full or cold server are none.
func TestJudge(t *testing.T) {
	is := is.New(t)
	for kind, want := range map[outcome.Kind][2]bool{
		outcome.BackendCrashed: {true, true}, outcome.AnswerCut: {true, true}, outcome.DeadlineMaybeRan: {true, true},
		outcome.BackendShed: {false, false}, outcome.Overloaded: {false, false}, outcome.Misdirected: {false, false},
		outcome.CancelledMaybeRan: {false, false},
	} {
		answered, failed := judge(nil, outcome.New(kind, "test"))
		is.Equal([2]bool{answered, failed}, want)
	}
	answered, failed := judge(&wire.Response{Status: 503}, nil)
	is.True(answered && failed)
}
