package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/retry"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/spread"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/answer"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
	"github.com/sesamemoor/sesamemoor/daemon/routing"
)

const (
	// maxDeclines bounds the daemons that may decline a request unsent before it
	// is refused.
	maxDeclines = 3
	// movePatience is the longest wait for the owner of a key whose shard changes
	// hands, as a part of the time left within the objective.
	movePatience = 0.35
	// maxMovePatience bounds that wait: what takes longer is a loss, not a move.
	maxMovePatience = 250 * time.Millisecond
	// movePause is the time without a change of the placement after which owner and
	// standby are asked again: a release and its takeover take about as long.
	movePause = 40 * time.Millisecond
	// unreachablePause is the time for which a daemon that could not be reached is
	// left alone where there are others.
	unreachablePause = 1 * time.Second
	// drainingPause is the same for one that leaves: longer than its record takes
	// to be read everywhere.
	drainingPause = 2 * time.Second
)

// sender passes requests to the daemons beside the servers that are to run them.
type sender struct {
	control kernel.Control
	caller  *routing.Caller
	clock   clock.Clock
	centre  string
	bounds  settings.Bounds
	changes *routing.Changes
	learned *routing.Learned

	mu      sync.Mutex
	servers map[uint64]*spread.Server // by incarnation
	budgets map[budgetKey]*retry.Budget
}

func newSender(set settings.Daemon, c kernel.Control, p kernel.Peers, x kernel.Executor, clk clock.Clock) *sender {
	return &sender{
		control: c, caller: routing.NewCaller(c, p, x, clk), clock: clk, centre: set.DataCentre, bounds: set.Bounds,
		changes: routing.NewChanges(c), learned: routing.NewLearned(),
		servers: map[uint64]*spread.Server{}, budgets: map[budgetKey]*retry.Budget{},
	}
}

// budgetKey tells the requests apart that have a budget of retries of their own.
type budgetKey struct {
	service string
	nested  bool
}

// tries is the state of the tries of one request.
type tries struct {
	declined int
	reached  uint32          // servers that the request may have reached
	skip     map[uint64]bool // incarnations not to be tried again
	standby  bool            // the next try at a key goes to the standby
	sealed   *wire.Response  // a server's own failure, the answer if nothing better comes
	claim    retry.Claim

	moveUntil time.Time // end of the wait for the owner of a key that changes hands
}

// send tries the request until it is answered, must not be tried again, or its
// time runs out.
func (s *sender) send(ctx context.Context, x *exchange) (*wire.Response, error) {
	budget := s.budget(x.req.GetService(), x.req.GetNested())
	budget.Earn(s.clock.Now())
	t := &tries{skip: map[uint64]bool{}}
	for {
		resp, err := s.try(ctx, x, t)
		if err == nil && !(resp.GetStatus() >= 500 && x.req.GetIdempotent()) {
			return resp, nil
		}
		if err == nil {
			t.sealed = resp
		}
		kind := outcome.Of(err)
		if err != nil {
			t.claim.Failed(err)
		}
		if !s.again(ctx, x, t, kind, budget) {
			return t.final(resp, err)
		}
	}
}

// final returns the answer after the last try: a server's own failure rather than
// one of this system, and "not run" only if no try may have run.
func (t *tries) final(resp *wire.Response, err error) (*wire.Response, error) {
	if t.sealed != nil {
		return t.sealed, nil
	}
	return resp, t.claim.Worst(err)
}

// again reports whether the request may be tried once more.
func (s *sender) again(ctx context.Context, x *exchange, t *tries, kind outcome.Kind, budget *retry.Budget) bool {
	if ctx.Err() != nil {
		return false
	}
	if arrived(kind) {
		t.reached++
		repeatable := x.req.GetIdempotent() || kind.Answer().Ran == outcome.NotRun
		if !repeatable || kind == outcome.DeadlineMaybeRan || t.reached >= max(x.route.MaxTries, 1) || !budget.Take(s.clock.Now()) {
			return false
		}
		return kind != outcome.Misdirected || s.awaitMove(ctx, x, t)
	}
	keyless := s.control.View().Config.Services[x.req.GetService()].Keyless
	switch kind {
	case outcome.Overloaded, outcome.Draining, outcome.OwnerUnreachable, outcome.NoOwner, outcome.NotOwner,
		outcome.LeaseLost, outcome.Fenced:
	default:
		return false
	}
	if keyless {
		t.declined++
		return t.declined < maxDeclines
	}
	return kind != outcome.Overloaded && s.awaitMove(ctx, x, t)
}

// arrived reports whether the request may have come to a backend server, whose
// repeats the budget bounds.
func arrived(kind outcome.Kind) bool {
	return kind == outcome.OK || kind == outcome.BackendShed || kind == outcome.Misdirected || kind.Answer().Ran != outcome.NotRun
}

