package backendconn

import (
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// continuityMargin covers the order in which one event is seen: a process that ends resets
// its connections, and its last announcement may just have been sent.
const continuityMargin = 100 * time.Millisecond

// quickClose is the idle time below which a server that closes a connection closes kept
// connections too quickly for them to be used again: its close may cross the next request, which
// then looks like the loss of a connection.
const quickClose = 100 * time.Millisecond

// Continuity tells which connections certainly lead to the process of the backend server
// that is known. A listening socket may outlast the process, so that a connection opened
// after its end reaches the next one.
//
// The loss of a connection, by a reset or instead of an answer, raises a doubt. An answer on a connection that was opened before
// the doubt removes it, since the connections of a process end with it, and so does an
// announcement.
type Continuity struct {
	Stutter Stutter // of the process that is known

	mu            sync.Mutex
	doubted       clock.Instant             // since when; 0 if there is no doubt
	restarted     clock.Instant             // when the process became known
	process       uint64                    // number of the process that is known
	closesQuickly bool                      // the known process closed a connection within quickClose of an answer
	conns         map[*guardedConn]struct{} // open connections
}

func (c *Continuity) add(conn *guardedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = map[*guardedConn]struct{}{}
	}
	c.conns[conn] = struct{}{}
}

func (c *Continuity) remove(conn *guardedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// lookForLosses records the resets of open connections that their readers have not seen yet.
func (c *Continuity) lookForLosses() {
	c.mu.Lock()
	answered := make([]*guardedConn, 0, len(c.conns))
	for conn := range c.conns {
		if conn.answered.Load() {
			answered = append(answered, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range answered {
		conn.closedByServer()
	}
}

// Lost records that the server ended a connection on which it had answered.
func (c *Continuity) Lost(now clock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.doubted == 0 {
		c.doubted = now
	}
}

// ClosedIdle records that the server closed a connection that had been idle for a time.
func (c *Continuity) ClosedIdle(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closesQuickly = c.closesQuickly || idle < quickClose
}

// ClosesQuickly reports whether the known process closes connections soon after an answer.
func (c *Continuity) ClosesQuickly() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closesQuickly
}

// Answered records an answer on a connection that was opened at opened.
func (c *Continuity) Answered(opened clock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leadsToKnown(opened) {
		c.doubted = 0
	}
}

// Announced records an announcement of the known process.
func (c *Continuity) Announced(now clock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.doubted) >= continuityMargin {
		c.doubted = 0
	}
}

// Restarted records that another process is known from now on, and returns its number.
// Connections that were opened before lead to the process before it, or nobody knows to which.
func (c *Continuity) Restarted(now clock.Instant) (process uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.doubted = 0
	c.restarted = now
	c.closesQuickly = false
	c.Stutter.Reset()
	c.process++
	return c.process
}

// LeadsTo reports whether a process is the known one, and a connection opened at opened leads
// to it if it is still open.
func (c *Continuity) LeadsTo(process uint64, opened clock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return process == c.process && c.leadsToKnown(opened)
}

func (c *Continuity) leadsToKnown(opened clock.Instant) bool {
	return opened >= c.restarted && (c.doubted == 0 || c.doubted.Sub(opened) > continuityMargin)
}
