package backendconn

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/liveness"
)

// Process is what is known of one process of the backend server: its connections, and the signals
// that it has given. It is safe for concurrent use.
type Process struct {
	mu      sync.Mutex
	open    int // connections to it that are open, or being opened since before the first refusal
	leaving bool
	signals map[liveness.Signal]bool // that may mean its end
	ended   bool                     // Ended has reported so, and no sign of life has come since
	resetAt clock.Instant            // when it last reset a new connection; 0 if it never did
}

func newProcess() *Process { return &Process{signals: map[liveness.Signal]bool{}} }

// Observe records a signal that it gave and returns what follows.
func (p *Process) Observe(signal liveness.Signal) liveness.Conclusion {
	p.mu.Lock()
	defer p.mu.Unlock()
	if signal == liveness.LeaveNotice {
		p.leaving, p.ended = true, false // whoever says so has not ended
	} else {
		p.signals[signal] = true
	}
	return liveness.Conclude(signal, p.stateLocked())
}

const (
	// resetMemory is the time after the reset of a new connection for which others are looked at
	// for a reset before a request is written: a server is full for some seconds.
	resetMemory = time.Second
	// resetWait is the time for which such a connection is looked at: a full server on the same
	// host resets it as soon as it has accepted it.
	resetWait = 2 * time.Millisecond
)

// recordReset records that it reset a new connection, as a server does that is full.
func (p *Process) recordReset(now clock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAt = now
}

func (p *Process) resetsConns(now clock.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resetAt != 0 && now.Sub(p.resetAt) < resetMemory
}

// Announced records an announcement: the process has not ended.
func (p *Process) Announced() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = false
	clear(p.signals)
}

// Leaving reports whether it said that it is leaving.
func (p *Process) Leaving() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaving
}

// Refuses reports whether it refused a connection since its last announcement.
func (p *Process) Refuses() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.signals[liveness.Refused]
}

// Ended reports whether it is known to have ended. The connections of a process that ends are not
// seen to end at one time, so that this may become true some time after a signal.
func (p *Process) Ended() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for signal := range p.signals {
		p.ended = p.ended || liveness.Conclude(signal, p.stateLocked()).Transfer == liveness.AtOnce
	}
	return p.ended
}

func (p *Process) stateLocked() liveness.Server {
	return liveness.Server{Leaving: p.leaving, OpenConn: p.open > 0}
}

// beginDial records that a connection is being opened. It counts as open, unless one was refused
// before: requests that dial a process that has ended would keep it from counting as ended.
func (p *Process) beginDial() (counted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.signals[liveness.Refused] {
		return false
	}
	p.open++
	return true
}

func (p *Process) endDial(counted, opened bool) {
	switch {
	case opened && !counted:
		p.addOpen(1)
	case counted && !opened:
		p.addOpen(-1)
	}
}

func (p *Process) addOpen(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open += n
}

// Processes keeps what is known of the present process of the backend server.
type Processes struct{ current atomic.Pointer[Process] }

// NewProcesses returns the record of a server of which nothing is known.
func NewProcesses() *Processes {
	ps := new(Processes)
	ps.current.Store(newProcess())
	return ps
}

// Current returns the present process.
func (ps *Processes) Current() *Process { return ps.current.Load() }

// Restarted records that another process is the present one, and returns it.
func (ps *Processes) Restarted() *Process {
	p := newProcess()
	ps.current.Store(p)
	return p
}

// Track returns a dial function whose connections, and their refusals, are recorded of the process
// that is the present one when the dial begins.
func (ps *Processes) Track(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		p := ps.Current()
		counted := p.beginDial()
		conn, err := dial(ctx, network, addr)
		c, ok := conn.(*guardedConn)
		opened := ok && err == nil
		if opened {
			c.server = p
		}
		p.endDial(counted, opened)
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.Observe(liveness.Refused)
		}
		return conn, err
	}
}

// recordEnd records that the connection has ended, for the first call only.
func (c *guardedConn) recordEnd(byServer bool) {
	if c.server != nil && c.over.CompareAndSwap(false, true) {
		c.endedByServer.Store(byServer)
		c.server.addOpen(-1)
	}
}

// endedUnused reports whether the server has ended a connection on which it has sent nothing. If it
// has reset new connections lately, it waits for that.
func (c *guardedConn) endedUnused() bool {
	if c.server == nil || c.used.Load() {
		return false
	}
	if c.server.resetsConns(c.clock.Now()) {
		for wait := resetWait; wait > 0; wait -= resetWait / 4 {
			if c.over.Load() || c.peekEnd() {
				break
			}
			time.Sleep(resetWait / 4)
		}
	}
	if !c.over.Load() && !c.peekEnd() {
		return false
	}
	c.server.recordReset(c.clock.Now())
	return true
}

// Refused reports whether the server at addr refuses connections. It does not if no answer comes
// within probeTimeout: a server under load may not take a connection in time.
func Refused(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, probeTimeout)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
