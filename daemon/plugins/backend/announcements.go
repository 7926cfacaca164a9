package backend

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/liveness"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/protocol"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/daemon/backendconn"
	"github.com/sesamemoor/sesamemoor/daemon/edge"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

const (
	// heartbeatIntervals and heartbeatSlack set the time without a heartbeat after
	// which a server counts as down: a few announcement intervals, plus slack
	// since each announcement may be seconds late.
	heartbeatIntervals = 3
	heartbeatSlack     = 2 * time.Second
	// callFailureTimeout is the time without a heartbeat after which a server that
	// did not answer minCallFailures calls counts as down.
	callFailureTimeout = 1200 * time.Millisecond
	minCallFailures    = 2
	// drainReserve is the fraction of the drain time that is left unused.
	drainReserve = 0.4
	// watchInterval is the interval of the heartbeat and drain checks.
	watchInterval = 200 * time.Millisecond
	// readHeaderTimeout bounds the time to receive an announcement's header.
	readHeaderTimeout = 2 * time.Second
)

// server is the state of one boot of the backend server.
type server struct {
	id            string
	process       *backendconn.Process
	number        uint64 // of the process, see backendconn.Continuity
	bootTime      int64  // start of this boot, milliseconds since 1970
	service       string
	version       string // of its software; empty if unknown
	addr          string
	sequence      uint64
	slots         uint32
	coldUntil     clock.Instant // end of the cold start
	draining      clock.Instant // time of the leave notice; 0 without one
	lastHeartbeat clock.Instant // last announcement or response
	callFailures  int           // unanswered calls since lastHeartbeat
	down          bool          // counts as lost
	heldUntil     clock.Instant // when all holds have expired; set once another boot is known
	grantsInReply bool          // takes its keys from the replies to its announcements

	ctx context.Context    // ends when another boot is known
	end context.CancelFunc // ends ctx
}

// bootName identifies one boot of a server.
func (s *server) bootName() string { return control.BootName(s.id, s.bootTime) }

// upEvent returns the event that makes the server a member.
func (s *server) upEvent() control.BackendUp {
	return control.BackendUp{Name: s.bootName(), Service: s.service, Addr: s.addr, Slots: s.slots, ChecksFence: true, Version: s.version}
}

// serveAnnouncements starts the server for announcements and the heartbeat watch.
func serveAnnouncements(lc fx.Lifecycle, set settings.Daemon, d protocol.Announcements, e *executor) {
	srv := &http.Server{Handler: d.Handler(e), ReadHeaderTimeout: readHeaderTimeout}
	kernel.Background(lc, e.watch)
	edge.Listen(lc, srv, "backend: announcements", set.AnnounceAddr, e.log)
}

// Announce implements protocol.AnnouncementSink.
func (e *executor) Announce(ctx context.Context, a protocol.Announcement, fit func([]protocol.KeyGrant) int) protocol.AnnouncementReply {
	arrived := e.clock.Now()
	ev, err := e.admit(arrived, a)
	if err != nil {
		e.log.Warn("announcement refused", zap.String("instance", a.ID), zap.String("service", a.Service),
			zap.String("addr", a.Addr), zap.Error(err))
		return protocol.AnnouncementReply{}
	}
	if ev != nil {
		e.control.Post(ev)
	}
	if !a.GrantsInReply {
		return protocol.AnnouncementReply{Acknowledged: true}
	}
	return e.replyWithGrants(ctx, arrived, a, fit)
}

// admit applies an announcement and returns the event for the control state, or nil. It
// returns an error for an announcement that is not of this daemon's backend server.
func (e *executor) admit(arrived clock.Instant, a protocol.Announcement) (control.Event, error) {
	for probed := false; ; probed = true {
		e.mu.Lock()
		if e.isForeign(a) {
			e.mu.Unlock()
			return nil, errUnknownService
		}
		incumbent := e.incumbent(arrived, a)
		if incumbent == nil {
			ev := e.applyAnnouncement(arrived, a)
			e.mu.Unlock()
			return ev, nil
		}
		e.mu.Unlock()
		if probed || !backendconn.Refused(incumbent.addr) {
			return nil, errAddressOfAnother
		}
		// It is no incumbent any more if it has ended, or once its holds have expired.
		e.markLost(incumbent, "connection refused", liveness.Refused)
	}
}

