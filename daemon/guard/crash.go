package guard

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// HeaderCrash names the crash in the answer to each request that was in flight at
// it. It is seen by daemons only.
const HeaderCrash = "X-Sesamemoor-Crash-Id"

const (
	// crashWindow is the time within which connections that break belong to
	// one crash.
	crashWindow = time.Second
	// probeTimeout bounds the connection that tells a crash from a closed
	// connection.
	probeTimeout = 200 * time.Millisecond
)

// Crashes names the crashes of the backend server. All requests that were in
// flight at one crash get the same id.
type Crashes struct {
	clock clock.Clock

	mu     sync.Mutex
	bootID string
	count  uint64
	last   clock.Instant // first broken connection of the newest crash
}

// NewCrashes returns the account of a server that has not crashed.
func NewCrashes(clk clock.Clock) *Crashes { return &Crashes{clock: clk} }

// Restarted tells that the backend server announced another start.
func (c *Crashes) Restarted(bootID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bootID = bootID
}

// ID returns the id of the crash that broke a connection now.
func (c *Crashes) ID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if c.last == 0 || now.Sub(c.last) > crashWindow {
		c.count++
		c.last = now
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
