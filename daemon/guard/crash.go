package guard

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// HeaderCrash names the crash in the answer to each request that was in flight at
// it. It is seen by daemons only.
const HeaderCrash = "X-Sesamemoor-Crash-Id"

// CrashOf returns the name of the crash in an answer, "" without one.
func CrashOf(resp *wire.Response) string {
	for _, h := range resp.GetHeaders() {
		if h.GetName() == HeaderCrash {
			return h.GetValue()
		}
	}
	return ""
}

const (
	// crashWindow is the time within which connections that break belong to
	// one crash.
	crashWindow = time.Second
	// probeTimeout bounds the connection that tells a crash from a closed
	// connection.
	probeTimeout = 200 * time.Millisecond
	// restartWindow is the time from a broken connection to the announcement of
	// the start that explains it: a server that listens announces itself at once,
	// and the attempt may fail and be repeated.
	restartWindow = 3 * time.Second
	// maxLost bounds the requests kept for a restart; the oldest makes room.
	maxLost = 256
)

// Crashes names the crashes of the backend server. All requests that were in
// flight at one crash get the same id.
//
// A server that is back within milliseconds looks like one that closed a
// connection. Such requests are kept, and count as in flight at a crash if the
// server then announces another start.
type Crashes struct {
	clock    clock.Clock
	suspects Suspects

	mu     sync.Mutex
	bootID string
	count  uint64
	last   clock.Instant // first broken connection of the newest crash
	lost   []Loss        // oldest first
}

// Suspects takes in requests that were in flight at a crash.
type Suspects interface {
	// Crashed tells that the request ran when the server crashed.
	Crashed(fingerprint uint64, service, server, crashID string)
}

// Loss is a request whose connection broke while the server listened.
type Loss struct {
	Fingerprint uint64
	Service     string
	Server      string
	at          clock.Instant
}

// NewCrashes returns the account of a server that has not crashed.
func NewCrashes(clk clock.Clock, suspects Suspects) *Crashes {
	return &Crashes{clock: clk, suspects: suspects}
}

// Restarted tells that the backend server announced another start: requests that
// were lost shortly before it ran when the earlier process ended.
func (c *Crashes) Restarted(bootID string) {
	lost, id := c.restart(bootID)
	for _, l := range lost {
		c.suspects.Crashed(l.Fingerprint, l.Service, l.Server, id)
	}
}

// restart takes in the new start and returns the losses that it explains and the
// crash's id.
func (c *Crashes) restart(bootID string) ([]Loss, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bootID == bootID {
		return nil, ""
	}
	lost, id := c.recentLocked(), ""
	if c.bootID == "" {
		lost = nil // no earlier life is known
	}
	if len(lost) > 0 {
		id = c.idLocked(lost[0].at)
	}
	c.lost = nil
	c.bootID = bootID
	return lost, id
}

// Lost takes note of a request whose connection broke while the server listened.
func (c *Crashes) Lost(l Loss) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l.at = c.clock.Now()
	c.lost = c.recentLocked()
	if len(c.lost) == maxLost {
		c.lost = c.lost[1:]
	}
	c.lost = append(c.lost, l)
}

// recentLocked returns the losses that a restart announced now would explain.
func (c *Crashes) recentLocked() []Loss {
	now := c.clock.Now()
	i := 0
	for i < len(c.lost) && now.Sub(c.lost[i].at) > restartWindow {
		i++
	}
	return c.lost[i:]
}

// ID returns the id of the crash that broke a connection now.
func (c *Crashes) ID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idLocked(c.clock.Now())
}

// idLocked returns the id of the crash that broke a connection at an instant.
func (c *Crashes) idLocked(at clock.Instant) string {
	if c.last == 0 || at.Sub(c.last) > crashWindow {
		c.count++
		c.last = at
	}
	return fmt.Sprintf("%s/%d", c.bootID, c.count)
}

// Listens reports whether the backend server still accepts connections.
func Listens(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, probeTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
