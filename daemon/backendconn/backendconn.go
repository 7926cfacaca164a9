// Package backendconn provides connections to a backend server that write a request only
// until a given time and while the lease is held, and reports whether any byte of the
// request was written. It also detects crashes of the server and reads its responses.
//
// Invariant: after Trace.Wrote has returned false for a request, no byte of that
// request is ever written.
package backendconn

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
	// DialTimeout bounds the time to establish a connection.
	DialTimeout = 500 * time.Millisecond
	// IdleTimeout closes idle connections. It is shorter than the idle timeout of
	// most backend servers, so that a request is rarely written to a connection
	// that the server is closing.
	IdleTimeout = 4 * time.Second
)

// ErrLeaseEnded is the write error of a connection after Trace.Until of its current
// request, or while no lease is held.
var ErrLeaseEnded = errors.New("lease ended or deadline passed before the request was written")

// Write states of the current request on a guarded connection.
const (
	unwritten uint32 = iota
	written
	blocked
)

// guardedConn is a connection to the backend server. It writes only until
// Trace.Until of the current request and while leaseHeld returns true, and records
// whether any byte of that request was written.
type guardedConn struct {
	net.Conn
	leaseHeld func() bool
	clock     clock.Clock
	until     atomic.Int64 // Trace.Until of the current request
	state     atomic.Uint32
}

// beginRequest marks the start of a request on this connection. The request may be
// written before the time until.
func (c *guardedConn) beginRequest(until clock.Instant) {
	c.until.Store(int64(until))
	c.state.CompareAndSwap(written, unwritten)
}

// block reports whether the current request has written nothing. If so, it closes the
// connection and prevents later writes, because the transport may still be about to
// write when it reports that the request was cancelled.
func (c *guardedConn) block() bool {
	if c.state.CompareAndSwap(unwritten, blocked) {
		_ = c.Close()
	}
	return c.state.Load() == blocked
}

// Write checks, immediately before writing, that a lease is held and that
// Trace.Until of the current request has not passed. For a request that was admitted
// under a lease, that is the end of the lease: a later lease does not cover the
// request.
func (c *guardedConn) Write(b []byte) (int, error) {
	if int64(c.clock.Now()) >= c.until.Load() || !c.leaseHeld() {
		return 0, ErrLeaseEnded
	}
	if !c.state.CompareAndSwap(unwritten, written) && c.state.Load() == blocked {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// Dialer returns a dial function for guarded connections. leaseHeld is called before
// each write.
func Dialer(clk clock.Clock, leaseHeld func() bool) func(context.Context, string, string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: DialTimeout}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn, leaseHeld: leaseHeld, clock: clk}, nil
	}
}

// Trace records the connection of one request.
type Trace struct {
	Until clock.Instant // the request may be written before this time
	conn  atomic.Pointer[guardedConn]
	kept  atomic.Bool
}

// Kept reports whether the request was sent on a connection that had carried another one.
// A faulty server may have left bytes of its answer there.
func (t *Trace) Kept() bool { return t.kept.Load() }

// CloseConn closes the request's connection, so that no other request is sent on it.
func (t *Trace) CloseConn() {
	if c := t.conn.Load(); c != nil {
		_ = c.Close()
	}
}

// Attach returns a context that makes the HTTP transport report the request's
// connection to the trace.
func (t *Trace) Attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			t.kept.Store(info.Reused)
			t.SetConn(info.Conn)
		},
	})
}

// SetConn records the connection on which the request is sent and marks the start of the
// request on it.
func (t *Trace) SetConn(conn net.Conn) {
	if c, ok := conn.(*guardedConn); ok {
		c.beginRequest(t.Until)
		t.conn.Store(c)
	}
}

// Wrote reports whether any byte of the request may have been written to the network.
// After it has returned false, no byte of the request will be written.
func (t *Trace) Wrote() bool {
	c := t.conn.Load()
	return c != nil && !c.block()
}
