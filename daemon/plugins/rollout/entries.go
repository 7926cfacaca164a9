package rollout

import (
	"context"
	"math"
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
	// silence is the time without an answer of any server of the old version after which they are
	// taken to be gone, if the completion is decided. With the validity of an answer it leaves
	// half a second of the 2 s within which requests must be served again.
	silence = 300 * time.Millisecond
	// maxAsked is the number of daemons that are asked at once for the end of a roll-out, so
	// that one of them that is lost, too, does not delay the answer.
	maxAsked = 3
)

// allServers is the number of servers in an answer once the completion is decided. The daemon
// in charge does not take the decision back, but the end is not recorded yet.
const allServers = math.MaxUint32

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
	// unansweredSince is the time of the first request to the old version after its last answer,
	// of those sent without a valid answer of the daemon in charge; 0 if there is none.
	unansweredSince atomic.Int64

	// The fields below are used by one report at a time.
	inFlight   atomic.Bool
	nextReport clock.Instant
	sequence   uint64
	unreported *wire.RolloutReport // whose answer did not arrive

	asking  atomic.Bool
	nextAsk clock.Instant // not read or written while others are asked, apart from that goroutine

	applying sync.Mutex // held while known is replaced
}

// knowledge is what the answers of the daemon in charge said. It is immutable, apart from
// the picker's position.
type knowledge struct {
	newest uint64 // newest order that the daemon in charge knows
	run    *running
	last   *ended
	picker *rollout.Picker // of run
	answer rollout.Answer  // that the picker has
	// oldFailed is set when a server of the old version has failed although the answer is not
	// valid any more. It stays set until the next answer: an attempt at a server that has
	// stopped may cost a request its deadline.
	oldFailed atomic.Bool
	// serversOf caches the servers of the new version that get requests.
	serversOf atomic.Pointer[selection]
}

// completing reports whether the roll-out is known to be decided as completed.
func (k *knowledge) completing() bool { return k.run != nil && k.answer.Servers == allServers }

// expired reports whether the roll-out is running without a valid answer.
func (k *knowledge) expired(now clock.Instant) bool {
	return k.run != nil && !now.Before(k.answer.Until)
}

// selection is the servers of the new version that get requests, of the members that it
// was made from.
type selection struct {
	members []*view.Member
	n       int
	chosen  []*view.Member
}

func newEntries(p params, c *coordinator) *entries {
	e := &entries{
		enabled: enabled(p.Settings), control: p.Control, peers: p.Peers, clock: p.Clock, log: p.Log.Named("rollout"), coordinator: c,
		slot: p.Settings.Slot, seed: xxhash.Sum64String(p.Settings.Slot),
		holdout:  holdout{time: seconds(p.Settings.Bounds.ConfigApplyS)},
		services: map[string]*entry{},
	}
	c.known = e.knowledge
	return e
}

