package backend

import (
	"context"
	"errors"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/hold"
	"github.com/sesamemoor/sesamemoor/core/liveness"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/protocol"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/daemon/backendconn"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

const (
	// grantInterval is the interval of the check for due grants: a small part of
	// the lease's renewal interval.
	grantInterval = 50 * time.Millisecond
	// grantTimeout bounds the wait for the response to a grant, which a server
	// sends at once if it sends one.
	grantTimeout = 400 * time.Millisecond
	// maxConcurrentGrants bounds the grants in flight.
	maxConcurrentGrants = 4
	// releaseSlack is the extra time for the response to a release after the latest
	// end of the hold.
	releaseSlack = 300 * time.Millisecond
	// unknownServerDelay is the delay of a grant while the server may have restarted or resets
	// new connections: each attempt opens one.
	unknownServerDelay = 100 * time.Millisecond
	// pollInterval is the interval at which conditions are polled: those of a
	// release, and the grant that a request waits for.
	pollInterval = 10 * time.Millisecond
	// minPollInterval is the first interval of a poll that slows down to pollInterval.
	minPollInterval = time.Millisecond
)

func startGrants(lc fx.Lifecycle, e *executor) { kernel.Background(lc, e.sendDueGrants) }

// wakeGrants makes sendDueGrants check for due grants at once.
func (e *executor) wakeGrants() {
	select {
	case e.grantWake <- struct{}{}:
	default:
	}
}

// sendDueGrants sends grants as they become due, until ctx ends.
func (e *executor) sendDueGrants(ctx context.Context) {
	ticker := time.NewTicker(grantInterval)
	defer ticker.Stop()
	sem := make(chan struct{}, maxConcurrentGrants)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.grantWake:
		}
		s, due := e.dueGrants()
		for _, g := range due {
			sem <- struct{}{}
			go func() {
				defer func() { <-sem }()
				e.sendGrant(ctx, s, g)
			}()
		}
	}
}

// dueGrants returns the grants to send now and the server to send them to.
func (e *executor) dueGrants() (*server, []hold.Grant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil || e.server.down || e.server.grantsInReply {
		return nil, nil
	}
	v := e.control.View()
	return e.server, e.holds.Due(e.clock.Now(), v.Lease.Deadline())
}

// sendGrant sends one grant if the shard and the lease are still held.
func (e *executor) sendGrant(ctx context.Context, s *server, g hold.Grant) {
	sent, keys, ok := e.prepareGrant(&g)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)() // no grant to one boot reaches the next
	err := e.client.sendGrant(ctx, s, keys, g, sent.Add(hold.SendWithin))
	switch {
	case err == nil:
		e.handleGranted(s, g, sent)
	case errors.Is(err, errUnsent):
		e.handleUnsentGrant(g, err)
	case errors.Is(err, protocol.ErrFenced):
		e.mu.Lock()
		e.holds.Refused(g)
		e.mu.Unlock()
		e.log.Error("grant refused", zap.String("service", g.Shard.Service), zap.Uint32("shard", g.Shard.Shard),
			zap.Uint64("generation", g.Token), zap.Error(err))
	default:
		e.handleFailedGrant(g, e.clock.Now())
		e.log.Warn("grant without answer", zap.String("service", g.Shard.Service), zap.Uint32("shard", g.Shard.Shard),
			zap.Uint64("generation", g.Token), zap.Duration("hold", g.Hold), zap.Error(err))
		e.handleCallError(s, err)
	}
}

// prepareGrant sets the hold time of a grant immediately before it is sent. It
// returns the time of sending and the keys, or false if it must not be sent.
func (e *executor) prepareGrant(g *hold.Grant) (clock.Instant, protocol.KeyRange, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.control.View()
	keys, ok := keyRangeOf(v, g.Shard, g.Token)
	now := e.clock.Now()
	deadline := v.Lease.Deadline()
	if held, inView := v.Held[g.Shard]; !ok || !inView || held.Token != g.Token {
		deadline = 0
	}
	return now, keys, e.holds.Start(g, now, deadline)
}

func (e *executor) handleGranted(s *server, g hold.Grant, sent clock.Instant) {
	e.mu.Lock()
	first := !e.holds.Holds(sent, g.Shard, g.Token)
	e.holds.Answered(g, sent)
	e.mu.Unlock()
	e.recordHeartbeat(s)
	if first {
		e.holdLog.add("keys granted", g.Shard, g.Token, g.Handover != "")
	}
}

// handleUnsentGrant makes the grant due again, with a new hold time: at once if it was late,
// and after unknownServerDelay if the server may have restarted or resets new connections.
func (e *executor) handleUnsentGrant(g hold.Grant, err error) {
	due := e.clock.Now()
	if errors.Is(err, backendconn.ErrOtherProcess) || errors.Is(err, backendconn.ErrFull) {
		due = due.Add(unknownServerDelay)
	}
	e.mu.Lock()
	e.holds.Unsent(g, due)
	e.mu.Unlock()
	e.counters.unsentGrants.Add(1)
}

