// Package owner runs requests on the backend server beside the daemon, for the
// shards that the daemon owns.
package owner

import (
	"sync"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
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

// executor is the traffic side of ownership.
//
// Invariant: after quiesce of a shard under a token was posted, no request of
// the shard is dispatched under that token.
type executor struct {
	control kernel.Control
	clock   clock.Clock
	log     *zap.Logger
	limits  settings.Limits
	load    kernel.LoadMeter
	backend *backend
	grants  *grants
	gate    *gate
	ids     *ids

	moves []func() // of request ids by splits and merges since the last view; control goroutine only

	mu       sync.Mutex
	running  *inflight
	closed   map[view.ShardID]uint64 // newest token under which the shard was quiesced
	draining map[view.ShardID]control.Quiesce
	report   kernel.BackendReport // newest announcement
}

func newExecutor(c kernel.Control, clk clock.Clock, load kernel.LoadMeter, suspects kernel.Suspects, set settings.Daemon, log *zap.Logger) *executor {
	b := newBackend(c, clk, suspects, set.Limits.BackendConns)
	return &executor{
		control:  c,
		clock:    clk,
		log:      log.Named("owner"),
		limits:   set.Limits,
		load:     load,
		backend:  b,
		grants:   newGrants(b.sendGrant),
		gate:     newGate(clk, set),
		ids:      newIDs(clk, set.Limits.RequestIDs),
		running:  newInflight(),
		closed:   map[view.ShardID]uint64{},
		draining: map[view.ShardID]control.Quiesce{},
	}
}

// HandleEffect implements kernel.EffectHandler.
//
// Shards of the keeper service have no requests; their keeper answers Quiesce.
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
		e.ids.announceMerge(ef)
		e.moves = append(e.moves, func() { e.ids.merge(ef) })
	case control.Publish:
		e.finishMoves()
		e.gate.withdraw(func(id view.ShardID) bool { return !holds(ef.View, id) })
	}
}

func holds(v *view.View, id view.ShardID) bool {
	_, ok := v.Held[id]
	return ok
}

// takeOver starts the shard's request-id history before the view shows the
// shard as held.
func (e *executor) takeOver(t control.TakeOver) {
	if t.From != (view.ShardID{}) {
		e.moves = append(e.moves, func() { e.ids.split(t) })
	} else {
		e.ids.acquire(t, e.control.View())
	}
	if e.checksFence() {
		go e.grants.request(grantKey{t.Shard, t.Token})
	}
}

// finishMoves moves request ids between the shards of splits and merges, in
// their order, now that the view shows them: no request of such a key is
// dispatched under its former shard any more. Those that waited there find their
// place again.
func (e *executor) finishMoves() {
	for _, move := range e.moves {
		move()
	}
	e.moves = e.moves[:0]
}

// quiesce closes the shard for its token and reports when nothing runs any
// more. The shard's waiting requests are refused at once.
func (e *executor) quiesce(q control.Quiesce) {
	e.mu.Lock()
	e.closed[q.Shard] = max(e.closed[q.Shard], q.Token)
	idle := !e.running.busy(q.Shard, e.control.View())
	if !idle {
		e.draining[q.Shard] = q
	}
	e.mu.Unlock()
	e.gate.withdraw(func(id view.ShardID) bool { return id == q.Shard })
	if idle {
		go e.postQuiesced(q)
	}
}

func (e *executor) postQuiesced(q control.Quiesce) {
	e.control.Post(control.Quiesced{Shard: q.Shard, Token: q.Token, Marks: e.ids.marks(q.Shard)})
}

// check returns the standing of a key's shard in the newest view.
func (e *executor) check(fl flight) (view.Held, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.checkLocked(e.control.View(), fl)
}

// checkLocked looks the key up again: an entry daemon that has not read a split
// or merge names the shard that held the key before.
func (e *executor) checkLocked(v *view.View, fl flight) (view.Held, error) {
	id := fl.shard
	if shardOf(v, id.Service, fl.keyHash) != id {
		return view.Held{}, outcome.New(outcome.NotOwner, "the key belongs to another shard than %s/%d", id.Service, id.Shard)
	}
	held, ok := v.Held[id]
	if !ok {
		return view.Held{}, outcome.New(outcome.NotOwner, "shard %s/%d", id.Service, id.Shard)
	}
	if e.closed[id] >= held.Token {
		return view.Held{}, outcome.New(outcome.NotOwner, "shard %s/%d is handed over", id.Service, id.Shard)
	}
	if !v.Lease.Valid(e.clock.Now()) {
		return view.Held{}, outcome.New(outcome.LeaseLost, "shard %s/%d", id.Service, id.Shard)
	}
	return held, nil
}

// enter counts a request of the shard as running, if the shard is held under
// token now. It returns the request's number for exit, and the lease under which
// the shard is held: after a pause the newest view may be of another incarnation,
// whose lease says nothing about this shard.
func (e *executor) enter(fl flight, token uint64) (uint64, *view.LeaseCell, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.control.View()
	held, err := e.checkLocked(v, fl)
	if err != nil {
		return 0, nil, err
	}
	if held.Token != token {
		return 0, nil, outcome.New(outcome.NotOwner, "shard %s/%d changed hands", fl.shard.Service, fl.shard.Shard)
	}
	return e.running.begin(fl), v.Lease, nil
}

// exit ends a request and reports the shards for which it was the last one.
func (e *executor) exit(number uint64) {
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

// Running implements kernel.BackendObserver.
func (e *executor) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running.flights)
}

// BackendReported implements kernel.BackendObserver.
func (e *executor) BackendReported(r kernel.BackendReport) {
	e.mu.Lock()
	last := e.report
	e.report = r
	e.mu.Unlock()
	restarted := last.BootID != r.BootID || last.Addr != r.Addr
	if restarted {
		e.grants.forget()
		e.backend.restarted(r.BootID)
	}
	e.load.Announced(r.Running)
	slots := int(r.Slots)
	if r.Connections > 0 {
		slots = min(slots, int(r.Connections))
	}
	e.gate.announced(min(slots, e.limits.BackendConns))
	if restarted || r.Cold && !last.Cold {
		e.log.Info("cold start", zap.String("backend_server", r.Name), zap.String("boot_id", r.BootID))
		e.gate.turnCold()
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
