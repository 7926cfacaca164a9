package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/loadbalance"
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
	// maxDeclines is the number of daemons that may decline a request for a
	// service without keys, which then has not reached a backend server, before it
	// is refused.
	maxDeclines = 3
	// ownerWaitShare is the longest wait for the owner of a key whose shard is
	// being transferred, as a fraction of the time left to the latency target or, once
	// that has passed, to the deadline.
	ownerWaitShare = 0.35
	// maxOwnerWait bounds that wait: a longer one means that the owner was lost, not
	// that the shard is being transferred.
	maxOwnerWait = 250 * time.Millisecond
	// ownerRetryInterval is the time after which owner and standby are tried again
	// although the placement did not change: about the duration of a release and
	// its takeover.
	ownerRetryInterval = 40 * time.Millisecond
	// unreachableBackoff is the time for which an unreachable daemon is avoided
	// while others are available.
	unreachableBackoff = 1 * time.Second
	// drainingBackoff is the time for which a daemon is avoided that is draining or
	// has no backend server: longer than the other daemons take to read this from
	// the log.
	drainingBackoff = 2 * time.Second
)

// sender forwards requests to the daemons of the backend servers that are to run
// them, and retries. It is safe for concurrent use.
type sender struct {
	control        kernel.Control
	forwarder      *routing.Forwarder
	repeats        *routing.Repeats
	clock          clock.Clock
	dataCentre     string
	placementWatch *routing.PlacementWatch
	learnedOwners  *routing.LearnedOwners
	notices        *routing.Notices
	rollouts       kernel.Rollouts // nil without roll-outs

	mu          sync.Mutex
	serverStats map[uint64]*loadbalance.Server // by incarnation
}

func newSender(set settings.Daemon, c kernel.Control, p kernel.Peers, x kernel.Executor, r *routing.Repeats, clk clock.Clock) *sender {
	return &sender{
		control: c, forwarder: routing.NewForwarder(c, p, x, r, clk), repeats: r, clock: clk, dataCentre: set.DataCentre,
		placementWatch: routing.NewPlacementWatch(c), learnedOwners: routing.NewLearnedOwners(), notices: routing.NewNotices(),
		serverStats: map[uint64]*loadbalance.Server{},
	}
}

// retryState is the state of one request across its attempts.
type retryState struct {
	declines      int
	sends         routing.Sends
	failedMembers map[uint64]bool // by incarnation; not chosen again without a key
	useStandby    bool            // the next attempt at a key goes to the standby
	serverFailure *wire.Response  // the backend server's own 5xx response, returned if no later attempt succeeds
	failures      retry.Failures
	version       kernel.VersionChoice

	ownerDeadline time.Time // end of the wait for the owner of a key; zero before the first retry
}

// send attempts the request until it is answered, must not be retried, or its
// deadline passes.
func (s *sender) send(ctx context.Context, x *exchange) (*wire.Response, error) {
	s.repeats.RecordRequest(x.req)
	state := &retryState{failedMembers: map[uint64]bool{}}
	defer s.repeats.End(&state.sends)
	for {
		resp, err := s.attempt(ctx, x, state)
		if err == nil {
			x.answerAttempt = x.req.GetAttempt()
		}
		if err == nil && !(resp.GetStatus() >= 500 && x.req.GetIdempotent()) {
			return resp, nil
		}
		if err == nil {
			state.serverFailure = resp
		}
		kind := outcome.KindOf(err)
		if err != nil {
			state.failures.Add(err)
		}
		if !s.mayRetry(ctx, x, state, kind) {
			return state.final(resp, err)
		}
	}
}

// final returns the result after the last attempt. It prefers the backend server's
// own 5xx response to an error of this system, and reports "not run" only if no
// attempt may have run.
func (state *retryState) final(resp *wire.Response, err error) (*wire.Response, error) {
	if state.serverFailure != nil {
		return state.serverFailure, nil
	}
	return resp, state.failures.Result(err)
}