var (
	errUnknownService   = errors.New("backend: the service is not configured")
	errAddressOfAnother = errors.New("backend: the server that is in use has another address, and is not known to have ended")
)

// incumbent returns the server that an announcement would displace although another address
// is announced, or nil. It stands in the way while it counts as up or may hold keys, unless
// its process has ended: they would be handed over while it holds them. The caller holds the
// lock.
func (e *executor) incumbent(now clock.Instant, a protocol.Announcement) *server {
	s := e.server
	if s == nil || a.Addr == s.addr || s.process.Ended() || e.isPresent(a) || a.BootTime < s.bootTime {
		return nil
	}
	if s.down && !e.holds.MayHold(now) {
		return nil
	}
	return s
}

// isPresent reports whether an announcement is of the boot that is in use. The caller holds
// the lock.
func (e *executor) isPresent(a protocol.Announcement) bool {
	return e.server != nil && e.server.id == a.ID && e.server.bootTime == a.BootTime
}

// isForeign reports whether an announcement is of another boot than the server's and names
// a service that the configuration does not have. It comes from another writer and must not
// replace the server. The caller holds the lock.
func (e *executor) isForeign(a protocol.Announcement) bool {
	if e.isPresent(a) {
		return false
	}
	services := e.control.View().Config.Services
	_, known := services[a.Service]
	return len(services) > 0 && !known
}

// applyAnnouncement applies an announcement and returns the event for the control
// state, or nil. It ignores announcements of an earlier boot or out of order. The
// caller holds the lock.
func (e *executor) applyAnnouncement(now clock.Instant, a protocol.Announcement) control.Event {
	s := e.server
	if s != nil && a.BootTime < s.bootTime {
		e.log.Info("announcement of an earlier boot ignored", zap.String("instance", a.ID), zap.Int64("born", a.BootTime))
		return nil
	}
	sameBoot := e.isPresent(a)
	if sameBoot && a.Sequence <= s.sequence {
		return nil // out of order
	}
	if !sameBoot {
		s = e.startBoot(a)
	}
	s.sequence = a.Sequence
	s.slots = a.Slots
	s.lastHeartbeat = now
	s.callFailures = 0
	e.client.continuity.Announced(now)
	s.process.Announced()
	v := e.control.View()
	if s.grantsInReply = a.GrantsInReply; s.grantsInReply {
		e.applyReportedKeys(v, a)
	}
	e.admission.setSlots(slotsOf(v, a))
	s.coldUntil = now.Add(a.ColdFor)
	e.setColdLimit(v)
	if a.Leaving {
		return e.markLeaving(now, "announced")
	}
	if s.draining != 0 {
		return nil
	}
	if s.down {
		s.down = false
		e.log.Info("backend server back", zap.String("instance", s.id), zap.Int64("born", s.bootTime))
	}
	return s.upEvent()
}

// slotsOf returns the number of requests that may run at once. The configured
// connection limit bounds it, since each request takes a connection.
func slotsOf(v *view.View, a protocol.Announcement) int {
	slots := int(a.Slots)
	if limit := v.Config.Services[a.Service].Connections; limit > 0 {
		slots = min(slots, int(limit))
	}
	return slots
}

// startBoot replaces the server's state by that of a new boot, which holds no keys.
// The caller holds the lock.
func (e *executor) startBoot(a protocol.Announcement) *server {
	previous := e.server
	e.server = &server{id: a.ID, bootTime: a.BootTime, service: a.Service, version: a.Version, addr: a.Addr}
	e.server.ctx, e.server.end = context.WithCancel(context.Background())
	e.server.process, e.server.number = e.client.serverRestarted(e.server.bootName())
	if previous != nil {
		previous.end()
		previous.process.Observe(liveness.OtherBoot)
		for id, until := range e.holds.Unexpired(e.clock.Now()) {
			previous.heldUntil = max(previous.heldUntil, until)
			e.addRemainder(id, remainder{process: previous.process, until: until})
		}
	}
	e.holds.Reset()
	e.admission.restart()
	e.log.Info("backend server began a life", zap.String("instance", a.ID), zap.Int64("born", a.BootTime),
		zap.String("service", a.Service), zap.String("addr", a.Addr), zap.Uint32("slots", a.Slots),
		zap.Duration("cold_for", a.ColdFor))
	return e.server
}

