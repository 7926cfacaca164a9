package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/retry"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/answer"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
	"github.com/sesamemoor/sesamemoor/daemon/routing"
)

const (
	// naivePause is the time between tries of the naive policy.
	naivePause = 20 * time.Millisecond
	// minTry is the least time left for a try.
	minTry = time.Millisecond
	// standbyTries is the number of tries at the standby for each one at an
	// owner that cannot be reached.
	standbyTries = 3
)

// router passes requests to the owners of their keys.
type router struct {
	control kernel.Control
	caller  *routing.Caller
	clock   clock.Clock
	metrics *instruments
	naive   bool
	changes *routing.Changes
	learned *routing.Learned

	mu      sync.Mutex
	budgets map[string]*retry.Budget // by service
}

func newRouter(set settings.Daemon, c kernel.Control, p kernel.Peers, x kernel.Executor, clk clock.Clock, m *instruments) *router {
	return &router{
		control: c, caller: routing.NewCaller(c, p, x, clk), clock: clk, metrics: m,
		naive:   set.Policy.Retries == "naive",
		changes: routing.NewChanges(c),
		learned: routing.NewLearned(),
		budgets: map[string]*retry.Budget{},
	}
}

// placement is what a try relied on.
type placement struct {
	owner, standby uint64 // incarnations
	generation     uint64
}

// attempts is the state of the tries of one request.
type attempts struct {
	placed    placement
	losses    int    // tries that cost a token
	alternate bool   // the next try goes to the other of owner and standby
	atStandby int    // tries at the standby in a row
	ownerLost bool   // the last try at the owner did not reach it
	hint      uint64 // incarnation that the last answer named as owner
	claim     retry.Claim
}

// route tries the request until it is answered, must not be tried again, or
// its deadline passes. A failure that says "not run" holds for all tries.
func (t *router) route(ctx context.Context, x *exchange) (*wire.Response, error) {
	budget := t.budget(x.req.GetService())
	budget.Earn(t.clock.Now())
	var a attempts
	for {
		x.req.Attempt++
		resp, err := t.try(ctx, x, &a)
		if err == nil {
			return resp, nil
		}
		kind := outcome.Of(err)
		a.claim.Failed(err)
		verdict := retry.Decide(kind, x.req.GetIdempotent())
		if verdict == retry.Stop || !t.pause(ctx, x, &a, verdict, budget) {
			return resp, a.claim.Worst(err)
		}
		t.metrics.retry(x.req)
	}
}

func (t *router) budget(service string) *retry.Budget {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.budgets[service]
	if !ok {
		b = retry.NewBudget(t.clock.Now())
		t.budgets[service] = b
	}
	return b
}

// pause waits until the request may be tried again: at once after a change of
// placement if it did not run, otherwise with a token of the budget after the
// backoff. It returns false if the deadline passes first.
func (t *router) pause(ctx context.Context, x *exchange, a *attempts, verdict retry.Verdict, budget *retry.Budget) bool {
	if t.naive {
		return sleep(ctx, naivePause)
	}
	for waits := int(x.req.GetAttempt()); ; waits++ {
		timer := time.NewTimer(retry.Backoff(waits))
		due := false
		for !due {
			changed, done := t.changes.Wait()
			if verdict == retry.Await && t.placementOf(x) != a.placed {
				done()
				timer.Stop()
				a.alternate = false
				a.atStandby = 0
				return true
			}
			select {
			case <-ctx.Done():
				done()
				timer.Stop()
				return false
			case <-changed:
			case <-timer.C:
				due = true
			}
			done()
		}
		if budget.Take(t.clock.Now()) {
			a.turn(verdict)
			return true
		}
	}
}

// turn chooses between owner and standby for the next try. The first lost
// connection says nothing about the owner; all else may mean that it changed.
// While the owner cannot be reached, most tries go to the standby.
func (a *attempts) turn(verdict retry.Verdict) {
	a.losses++
	if verdict == retry.Again && a.losses == 1 {
		return
	}
	if a.alternate {
		a.atStandby++
	}
	if a.alternate && a.ownerLost && a.atStandby < standbyTries {
		return
	}
	a.alternate = !a.alternate
	a.atStandby = 0
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// lookup returns the request's shard with what was learned beyond the view.
func (t *router) lookup(v *view.View, x *exchange) (view.ShardID, view.Shard, error) {
	id, shard, ok := v.Lookup(x.req.GetService(), x.req.GetKey())
	if !ok {
		return id, shard, outcome.New(outcome.NoOwner, "service %s has no placement", x.req.GetService())
	}
	return id, t.learned.Apply(id, shard), nil
}

func placementFrom(shard view.Shard) placement {
	p := placement{generation: shard.Generation}
	if shard.Owner != nil {
		p.owner = shard.Owner.Incarnation
	}
	if shard.Standby != nil {
		p.standby = shard.Standby.Incarnation
	}
	return p
}

func (t *router) placementOf(x *exchange) placement {
	_, shard, _ := t.lookup(t.control.View(), x)
	return placementFrom(shard)
}

// target returns the daemon for the next try: the owner, or the standby if it
// was named as owner, if it is this daemon and has taken the shard over, or if the
// owner failed and nothing newer is known.
func (a *attempts) target(v *view.View, id view.ShardID, shard view.Shard) *view.Member {
	if shard.Standby == nil {
		return shard.Owner
	}
	if v.TookOver(id, shard) || a.alternate || a.hint == shard.Standby.Incarnation {
		return shard.Standby
	}
	return shard.Owner
}

// try sends the request to one daemon. It returns the answer also with an
// error of the answer's kind.
func (t *router) try(ctx context.Context, x *exchange, a *attempts) (*wire.Response, error) {
	v := t.control.View()
	if v.Fresh.Stale(t.clock.Now()) {
		return nil, errStale
	}
	id, shard, err := t.lookup(v, x)
	a.placed = placementFrom(shard)
	if err != nil {
		return nil, err
	}
	x.req.Shard = id.Shard
	x.req.Generation = shard.Generation
	target := a.target(v, id, shard)
	if target == nil {
		return nil, outcome.New(outcome.NoOwner, "shard %s/%d", id.Service, id.Shard)
	}
	x.target = target
	if allowed := v.Config.Teams[x.req.GetTeam()].DataCentres; len(allowed) > 0 && !slices.Contains(allowed, target.DataCentre) {
		return nil, outcome.New(outcome.Forbidden, "team %s may not use data centre %s", x.req.GetTeam(), target.DataCentre)
	}
	if err := setTimeLeft(ctx, x.req); err != nil {
		return nil, err
	}
	resp, err := t.caller.Call(ctx, v, target, x.req)
	if target == shard.Owner {
		a.ownerLost = err != nil
	}
	if err != nil {
		return nil, err
	}
	a.hint = resp.GetOwnerHint()
	if err := answer.Check(resp); err != nil {
		return resp, err
	}
	if resp.GetGeneration() > shard.Generation {
		t.learned.Note(id, resp.GetGeneration(), target)
		t.changes.Notify()
	}
	return resp, nil
}

func setTimeLeft(ctx context.Context, req *wire.Request) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil
	}
	left := time.Until(deadline)
	if left < minTry {
		return outcome.New(outcome.DeadlineNotRun, "deadline passed")
	}
	req.TimeoutMs = uint64(left.Milliseconds())
	return nil
}
