package owner

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

const (
	// crashWindow is the time within which connections that break belong to
	// one crash.
	crashWindow = time.Second
	// probeTimeout bounds the connection that tells a crash from a closed
	// connection.
	probeTimeout = 200 * time.Millisecond
)

// crashes names the crashes of the backend server. All requests that were in
// flight at one crash get the same id.
type crashes struct {
	clock  clock.Clock
	mu     sync.Mutex
	bootID string
	count  uint64
	last   clock.Instant // first broken connection of the newest crash
}

// restarted tells that the backend server announced another start.
func (c *crashes) restarted(bootID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bootID = bootID
}

// id returns the id of the crash that broke a connection now.
func (c *crashes) id() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if c.last == 0 || now.Sub(c.last) > crashWindow {
		c.count++
		c.last = now
	}
	return fmt.Sprintf("%s/%d", c.bootID, c.count)
}

// listens reports whether the backend server still accepts connections.
func listens(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, probeTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
