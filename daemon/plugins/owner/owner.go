// Package owner runs requests of the shards that this daemon owns on its
// backend server.
//
// A request is dispatched only while the daemon holds its shard under a valid
// lease, and its deadline ends before the lease does. A request id that a
// caller chose for a non-idempotent request runs at most once. With a backend
// server that checks fencing tokens, the grant of a shard is acknowledged
// before the first request of the shard.
package owner

import (
	"sync"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/liveness"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/daemon/backendconn"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
	"github.com/sesamemoor/sesamemoor/daemon/routing"
)

func init() {
	kernel.Register(kernel.Plugin{ID: "sesamemoor.owner", Interface: settings.InterfaceNative, Module: module})
}

func module() fx.Option {
	return fx.Options(
		fx.Provide(
			newExecutor,
			func(e *executor) kernel.Executor { return e },
			func(e *executor) kernel.BackendObserver { return e },
			kernel.AsEffectHandler(func(e *executor) *executor { return e }),
			kernel.AsFrameHandler(func(e *executor) *executor { return e }),
		),
		fx.Invoke(registerMetrics),
	)
}

// executor admits and dispatches requests of the shards that this daemon owns.
//
// Invariant: once quiesce has closed a shard for a token, no request of the
// shard is dispatched under that token. Quiesced is posted when none is in
// flight any more.
type executor struct {
	control   kernel.Control
	clock     clock.Clock
	log       *zap.Logger
	limits    settings.Limits
	load      kernel.LoadMeter
	backend   *backend
	grants    *grants
	admission *admission
	ids       *ids
	repeats   *routing.Repeats

	idMoves []func() // request-id moves of splits and merges since the last view; control goroutine only

	mu       sync.Mutex
	running  *inflight
	quiesced map[view.ShardID]uint64 // newest token under which each shard was quiesced
	draining map[view.ShardID]control.Quiesce
	report   kernel.BackendReport // newest announcement

	leavingSince clock.Instant // when the server first said in a response that it leaves; 0 if it did not
}

func newExecutor(c kernel.Control, clk clock.Clock, load kernel.LoadMeter, suspects kernel.Suspects, repeats *routing.Repeats, set settings.Daemon, log *zap.Logger) *executor {
	b := newBackend(c, clk, suspects, set.Limits.BackendConns)
	return &executor{
		control:   c,
		clock:     clk,
		log:       log.Named("owner"),
		limits:    set.Limits,
		load:      load,
		backend:   b,
		grants:    newGrants(b.sendGrant),
		admission: newAdmission(clk, set),
		ids:       newIDs(clk, set.Limits.RequestIDs),
		repeats:   repeats,
		running:   newInflight(),
		quiesced:  map[view.ShardID]uint64{},
		draining:  map[view.ShardID]control.Quiesce{},
	}
}

// HandleEffect implements kernel.EffectHandler.
//
// Shards of the keeper service have no requests; the keeper handles their
// Quiesce effects.
func (e *executor) HandleEffect(effect control.Effect) {
	switch ef := effect.(type) {
	case control.Quiesce:
		if ef.Shard.Service != view.KeeperService {
			e.quiesce(ef)
		}
	case control.TakeOver:
		if ef.Shard.Service != view.KeeperService {
			e.takeOver(ef)
		}
	case control.Merge:
		e.ids.startMerge(ef)
		e.idMoves = append(e.idMoves, func() { e.ids.merge(ef) })
	case control.Publish:
		e.applyIDMoves()
		e.admission.refuseLost(func(id view.ShardID) bool { return !holds(ef.View, id) })
	}
}

func holds(v *view.View, id view.ShardID) bool {
	_, ok := v.Held[id]
	return ok
}

// takeOver starts the request-id history of the shard before a view lists the
// shard as held, or after that (in applyIDMoves) if the shard was split off. It
// also sends the grant if the backend server checks fencing tokens.
func (e *executor) takeOver(t control.TakeOver) {
	if t.From != (view.ShardID{}) {
		e.idMoves = append(e.idMoves, func() { e.ids.split(t) })
	} else {
		e.ids.acquire(t, e.control.View())
	}
	if e.checksFence() {
		go e.grants.request(grantKey{t.Shard, t.Token})
	}
}

// applyIDMoves moves request ids between the shards of splits and merges, in
// order. It runs once the view contains them: requests of the moved keys are no
// longer dispatched under the previous shard. Requests that waited there are
// refused with NotOwner and rerouted.
func (e *executor) applyIDMoves() {
	for _, move := range e.idMoves {
		move()
	}
	e.idMoves = e.idMoves[:0]
}

// quiesce stops dispatch of the shard under its token and posts Quiesced once
// none of its requests is in flight. Queued requests of the shard are refused
// immediately.
func (e *executor) quiesce(q control.Quiesce) {
	e.mu.Lock()
	e.quiesced[q.Shard] = max(e.quiesced[q.Shard], q.Token)
	idle := !e.running.busy(q.Shard, e.control.View())
	if !idle {
		e.draining[q.Shard] = q
	}
	e.mu.Unlock()
	e.admission.refuseLost(func(id view.ShardID) bool { return id == q.Shard })
	if idle {
		go e.postQuiesced(q)
	}
}

