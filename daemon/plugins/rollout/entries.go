package rollout

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/placement"
	"github.com/sesamemoor/sesamemoor/core/rollout"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

const (
	// idleTime is the time without a request after which a daemon reports about a service at
	// idleInterval.
	idleTime = 5 * time.Second
	// idleInterval is the interval of the reports of a daemon that sends no requests to the
	// service. It has to learn the end: the servers of the old version stop at a completion.
	idleInterval = time.Second
	// reportTimeout bounds one report including its answer.
	reportTimeout = time.Second
)

// entries is the part of roll-outs at a daemon that sends requests. It implements
// kernel.Rollouts.
type entries struct {
	enabled     bool
	control     kernel.Control
	peers       kernel.Peers
	clock       clock.Clock
	log         *zap.Logger
	coordinator *coordinator
	slot        string
	seed        uint64
	holdout     holdout
	limited     map[string]*placement.Versions // as posted last; used by run only
	reporting   sync.WaitGroup

	any      atomic.Bool // services is not empty
	mu       sync.Mutex
	services map[string]*entry
}

// entry is the state of one service.
type entry struct {
	service  string
	recorder rollout.Recorder
	lastUsed atomic.Int64 // clock.Instant of the last request
	known    atomic.Pointer[knowledge]

	// The fields below are used by one report at a time.
	inFlight   atomic.Bool
	nextReport clock.Instant
	sequence   uint64
	unreported *wire.RolloutReport // whose answer did not arrive
}

// knowledge is what the answers of the daemon in charge said. It is immutable, apart from
// the picker's position.
type knowledge struct {
	newest uint64 // newest order that the daemon in charge knows
	run    *running
	last   *ended
	picker *rollout.Picker // of run
	answer rollout.Answer  // that the picker has
	// serversOf caches the servers of the new version that get requests.
	serversOf atomic.Pointer[selection]
}

// selection is the servers of the new version that get requests, of the members that it
// was made from.
type selection struct {
	members []*view.Member
	n       int
	chosen  []*view.Member
}

func newEntries(p params, c *coordinator) *entries {
	return &entries{
		enabled: enabled(p.Settings), control: p.Control, peers: p.Peers, clock: p.Clock, log: p.Log.Named("rollout"), coordinator: c,
		slot: p.Settings.Slot, seed: xxhash.Sum64String(p.Settings.Slot),
		holdout:  holdout{time: seconds(p.Settings.Bounds.ConfigApplyS)},
		services: map[string]*entry{},
	}
}

// of returns the state of a service, or nil if there is none and create is not set.
func (e *entries) of(service string, create bool) *entry {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.services[service]
	if s == nil && create {
		s = &entry{service: service, sequence: uint64(time.Now().UnixMicro())}
		s.known.Store(&knowledge{})
		e.services[service] = s
		e.any.Store(true)
	}
	return s
}

// active returns the state of a service that has had an order since this daemon started,
// and the order that its view has, if any. It returns nil for others.
func (e *entries) active(v *view.View, service string) (*entry, *fleet.RolloutOrder) {
	order, ok := v.Rollouts[service]
	if !e.enabled || !ok && !e.any.Load() {
		return nil, nil
	}
	s := e.of(service, ok)
	if !ok {
		return s, nil
	}
	return s, &order
}

// Allowed implements kernel.Rollouts.
func (e *entries) Allowed(v *view.View, req *wire.Request, choice *kernel.VersionChoice, usable func(*view.Member) bool) func(*view.Member) bool {
	if !e.enabled {
		return nil
	}
	now, members := e.clock.Now(), v.Servers[req.GetService()]
	s, order := e.active(v, req.GetService())
	if s == nil {
		return restrict(members, e.holdout.settled(now, members))
	}
	s.lastUsed.Store(int64(now))
	k := s.known.Load()
	old, new, pending := e.divide(v, now, members, k, order)
	if k.run == nil {
		if !slices.ContainsFunc(old, usable) && len(pending) > 0 {
			old = pending
		}
		return restrict(members, old)
	}
	if choice.Order != k.run.order {
		*choice = kernel.VersionChoice{Order: k.run.order}
		choice.New, choice.Servers = k.picker.Pick(now, len(old), len(new))
	} else if choice.New && req.GetIdempotent() && len(old) > 0 {
		// A repeat goes to the old version, so that a bad one costs a caller no more than
		// an attempt.
		choice.New = false
	}
	if !choice.New {
		switch {
		case len(new) > 0 && k.oldIsGone(now, old, usable):
			old = new
		case len(old) == 0:
			old = pending
		}
		return restrict(members, old)
	}
	selected := k.selectServers(new, choice.Servers)
	if len(old) > 0 && !slices.ContainsFunc(selected, usable) {
		return restrict(members, old) // it ran at none of them
	}
	return restrict(members, selected)
}

