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
	"github.com/sesamemoor/sesamemoor/daemon/edge"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
	"github.com/sesamemoor/sesamemoor/daemon/routing"
)

const (
	// naiveRetryDelay is the delay between attempts under the naive retry policy.
	naiveRetryDelay = 20 * time.Millisecond
	// minAttemptTimeout is the least remaining timeout for which an attempt is
	// made.
	minAttemptTimeout = time.Millisecond
)

// router forwards requests to the owners of their keys and retries them.
type router struct {
	control        kernel.Control
	forwarder      *routing.Forwarder
	repeats        *routing.Repeats
	clock          clock.Clock
	metrics        *instruments
	naive          bool
	placementWatch *routing.PlacementWatch
	learnedOwners  *routing.LearnedOwners
	lostOwners     *routing.LostOwners
	notices        *routing.Notices
	rollouts       kernel.Rollouts // nil without roll-outs

	mu      sync.Mutex
	budgets map[string]*retry.Budget // by service; bounds the attempts that did not arrive
}

func newRouter(set settings.Daemon, c kernel.Control, p kernel.Peers, x kernel.Executor, r *routing.Repeats, clk clock.Clock, m *instruments) *router {
	return &router{
		control: c, forwarder: routing.NewForwarder(c, p, x, r, clk), repeats: r, clock: clk, metrics: m,
		naive:          set.Policy.Retries == "naive",
		placementWatch: routing.NewPlacementWatch(c),
		learnedOwners:  routing.NewLearnedOwners(),
		lostOwners:     routing.NewLostOwners(),
		notices:        routing.NewNotices(),
		budgets:        map[string]*retry.Budget{},
	}
}

// placement is the placement of a shard that an attempt used.
type placement struct {
	owner, standby uint64 // incarnations
	generation     uint64
	tookOver       bool // this daemon has taken the shard over ahead of the log
}

// attempts is the state of all attempts for one request.
type attempts struct {
	lastPlacement    placement
	lastStart        clock.Instant // when the last attempt started
	paidRetries      int           // retries that took a token of the retry budget
	toStandby        bool          // the next attempt goes to the standby
	ownerUnreachable bool          // the last attempt at the owner got no response
	ownerHint        uint64        // incarnation that the last response named as owner
	triedSuccessor   bool          // the standby was tried because another one had succeeded the owner
	failures         retry.Failures
	sends            routing.Sends
}

