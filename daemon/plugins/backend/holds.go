package backend

import (
	"context"
	"errors"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/dialect"
	"github.com/sesamemoor/sesamemoor/core/hold"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

const (
	// holdInterval is the time between looks at the grants that are due: a small
	// part of a lease's renewal interval.
	holdInterval = 50 * time.Millisecond
	// grantTimeout bounds the wait for the answer to a grant, which a server
	// gives at once if it gives one.
	grantTimeout = 400 * time.Millisecond
	// grantsAtOnce bounds the grants on their way.
	grantsAtOnce = 4
	// releaseSlack is the time that the answer to a release may take after the
	// keys' time ran out at the latest.
	releaseSlack = 300 * time.Millisecond
	// settlePause is the time between looks at what a release waits for.
	settlePause = 10 * time.Millisecond
)

func startHolds(lc fx.Lifecycle, e *executor) { kernel.Background(lc, e.keepHolds) }

// kickHolds makes the next look at the grants come at once.
func (e *executor) kickHolds() {
	select {
	case e.kick <- struct{}{}:
	default:
	}
}

// keepHolds sends grants as they become due.
func (e *executor) keepHolds(ctx context.Context) {
	ticker := time.NewTicker(holdInterval)
	defer ticker.Stop()
	room := make(chan struct{}, grantsAtOnce)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.kick:
		}
		s, due := e.dueGrants()
		for _, g := range due {
			room <- struct{}{}
			go func() {
				defer func() { <-room }()
				e.grant(ctx, s, g)
			}()
		}
	}
}

// dueGrants returns the grants to be sent now and the server to send them to.
func (e *executor) dueGrants() (*server, []hold.Grant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil || e.server.down {
		return nil, nil
	}
	v := e.control.View()
	return e.server, e.holds.Due(e.clock.Now(), v.Lease.Deadline())
}

// grant sends one grant, if the shard and the lease are still held.
func (e *executor) grant(ctx context.Context, s *server, g hold.Grant) {
	sent, keys, ok := e.startGrant(&g)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	err := e.client.grant(ctx, s, keys, g, sent.Add(hold.SendWithin))
	switch {
	case err == nil:
		e.granted(s, g, sent)
	case errors.Is(err, errUnsent):
		e.grantUnsent(g)
	case errors.Is(err, dialect.ErrFenced):
		e.mu.Lock()
		e.holds.Refused(g)
		e.mu.Unlock()
		e.log.Error("grant refused", zap.String("service", g.Shard.Service), zap.Uint32("shard", g.Shard.Shard),
			zap.Uint64("generation", g.Token), zap.Error(err))
	default:
		e.grantFailed(g, e.clock.Now())
		e.log.Warn("grant without answer", zap.String("service", g.Shard.Service), zap.Uint32("shard", g.Shard.Shard),
			zap.Uint64("generation", g.Token), zap.Duration("hold", g.Hold), zap.Error(err))
		e.noteFailure(s, err)
	}
}

// startGrant works out a grant at the moment of its sending.
func (e *executor) startGrant(g *hold.Grant) (clock.Instant, dialect.KeyRange, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.control.View()
	keys, ok := rangeOf(v, g.Shard, g.Token)
	now := e.clock.Now()
	deadline := v.Lease.Deadline()
	if held, shown := v.Held[g.Shard]; !ok || !shown || held.Token != g.Token {
		deadline = 0
	}
	return now, keys, e.holds.Start(g, now, deadline)
}

func (e *executor) granted(s *server, g hold.Grant, sent clock.Instant) {
	e.mu.Lock()
	first := !e.holds.Holds(sent, g.Shard, g.Token)
	e.holds.Answered(g, sent)
	e.mu.Unlock()
	e.serverAnswered(s)
	if first {
		e.holdLog.note("keys granted", g.Shard, g.Token, g.Handover != "")
	}
}

// grantUnsent has the grant worked out anew.
func (e *executor) grantUnsent(g hold.Grant) {
	e.mu.Lock()
	e.holds.Unsent(g, e.clock.Now())
	e.mu.Unlock()
	e.counters.unsentGrants.Add(1)
}

