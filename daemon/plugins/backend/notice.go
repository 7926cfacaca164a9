package backend

import (
	"time"

	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/protocol"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// observe applies what a response says of the server itself: its limit, and that it is
// leaving. sent is the time at which the request was sent.
func (e *executor) observe(s *server, sent clock.Instant, decoded protocol.BackendAnswer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s != e.server {
		return
	}
	own := decoded.Sealed || decoded.NotRun && !decoded.Misdirected
	if decoded.Limited || own {
		e.logLimit(e.admission.observeLimit(sent, decoded.LimitPerS, decoded.Limited), "response")
	}
	if decoded.Leaving {
		e.leaveObserved(e.clock.Now(), "response")
	}
}

// logLimit logs the limit in force if it has changed. The caller holds the lock.
func (e *executor) logLimit(changed bool, source string) {
	if changed {
		e.log.Info("backend server limit", zap.String("instance", e.server.id),
			zap.Float64("limit_per_s", e.admission.limitPerS()), zap.String("source", source))
	}
}

// leaveObserved records that the server is leaving since the given time. The caller holds
// the lock.
func (e *executor) leaveObserved(since clock.Instant, reason string) {
	if ev := e.markLeaving(since, reason); ev != nil {
		go e.control.Post(ev) // Post may block, and the caller holds the lock
	}
}

// notice returns what the server said of itself, for the daemons that receive its
// responses, or nil.
func (e *executor) notice() *wire.ServerNotice {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		return nil
	}
	n := &wire.ServerNotice{Server: e.server.bootName(), LimitPerS: e.admission.limitPerS()}
	if e.server.draining != 0 {
		n.Leaving = true
		n.LeavingMs = uint32(e.clock.Now().Sub(e.server.draining).Milliseconds())
	}
	if n.GetLimitPerS() == 0 && !n.GetLeaving() {
		return nil
	}
	return n
}

// applyNotice applies what the server said of itself to an earlier process of this daemon,
// as another daemon passed it on.
func (e *executor) applyNotice(n *wire.ServerNotice) {
	if n == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil || e.server.bootName() != n.GetServer() {
		return
	}
	e.logLimit(e.admission.learnLimit(n.GetLimitPerS()), "daemon")
	if n.GetLeaving() {
		e.leaveObserved(e.clock.Now().Add(-time.Duration(n.GetLeavingMs())*time.Millisecond), "daemon")
	}
}
