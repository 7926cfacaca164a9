package owner

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/liveness"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

// maxLimitPerS is the largest limit that is accepted, in requests per second.
const maxLimitPerS = 1e9

// selfReport is what a response says of the backend server itself. The zero value is that
// of no response.
type selfReport struct {
	answered  bool
	limitPerS float64 // requests per second, valid if limited is set
	limited   bool
	leaving   bool
}

func readSelfReport(h http.Header) selfReport {
	r := selfReport{answered: true, leaving: h.Get(headerLeaving) == "1"}
	perS, err := strconv.ParseFloat(h.Get(headerLimit), 64)
	if err == nil && perS >= 0 && perS <= maxLimitPerS {
		r.limitPerS, r.limited = perS, true
	}
	return r
}

// bootName identifies one process of a backend server.
func bootName(r kernel.BackendReport) string { return r.Name + "@" + r.BootID }

// observe applies what a response says of the backend server. sent is the time at which
// the request was sent.
func (e *executor) observe(sent clock.Instant, r selfReport) {
	if !r.answered {
		return
	}
	e.logLimit(e.admission.observeLimit(sent, r.limitPerS, r.limited), "response")
	if r.leaving {
		e.markLeaving(e.clock.Now())
	}
}

// logLimit logs the limit in force if it has changed.
func (e *executor) logLimit(changed bool, source string) {
	if changed {
		e.log.Info("backend server limit", zap.Float64("limit_per_s", e.admission.limitPerS()), zap.String("source", source))
	}
}

// markLeaving tells the control state that the backend server leaves, unless it was told.
func (e *executor) markLeaving(since clock.Instant) {
	e.mu.Lock()
	known := e.leavingSince != 0
	if !known {
		e.leavingSince = since
	}
	e.mu.Unlock()
	if !known {
		e.backend.processes.Current().Observe(liveness.LeaveNotice)
		e.log.Info("backend server leaves", zap.String("reason", "response"))
		e.control.Post(control.BackendLeaving{})
	}
}

// notice returns what the backend server said of itself, for the daemons that receive its
// responses, or nil.
func (e *executor) notice() *wire.ServerNotice {
	perS := e.admission.limitPerS() // before e.mu: the admission queue locks e.mu while it is locked
	e.mu.Lock()
	defer e.mu.Unlock()
	n := &wire.ServerNotice{Server: bootName(e.report), LimitPerS: perS}
	if e.leavingSince != 0 {
		n.Leaving = true
		n.LeavingMs = uint32(e.clock.Now().Sub(e.leavingSince).Milliseconds())
	}
	if n.GetLimitPerS() == 0 && !n.GetLeaving() {
		return nil
	}
	return n
}

// applyNotice applies what the backend server said of itself to an earlier process of this
// daemon, as another daemon passed it on.
func (e *executor) applyNotice(n *wire.ServerNotice) {
	e.mu.Lock()
	same := n != nil && n.GetServer() == bootName(e.report)
	e.mu.Unlock()
	if !same {
		return
	}
	e.logLimit(e.admission.learnLimit(n.GetLimitPerS()), "daemon")
	if n.GetLeaving() {
		e.markLeaving(e.clock.Now().Add(-time.Duration(n.GetLeavingMs()) * time.Millisecond))
	}
}