// Leave implements protocol.AnnouncementSink.
func (e *executor) Leave(id string, bootTime int64) bool {
	now := e.clock.Now()
	e.mu.Lock()
	var ev control.Event
	if s := e.server; s != nil && s.id == id && (bootTime == 0 || bootTime == s.bootTime) {
		ev = e.markLeaving(now, "left")
	}
	e.mu.Unlock()
	if ev != nil {
		e.control.Post(ev)
	}
	return true
}

// markLeaving records that the server is leaving, which starts its drain time, and
// returns the event for the control state, or nil if it was leaving already. The
// caller holds the lock.
func (e *executor) markLeaving(now clock.Instant, reason string) control.Event {
	s := e.server
	if s.draining != 0 {
		return nil
	}
	s.draining = now
	s.process.Observe(liveness.LeaveNotice)
	e.log.Info("backend server leaves", zap.String("instance", s.id), zap.String("reason", reason))
	return control.BackendLeaving{}
}

// watch marks an unresponsive server as lost, and refuses the waiting requests of a
// server whose drain time is over.
func (e *executor) watch(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		e.mu.Lock()
		s := e.server
		unresponsive := s != nil && !s.down && e.clock.Now().Sub(s.lastHeartbeat) > e.heartbeatTimeout()
		drained := s != nil && e.drainedLocked(e.clock.Now())
		e.mu.Unlock()
		if unresponsive {
			e.markLost(s, "no heartbeat", liveness.NoAnnouncement)
		}
		if drained {
			e.admission.refuseWaiting(func(view.ShardID) bool { return true },
				outcome.New(outcome.Draining, "the backend server is draining"))
		}
	}
}

func (e *executor) heartbeatTimeout() time.Duration {
	interval := time.Duration(e.bounds.AnnounceIntervalS * float64(time.Second))
	return heartbeatIntervals*interval + heartbeatSlack
}

// drainedLocked reports whether the server's drain time is over: it must get no more
// requests. The caller holds the lock.
func (e *executor) drainedLocked(now clock.Instant) bool {
	since := e.server.draining
	drainLimit := time.Duration((1 - drainReserve) * e.bounds.DrainS * float64(time.Second))
	return since != 0 && now.Sub(since) >= drainLimit
}

// recordHeartbeat records that the server responded.
func (e *executor) recordHeartbeat(s *server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.lastHeartbeat = e.clock.Now()
	s.callFailures = 0
}

// recordCallFailure records an unanswered call. After minCallFailures of them and
// callFailureTimeout without a heartbeat the server counts as lost.
func (e *executor) recordCallFailure(s *server, err error) {
	e.mu.Lock()
	s.callFailures++
	lost := s.callFailures >= minCallFailures && e.clock.Now().Sub(s.lastHeartbeat) > callFailureTimeout
	e.mu.Unlock()
	if lost {
		e.markLost(s, "no answer: "+err.Error(), liveness.NoAnnouncement)
	}
}

// markLost records that a boot of the server is over or seems to be, as a signal that ends
// sending and renewing says; its shards are transferred once that allows it. An announcement
// of the same boot makes it a member again.
func (e *executor) markLost(s *server, reason string, signal liveness.Signal) {
	s.process.Observe(signal)
	e.mu.Lock()
	current := s == e.server && !s.down
	if current {
		s.down = true
	}
	e.mu.Unlock()
	if !current {
		return
	}
	e.log.Warn("backend server lost", zap.String("instance", s.id), zap.Int64("born", s.bootTime), zap.Bool("dead", s.process.Ended()), zap.String("reason", reason))
	e.admission.refuseWaiting(func(view.ShardID) bool { return true }, outcome.New(outcome.NoOwner, "the backend server was lost"))
	e.control.Post(control.BackendDown{Reason: "backend server lost"})
}
