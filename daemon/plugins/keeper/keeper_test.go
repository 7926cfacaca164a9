package keeper

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

const team = "dealer"

// bubbleClock is the virtual clock of a synctest bubble.
type bubbleClock struct{}

func (bubbleClock) Now() clock.Instant { return clock.Instant(time.Now().UnixNano()) }

// node is the keeper and the limiter of one daemon.
type node struct {
	*keeper
	*limiter
	fleet       *testFleet
	view        *view.View
	unreachable bool
	posted      []control.Event
}

func (n *node) View() *view.View {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.view
}

func (n *node) Post(ev control.Event) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	n.posted = append(n.posted, ev)
}

// testFleet is a set of nodes that call each other by name. The network delay is oneWay
// in each direction.
type testFleet struct {
	mu    sync.Mutex
	nodes map[string]*node
	calls int
}

const oneWay = time.Millisecond

// Call implements kernel.Peers. An unreachable node does not answer.
func (f *testFleet) Call(ctx context.Context, addr string, frame *wire.Frame) (*wire.Frame, error) {
	f.mu.Lock()
	f.calls++
	n := f.nodes[addr]
	unreachable := n.unreachable
	f.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return nil, outcome.New(outcome.ConnectionLost, "no answer")
	}
	time.Sleep(2 * oneWay)
	return n.keeper.HandleFrame(ctx, "", frame), nil
}

// newTestFleet returns nodes a, b and c. The view lists a as the owner of the team's
// shard and b as its standby.
func newTestFleet(terms fleet.Team) *testFleet {
	f := &testFleet{nodes: map[string]*node{}}
	lease := new(view.LeaseCell)
	lease.Set(bubbleClock{}.Now().Add(time.Hour))
	for i, name := range []string{"a", "b", "c"} {
		n := &node{fleet: f}
		n.view = &view.View{
			Incarnation:   uint64(i + 1),
			ConfigVersion: 1,
			Config:        &fleet.Config{Teams: map[string]fleet.Team{team: terms}},
			Lease:         lease,
			Services:      map[string]*view.Service{view.KeeperService: {Base: 1, Shards: []view.Shard{f.shard()}}},
			Held:          map[view.ShardID]view.Held{},
		}
		n.keeper = newKeeper(n, bubbleClock{})
		n.limiter = newLimiter(n, f, n.keeper, bubbleClock{})
		f.nodes[name] = n
	}
	return f
}

func (f *testFleet) shard() view.Shard {
	return view.Shard{
		Owner:   &view.Member{Incarnation: 1, PeerAddr: "a"},
		Standby: &view.Member{Incarnation: 2, PeerAddr: "b"},
	}
}

var keeperShard = view.ShardID{Service: view.KeeperService}

// hold makes a node the keeper under the given token.
func (f *testFleet) hold(name string, token uint64) {
	n := f.nodes[name]
	v := *n.View()
	v.Held = map[view.ShardID]view.Held{keeperShard: {Token: token, Since: bubbleClock{}.Now()}}
	f.set(n, &v)
}

// set publishes a view to a node.
func (f *testFleet) set(n *node, v *view.View) {
	f.mu.Lock()
	n.view = v
	f.mu.Unlock()
	n.keeper.HandleEffect(control.Publish{View: v})
}

func take(n *node, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return n.limiter.Take(ctx, team)
}

// TestRequestsWaitForNewKeeper: after the loss of the keeper, requests wait for the
// takeover within their deadlines.
func TestRequestsWaitForNewKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(fleet.Team{Rate: 100, Burst: 100})
		f.hold("a", 2)
		is.NoErr(take(f.nodes["c"], time.Second))
		f.mu.Lock()
		f.nodes["a"].unreachable = true
		f.mu.Unlock()
		time.AfterFunc(1500*time.Millisecond, func() { f.hold("b", 3) })
		time.Sleep(time.Second) // prefetched tokens expire
		start := time.Now()
		is.NoErr(take(f.nodes["c"], 2*time.Second))
		is.True(time.Since(start) >= 500*time.Millisecond)
		// Without a reply of a keeper before the deadline the request is refused and has
		// not run.
		f.mu.Lock()
		f.nodes["b"].unreachable = true
		f.mu.Unlock()
		is.Equal(outcome.KindOf(take(f.nodes["c"], 300*time.Millisecond)), outcome.KeeperUnavailable)
		time.Sleep(time.Minute)
	})
}

// TestFirstKeeperStartsFullAndNextEmpty: a second keeper must not grant the burst
// again.
func TestFirstKeeperStartsFullAndNextEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(fleet.Team{Rate: 1, Burst: 5})
		f.hold("a", 2)
		requestTen := func(name string) uint64 {
			return f.nodes[name].keeper.grant(&wire.SliceRequest{Team: team, WantMilli: 10 * milli}).GetGrantedMilli()
		}
		is.Equal(requestTen("a"), uint64(5*milli))
		f.hold("b", 3)
		is.Equal(requestTen("b"), uint64(0))
		time.Sleep(2600 * time.Millisecond)
		is.Equal(requestTen("b"), uint64(2*milli))
	})
}

