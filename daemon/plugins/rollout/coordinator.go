package rollout

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/protocol"
	"github.com/sesamemoor/sesamemoor/core/rollout"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

const (
	// waitShare is the share of a roll-out's time for which an order waits for servers of its
	// service, of any version.
	waitShare = 0.25
	// reporterAge is the time without a report after which a daemon does not count for the
	// interval of the reports.
	reporterAge = 3 * time.Second
	// shardsMovedPerS is the rate at which the planner moves shards: 1,868 shards moved in 3.9 s
	// with six daemons at a load average of 31. firstMoves is the time that a few shards take;
	// 21 of 32 had not moved after 1.7 s at a load average of 41.
	shardsMovedPerS = 480
	firstMoves      = 2 * time.Second
	// lastStepShare bounds the part of a roll-out's time that the move of all shards gets.
	lastStepShare = 0.4
	// maxOrderAge is the time that an order may take from the operator to the daemon in charge,
	// as far as a roll-out allows for it: orderAgeShare is the part of its time that it may be.
	maxOrderAge   = time.Second
	orderAgeShare = 1. / 12
	// limitMargin is the time before the end of a roll-out's time at which a roll-out that is
	// not complete is rolled back, so that this is recorded in time.
	limitMargin = 500 * time.Millisecond
)

// coordinator is the part of roll-outs at the daemon in charge. At the other daemons it does
// nothing. It implements kernel.FrameHandler.
type coordinator struct {
	enabled  bool
	control  kernel.Control
	clock    clock.Clock
	log      *zap.Logger
	bounds   rollout.Bounds
	region   string
	statuses protocol.RolloutStatuses
	now      func() time.Time                // time of day
	wake     chan struct{}                   // something is to be written
	known    func(service string) *knowledge // of this daemon's own answers; may return nil

	mu       sync.Mutex
	inCharge bool
	asked    bool                              // a daemon has reported about a roll-out whose order may have been withdrawn
	recorded map[string]protocol.RolloutStatus // by service, as read and written; nil until they have been read
	position uint64                            // as of which recorded is complete
	stale    bool                              // recorded must be read before the next write
	rollouts map[string]*coordinated
	interval time.Duration // until the next report of a daemon
}

// coordinated is a roll-out that this daemon coordinates, or the outcome of the last one.
type coordinated struct {
	order      rollout.Order
	from       []string
	started    time.Time
	limit      clock.Instant // end of the time within which it must end
	controller *rollout.Controller
	decision   rollout.Decision
	shards     uint32        // of the service; 0 if it is keyless
	changes    uint32        // of the daemon in charge since the roll-out began
	exposure   uint64        // requests sent to the new version, as reported here
	state      rollout.State // as recorded
	newest     uint64        // newest order that was considered, valid or not
	last       *protocol.RolloutStatus
	// waitingFor is an order for a service without servers, known since waitingSince.
	waitingFor   uint64
	waitingSince clock.Instant
	endQueued    bool                     // the status of the end is or was pending
	tellUntil    clock.Instant            // until when a completion waits for the reports of daemons that were not told
	pending      []protocol.RolloutStatus // to be written, in order
	reporters    map[string]reporter      // by slot
}

// reporter is what is known of a daemon that reports.
type reporter struct {
	at          clock.Instant
	sequence    uint64
	sharedUntil clock.Instant // end of the validity of its last answer, if that has a share
	completing  bool          // it was told that the completion is decided
}

func newCoordinator(p params) *coordinator {
	c := &coordinator{
		enabled: enabled(p.Settings), control: p.Control, clock: p.Clock, log: p.Log.Named("rollout"), bounds: boundsOf(p.Settings),
		region: p.Settings.Region, statuses: p.Statuses, now: time.Now, wake: make(chan struct{}, 1), rollouts: map[string]*coordinated{},
	}
	if c.statuses == nil {
		c.statuses = &logStatuses{p.Control, p.Stream}
	}
	return c
}

// Handles implements kernel.FrameHandler.
func (c *coordinator) Handles(frame *wire.Frame) bool { return frame.GetRolloutReport() != nil }