// oldIsGone reports whether the old version is taken to have no servers although the view has
// some: the answer is not valid any more and all are unreachable, or one is and the new version had
// the whole traffic. At a completion all servers of the old version stop at once, which may
// include the daemon in charge and is known from the log only when their leases have lapsed.
func (k *knowledge) oldIsGone(now clock.Instant, old []*view.Member, usable func(*view.Member) bool) bool {
	if now.Before(k.answer.Until) {
		return false
	}
	count := 0
	for _, m := range old {
		if usable(m) {
			count++
		}
	}
	return count == 0 || count < len(old) && k.answer.Share >= 1
}

// restrict returns the function that reports whether a member is one of the allowed ones, or nil
// if all are.
func restrict(members, allowed []*view.Member) func(*view.Member) bool {
	if len(allowed) == len(members) {
		return nil
	}
	set := make(map[*view.Member]bool, len(allowed))
	for _, m := range allowed {
		set[m] = true
	}
	return func(m *view.Member) bool { return set[m] }
}

// divide divides the members of a service as split does, by what is known now.
func (e *entries) divide(v *view.View, now clock.Instant, members []*view.Member, k *knowledge, order *fleet.RolloutOrder) (old, new, pending []*view.Member) {
	if order != nil && (order.Problem != "" || order.ID <= k.newest) {
		order = nil // refused, or that of k.run
	}
	old, new, pending = split(v, members, k.last, k.run, order)
	if k.run == nil && order == nil {
		old = e.holdout.settled(now, old)
	}
	return old, new, pending
}

// selectServers returns the n members that get the share of the new version.
func (k *knowledge) selectServers(new []*view.Member, n int) []*view.Member {
	if n >= len(new) {
		return new
	}
	if c := k.serversOf.Load(); c != nil && c.n == n && slices.Equal(c.members, new) {
		return c.chosen
	}
	names := make([]string, len(new))
	for i, m := range new {
		names[i] = m.BackendName
	}
	names = rollout.Servers(k.run.order, names, n)
	chosen := slices.DeleteFunc(slices.Clone(new), func(m *view.Member) bool { return !slices.Contains(names, m.BackendName) })
	k.serversOf.Store(&selection{members: new, n: n, chosen: chosen})
	return chosen
}

// Sent implements kernel.Rollouts.
func (e *entries) Sent(v *view.View, req *wire.Request, target *view.Member) func(*wire.Response, error) {
	s, order := e.active(v, req.GetService())
	if s == nil || s.known.Load().run == nil && (order == nil || order.ID <= s.known.Load().newest) {
		return nil
	}
	s.lastUsed.Store(int64(e.clock.Now()))
	route, version, sent := req.GetRoute(), target.Version, e.clock.Now()
	s.recorder.Sent(route, version)
	return func(resp *wire.Response, err error) {
		answered, failed := judge(resp, err)
		if !answered {
			return
		}
		latency := e.clock.Now().Sub(sent)
		if us := resp.GetServiceTimeUs(); us > 0 {
			// The time at the server itself: waiting at its daemon tells nothing of its version.
			latency = time.Duration(us) * time.Microsecond
		}
		s.recorder.Answered(route, version, failed, latency)
	}
}

// judge returns whether the result of an attempt tells something of the server, and whether
// it is a failure. Refusals do not: a server that is full or cold is not a bad one, and what
// it gets is decided by the choice of servers.
func judge(resp *wire.Response, err error) (answered, failed bool) {
	switch outcome.KindOf(err) {
	case outcome.OK:
		return true, resp.GetStatus() >= 500
	case outcome.BackendError, outcome.ConnectionLost, outcome.DeadlineMaybeRan, outcome.BackendCrashed, outcome.AnswerCut:
		return true, true
	case outcome.AnswerTooLarge:
		return true, false
	}
	return false, false
}

// run records new members and sends the reports that are due.
func (e *entries) run(ctx context.Context) {
	defer e.reporting.Wait()
	every(ctx, stepInterval, func() {
		v := e.control.View()
		e.holdout.update(e.clock.Now(), v)
		if len(v.Planners) == 0 || v.Incarnation == 0 {
			return
		}
		for service := range v.Rollouts {
			e.of(service, true)
		}
		e.mu.Lock()
		services := make([]*entry, 0, len(e.services))
		for _, s := range e.services {
			services = append(services, s)
		}
		e.mu.Unlock()
		if e.plans(v) {
			e.limitVersions(v)
		}
		for _, s := range services {
			if e.due(v, s) && s.inFlight.CompareAndSwap(false, true) {
				e.reporting.Go(func() {
					defer s.inFlight.Store(false)
					e.report(ctx, v, s)
				})
			}
		}
	})
}

// plans reports whether this daemon plans the placement of its region, for which it must
// know the state of each roll-out.
func (e *entries) plans(v *view.View) bool {
	return slices.ContainsFunc(v.Planners, func(m *view.Member) bool { return m.Incarnation == v.Incarnation })
}

