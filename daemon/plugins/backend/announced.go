package backend

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/dialect"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/daemon/edge"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

const (
	// silenceIntervals and silenceSlack give the time without any sign of life
	// after which a server counts as gone: a few announcements, each of which may
	// come seconds late.
	silenceIntervals = 3
	silenceSlack     = 2 * time.Second
	// deafTime is the time without a sign of life after which a server that did
	// not answer deafFailures calls counts as gone.
	deafTime     = 1200 * time.Millisecond
	deafFailures = 2
	// drainMargin is the part of the time to drain that is left unused.
	drainMargin = 0.4
	// watchInterval is the time between looks at the server's silence.
	watchInterval = 200 * time.Millisecond
	// readHeaderTimeout bounds how slowly a server may send an announcement.
	readHeaderTimeout = 2 * time.Second
)

// server is what is known of the backend server's present life.
type server struct {
	id       string
	born     int64 // start of this life, milliseconds since 1970
	service  string
	addr     string
	sequence uint64
	slots    uint32
	cold     clock.Instant // until when it is cold
	leaving  clock.Instant // since when it is known to leave; 0 if it is not
	heard    clock.Instant // last sign of life
	failures int           // calls without an answer since then
	down     bool          // it counts as gone
	dead     bool          // its process has surely ended, and with it all holds
}

// name tells one life of a server from another.
func (s *server) name() string { return s.id + "@" + strconv.FormatInt(s.born, 10) }

// up is the event that makes the server a member.
func (s *server) up() control.BackendUp {
	return control.BackendUp{Name: s.name(), Service: s.service, Addr: s.addr, Slots: s.slots, ChecksFence: true}
}

// serveAnnouncements listens for the server beside this daemon.
func serveAnnouncements(lc fx.Lifecycle, set settings.Daemon, d dialect.Announcements, e *executor) {
	srv := &http.Server{Handler: d.Handler(e), ReadHeaderTimeout: readHeaderTimeout}
	kernel.Background(lc, e.watch)
	edge.Listen(lc, srv, "backend: announcements", set.AnnounceAddr)
}

// Announced implements dialect.AnnouncementSink.
func (e *executor) Announced(a dialect.Announcement) bool {
	now := e.clock.Now()
	e.mu.Lock()
	ev := e.announced(now, a)
	e.mu.Unlock()
	if ev != nil {
		e.control.Post(ev)
	}
	return true
}

// announced takes in an announcement and returns the event for the control
// state, or nil. The caller holds the lock.
func (e *executor) announced(now clock.Instant, a dialect.Announcement) control.Event {
	s := e.server
	if s != nil && a.Born < s.born {
		e.log.Info("announcement of an earlier life passed over", zap.String("instance", a.ID), zap.Int64("born", a.Born))
		return nil
	}
	sameLife := s != nil && a.ID == s.id && a.Born == s.born
	if sameLife && a.Sequence <= s.sequence {
		return nil // late
	}
	if !sameLife {
		s = e.beginLife(a)
	}
	s.sequence = a.Sequence
	s.slots = a.Slots
	s.heard = now
	s.failures = 0
	v := e.control.View()
	e.turns.setSlots(slotsOf(v, a))
	s.cold = now.Add(a.ColdFor)
	e.limitCold(v)
	if a.Leaving {
		return e.leave(now, "announced")
	}
	if s.leaving != 0 {
		return nil
	}
	if s.down {
		s.down = false
		s.dead = false
		e.log.Info("backend server back", zap.String("instance", s.id), zap.Int64("born", s.born))
	}
	return s.up()
}

// slotsOf returns the requests that may run at once: each takes a connection.
func slotsOf(v *view.View, a dialect.Announcement) int {
	slots := int(a.Slots)
	if limit := v.Config.Services[a.Service].Connections; limit > 0 {
		slots = min(slots, int(limit))
	}
	return slots
}

// beginLife starts the account of a new life, which holds no keys. The caller
// holds the lock.
func (e *executor) beginLife(a dialect.Announcement) *server {
	e.server = &server{id: a.ID, born: a.Born, service: a.Service, addr: a.Addr}
	e.holds.Restarted()
	e.client.restarted(e.server.name())
	e.log.Info("backend server began a life", zap.String("instance", a.ID), zap.Int64("born", a.Born),
		zap.String("service", a.Service), zap.String("addr", a.Addr), zap.Uint32("slots", a.Slots),
		zap.Duration("cold_for", a.ColdFor))
	return e.server
}

// Gone implements dialect.AnnouncementSink.
func (e *executor) Gone(id string, born int64) bool {
	now := e.clock.Now()
	e.mu.Lock()
	var ev control.Event
	if s := e.server; s != nil && s.id == id && (born == 0 || born == s.born) {
		ev = e.leave(now, "left")
	}
	e.mu.Unlock()
	if ev != nil {
		e.control.Post(ev)
	}
	return true
}

// leave notes that the server is to get no new work soon. The caller holds the
// lock.
func (e *executor) leave(now clock.Instant, how string) control.Event {
	s := e.server
	if s.leaving != 0 {
		return nil
	}
	s.leaving = now
	e.log.Info("backend server leaves", zap.String("instance", s.id), zap.String("reason", how))
	return control.BackendLeaving{}
}

// watch looks for servers that fell silent, and ends what waits for a server
// whose time to drain is over.
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
		silent := s != nil && !s.down && e.clock.Now().Sub(s.heard) > e.silence()
		drained := s != nil && e.drainedLocked(e.clock.Now())
		e.mu.Unlock()
		if silent {
			e.serverLost(s, "no sign of life", false)
		}
		if drained {
			e.turns.withdraw(func(view.ShardID) bool { return true },
				outcome.New(outcome.Draining, "the backend server leaves"))
		}
	}
}

func (e *executor) silence() time.Duration {
	interval := time.Duration(e.bounds.AnnounceIntervalS * float64(time.Second))
	return silenceIntervals*interval + silenceSlack
}

// drainedLocked reports whether the server must get no request any more. The
// caller holds the lock.
func (e *executor) drainedLocked(now clock.Instant) bool {
	left := e.server.leaving
	span := time.Duration((1 - drainMargin) * e.bounds.DrainS * float64(time.Second))
	return left != 0 && now.Sub(left) >= span
}

// serverAnswered notes a sign of life.
func (e *executor) serverAnswered(s *server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.heard = e.clock.Now()
	s.failures = 0
}

// serverDeaf notes a call without an answer. A server that gave no sign of life
// for long counts as gone.
func (e *executor) serverDeaf(s *server, err error) {
	e.mu.Lock()
	s.failures++
	gone := s.failures >= deafFailures && e.clock.Now().Sub(s.heard) > deafTime
	e.mu.Unlock()
	if gone {
		e.serverLost(s, "no answer: "+err.Error(), false)
	}
}

// serverLost tells that a life of the server is over, or seems to be: its shards
// are handed on. Only of a dead one is it known that it holds no keys; a silent
// one may hold them until its grants run out. An announcement of the same life
// makes it a member again.
func (e *executor) serverLost(s *server, reason string, dead bool) {
	e.mu.Lock()
	s.dead = s.dead || dead
	known := s == e.server && !s.down
	if known {
		s.down = true
	}
	e.mu.Unlock()
	if !known {
		return
	}
	e.log.Warn("backend server lost", zap.String("instance", s.id), zap.Int64("born", s.born), zap.Bool("dead", dead), zap.String("reason", reason))
	e.turns.withdraw(func(view.ShardID) bool { return true }, outcome.New(outcome.NoOwner, "the backend server is gone"))
	e.control.Post(control.BackendDown{Reason: "backend server lost"})
}