// awaitMove turns from the owner to the standby or back: at once the first time,
// then after a change of the placement or a pause, until its patience ends.
func (s *sender) awaitMove(ctx context.Context, x *exchange, t *tries) bool {
	t.standby = !t.standby
	if t.moveUntil.IsZero() {
		left := time.Until(x.target)
		if left <= 0 { // late already; what counts is that it is answered
			left = time.Until(x.limit)
		}
		patience := time.Duration(movePatience * float64(left))
		t.moveUntil = time.Now().Add(min(patience, maxMovePatience))
		return true
	}
	left := time.Until(t.moveUntil)
	if left <= 0 {
		return false
	}
	changed, done := s.changes.Wait()
	defer done()
	timer := time.NewTimer(min(left, movePause))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// budget returns the retries of a service at this daemon: an equal part of what
// the fleet may spend.
func (s *sender) budget(service string, nested bool) *retry.Budget {
	terms := retry.ShareOf(s.bounds.RetryRatio, s.bounds.RetryExtra, len(s.control.View().Daemons), nested)
	key := budgetKey{service, nested}
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.budgets[key]
	if !ok {
		b = retry.NewBudgetOn(s.clock.Now(), terms)
		s.budgets[key] = b
	}
	b.SetTerms(terms)
	return b
}

// try sends the request to one daemon. It returns the answer also with an error
// of the answer's kind.
func (s *sender) try(ctx context.Context, x *exchange, t *tries) (*wire.Response, error) {
	v := s.control.View()
	var target *view.Member
	var err error
	if v.Config.Services[x.req.GetService()].Keyless {
		target, err = s.chooseServer(v, x, t)
	} else {
		target, err = s.chooseOwner(v, x, t)
	}
	if err != nil {
		return nil, err
	}
	x.at = target
	x.req.Attempt++
	if err := setTimes(x); err != nil {
		return nil, err
	}
	stats := s.server(target, v)
	s.sent(stats)
	resp, err := s.caller.Call(ctx, v, target, x.req)
	if err == nil {
		err = answer.Check(resp)
	}
	s.ended(stats, resp, err)
	s.note(x, t, target, resp, err)
	return resp, err
}

// chooseServer returns the server for a request without a key.
func (s *sender) chooseServer(v *view.View, x *exchange, t *tries) (*view.Member, error) {
	members := v.Servers[x.req.GetService()]
	stats := make([]*spread.Server, len(members))
	for i, m := range members {
		stats[i] = s.server(m, v)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := func(i int) bool {
		return t.skip[members[i].Incarnation] || v.Config.DataCentres[members[i].DataCentre].Out
	}
	i := spread.Choose(s.clock.Now(), stats, out, time.Until(x.target))
	if i < 0 {
		return nil, outcome.New(outcome.NoOwner, "no backend server of the service is known")
	}
	return members[i], nil
}

// chooseOwner returns the owner of the request's key, or the standby after a try
// at the owner that did not reach it.
func (s *sender) chooseOwner(v *view.View, x *exchange, t *tries) (*view.Member, error) {
	id, shard, ok := v.LookupNumber(x.req.GetService(), x.req.GetNumberKey())
	if !ok {
		return nil, outcome.New(outcome.NoOwner, "service %s has no placement", x.req.GetService())
	}
	shard = s.learned.Apply(id, shard)
	x.req.Shard = id.Shard
	x.req.Generation = shard.Generation
	target := shard.Owner
	if shard.Standby != nil && (t.standby || v.TookOver(id, shard)) {
		target = shard.Standby
	}
	if target == nil {
		return nil, outcome.New(outcome.NoOwner, "shard %s/%d", id.Service, id.Shard)
	}
	return target, nil
}

// setTimes tells the owner's daemon the time left.
func setTimes(x *exchange) error {
	left := time.Until(x.limit) - answerMargin
	if left < time.Millisecond {
		return outcome.New(outcome.DeadlineNotRun, "deadline passed")
	}
	x.req.TimeoutMs = uint64(left.Milliseconds())
	x.req.TargetMs = time.Until(x.target).Milliseconds()
	return nil
}

// note takes in what a try says of the target and of the placement.
func (s *sender) note(x *exchange, t *tries, target *view.Member, resp *wire.Response, err error) {
	kind := outcome.Of(err)
	if x.attempts != "" {
		x.attempts += " "
	}
	x.attempts += target.Slot + ":" + kind.String()
	if err != nil {
		t.skip[target.Incarnation] = true
	}
	if err == nil && x.req.GetKey() != "" && resp.GetGeneration() > x.req.GetGeneration() {
		s.learned.Note(view.ShardID{Service: x.req.GetService(), Shard: x.req.GetShard()}, resp.GetGeneration(), target)
		s.changes.Notify()
	}
}

// server returns what is known of a member's server.
func (s *sender) server(m *view.Member, v *view.View) *spread.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.servers[m.Incarnation]
	if !ok {
		s.forgetOld(v)
		st = &spread.Server{Near: m.DataCentre == s.centre, Slots: int(m.Slots)}
		s.servers[m.Incarnation] = st
	}
	return st
}

// forgetOld drops what is known of incarnations that are no members any more. The
// caller holds the lock.
func (s *sender) forgetOld(v *view.View) {
	present := map[uint64]bool{}
	for _, members := range v.Servers {
		for _, m := range members {
			present[m.Incarnation] = true
		}
	}
	for inc := range s.servers {
		if !present[inc] {
			delete(s.servers, inc)
		}
	}
}

func (s *sender) sent(st *spread.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st.Sent()
}

// ended takes in the end of a try.
func (s *sender) ended(st *spread.Server, resp *wire.Response, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	st.Ended()
	if l := resp.GetLoad(); l != nil {
		st.Reported(now, spread.Report{
			Slots: int(l.GetSlots()), Load: int(l.GetRunning() + l.GetWaiting()),
			Service: time.Duration(l.GetServiceUs()) * time.Microsecond, Cold: l.GetCold(),
			Pace: float64(l.GetPacePercent()) / 100,
		})
	}
	switch kind := outcome.Of(err); {
	case kind == outcome.Draining || kind == outcome.NoOwner:
		st.Avoid(now.Add(drainingPause))
	case kind == outcome.OwnerUnreachable:
		st.Avoid(now.Add(unreachablePause))
	case kind == outcome.OK:
		st.Outcome(now, resp.GetStatus() >= 500)
	case kind == outcome.BackendShed || kind == outcome.BackendError || kind == outcome.AnswerCut || kind == outcome.ConnectionLost:
		st.Outcome(now, true)
	}
}