// knowledge returns what is known of a service's roll-out, or nil.
func (e *entries) knowledge(service string) *knowledge {
	if s := e.of(service, false); s != nil {
		return s.known.Load()
	}
	return nil
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
		if len(old) == 0 {
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
		case len(new) > 0 && s.oldIsGone(now, k, old, usable):
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
// some: the answer is not valid any more, the completion is decided, and one of them is
// unreachable, has failed or does not answer. At a completion all servers of the old version
// stop at once, which may include the daemon in charge and is known from the log only when their
// leases have lapsed. Without the decision the new version may have been rolled back, whatever
// share it had, so that others are asked first.
func (s *entry) oldIsGone(now clock.Instant, k *knowledge, old []*view.Member, usable func(*view.Member) bool) bool {
	return k.expired(now) && k.completing() && len(old) > 0 &&
		(k.oldFailed.Load() || s.oldIsSilent(now) || slices.ContainsFunc(old, func(m *view.Member) bool { return !usable(m) }))
}

// oldIsSilent reports whether the servers of the old version do not answer.
func (s *entry) oldIsSilent(now clock.Instant) bool {
	since := clock.Instant(s.unansweredSince.Load())
	return since != 0 && now.Sub(since) >= silence
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
	old := func(k *knowledge) bool { // it is sent to the old version without a valid answer
		return k.expired(e.clock.Now()) && version != k.run.to || k.run == nil && order != nil && version != order.To
	}
	if old(s.known.Load()) {
		s.unansweredSince.CompareAndSwap(0, int64(sent))
	}
	return func(resp *wire.Response, err error) {
		answered, failed := judge(resp, err)
		if k := s.known.Load(); old(k) {
			s.recordOld(k, err)
		}
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

// recordOld records what the result of a request tells of the servers of the old version.
func (s *entry) recordOld(k *knowledge, err error) {
	switch outcome.KindOf(err) {
	case outcome.OK:
		s.unansweredSince.Store(0)
	case outcome.OwnerUnreachable, outcome.NoOwner, outcome.Draining, outcome.ConnectionLost, outcome.BackendCrashed,
		outcome.BackendReset, outcome.DeadlineMaybeRan:
		k.oldFailed.Store(true)
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
			if e.mustAsk(v, s) && s.asking.CompareAndSwap(false, true) {
				e.reporting.Go(func() {
					defer s.asking.Store(false)
					e.ask(ctx, v, s)
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
		e.learn(v, s, answer)
		return
	}
	s.unansweredSince.Store(0)
	s.unreported = nil
	interval := time.Duration(answer.GetNextMs()) * time.Millisecond
	if used := clock.Instant(s.lastUsed.Load()); !e.plans(v) && (used == 0 || sent.Sub(used) >= idleTime) {
		interval = max(idleInterval, 2*intervalOf(len(v.Daemons)))
	}
	s.nextReport = sent.Add(interval)
	s.applying.Lock()
	defer s.applying.Unlock()
	e.apply(s, sent, answer)
}

func (e *entries) send(ctx context.Context, v *view.View, report *wire.RolloutReport) *wire.RolloutAnswer {
	if v.Planners[0].Incarnation == v.Incarnation {
		return e.coordinator.receive(report)
	}
	return e.call(ctx, v.Planners[0].PeerAddr, report)
}

func (e *entries) call(ctx context.Context, addr string, report *wire.RolloutReport) *wire.RolloutAnswer {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	frame, err := e.peers.Call(ctx, addr, &wire.Frame{Body: &wire.Frame_RolloutReport{RolloutReport: report}})
	if err != nil {
		e.log.Debug("report of a roll-out failed", zap.String("service", report.GetService()), zap.String("peer", addr), zap.Error(err))
		return nil
	}
	return frame.GetRolloutAnswer()
}

// mustAsk reports whether other daemons are asked for the end of a roll-out: the daemon in charge
// does not answer, the old version fails, and the completion is not known to be decided.
func (e *entries) mustAsk(v *view.View, s *entry) bool {
	k, now := s.known.Load(), e.clock.Now()
	if s.asking.Load() || now < s.nextAsk || !k.oldFailed.Load() && !s.oldIsSilent(now) {
		return false
	}
	_, undecided := k.undecided(v.Rollouts[s.service])
	return undecided && !now.Before(k.answer.Until) && !k.completing()
}

// undecided returns the order whose end is not known, if there is one: that of the roll-out, or
// the given one of the view without an answer to it.
func (k *knowledge) undecided(order fleet.RolloutOrder) (run running, ok bool) {
	switch {
	case k.run != nil:
		return *k.run, true
	case order.ID > k.newest && order.Problem == "":
		return running{order: order.ID, to: order.To}, true
	}
	return running{}, false
}

// ask asks other daemons for the end of a roll-out. The daemons beside the servers of the new
// version stay when it is completed.
func (e *entries) ask(ctx context.Context, v *view.View, s *entry) {
	s.nextAsk = e.clock.Now().Add(reportInterval)
	run, ok := s.known.Load().undecided(v.Rollouts[s.service])
	if !ok {
		return
	}
	var addrs []string
	for _, m := range v.Servers[s.service] {
		if m.Version == run.to && m.Incarnation != v.Incarnation && !slices.Contains(addrs, m.PeerAddr) {
			addrs = append(addrs, m.PeerAddr)
		}
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	var asked sync.WaitGroup
	for _, addr := range addrs[:min(len(addrs), maxAsked)] {
		asked.Go(func() {
			// Without a sequence number the report counts nothing.
			e.learn(v, s, e.call(ctx, addr, &wire.RolloutReport{Service: s.service, Slot: e.slot, Order: v.Rollouts[s.service].ID}))
		})
	}
	asked.Wait()
}

// learn applies what a daemon that is not in charge knows: a recorded end, or that the completion
// is decided.
func (e *entries) learn(v *view.View, s *entry, a *wire.RolloutAnswer) {
	s.applying.Lock()
	defer s.applying.Unlock()
	k := s.known.Load()
	run, ok := k.undecided(v.Rollouts[s.service])
	if !ok || a.GetOrder() != run.order {
		return
	}
	if rollout.State(a.GetState()) != rollout.Running {
		e.apply(s, 0, a)
		return
	}
	if a.GetServers() != allServers || k.completing() {
		return
	}
	next := &knowledge{newest: max(k.newest, run.order), run: k.run, last: k.last, picker: k.picker, answer: k.answer}
	if next.run == nil {
		next.run, next.picker = &running{order: run.order, to: a.GetTo(), from: a.GetFrom()}, rollout.NewPicker(e.seed)
	}
	next.answer.Servers = allServers // without a share: it is not an answer of the daemon in charge
	next.oldFailed.Store(k.oldFailed.Load())
	e.logCompleting(s, a)
	s.known.Store(next)
}

func (e *entries) logCompleting(s *entry, a *wire.RolloutAnswer) {
	e.log.Info("roll-out is decided as completed", zap.String("service", s.service), zap.String("to", a.GetTo()), zap.Uint64("order", a.GetOrder()))
}

// answerOf returns what this daemon knows of a roll-out, for a daemon that asks it although it is
// not in charge.
func (k *knowledge) answerOf() *wire.RolloutAnswer {
	a := &wire.RolloutAnswer{}
	switch {
	case k == nil:
	case k.completing():
		a.Order, a.State, a.To, a.From, a.Servers = k.run.order, uint32(rollout.Running), k.run.to, k.run.from, allServers
	case k.run == nil && k.last != nil:
		a.Order, a.State, a.To, a.From, a.Newest = k.last.order, uint32(k.last.state), k.last.to, k.last.from, k.newest
	}
	return a
}

// apply applies an answer to a report that was sent at the given time. The caller holds applying.
func (e *entries) apply(s *entry, sent clock.Instant, a *wire.RolloutAnswer) {
	k := s.known.Load()
	if rollout.State(a.GetState()) == rollout.Running && a.GetOrder() != 0 && k.last != nil && k.last.order == a.GetOrder() {
		return // another daemon knows its end
	}
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
		if next.completing() && !k.completing() {
			e.logCompleting(s, a)
		}
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