func (e *executor) grantFailed(g hold.Grant, now clock.Instant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holds.Failed(g, now)
}

// noteFailure takes in a call that failed: a refused connection ends a life.
func (e *executor) noteFailure(s *server, err error) {
	if isRefused(err) {
		e.serverLost(s, "connection refused", true)
		return
	}
	e.serverDeaf(s, err)
}

// rangeOf returns the keys of a shard.
func rangeOf(v *view.View, id view.ShardID, token uint64) (dialect.KeyRange, bool) {
	svc, ok := v.Services[id.Service]
	if !ok || svc.KeySpace == 0 {
		return dialect.KeyRange{}, false
	}
	first, last := svc.Range(id.Shard)
	return dialect.KeyRange{First: first, Last: last, Token: token}, true
}

// quiesce closes the shard for its token, takes its keys back from the server,
// and reports when nothing runs any more.
func (e *executor) quiesce(q control.Quiesce) {
	e.mu.Lock()
	e.closed[q.Shard] = max(e.closed[q.Shard], q.Token)
	e.holds.Close(q.Shard, q.Token)
	s := e.server
	e.mu.Unlock()
	e.turns.withdraw(func(id view.ShardID) bool { return id == q.Shard },
		outcome.New(outcome.NotOwner, "the shard is handed over"))
	go e.takeBack(q, s)
}

// takeBack ends the server's hold of a shard. The control state learns of it once
// the server holds the keys no more and no request of the shard runs.
func (e *executor) takeBack(q control.Quiesce, s *server) {
	handover := ""
	e.mu.Lock()
	over := e.lifeOver(s)
	e.mu.Unlock()
	if !over {
		handover = e.release(q, s)
	}
	e.await(func() bool { return e.lifeOver(s) || e.running[q.Shard] == 0 })
	e.mu.Lock()
	e.holds.Drop(q.Shard, q.Token)
	e.mu.Unlock()
	e.holdLog.note("keys taken back", q.Shard, q.Token, handover != "")
	e.control.Post(control.Quiesced{Shard: q.Shard, Token: q.Token, Handover: handover})
}

// release asks the server to give the keys back and returns its handover token.
// Without an answer the keys' time must run out.
func (e *executor) release(q control.Quiesce, s *server) string {
	e.await(func() bool { return !e.holds.Sending(q.Shard, q.Token) })
	e.mu.Lock()
	gone := e.holds.GoneBy(q.Shard, q.Token)
	e.mu.Unlock()
	now := e.clock.Now()
	keys, ok := rangeOf(e.control.View(), q.Shard, q.Token)
	if !ok || gone <= now {
		return "" // the server holds nothing
	}
	ctx, cancel := context.WithTimeout(context.Background(), gone.Sub(now)+releaseSlack)
	defer cancel()
	handover, err := e.dialect.Release(ctx, e.client.releases, s.addr, keys)
	if err == nil {
		e.serverAnswered(s)
		e.mu.Lock()
		gone = e.holds.ReleasedBy(q.Shard, q.Token)
		e.mu.Unlock()
	} else {
		handover = ""
		e.log.Warn("release without answer", zap.String("service", q.Shard.Service),
			zap.Uint32("shard", q.Shard.Shard), zap.Uint64("generation", q.Token), zap.Error(err))
		if isRefused(err) {
			e.serverLost(s, "connection refused", true)
		}
	}
	e.await(func() bool { return e.clock.Now() >= gone || e.lifeOver(s) })
	return handover
}

// lifeOver reports whether a life of the server is over. The caller holds the
// lock.
func (e *executor) lifeOver(s *server) bool { return s == nil || s.dead || s != e.server }

// await waits until a condition holds that is looked at under the lock.
func (e *executor) await(condition func() bool) {
	for {
		e.mu.Lock()
		met := condition()
		e.mu.Unlock()
		if met {
			return
		}
		time.Sleep(settlePause)
	}
}