func TestNoGrantAfterQuiesceOrLeaseEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(fleet.Team{Rate: 100, Burst: 100})
		f.hold("a", 2)
		k := f.nodes["a"].keeper
		kind := func() outcome.Kind {
			return outcome.Kind(k.grant(&wire.SliceRequest{Team: team, WantMilli: milli}).GetKind())
		}
		is.Equal(kind(), outcome.OK)
		k.HandleEffect(control.Quiesce{Shard: keeperShard, Token: 2})
		is.Equal(kind(), outcome.KeeperUnavailable) // although the view still lists the shard as held
		f.hold("a", 4)
		time.Sleep(time.Second)
		is.Equal(kind(), outcome.OK)
		f.nodes["a"].View().Lease.Set(bubbleClock{}.Now())
		is.Equal(kind(), outcome.KeeperUnavailable)
	})
}

// A keeper whose peers have a newer configuration gave out tokens at a rate that may have been
// lowered. Entries use their local share meanwhile.
func TestKeeperGrantsByAConfigurationThatItsPeersHaveReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(fleet.Team{Rate: 100, Burst: 100})
		f.hold("a", 2)
		v := *f.nodes["a"].View()
		now := bubbleClock{}.Now()
		v.ConfigFreshness = view.NewFreshness(view.FreshnessLimits{Unconfirmed: time.Hour, Replaced: time.Second})
		v.ConfigFreshness.Advance(now, now)
		f.set(f.nodes["a"], &v)
		kind := func() outcome.Kind {
			return outcome.Kind(f.nodes["a"].keeper.grant(&wire.SliceRequest{Team: team, WantMilli: milli}).GetKind())
		}
		time.Sleep(2 * time.Second)
		is.Equal(kind(), outcome.OK) // nobody has a newer one
		v.ConfigFreshness.ObservePeer(1, bubbleClock{}.Now())
		is.Equal(kind(), outcome.KeeperUnavailable)
		v.ConfigFreshness.SetNext(1)
		is.Equal(kind(), outcome.OK)
	})
}

// TestRequestsShareSliceRequests: 500 concurrent requests at one daemon need at most 3
// slice requests.
func TestRequestsShareSliceRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(fleet.Team{Rate: 1000, Burst: 1000})
		f.hold("a", 2)
		var wg sync.WaitGroup
		errs := make(chan error, 500)
		for range 500 {
			wg.Go(func() { errs <- take(f.nodes["c"], time.Second) })
		}
		wg.Wait()
		close(errs)
		for err := range errs {
			is.NoErr(err)
		}
		is.True(f.calls <= 3)
		time.Sleep(time.Minute)
	})
}

// TestTeamOverRateIsLimited: a team that sends five times its rate through all
// daemons gets at most its burst and rate, and at least 98 % of that.
func TestTeamOverRateIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(fleet.Team{Rate: 50, Burst: 50})
		f.hold("a", 2)
		const duration = 10 * time.Second
		passed, refused := 0, 0
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range int(duration / (4 * time.Millisecond)) {
			n := f.nodes[[]string{"a", "b", "c"}[i%3]]
			wg.Go(func() {
				err := take(n, time.Second)
				mu.Lock()
				defer mu.Unlock()
				switch outcome.KindOf(err) {
				case outcome.OK:
					passed++
				case outcome.RateLimited:
					refused++
				default:
					t.Errorf("%v", err)
				}
			})
			time.Sleep(4 * time.Millisecond)
		}
		wg.Wait()
		is.Equal(passed+refused, int(duration/(4*time.Millisecond)))
		limit := 50 + 50*int(duration/time.Second)
		is.True(passed <= limit)
		is.True(passed >= limit*98/100)
		time.Sleep(time.Minute)
	})
}

// TestRefusalHasRetryAfter: a refusal carries the time until the next token.
func TestRefusalHasRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(fleet.Team{Rate: 1, Burst: 1})
		f.hold("a", 2)
		is.NoErr(take(f.nodes["c"], time.Second))
		err := take(f.nodes["c"], time.Second)
		is.Equal(outcome.KindOf(err), outcome.RateLimited)
		var refusal *outcome.Err
		is.True(errors.As(err, &refusal))
		is.True(refusal.RetryAfter > 900*time.Millisecond)
		is.Equal(f.nodes["c"].refusals[outcome.RateLimited], uint64(1))
		time.Sleep(time.Minute)
	})
}

// TestRetryAfterOfLowRateTeam: the RetryAfter of a refusal is the time until the team's
// next token, even if the daemon sends its next slice request earlier.
func TestRetryAfterOfLowRateTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(fleet.Team{Rate: 0.1, Burst: 1})
		f.hold("a", 2)
		is.NoErr(take(f.nodes["c"], time.Second))
		for range 3 {
			var refusal *outcome.Err
			start := time.Now()
			is.True(errors.As(take(f.nodes["c"], time.Second), &refusal))
			is.Equal(refusal.Kind, outcome.RateLimited)
			is.True(refusal.RetryAfter > 5*time.Second)
			is.True(time.Since(start) <= 100*time.Millisecond)
			time.Sleep(time.Second)
		}
		time.Sleep(time.Minute)
	})
}

// TestDeadlineWithoutTokensIsRateLimited: a request whose deadline passes while the keeper
// answers but has no token is rate limited; the keeper is not unavailable.
func TestDeadlineWithoutTokensIsRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(fleet.Team{Rate: 1, Burst: 1})
		f.hold("a", 4) // starts empty
		err := take(f.nodes["c"], 300*time.Millisecond)
		is.Equal(outcome.KindOf(err), outcome.RateLimited)
		var refusal *outcome.Err
		is.True(errors.As(err, &refusal))
		is.True(refusal.RetryAfter > 0)
		time.Sleep(time.Minute)
	})
}
