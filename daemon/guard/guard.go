// Package guard makes connections to a backend server that write only while the
// lease is held, and that know whether a request has written anything.
package guard

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

const (
	// DialTimeout bounds the time to connect.
	DialTimeout = 500 * time.Millisecond
	// IdleTimeout closes connections before backend servers commonly do, so
	// that a request rarely meets a connection that is just being closed.
	IdleTimeout = 4 * time.Second
)

// ErrLeaseOver is the write error of a connection when the lease has ended.
var ErrLeaseOver = errors.New("lease ended before the request was written")

// States of a guarded connection with regard to its current request.
const (
	unwritten uint32 = iota
	written
	barred
)

// guardedConn is a connection to the backend server that writes only while the
// lease is held, and knows whether the current request has written anything.
type guardedConn struct {
	net.Conn
	held  func() bool
	clock clock.Clock
	until atomic.Int64 // instant at which the current request's part of the lease ends
	state atomic.Uint32
}

// begin marks the start of a request that got this connection. It may be
// written before until.
func (c *guardedConn) begin(until clock.Instant) {
	c.until.Store(int64(until))
	c.state.CompareAndSwap(written, unwritten)
}

// bar reports whether the current request has written nothing, and sees to it
// that it never will: the transport may still be about to write when it
// reports a cancelled request.
func (c *guardedConn) bar() bool {
	if c.state.CompareAndSwap(unwritten, barred) {
		_ = c.Close()
	}
	return c.state.Load() == barred
}

// Write checks the lease immediately before the bytes leave: the lease under
// which the request was admitted, which another may have followed meanwhile.
func (c *guardedConn) Write(b []byte) (int, error) {
	if int64(c.clock.Now()) >= c.until.Load() || !c.held() {
		return 0, ErrLeaseOver
	}
	if !c.state.CompareAndSwap(unwritten, written) && c.state.Load() == barred {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// Dialer dials guarded connections.
func Dialer(clk clock.Clock, held func() bool) func(context.Context, string, string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: DialTimeout}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn, held: held, clock: clk}, nil
	}
}

// Trace remembers the connection of one request.
type Trace struct {
	Until clock.Instant // the request may be written before it
	conn  atomic.Pointer[guardedConn]
}

// Attach returns a context whose request the trace follows.
func (t *Trace) Attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { t.Got(info.Conn) },
	})
}

// Got notes the connection that the request was given.
func (t *Trace) Got(conn net.Conn) {
	if c, ok := conn.(*guardedConn); ok {
		c.begin(t.Until)
		t.conn.Store(c)
	}
}

// Wrote reports whether any byte of the request may have been handed to the
// network. When it reports false, none ever will be.
func (t *Trace) Wrote() bool {
	c := t.conn.Load()
	return c != nil && !c.bar()
}