// HandleFrame implements kernel.FrameHandler.
func (c *coordinator) HandleFrame(_ context.Context, _ string, frame *wire.Frame) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_RolloutAnswer{RolloutAnswer: c.receive(frame.GetRolloutReport())}}
}

// leads reports whether this daemon is in charge by its own view: it is the first planner
// and holds its lease, which a daemon that was frozen or cut off does not.
func (c *coordinator) leads(v *view.View, now clock.Instant) bool {
	return c.enabled && v.Incarnation != 0 && len(v.Planners) > 0 && v.Planners[0].Incarnation == v.Incarnation && v.Lease.Valid(now)
}

// receive counts a report and returns the answer.
func (c *coordinator) receive(report *wire.RolloutReport) *wire.RolloutAnswer {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := c.rollouts[report.GetService()]
	c.asked = c.asked || ch == nil
	if !c.inCharge || !c.leads(c.control.View(), now) || ch == nil || ch.newest < report.GetOrder() {
		return c.known(report.GetService()).answerOf()
	}
	known := ch.reporters[report.GetSlot()]
	if ch.controller != nil && report.GetSequence() > known.sequence {
		ch.controller.Add(now, xxhash.Sum64String(report.GetSlot()), decodeCounts(report.GetCounts()))
		for _, n := range report.GetCounts() {
			if n.GetVersion() == ch.order.To {
				ch.exposure += uint64(n.GetSent())
			}
		}
	}
	answer := c.answer(ch)
	r := reporter{at: now, sequence: max(report.GetSequence(), known.sequence), completing: answer.GetServers() == allServers}
	if answer.GetShare() > 0 {
		r.sharedUntil = now.Add(time.Duration(answer.GetValidMs()) * time.Millisecond)
	}
	ch.reporters[report.GetSlot()] = r
	return answer
}

// answer returns the answer to a report. The end of a roll-out is passed on only once it is
// recorded; before that, a rollback is in force as a share of zero.
func (c *coordinator) answer(ch *coordinated) *wire.RolloutAnswer {
	a := &wire.RolloutAnswer{
		Accepted: true, Newest: ch.newest, NextMs: uint32(c.interval.Milliseconds()),
		ValidMs: uint32(max(minValidity, 2*c.interval+reportInterval).Milliseconds()),
	}
	if ch.order.ID == 0 {
		return a // no order was valid
	}
	a.Order, a.State, a.To, a.From = ch.order.ID, uint32(ch.state), ch.order.To, ch.from
	if ch.state == rollout.Running && ch.decision.State != rollout.RolledBack {
		a.Share, a.Servers = ch.decision.Share, uint32(max(ch.decision.Servers, 0))
	}
	if ch.completing() {
		a.Servers = allServers
	}
	return a
}

// completing reports whether the completion of a keyless service is decided and not recorded.
func (ch *coordinated) completing() bool {
	return ch.state == rollout.Running && ch.decision.State == rollout.Completed && ch.shards == 0
}

// setInterval sets the time until a daemon's next report by the number of daemons that report.
func (c *coordinator) setInterval(now clock.Instant) {
	count := 0
	for _, ch := range c.rollouts {
		for _, r := range ch.reporters {
			if now.Sub(r.at) < reporterAge {
				count++
			}
		}
	}
	c.interval = intervalOf(count)
}

// run decides about all roll-outs of the region while this daemon is in charge.
func (c *coordinator) run(ctx context.Context) { every(ctx, stepInterval, c.step) }

func (c *coordinator) step() {
	v, now := c.control.View(), c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leads(v, now) {
		if c.inCharge {
			c.inCharge, c.asked, c.recorded = false, false, nil
			clear(c.rollouts)
		}
		return
	}
	c.inCharge = true
	if len(v.Rollouts) == 0 && len(c.rollouts) == 0 && !c.asked || len(v.Config.Services) == 0 {
		return
	}
	if c.recorded == nil {
		c.wakeWriter()
		return
	}
	c.setInterval(now)
	for service, order := range v.Rollouts {
		c.consider(v, now, service, order)
	}
	for service, status := range c.recorded {
		// A running order that the view does not have was withdrawn while nobody was in charge.
		running := status.State == rollout.Running || status.Last != nil && status.Last.State == rollout.Running
		if _, known := c.rollouts[service]; !known && running && c.hasRead(v, status.Order) {
			c.rollouts[service] = c.resume(now, service, v.Config.Services[service])
		}
	}
	for service, ch := range c.rollouts {
		c.advance(v, now, service, ch)
		if len(ch.pending) > 0 {
			c.wakeWriter()
		}
	}
}

