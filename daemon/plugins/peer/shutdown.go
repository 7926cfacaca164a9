package peer

import (
	"net"
	"sync"

	"github.com/hashicorp/yamux"
)

// sessionConn is the connection below a session. The readers of a yamux session take
// processor time without pause from the start of its shutdown until its receive loop has
// ended, and may keep that loop from running. So the loop is ended first.
type sessionConn struct {
	net.Conn
	once     sync.Once
	received chan struct{} // closed when the receive loop gets an error, or the session shuts down
	onEnd    func()        // called once after that, if not nil

	mu  sync.Mutex
	why string // the first reason for which the connection ended
}

func newSessionConn(conn net.Conn) *sessionConn {
	return &sessionConn{Conn: conn, received: make(chan struct{})}
}

// Read implements net.Conn.
func (c *sessionConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		c.ended("read: " + err.Error())
		c.once.Do(c.signalEnd)
	}
	return n, err
}

func (c *sessionConn) signalEnd() {
	close(c.received)
	if c.onEnd != nil {
		c.onEnd()
	}
}

// ended records why the connection ended, unless that is known.
func (c *sessionConn) ended(why string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.why == "" {
		c.why = why
	}
}

// endReason returns why the connection ended, or "" if it has not.
func (c *sessionConn) endReason() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.why
}

// Close implements net.Conn. A session that shuts down closes its connection.
func (c *sessionConn) Close() error {
	c.ended("closed here")
	c.once.Do(c.signalEnd)
	return c.Conn.Close()
}

// Write implements net.Conn. A failed write makes yamux shut the session down.
func (c *sessionConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.ended("write: " + err.Error())
		c.end()
	}
	return n, err
}

// end closes the connection and waits until the receive loop has noticed, or has ended for
// another reason and shuts the session down itself.
func (c *sessionConn) end() {
	c.ended("closed here")
	_ = c.Conn.Close()
	<-c.received
}

// shutDown ends a session and its connection.
func shutDown(mux *yamux.Session, conn *sessionConn) {
	if !mux.IsClosed() {
		conn.end()
	}
	_ = mux.Close()
}