// due reports whether a report about a service is due.
func (e *entries) due(v *view.View, s *entry) bool {
	k, now := s.known.Load(), e.clock.Now()
	order, ok := v.Rollouts[s.service]
	undecided := k.run != nil || ok && order.ID > k.newest && order.Problem == ""
	if !undecided || s.inFlight.Load() {
		return false
	}
	if s.nextReport == 0 { // the daemons' first reports are spread over the interval that their number requires
		s.nextReport = now.Add(time.Duration(rand.Int64N(int64(intervalOf(len(v.Daemons))))))
	}
	return now >= s.nextReport
}

// report sends the counts of a service to the daemon in charge and applies its answer.
func (e *entries) report(ctx context.Context, v *view.View, s *entry) {
	sent := e.clock.Now()
	s.nextReport = sent.Add(reportInterval)
	report := s.unreported
	if report == nil {
		s.sequence++
		report = &wire.RolloutReport{Service: s.service, Slot: e.slot, Sequence: s.sequence, Counts: encodeCounts(s.recorder.Take())}
	}
	// The frame of a call that timed out may still be read, so each call has its own message.
	report = &wire.RolloutReport{
		Service: report.GetService(), Slot: report.GetSlot(), Sequence: report.GetSequence(), Counts: report.GetCounts(),
		Order: v.Rollouts[s.service].ID,
	}
	s.unreported = report
	answer := e.send(ctx, v, report)
	if !answer.GetAccepted() {
		return
	}
	s.unreported = nil
	interval := time.Duration(answer.GetNextMs()) * time.Millisecond
	if used := clock.Instant(s.lastUsed.Load()); !e.plans(v) && (used == 0 || sent.Sub(used) >= idleTime) {
		interval = max(idleInterval, 2*intervalOf(len(v.Daemons)))
	}
	s.nextReport = sent.Add(interval)
	e.apply(s, sent, answer)
}

func (e *entries) send(ctx context.Context, v *view.View, report *wire.RolloutReport) *wire.RolloutAnswer {
	if v.Planners[0].Incarnation == v.Incarnation {
		return e.coordinator.receive(report)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	frame, err := e.peers.Call(ctx, v.Planners[0].PeerAddr, &wire.Frame{Body: &wire.Frame_RolloutReport{RolloutReport: report}})
	if err != nil {
		e.log.Debug("report of a roll-out failed", zap.String("service", report.GetService()),
			zap.Uint64("in_charge", v.Planners[0].Incarnation), zap.Error(err))
		return nil
	}
	return frame.GetRolloutAnswer()
}

// apply applies an answer to a report that was sent at the given time.
func (e *entries) apply(s *entry, sent clock.Instant, a *wire.RolloutAnswer) {
	k := s.known.Load()
	next := &knowledge{newest: max(a.GetNewest(), k.newest), last: k.last}
	switch state := rollout.State(a.GetState()); {
	case a.GetOrder() == 0:
	case state != rollout.Running:
		if k.last == nil || k.last.order != a.GetOrder() || k.last.state != state {
			e.log.Info("roll-out ended", zap.String("service", s.service), zap.String("to", a.GetTo()),
				zap.Stringer("state", state), zap.Uint64("order", a.GetOrder()))
		}
		next.last = &ended{order: a.GetOrder(), state: state, to: a.GetTo(), from: a.GetFrom()}
	default:
		next.run = &running{order: a.GetOrder(), to: a.GetTo(), from: a.GetFrom()}
		if k.run != nil && k.run.order == a.GetOrder() {
			next.picker = k.picker
			next.serversOf.Store(k.serversOf.Load())
		} else {
			next.picker = rollout.NewPicker(e.seed)
		}
		next.answer = rollout.Answer{
			Decision: rollout.Decision{State: rollout.Running, Share: a.GetShare(), Servers: int(a.GetServers())},
			Until:    sent.Add(time.Duration(a.GetValidMs()) * time.Millisecond),
		}
		next.picker.Set(next.answer)
	}
	s.known.Store(next)
}

func encodeCounts(counts []rollout.Counts) []*wire.RolloutCounts {
	var out []*wire.RolloutCounts
	for _, c := range counts {
		out = append(out, &wire.RolloutCounts{
			Route: c.Route, Version: c.Version, Sent: c.Sent, Requests: c.Requests, Failures: c.Failures, Latencies: c.Latencies.Slice(),
		})
	}
	return out
}

func decodeCounts(counts []*wire.RolloutCounts) []rollout.Counts {
	out := make([]rollout.Counts, 0, len(counts))
	for _, c := range counts {
		out = append(out, rollout.Counts{
			Route: c.GetRoute(), Version: c.GetVersion(), Sent: c.GetSent(), Requests: c.GetRequests(), Failures: c.GetFailures(),
			Latencies: rollout.HistogramOf(c.GetLatencies()),
		})
	}
	return out
}

// intervalOf returns the interval of the reports of a number of daemons.
func intervalOf(daemons int) time.Duration {
	return max(reportInterval, time.Duration(daemons)*time.Second/maxReportsPerS)
}

var _ kernel.Rollouts = (*entries)(nil)