// hasRead reports whether the view includes the configuration stream up to an order.
func (c *coordinator) hasRead(v *view.View, order uint64) bool {
	return logstream.OffsetOf(v.ConfigFreshness.Next()) > order
}

// consider takes up an order that is new here.
func (c *coordinator) consider(v *view.View, now clock.Instant, service string, order fleet.RolloutOrder) {
	ch := c.rollouts[service]
	if ch == nil {
		ch = c.resume(now, service, v.Config.Services[service])
		c.rollouts[service] = ch
	}
	if order.ID <= ch.newest {
		return
	}
	svc, known := v.Config.Services[service]
	if known && svc.Region != "" && svc.Region != c.region {
		ch.newest = order.ID
		return
	}
	if known && order.Problem == "" && len(v.Servers[service]) == 0 && !ch.waited(now, order) {
		return // its servers may be in another region, or not have been read yet
	}
	last := ch.ended()
	problem := order.Problem
	switch {
	case !known:
		problem = "the service is not known"
	case problem != "":
	case ch.controller != nil && ch.state == rollout.Running:
		problem = "another order for the service is running"
	default:
		problem = currentProblem(v, service, last, order.To)
	}
	ch.newest = order.ID
	if problem != "" {
		c.refuse(ch, service, order, problem, known)
		return
	}
	old, _, _ := split(v, v.Servers[service], last, nil, &order)
	from := versionsOf(old)
	if len(from) == 0 && last != nil {
		from = last.versions()
	}
	*ch = coordinated{
		order: rollout.Order{Service: service, To: order.To, Duration: order.Duration, ID: order.ID}, from: from,
		started: c.now(), shards: svc.Shards, newest: order.ID, reporters: map[string]reporter{}, last: ch.last,
	}
	if last != nil {
		ch.last = last.status(service)
	}
	c.begin(ch, now, order.Duration)
	ch.pending = append(ch.pending, c.statusOf(ch, rollout.Running))
	c.logStep(ch, "order")
}

// waited reports whether an order for a service without servers has been known for so long
// that it is decided about.
func (ch *coordinated) waited(now clock.Instant, order fleet.RolloutOrder) bool {
	if ch.waitingFor != order.ID {
		ch.waitingFor, ch.waitingSince = order.ID, now
	}
	return now.Sub(ch.waitingSince) >= time.Duration(waitShare*float64(order.Duration))
}

// begin begins the decision about a roll-out with the time that is left for it.
func (c *coordinator) begin(ch *coordinated, now clock.Instant, left time.Duration) {
	bounds := c.bounds
	bounds.ExposureSlack /= math.Exp2(float64(ch.changes)) // the exposure before is not known here
	if ch.shards > 0 {
		move := firstMoves + time.Duration(ch.shards)*time.Second/shardsMovedPerS
		bounds.LastStep = min(time.Duration(lastStepShare*float64(left)), move)
	}
	order := ch.order
	ch.limit = now.Add(left)
	left -= min(maxOrderAge, time.Duration(orderAgeShare*float64(order.Duration)))
	order.Duration = max(left, 0)
	ch.controller = rollout.NewController(now, order, bounds)
}

// currentProblem returns why a version cannot be rolled out since the service has it, or "".
func currentProblem(v *view.View, service string, last *ended, to string) string {
	if last != nil && last.state == rollout.Completed && last.to == to {
		return "the version is the current one"
	}
	members := v.Servers[service]
	if len(members) > 0 && uniform(members) && members[0].Version == to && (last == nil || last.allows(to)) {
		return "the version is the current one"
	}
	return ""
}