// mayRetry reports whether the request may be attempted once more. For a request
// with a key it first waits until owner or standby should be tried again.
func (s *sender) mayRetry(ctx context.Context, x *exchange, state *retryState, kind outcome.Kind) bool {
	if ctx.Err() != nil {
		return false
	}
	if state.sends.LastArrived() {
		repeatable := x.req.GetIdempotent() || kind.Answer().Ran == outcome.NotRun
		if !repeatable || kind == outcome.DeadlineMaybeRan || state.sends.Arrived() >= max(int(x.route.MaxTries), 1) || !s.repeats.Allow(x.req, &state.sends) {
			return false
		}
		return kind != outcome.Misdirected || s.awaitOwner(ctx, x, state)
	}
	keyless := s.control.View().Config.Services[x.req.GetService()].Keyless
	switch kind {
	case outcome.Overloaded, outcome.Draining, outcome.OwnerUnreachable, outcome.NoOwner, outcome.NotOwner,
		outcome.LeaseLost, outcome.Fenced:
	default:
		return false
	}
	if keyless {
		state.declines++
		return state.declines < maxDeclines
	}
	return kind != outcome.Overloaded && s.awaitOwner(ctx, x, state)
}

// awaitOwner switches the next attempt between owner and standby. The first call
// returns at once, later ones after a change of the placement or after
// ownerRetryInterval. It returns false when ctx or the wait for the owner is over.
func (s *sender) awaitOwner(ctx context.Context, x *exchange, state *retryState) bool {
	state.useStandby = !state.useStandby
	if state.ownerDeadline.IsZero() {
		remaining := time.Until(x.targetTime)
		if remaining <= 0 { // the latency target has passed; answer before the deadline
			remaining = time.Until(x.limit)
		}
		wait := time.Duration(ownerWaitShare * float64(remaining))
		state.ownerDeadline = time.Now().Add(min(wait, maxOwnerWait))
		return true
	}
	remaining := time.Until(state.ownerDeadline)
	if remaining <= 0 {
		return false
	}
	changed, done := s.placementWatch.Wait()
	defer done()
	timer := time.NewTimer(min(remaining, ownerRetryInterval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// attempt sends the request to one daemon. If the response is a refusal, it returns
// the response and an error of the same kind.
func (s *sender) attempt(ctx context.Context, x *exchange, state *retryState) (*wire.Response, error) {
	if edge.CallerLeft(ctx) {
		return nil, edge.ErrCallerLeft
	}
	v := s.control.View()
	var target *view.Member
	var err error
	if v.Config.Services[x.req.GetService()].Keyless {
		target, err = s.chooseServer(v, x, state)
	} else {
		target, err = s.chooseOwner(v, x, state)
	}
	if err != nil {
		return nil, err
	}
	x.lastTarget = target
	x.req.Attempt++
	if err := setTimeouts(x); err != nil {
		return nil, err
	}
	stats := s.statsOf(target, v)
	s.countSent(stats)
	sent := s.notices.Of(s.clock.Now(), target.BackendName)
	x.req.Notice = sent
	var count func(*wire.Response, error)
	if s.rollouts != nil {
		count = s.rollouts.Sent(v, x.req, target)
	}
	resp, err := s.forwarder.Call(ctx, v, target, x.req, &state.sends)
	if err == nil {
		err = answer.Check(resp)
	}
	if count != nil {
		count(resp, err)
	}
	s.notices.Record(s.clock.Now(), target.BackendName, sent, resp)
	s.recordResult(stats, resp, err)
	s.recordAttempt(x, state, target, resp, err)
	return resp, err
}

// chooseServer returns the member whose backend server is to run a request without
// a key.
func (s *sender) chooseServer(v *view.View, x *exchange, state *retryState) (*view.Member, error) {
	members := v.Servers[x.req.GetService()]
	var allowed func(*view.Member) bool
	if s.rollouts != nil {
		allowed = s.rollouts.Allowed(v, x.req, &state.version, func(m *view.Member) bool {
			return !state.failedMembers[m.Incarnation] && !s.avoided(m, v)
		})
	}
	stats := make([]*loadbalance.Server, len(members))
	for i, m := range members {
		stats[i] = s.statsOf(m, v)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	excluded := func(i int) bool {
		return state.failedMembers[members[i].Incarnation] || v.Config.DataCentres[members[i].DataCentre].Out ||
			allowed != nil && !allowed(members[i])
	}
	i := loadbalance.Choose(s.clock.Now(), stats, excluded, time.Until(x.targetTime), x.transfer.size)
	if i < 0 {
		return nil, outcome.New(outcome.NoOwner, "no backend server of the service is known")
	}
	return members[i], nil
}

// chooseOwner returns the owner of the request's key. It returns the standby if the
// retry state says so, or if this daemon is the standby and has taken the shard
// over.
func (s *sender) chooseOwner(v *view.View, x *exchange, state *retryState) (*view.Member, error) {
	id, shard, ok := v.LookupNumber(x.req.GetService(), x.req.GetNumberKey())
	if !ok {
		return nil, outcome.New(outcome.NoOwner, "service %s has no placement", x.req.GetService())
	}
	shard = s.learnedOwners.Apply(id, shard)
	x.req.Shard = id.Shard
	x.req.Generation = shard.Generation
	target := shard.Owner
	if shard.Standby != nil && (state.useStandby || v.TookOver(id, shard)) {
		target = shard.Standby
	}
	if target == nil {
		return nil, outcome.New(outcome.NoOwner, "shard %s/%d has no owner", id.Service, id.Shard)
	}
	return target, nil
}

// setTimeouts sets the time left until the deadline and until the latency target,
// in milliseconds, for the daemon that receives the request.
func setTimeouts(x *exchange) error {
	remaining := time.Until(x.limit) - routing.ResponseMargin - x.transfer.time
	if remaining < time.Millisecond {
		return outcome.New(outcome.DeadlineNotRun, "deadline passed")
	}
	x.req.TimeoutMs = uint64(remaining.Milliseconds())
	x.req.TargetMs = (time.Until(x.targetTime) - x.transfer.time).Milliseconds()
	return nil
}

// recordAttempt adds an attempt to the request's log line. It records that the target
// failed, or that it owns the shard if its response has a newer generation than the
// request.
func (s *sender) recordAttempt(x *exchange, state *retryState, target *view.Member, resp *wire.Response, err error) {
	kind := outcome.KindOf(err)
	if x.attemptLog != "" {
		x.attemptLog += " "
	}
	x.attemptLog += target.Slot + ":" + kind.String()
	if err != nil {
		state.failedMembers[target.Incarnation] = true
	}
	if err == nil && x.req.GetKey() != "" && resp.GetGeneration() > x.req.GetGeneration() {
		s.learnedOwners.Record(view.ShardID{Service: x.req.GetService(), Shard: x.req.GetShard()}, resp.GetGeneration(), target)
		s.placementWatch.Notify()
	}
}

// statsOf returns the load statistics of a member's backend server.
func (s *sender) statsOf(m *view.Member, v *view.View) *loadbalance.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.serverStats[m.Incarnation]
	if !ok {
		s.dropStaleStats(v)
		st = &loadbalance.Server{Near: m.DataCentre == s.dataCentre, Slots: int(m.Slots)}
		s.serverStats[m.Incarnation] = st
	}
	return st
}

// avoided reports whether a member's backend server is chosen only if there is no other.
func (s *sender) avoided(m *view.Member, v *view.View) bool {
	stats := s.statsOf(m, v)
	s.mu.Lock()
	defer s.mu.Unlock()
	return stats.Avoided(s.clock.Now())
}

// dropStaleStats deletes the statistics of incarnations that are no longer
// members. The caller holds the lock.
func (s *sender) dropStaleStats(v *view.View) {
	present := map[uint64]bool{}
	for _, members := range v.Servers {
		for _, m := range members {
			present[m.Incarnation] = true
		}
	}
	for incarnation := range s.serverStats {
		if !present[incarnation] {
			delete(s.serverStats, incarnation)
		}
	}
}

func (s *sender) countSent(st *loadbalance.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st.Sent()
}

// recordResult updates the statistics with the result of an attempt.
func (s *sender) recordResult(st *loadbalance.Server, resp *wire.Response, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	st.Ended()
	if load := resp.GetLoad(); load != nil {
		st.ApplyReport(now, loadbalance.Report{
			Slots: int(load.GetSlots()), Load: int(load.GetRunning() + load.GetWaiting()),
			Service: time.Duration(load.GetServiceUs()) * time.Microsecond, Cold: load.GetCold(),
			Slowdown: float64(load.GetPacePercent()) / 100, NextStart: time.Duration(load.GetNextStartMs()) * time.Millisecond,
			LinkBacklog: time.Duration(load.GetLinkBacklogMs()) * time.Millisecond, LinkKbps: float64(load.GetLinkKbps()),
		})
	}
	switch kind := outcome.KindOf(err); {
	case kind == outcome.Draining || kind == outcome.NoOwner:
		st.Avoid(now.Add(drainingBackoff))
	case kind == outcome.OwnerUnreachable:
		st.Avoid(now.Add(unreachableBackoff))
	case kind == outcome.OK:
		st.RecordOutcome(now, resp.GetStatus() >= 500)
	case kind == outcome.BackendShed || kind == outcome.BackendError || kind == outcome.AnswerCut ||
		kind == outcome.ConnectionLost || kind == outcome.BackendReset:
		st.RecordOutcome(now, true)
	}
}
