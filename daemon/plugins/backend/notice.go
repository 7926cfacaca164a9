package backend

import (
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/protocol"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// observe applies the limit in a response. sent is the time at which the request was sent.
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
}

// logLimit logs the limit in force if it has changed. The caller holds the lock.
func (e *executor) logLimit(changed bool, source string) {
	if changed {
		e.log.Info("backend server limit", zap.String("instance", e.server.id),
			zap.Float64("limit_per_s", e.admission.limitPerS()), zap.String("source", source))
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
	perS := e.admission.limitPerS()
	if perS == 0 {
		return nil
	}
	return &wire.ServerNotice{Server: e.server.bootName(), LimitPerS: perS}
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
}