// refuse records that an order is not valid. It changes nothing else.
func (c *coordinator) refuse(ch *coordinated, service string, order fleet.RolloutOrder, problem string, known bool) {
	c.log.Warn("order of a roll-out refused", zap.String("service", service), zap.String("to", order.To),
		zap.Uint64("order", order.ID), zap.String("reason", problem))
	if !known {
		return
	}
	status := protocol.RolloutStatus{
		Service: service, To: order.To, State: rollout.RolledBack, Order: order.ID, Problem: problem, Region: c.region,
		Started: c.now(), Last: c.inForce(ch),
	}
	ch.pending = append(ch.pending, status)
	if ch.order.ID != 0 && ch.state == rollout.Running {
		ch.pending = append(ch.pending, c.statusOf(ch, rollout.Running)) // the newest record is again that of the order in force
	}
}

// resume returns the charge of a service as its recorded status has it.
func (c *coordinator) resume(now clock.Instant, service string, svc fleet.Service) *coordinated {
	ch := &coordinated{reporters: map[string]reporter{}}
	status, ok := c.recorded[service]
	if !ok {
		return ch
	}
	ch.newest = status.Order
	if status.Region != "" && status.Region != c.region {
		return ch // the daemon in charge is in another region
	}
	if status.Problem != "" {
		if status.Last == nil {
			return ch
		}
		status = *status.Last
	}
	ch.order = rollout.Order{Service: service, To: status.To, Duration: status.Duration, ID: status.Order}
	ch.from, ch.state, ch.started, ch.last, ch.shards = status.From, status.State, status.Started, status.Last, svc.Shards
	if status.State != rollout.Running {
		return ch
	}
	ch.changes = status.Changes + 1
	c.begin(ch, now, c.timeLeft(status))
	ch.pending = append(ch.pending, c.statusOf(ch, rollout.Running)) // so that a write of the former daemon in charge conflicts
	if k := c.known(service); ch.shards == 0 && k != nil && k.completing() && k.run.order == status.Order {
		// The former daemon in charge has decided this, and others may rely on it.
		ch.decision = rollout.Decision{State: rollout.Completed, Share: 1, Servers: len(c.control.View().Servers[service])}
	}
	c.logStep(ch, "resumed")
	return ch
}

// inForce returns the status of the service's valid order, or nil: that of the roll-out that runs, so
// that the next daemon in charge goes on with it, or the outcome of the last one.
func (c *coordinator) inForce(ch *coordinated) *protocol.RolloutStatus {
	switch {
	case ch.order.ID == 0:
		return ch.last
	case ch.state == rollout.Running:
		status := c.statusOf(ch, rollout.Running)
		return &status
	default:
		return ch.ended().status(ch.order.Service)
	}
}

// timeLeft returns the time that is left for a roll-out that another daemon began. The clocks of two
// hosts may differ: what was used of the time is at least nothing and at most all of it.
func (c *coordinator) timeLeft(status protocol.RolloutStatus) time.Duration {
	return status.Duration - min(max(c.now().Sub(status.Started), 0), status.Duration)
}

// ended returns the outcome of the service's last valid roll-out that has ended, or nil.
func (ch *coordinated) ended() *ended {
	if ch.order.ID != 0 && ch.state != rollout.Running {
		return &ended{order: ch.order.ID, state: ch.state, to: ch.order.To, from: ch.from}
	}
	if s := ch.last; s != nil {
		return &ended{order: s.Order, state: s.State, to: s.To, from: s.From}
	}
	return nil
}

func (e *ended) status(service string) *protocol.RolloutStatus {
	if e == nil {
		return nil
	}
	return &protocol.RolloutStatus{Service: service, To: e.to, From: e.from, State: e.state, Order: e.order}
}

// versions returns the versions that the outcome left the service with.
func (e *ended) versions() []string {
	if e.state == rollout.Completed {
		return []string{e.to}
	}
	return e.from
}

