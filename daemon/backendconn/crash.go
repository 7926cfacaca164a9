package backendconn

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/liveness"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// HeaderCrashID is the header with the crash id in the response to each request that
// was in flight at a crash. Only daemons read it.
const HeaderCrashID = "X-Sesamemoor-Crash-Id"

// CrashID returns the crash id in a response, or "" if there is none.
func CrashID(resp *wire.Response) string {
	for _, h := range resp.GetHeaders() {
		if h.GetName() == HeaderCrashID {
			return h.GetValue()
		}
	}
	return ""
}

const (
	// crashWindow is the time after the first broken connection of a crash in
	// which further broken connections belong to the same crash.
	crashWindow = time.Second
	// probeTimeout bounds the connection attempt that distinguishes a crash from
	// a closed connection.
	probeTimeout = 200 * time.Millisecond
	// restartWindow is the time after a broken connection within which the
	// announcement of a new boot means that a crash broke the connection. A server
	// announces itself as soon as it listens, but that attempt may fail and be
	// retried.
	restartWindow = 3 * time.Second
	// crashSettle bounds the wait for the ends of the other connections of a process that refuses
	// connections: those of one that crashed are seen to end within milliseconds, later on a busy host.
	crashSettle = 200 * time.Millisecond
	// maxLostRequests bounds the requests kept for a restart; the oldest is dropped
	// first.
	maxLostRequests = 256
)

// CrashTracker assigns ids to the crashes of the backend server. All requests that were
// in flight at one crash get the same id.
//
// A probe cannot distinguish a server that restarts within milliseconds from one that
// closed a connection. The requests on such connections are kept; they count as in
// flight at a crash if the server announces another boot within restartWindow.
type CrashTracker struct {
	clock    clock.Clock
	suspects Suspects

	mu        sync.Mutex
	bootID    string
	count     uint64
	lastCrash clock.Instant // time of the first broken connection of the latest crash
	lost      []LostRequest // oldest first
}

// Suspects records requests that were in flight at a crash.
type Suspects interface {
	// RecordCrash records that the request was in flight when the server crashed.
	RecordCrash(fingerprint uint64, service, server, crashID string)
}

// LostRequest is a request whose connection broke while the server accepted connections.
type LostRequest struct {
	Fingerprint uint64
	Service     string
	Server      string
	at          clock.Instant
}

// NewCrashTracker returns the tracker of a server that has not crashed.
func NewCrashTracker(clk clock.Clock, suspects Suspects) *CrashTracker {
	return &CrashTracker{clock: clk, suspects: suspects}
}

// RecordRestart records the announced boot of the backend server. If it differs from the
// previous one, the requests lost within restartWindow are reported as in flight at
// the crash of the previous process.
func (c *CrashTracker) RecordRestart(bootID string) {
	lost, id := c.setBootID(bootID)
	for _, loss := range lost {
		c.suspects.RecordCrash(loss.Fingerprint, loss.Service, loss.Server, id)
	}
}

// setBootID records the boot. If it differs from a known previous one, setBootID
// returns the requests lost within restartWindow and the id of the crash of the
// previous process.
func (c *CrashTracker) setBootID(bootID string) ([]LostRequest, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bootID == bootID {
		return nil, ""
	}
	lost, id := c.recentLossesLocked(), ""
	if c.bootID == "" {
		lost = nil // no previous boot is known
	}
	if len(lost) > 0 {
		id = c.idLocked(lost[0].at)
	}
	c.lost = nil
	c.bootID = bootID
	return lost, id
}

// RecordLost records a request whose connection broke while the server accepts
// connections.
func (c *CrashTracker) RecordLost(loss LostRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	loss.at = c.clock.Now()
	c.lost = c.recentLossesLocked()
	if len(c.lost) == maxLostRequests {
		c.lost = c.lost[1:]
	}
	c.lost = append(c.lost, loss)
}

// recentLossesLocked returns the requests lost within restartWindow. The caller holds
// the lock.
func (c *CrashTracker) recentLossesLocked() []LostRequest {
	now := c.clock.Now()
	i := 0
	for i < len(c.lost) && now.Sub(c.lost[i].at) > restartWindow {
		i++
	}
	return c.lost[i:]
}

// CurrentID returns the id of the crash that has just broken a connection. Calls
// within crashWindow of the first one return the same id.
func (c *CrashTracker) CurrentID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idLocked(c.clock.Now())
}

// idLocked returns the id of the crash that broke a connection at the given time.
// The caller holds the lock.
func (c *CrashTracker) idLocked(at clock.Instant) string {
	if c.lastCrash == 0 || at.Sub(c.lastCrash) > crashWindow {
		c.count++
		c.lastCrash = at
	}
	return fmt.Sprintf("%s/%d", c.bootID, c.count)
}

// crashed reports whether the server at an address, whose connection broke, has ended without a
// notice. A server that is leaving, or has an open connection, may have closed its listener only.
func crashed(ctx context.Context, p *Process, addr string) bool {
	if !Refused(addr) {
		return false
	}
	if p == nil {
		return true
	}
	p.Observe(liveness.Refused)
	for end := time.Now().Add(crashSettle); !p.Ended(); time.Sleep(time.Millisecond) {
		if p.Leaving() || ctx.Err() != nil || time.Now().After(end) {
			return false
		}
	}
	return true
}