// route attempts the request until it is answered, must not be retried, or its
// deadline passes. An error that reports "not run" holds for all attempts.
func (t *router) route(ctx context.Context, x *exchange) (*wire.Response, error) {
	budget := t.budget(x.req.GetService())
	budget.RecordRequest(t.clock.Now())
	t.repeats.RecordRequest(x.req)
	var a attempts
	defer t.repeats.End(&a.sends)
	for {
		x.req.Attempt++
		resp, err := t.attempt(ctx, x, &a)
		if err == nil {
			return resp, nil
		}
		kind := outcome.KindOf(err)
		a.failures.Add(err)
		verdict := retry.Decide(kind, x.req.GetIdempotent())
		if verdict == retry.Stop || !t.awaitRetry(ctx, x, &a, verdict, budget) {
			return resp, a.failures.Result(err)
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

// awaitRetry waits until the request may be retried. If the request did not run, a
// change of placement ends the wait immediately. Otherwise the wait ends after a
// backoff, which repeats until the retry budget has a token and, while the owner is
// unreachable, no other request has just probed for it. It returns false if ctx ends
// first.
func (t *router) awaitRetry(ctx context.Context, x *exchange, a *attempts, verdict retry.Verdict, budget *retry.Budget) bool {
	if t.naive {
		t.repeats.Allow(x.req, &a.sends)
		return sleep(ctx, naiveRetryDelay)
	}
	waits := int(x.req.GetAttempt())
	delay := retry.Backoff(waits)
	for {
		timer := time.NewTimer(delay)
		due := false
		for !due {
			changed, done := t.placementWatch.Wait()
			if verdict == retry.AwaitPlacement && t.ownerChanged(x, a) && t.repeats.Allow(x.req, &a.sends) {
				done()
				timer.Stop()
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
		toStandby, wait := t.chooseDaemon(a, verdict)
		if wait == 0 && t.repeats.Allow(x.req, &a.sends) && budget.Take(t.clock.Now()) {
			a.paidRetries++
			a.toStandby = toStandby
			return true
		}
		waits++
		delay = wait
		if wait == 0 {
			delay = retry.Backoff(waits)
		}
	}
}

// ownerChanged reports whether another attempt may find an owner that the last one did
// not: the placement has changed, or attempts of other requests have found the owner
// reachable again or its shards with their standbys. It chooses between owner and standby
// for that attempt.
func (t *router) ownerChanged(x *exchange, a *attempts) bool {
	last := a.lastPlacement
	if t.placementOf(x) != last {
		return true
	}
	if a.ownerUnreachable && t.lostOwners.AnsweredSince(a.lastStart, last.owner) {
		a.toStandby = false
		return true
	}
	byStandby, byAny := t.lostOwners.SucceededSince(a.lastStart, last.owner, last.standby)
	if byStandby || byAny && a.ownerUnreachable && !a.triedSuccessor {
		a.triedSuccessor = true
		a.toStandby = true
		return true
	}
	return false
}

// chooseDaemon chooses between owner and standby for the next attempt. A first
// lost connection does not show whether the owner has changed and is retried at the
// same daemon; any other failure may mean that it has. The requests that wait for an
// unreachable owner probe in turn; chooseDaemon returns the time until the next turn if
// it is not this request's.
func (t *router) chooseDaemon(a *attempts, verdict retry.Verdict) (toStandby bool, wait time.Duration) {
	switch {
	case verdict == retry.RetryNow && a.paidRetries == 0:
		return a.toStandby, 0
	case verdict == retry.AwaitPlacement && a.ownerUnreachable:
		return t.lostOwners.Probe(t.clock.Now(), a.lastPlacement.owner)
	default:
		return !a.toStandby, 0
	}
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

// lookup returns the request's shard, with an owner learned from a response if
// that is newer than the view.
func (t *router) lookup(v *view.View, x *exchange) (view.ShardID, view.Shard, error) {
	id, shard, ok := v.Lookup(x.req.GetService(), x.req.GetKey())
	if !ok {
		return id, shard, outcome.New(outcome.NoOwner, "service %s has no placement", x.req.GetService())
	}
	return id, t.learnedOwners.Apply(id, shard), nil
}

func placementFrom(v *view.View, id view.ShardID, shard view.Shard) placement {
	p := placement{generation: shard.Generation, tookOver: v.TookOver(id, shard)}
	if shard.Owner != nil {
		p.owner = shard.Owner.Incarnation
	}
	if shard.Standby != nil {
		p.standby = shard.Standby.Incarnation
	}
	return p
}

func (t *router) placementOf(x *exchange) placement {
	v := t.control.View()
	id, shard, _ := t.lookup(v, x)
	return placementFrom(v, id, shard)
}

// target returns the daemon for the next attempt, nil if there is none: the
// owner, or the standby if the last response named it as owner, if it is this
// daemon and has taken the shard over, or if chooseDaemon selected it.
func (a *attempts) target(v *view.View, id view.ShardID, shard view.Shard) *view.Member {
	if shard.Standby == nil {
		return shard.Owner
	}
	if v.TookOver(id, shard) || a.toStandby || a.ownerHint == shard.Standby.Incarnation {
		return shard.Standby
	}
	return shard.Owner
}

// attempt sends the request to one daemon. If the response is a failure, it
// returns the response and an error of the same kind.
func (t *router) attempt(ctx context.Context, x *exchange, a *attempts) (*wire.Response, error) {
	if t.control.View().ConfigFreshness.Stale(t.clock.Now()) {
		return nil, errStale
	}
	v := t.control.View() // after the check, see currentView
	if edge.CallerLeft(ctx) {
		return nil, edge.ErrCallerLeft
	}
	id, shard, err := t.lookup(v, x)
	a.use(placementFrom(v, id, shard))
	a.lastStart = t.clock.Now()
	if err != nil {
		return nil, err
	}
	x.req.Shard = id.Shard
	x.req.Generation = shard.Generation
	target := a.target(v, id, shard)
	if target == nil {
		return nil, outcome.New(outcome.NoOwner, "shard %s/%d has no owner", id.Service, id.Shard)
	}
	x.target = target
	if allowed := v.Config.Teams[x.req.GetTeam()].DataCentres; len(allowed) > 0 && !slices.Contains(allowed, target.DataCentre) {
		return nil, outcome.New(outcome.Forbidden, "team %s is not allowed to use data centre %s", x.req.GetTeam(), target.DataCentre)
	}
	if err := setRemainingTimeout(ctx, x.req); err != nil {
		return nil, err
	}
	sent := t.notices.Of(t.clock.Now(), target.BackendName)
	x.req.Notice = sent
	var count func(*wire.Response, error)
	if t.rollouts != nil {
		count = t.rollouts.Sent(v, x.req, target)
	}
	resp, err := t.forwarder.Call(ctx, v, target, x.req, &a.sends)
	if count != nil {
		result := err
		if err == nil {
			result = answer.Check(resp)
		}
		count(resp, result)
	}
	t.notices.Record(t.clock.Now(), target.BackendName, sent, resp)
	if target == shard.Owner {
		a.ownerUnreachable = err != nil
		t.recordOwner(target, err)
	}
	if err != nil {
		return nil, err
	}
	a.ownerHint = resp.GetOwnerHint()
	if resp.GetGeneration() > shard.Generation && t.learnedOwners.Record(id, resp.GetGeneration(), target) {
		if target == shard.Standby && shard.Owner != nil {
			t.lostOwners.RecordSuccessor(t.clock.Now(), shard.Owner.Incarnation, target.Incarnation)
		}
		t.placementWatch.Notify()
	}
	return resp, answer.Check(resp)
}

// recordOwner records whether an attempt at an owner got a response.
func (t *router) recordOwner(owner *view.Member, err error) {
	if err != nil {
		t.lostOwners.RecordUnreachable(owner.Incarnation)
		return
	}
	if t.lostOwners.RecordResponse(t.clock.Now(), owner.Incarnation) {
		t.placementWatch.Notify()
	}
}

// use sets the placement for the next attempt. What earlier attempts found and chose holds
// for their placement only.
func (a *attempts) use(p placement) {
	if p != a.lastPlacement {
		a.toStandby = false
		a.ownerUnreachable = false
	}
	a.lastPlacement = p
}

// setRemainingTimeout sets the request's timeout to the time until the deadline
// of ctx.
func setRemainingTimeout(ctx context.Context, req *wire.Request) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil
	}
	remaining := time.Until(deadline)
	if remaining < minAttemptTimeout {
		return outcome.New(outcome.DeadlineNotRun, "deadline passed before this attempt was sent")
	}
	req.TimeoutMs = uint64(remaining.Milliseconds())
	return nil
}