// advance takes the next decision about a roll-out that has not ended.
func (c *coordinator) advance(v *view.View, now clock.Instant, service string, ch *coordinated) {
	if ch.controller == nil || ch.state != rollout.Running {
		return
	}
	if ch.decision.State != rollout.Running {
		c.recordEnd(v, now, service, ch)
		return
	}
	run := &running{order: ch.order.ID, to: ch.order.To, from: ch.from}
	old, new, _ := split(v, v.Servers[service], ch.ended(), run, nil)
	if len(ch.from) == 0 && len(old) > 0 {
		ch.from = versionsOf(old)
	}
	ch.controller.SetServers(now, len(old), len(new))
	d := ch.controller.Step(now)
	if _, ok := v.Rollouts[service]; !ok && c.hasRead(v, ch.order.ID) {
		d = rollout.Decision{State: rollout.RolledBack, Reason: "the order was withdrawn"}
	}
	left := shardsOf(v, service, func(version string) bool { return version != ch.order.To })
	switch {
	case d.State == rollout.Completed && ch.shards > 0 && left > 0:
		if now < ch.limit.Add(-limitMargin) {
			d = rollout.Decision{State: rollout.Running, Share: 1, Servers: len(new), Reason: "moves the last shards: " + d.Reason}
		} else {
			d = rollout.Decision{State: rollout.RolledBack, Reason: fmt.Sprintf("%d shards have not moved in time: %s", left, d.Reason)}
		}
	case d.State == rollout.Completed:
		d.Share, d.Servers = ch.decision.Share, ch.decision.Servers // until it is recorded
	}
	changed := d.State != ch.decision.State || d.Share != ch.decision.Share || d.Servers != ch.decision.Servers
	ch.decision = d
	if changed {
		c.logStep(ch, d.Reason)
	}
	if d.State != rollout.Running {
		c.recordEnd(v, now, service, ch)
	}
}

// recordEnd queues the status of a roll-out whose end is decided. A rollback is recorded once
// nothing goes to the new version any more: no daemon has a valid answer with a share, and no
// shard has an owner of the version. A completion of a keyless service is recorded once all
// daemons that report were told that it is decided, or after two intervals of the reports: the old
// version and this daemon may stop as soon as it is recorded. Both have to be recorded before the
// time is over.
func (c *coordinator) recordEnd(v *view.View, now clock.Instant, service string, ch *coordinated) {
	if ch.endQueued {
		return
	}
	if ch.decision.State == rollout.RolledBack && now < ch.limit.Add(-limitMargin) {
		for _, r := range ch.reporters {
			if now < r.sharedUntil {
				return
			}
		}
		if ch.shards > 0 && shardsOf(v, service, func(version string) bool { return version == ch.order.To }) > 0 {
			return
		}
	}
	if ch.completing() {
		if ch.tellUntil == 0 {
			ch.tellUntil = min(now.Add(2*max(c.interval, reportInterval)), ch.limit.Add(-limitMargin))
		}
		for _, r := range ch.reporters {
			if !r.completing && now.Sub(r.at) < reporterAge && now < ch.tellUntil {
				return
			}
		}
	}
	ch.endQueued = true
	ch.pending = append(ch.pending, c.statusOf(ch, ch.decision.State))
}

// shardsOf returns the number of shards of a service whose owner has a version that matches; a
// shard without an owner has the version "".
func shardsOf(v *view.View, service string, match func(version string) bool) int {
	svc, n := v.Services[service], 0
	if svc == nil {
		return 0
	}
	for _, s := range svc.Shards[:min(int(svc.Base), len(svc.Shards))] {
		version := ""
		if s.Owner != nil {
			version = s.Owner.Version
		}
		if match(version) {
			n++
		}
	}
	return n
}

// statusOf returns the status of a roll-out in a state.
func (c *coordinator) statusOf(ch *coordinated, state rollout.State) protocol.RolloutStatus {
	return protocol.RolloutStatus{
		Service: ch.order.Service, To: ch.order.To, From: ch.from, State: state, Order: ch.order.ID,
		Started: ch.started, Duration: ch.order.Duration, Region: c.region, Last: ch.last, Changes: ch.changes,
	}
}

// logStep logs a step of a roll-out.
func (c *coordinator) logStep(ch *coordinated, reason string) {
	c.log.Info("roll-out", zap.String("service", ch.order.Service), zap.String("to", ch.order.To), zap.Strings("from", ch.from),
		zap.Uint64("order", ch.order.ID), zap.Stringer("state", ch.decision.State), zap.Float64("share", ch.decision.Share),
		zap.Int("servers", ch.decision.Servers), zap.String("reason", reason))
}

func (c *coordinator) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

var _ kernel.FrameHandler = (*coordinator)(nil)