func (e *executor) handleFailedGrant(g hold.Grant, now clock.Instant) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holds.Failed(g, now)
}

// handleCallError handles a failed call.
func (e *executor) handleCallError(s *server, err error) {
	if isConnRefused(err) {
		e.markLost(s, "connection refused", liveness.Refused)
		return
	}
	e.recordCallFailure(s, err)
}

// keyRangeOf returns the key range of a shard, or false if the view has none.
func keyRangeOf(v *view.View, id view.ShardID, token uint64) (protocol.KeyRange, bool) {
	svc, ok := v.Services[id.Service]
	if !ok || svc.KeySpace == 0 {
		return protocol.KeyRange{}, false
	}
	first, last := svc.Range(id.Shard)
	return protocol.KeyRange{First: first, Last: last, Token: token}, true
}

// quiesce stops dispatch of the shard under its token, revokes its keys from the
// server, and reports when no request of the shard runs.
func (e *executor) quiesce(q control.Quiesce) {
	e.mu.Lock()
	e.quiescedTokens[q.Shard] = max(e.quiescedTokens[q.Shard], q.Token)
	e.holds.Close(q.Shard, q.Token)
	s := e.server
	e.mu.Unlock()
	e.admission.refuseWaiting(func(id view.ShardID) bool { return id == q.Shard },
		outcome.New(outcome.NotOwner, "the shard is being handed off"))
	go e.revoke(q, s)
}

// revoke ends the server's hold of a shard. It posts Quiesced once the server no
// longer holds the keys and no request of the shard runs.
func (e *executor) revoke(q control.Quiesce, s *server) {
	handover, released := "", false
	e.mu.Lock()
	inReply := s != nil && s.grantsInReply
	e.mu.Unlock()
	switch {
	case s == nil || s.process.Ended():
	case inReply:
		handover, released = e.awaitReleaseInReply(q, s)
	default:
		handover, released = e.releaseKeys(q, s)
	}
	e.mu.Lock()
	if released { // a server releases keys when its work on them has ended
		e.dropRemainders(q.Shard, s.process)
	}
	e.mu.Unlock()
	e.await(func() bool {
		idle := e.running[q.Shard] == 0 || s == e.server && s.process.Ended()
		return idle && e.remaindersEnded(q.Shard)
	})
	e.mu.Lock()
	e.holds.Drop(q.Shard, q.Token)
	e.mu.Unlock()
	e.holdLog.add("keys taken back", q.Shard, q.Token, handover != "")
	e.control.Post(control.Quiesced{Shard: q.Shard, Token: q.Token, Handover: handover})
}

// releaseKeys asks the server to release the keys and returns its handover token, or
// "", and whether it has released them. Without a response it waits until the hold has
// expired; with one it waits until the hold of any unanswered grant has expired.
func (e *executor) releaseKeys(q control.Quiesce, s *server) (handover string, released bool) {
	e.await(func() bool { return !e.holds.InFlight(q.Shard, q.Token) })
	e.mu.Lock()
	expiry := e.holds.ExpiredBy(q.Shard, q.Token)
	e.mu.Unlock()
	now := e.clock.Now()
	if expiry <= now {
		return "", false
	}
	over := func() bool { return e.clock.Now() >= expiry || s.process.Ended() }
	keys, ok := keyRangeOf(e.control.View(), q.Shard, q.Token)
	if !ok {
		e.await(over) // the service is not configured any more
		return "", false
	}
	ctx, cancel := context.WithTimeout(context.Background(), expiry.Sub(now)+releaseSlack)
	defer cancel()
	token, err := e.protocol.Release(ctx, e.client.releaseClient, s.addr, keys)
	if err == nil {
		handover, released = token, true
		e.recordHeartbeat(s)
		e.mu.Lock()
		expiry = e.holds.ReleasedBy(q.Shard, q.Token)
		e.mu.Unlock()
	} else {
		e.log.Warn("release without answer", zap.String("service", q.Shard.Service),
			zap.Uint32("shard", q.Shard.Shard), zap.Uint64("generation", q.Token), zap.Error(err))
		if isConnRefused(err) {
			e.markLost(s, "connection refused", liveness.Refused)
		}
	}
	e.await(over)
	return handover, released
}

// await polls condition, under the lock, until it holds: often at first, since the connections of a
// process that ends are seen to end within a few milliseconds.
func (e *executor) await(condition func() bool) {
	for pause := minPollInterval; ; pause = min(2*pause, pollInterval) {
		e.mu.Lock()
		met := condition()
		e.mu.Unlock()
		if met {
			return
		}
		time.Sleep(pause)
	}
}