func (e *executor) postQuiesced(q control.Quiesce) {
	e.control.Post(control.Quiesced{Shard: q.Shard, Token: q.Token, Marks: e.ids.marks(q.Shard)})
}

// checkOwnership returns the hold on the request's shard in the newest view. The
// error is an *outcome.Err of a kind that means the request did not run.
func (e *executor) checkOwnership(routed routedRequest) (view.Held, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.checkOwnershipLocked(e.control.View(), routed)
}

// checkOwnershipLocked is checkOwnership in view v, with e.mu held. It looks the
// key up again because an entry daemon that has not read a split or merge yet
// sends the shard that held the key before.
func (e *executor) checkOwnershipLocked(v *view.View, routed routedRequest) (view.Held, error) {
	id := routed.shard
	if shardOf(v, id.Service, routed.keyHash) != id {
		return view.Held{}, outcome.New(outcome.NotOwner, "key does not belong to shard %s/%d", id.Service, id.Shard)
	}
	held, ok := v.Held[id]
	if !ok {
		return view.Held{}, outcome.New(outcome.NotOwner, "shard %s/%d is not held by this daemon", id.Service, id.Shard)
	}
	if e.quiesced[id] >= held.Token {
		return view.Held{}, outcome.New(outcome.NotOwner, "shard %s/%d is being handed off", id.Service, id.Shard)
	}
	if !v.Lease.Valid(e.clock.Now()) {
		return view.Held{}, outcome.New(outcome.LeaseLost, "this daemon's lease, under which it holds shard %s/%d, is not valid", id.Service, id.Shard)
	}
	return held, nil
}

// beginRun adds the request to those in flight if its shard is held under token
// now. It returns the request's number for endRun and the lease under which the
// shard is held. Callers must use that lease: after a pause of the process the
// newest view may be of another incarnation, whose lease does not cover the
// shard.
func (e *executor) beginRun(routed routedRequest, token uint64) (uint64, *view.LeaseCell, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.control.View()
	held, err := e.checkOwnershipLocked(v, routed)
	if err != nil {
		return 0, nil, err
	}
	if held.Token != token {
		return 0, nil, outcome.New(outcome.NotOwner, "shard %s/%d is held under another generation", routed.shard.Service, routed.shard.Shard)
	}
	return e.running.begin(routed), v.Lease, nil
}

// endRun removes a request from those in flight and posts Quiesced for each
// draining shard that has become idle.
func (e *executor) endRun(number uint64) {
	v := e.control.View()
	var idle []control.Quiesce
	e.mu.Lock()
	e.running.end(number)
	for id, q := range e.draining {
		if !e.running.busy(id, v) {
			delete(e.draining, id)
			idle = append(idle, q)
		}
	}
	e.mu.Unlock()
	for _, q := range idle {
		e.postQuiesced(q)
	}
}

// endCheckInterval is the interval at which the end of the server's process is checked.
const endCheckInterval = 10 * time.Millisecond

// endRunLater ends a request that the server may still run although its exchange is over: at its
// deadline, by which the server ends it, or once a process that had cut its connection has ended.
func (e *executor) endRunLater(number uint64, process *backendconn.Process, end backendconn.RunEnd, until clock.Instant) {
	if end != backendconn.RunCut || process == nil {
		time.AfterFunc(until.Sub(e.clock.Now()), func() { e.endRun(number) })
		return
	}
	if process.Ended() {
		e.endRun(number)
		return
	}
	time.AfterFunc(min(endCheckInterval, until.Sub(e.clock.Now())), func() {
		if e.clock.Now() >= until {
			e.endRun(number)
			return
		}
		e.endRunLater(number, process, end, until)
	})
}

// Running implements kernel.BackendObserver.
func (e *executor) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running.byNumber)
}

// BackendReported implements kernel.BackendObserver.
func (e *executor) BackendReported(r kernel.BackendReport) {
	e.mu.Lock()
	last := e.report
	e.report = r
	restarted := last.BootID != r.BootID || last.Addr != r.Addr
	if restarted {
		e.leavingSince = 0
	}
	e.mu.Unlock()
	if restarted {
		e.admission.restart()
		e.grants.reset()
		e.backend.restarted(r.BootID)
	}
	process := e.backend.processes.Current()
	process.Announced()
	if r.Leaving {
		process.Observe(liveness.LeaveNotice)
	}
	e.load.RecordRunning(r.Running)
	slots := int(r.Slots)
	if r.Connections > 0 {
		slots = min(slots, int(r.Connections))
	}
	e.admission.applyAnnouncement(min(slots, e.limits.BackendConns))
	if restarted || r.Cold && !last.Cold {
		e.log.Info("cold start", zap.String("backend_server", r.Name), zap.String("boot_id", r.BootID))
		e.admission.markCold()
	}
}

func (e *executor) checksFence() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report.ChecksFence
}

var (
	_ kernel.Executor        = (*executor)(nil)
	_ kernel.EffectHandler   = (*executor)(nil)
	_ kernel.FrameHandler    = (*executor)(nil)
	_ kernel.BackendObserver = (*executor)(nil)
)
