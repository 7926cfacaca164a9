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
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
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
	// maxBarred bounds the requests that are barred from one connection. It is closed
	// after that.
	maxBarred = 64
)

// ErrDiscarded is the write error of a connection on which an answer to another sending
// arrived or may arrive, or that the server closed while it was idle. Nothing of the request
// was written.
var ErrDiscarded = errors.New("connection discarded before the request was written")

// ErrLeaseEnded is the write error of a connection after Trace.Until of its current
// request, or while no lease is held.
var ErrLeaseEnded = errors.New("lease ended or deadline passed before the request was written")

// ErrOtherProcess is the write error of a connection that may lead to a process of the
// backend server that is not known yet.
var ErrOtherProcess = errors.New("the backend server may have restarted")

// ErrFull is the write error of a new connection that the server had ended before the request was
// written.
var ErrFull = errors.New("the backend server ended a new connection at once")

// errNoCallWaits is the read error of a connection on which bytes came while no call waited for
// them.
var errNoCallWaits = errors.New("bytes came that belong to no call")

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
	guards
	clock     clock.Clock
	opened    clock.Instant
	until     atomic.Int64  // Trace.Until of the current request
	process   atomic.Uint64 // Trace.Process of the current request
	state     atomic.Uint32
	discarded atomic.Bool  // closed, although the transport may still offer it for a request
	answered  atomic.Bool  // bytes were read, if continuity is set
	used      atomic.Bool  // bytes were read
	reset     atomic.Bool  // the server has reset it
	lastRead  atomic.Int64 // when bytes were last read
	awaiting  atomic.Bool  // no byte was read since the current request was written
	closed    atomic.Bool  // by this daemon
	ending

	server        *Process    // to which it leads; nil if it is not recorded
	over          atomic.Bool // neither side can use it any more
	endedByServer atomic.Bool // before this daemon closed it

	mu      sync.Mutex
	barred  map[string]bool // ids of requests that must not be sent here again, see Trace.BarRepeat
	ids     carriedIDs      // of the requests that were sent here
	current *Trace          // of the call that waits for its answer; nil if none does
	answers int             // answers that were read since current began, if it is an order
	tail    readTail
	head    headScan // of the answer to current

	namesOrders bool // an answer to an order named it
}

// guards are the conditions under which a connection may be used.
type guards struct {
	leaseHeld  func() bool
	continuity *Continuity // nil if the connections of the server are not watched
	stutter    *Stutter    // nil if bytes of no answer are not recorded
	// knownOnly means that nothing is written to another process than the known one.
	knownOnly bool
}

// Read reads and records whether the server still uses the connection.
func (c *guardedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.recordReset(err)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	if err != nil {
		c.recordEnd(!c.closed.Load())
	}
	if n > 0 {
		c.used.Store(true)
	}
	if n > 0 && !c.accept(b[:n]) {
		return 0, errNoCallWaits // the transport would keep the bytes for the next request
	}
	if c.continuity == nil {
		return n, err
	}
	if n > 0 {
		c.answered.Store(true)
		c.awaiting.Store(false)
		c.lastRead.Store(int64(c.clock.Now()))
		c.continuity.Answered(c.opened)
	}
	if errors.Is(err, io.EOF) && c.answered.Load() && !c.awaiting.Load() && !c.closed.Load() {
		c.continuity.ClosedIdle(c.clock.Now().Sub(clock.Instant(c.lastRead.Load())))
	}
	// A server may close an idle connection at any time.
	broken := errors.Is(err, syscall.ECONNRESET) || err != nil && c.awaiting.Load()
	if broken && c.answered.Load() && !c.closed.Load() {
		c.continuity.Lost(c.clock.Now())
	}
	return n, err
}

// closedByServer reports whether the server has closed the connection, although Read may not
// have returned yet. If that cannot be known, it is not reported.
func (c *guardedConn) closedByServer() bool {
	ended, peekErr := c.peek()
	// Read returns these late.
	if (errors.Is(peekErr, syscall.ECONNRESET) || ended && c.awaiting.Load()) && !c.closed.Load() {
		c.continuity.Lost(c.clock.Now())
	}
	return ended || isEnd(peekErr)
}

// peekEnd reports whether the server has ended the connection, as closedByServer does, and has no
// effect on what is known of its process.
func (c *guardedConn) peekEnd() bool {
	ended, err := c.peek()
	return ended || isEnd(err)
}

func isEnd(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// peek looks at the socket. It reports whether the server has closed it, or the socket's error.
func (c *guardedConn) peek() (ended bool, err error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false, nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false, nil
	}
	var n int
	var peekErr error
	c.errMu.RLock()
	defer c.errMu.RUnlock()
	err = raw.Control(func(fd uintptr) { // Read would wait for the transport's own read
		n, _, peekErr = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return false, nil
	}
	c.recordReset(peekErr)
	c.recordConsumed(EndSeenByLook, peekErr)
	return peekErr == nil && n == 0, peekErr
}

// recordReset records a reset. The kernel reports it once, and a closed connection after that.
func (c *guardedConn) recordReset(err error) {
	if errors.Is(err, syscall.ECONNRESET) {
		c.reset.Store(true)
	}
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	c.closed.Store(true)
	c.recordEnd(false)
	if c.continuity != nil {
		c.continuity.remove(c)
	}
	return c.Conn.Close()
}

// beginRequest marks the start of a request on this connection. The connection is discarded if
// it carried the request a short time ago, whose answer may come a second time, or if the request is
// barred from it, or if an answer to an earlier call may be taken for that to an order.
func (c *guardedConn) beginRequest(t *Trace) {
	c.until.Store(int64(t.Until))
	c.process.Store(t.Process)
	c.mu.Lock()
	defer c.mu.Unlock()
	// The transport counts a connection as used once it has been idle.
	t.kept.Store(c.state.CompareAndSwap(written, unwritten))
	c.current, c.answers = t, 0
	c.beginHead(t)
	orderToStuttering := t.order && t.Kept() && !c.namesOrders && c.stutter != nil && c.stutter.Seen()
	toUnnamed := !t.order && t.Kept() && c.stutter != nil && c.stutter.namesNone()
	if c.barred[t.RequestID] || orderToStuttering || toUnnamed {
		c.discarded.Store(true)
	}
	now := c.clock.Now()
	if t.RequestID != "" && (c.ids.carriedWithin(t.RequestID, now) || !c.ids.add(t.RequestID, t.Until, now)) {
		c.discarded.Store(true)
	}
}

// bar records that a request must not be sent on this connection again.
func (c *guardedConn) bar(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.barred == nil {
		c.barred = map[string]bool{}
	}
	c.barred[id] = true
	if len(c.barred) >= maxBarred {
		c.discarded.Store(true)
	}
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
	if c.discarded.Load() {
		return 0, ErrDiscarded
	}
	if c.state.Load() == unwritten && c.endedUnused() { // may wait, so that it precedes the other checks
		return 0, ErrFull
	}
	if int64(c.clock.Now()) >= c.until.Load() || !c.leaseHeld() {
		return 0, ErrLeaseEnded
	}
	if c.knownOnly && !c.answered.Load() {
		c.continuity.lookForLosses()
	}
	if c.knownOnly && !c.continuity.LeadsTo(c.process.Load(), c.opened) {
		return 0, ErrOtherProcess
	}
	if c.state.Load() == unwritten && c.answered.Load() && (c.closedByServer() || c.knownOnly && c.continuity.ClosesQuickly()) {
		c.discarded.Store(true)
		return 0, ErrDiscarded
	}
	switch {
	case c.state.CompareAndSwap(unwritten, written):
		c.awaiting.Store(true)
	case c.state.Load() == blocked:
		return 0, net.ErrClosed
	}
	c.errMu.RLock()
	defer c.errMu.RUnlock()
	n, err := c.Conn.Write(b)
	c.recordReset(err)
	if err != nil {
		c.recordEnd(!c.closed.Load()) // the transport closes it before the reader sees the end
	}
	c.recordConsumed(EndSeenByWrite, err)
	return n, err
}

// Dialer returns a dial function for guarded connections. leaseHeld is called before
// each write.
func Dialer(clk clock.Clock, leaseHeld func() bool, stutter *Stutter) func(context.Context, string, string) (net.Conn, error) {
	return dialer(clk, guards{leaseHeld: leaseHeld, stutter: stutter})
}

// WatchedDialer returns a dial function for guarded connections that report to continuity
// what becomes of them. With knownOnly they write only to the process that is known.
func WatchedDialer(clk clock.Clock, continuity *Continuity, knownOnly bool) func(context.Context, string, string) (net.Conn, error) {
	always := func() bool { return true }
	return dialer(clk, guards{leaseHeld: always, continuity: continuity, stutter: &continuity.Stutter, knownOnly: knownOnly})
}

func dialer(clk clock.Clock, g guards) func(context.Context, string, string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: DialTimeout}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		opened := clk.Now() // before the process that accepts it can have ended
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		c := &guardedConn{Conn: conn, guards: g, clock: clk, opened: opened}
		if g.continuity != nil {
			g.continuity.add(c)
		}
		return c, nil
	}
}

// Trace records the connection of one request.
type Trace struct {
	RequestID string        // "" for a call that is not a request
	Until     clock.Instant // the request may be written before this time
	Process   uint64        // for which the request is, by Continuity.Restarted; counts if only the known one may get it

	order bool // sent by Orders
	conn  atomic.Pointer[guardedConn]
	kept  atomic.Bool
	wrote atomic.Bool // on a connection before conn: the transport sends some calls again

	interim atomic.Int32 // interim responses that were read

	bodyAt atomic.Int64 // where the body of the answer begins, as an offset on conn; 0 until it is known
}

// Kept reports whether the request was sent on a connection that had carried another one.
// A faulty server may have left bytes of its answer there.
func (t *Trace) Kept() bool { return t.kept.Load() }

// Discard closes the request's connection, so that no other request is sent on it. The
// transport may already have given it to another request, which DiscardedUnwritten
// reports.
func (t *Trace) Discard() {
	if c := t.conn.Load(); c != nil {
		c.discarded.Store(true)
		_ = c.Close()
	}
}

// DiscardAfterResponse lets the response on the request's connection be read, and makes
// sure that no other request is sent on it.
func (t *Trace) DiscardAfterResponse() {
	if c := t.conn.Load(); c != nil {
		c.discarded.Store(true)
	}
}

// BarRepeat makes sure that this request is not sent on the same connection again. It is
// called after an answer that allows a repeat: a late copy of that answer has the same id,
// and would be taken for the answer to the repeat, which the server runs.
func (t *Trace) BarRepeat() {
	if c := t.conn.Load(); c != nil {
		c.bar(t.RequestID)
	}
}

// Carried reports whether a request with an id was sent on the connection of this one a short time
// ago. Its answer may come there a second time.
func (t *Trace) Carried(id string) bool {
	c := t.conn.Load()
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ids.contains(id)
}

// DiscardedUnwritten reports whether the request was given a connection that an earlier
// request had discarded, and no byte of it was or will be written. It can be sent on
// another connection.
func (t *Trace) DiscardedUnwritten() bool {
	c := t.conn.Load()
	return c != nil && c.discarded.Load() && c.block()
}

// answeredUnwritten reports whether an answer was read although no byte of the request was or will be
// written: the transport had bytes of another answer in its buffer. The request can be sent on
// another connection.
func (t *Trace) answeredUnwritten() bool {
	c := t.conn.Load()
	if c == nil || t.wrote.Load() {
		return false
	}
	c.mu.Lock()
	// The transport gives the connection to another call only after it wrote this one.
	isUnwritten := c.current == t && c.state.CompareAndSwap(unwritten, blocked)
	c.mu.Unlock()
	if !isUnwritten {
		return false
	}
	c.discarded.Store(true)
	_ = c.Close()
	if c.stutter != nil {
		c.stutter.discard()
	}
	return true
}

// process returns the process to which the request's connection leads, or nil if it is not known.
func (t *Trace) process() *Process {
	if c := t.conn.Load(); c != nil {
		return c.server
	}
	return nil
}

// Attach returns a context that makes the HTTP transport report the request's
// connection to the trace.
func (t *Trace) Attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { t.SetConn(info.Conn) },
		Got1xxResponse: t.checkInterim,
	})
}

// SetConn records the connection on which the request is sent and marks the start of the
// request on it.
func (t *Trace) SetConn(conn net.Conn) {
	if c, ok := conn.(*guardedConn); ok {
		if before := t.conn.Load(); before != nil && before.state.Load() == written {
			t.wrote.Store(true)
		}
		c.beginRequest(t)
		t.conn.Store(c)
	}
}

// Wrote reports whether any byte of the request may have been written to the network.
// After it has returned false, no byte of the request will be written.
func (t *Trace) Wrote() bool {
	c := t.conn.Load()
	return c != nil && !c.block() || t.wrote.Load()
}

// Do sends the request with an id, which newRequest returns and which may be written until
// a given time. If the connection turns out to be discarded by an earlier request, it sends
// it on another one. trace is nil if newRequest failed.
func Do(ctx context.Context, client *http.Client, id string, until clock.Instant, newRequest func(context.Context) (*http.Request, error)) (resp *http.Response, trace *Trace, err error) {
	for {
		trace := &Trace{RequestID: id, Until: until}
		req, err := newRequest(trace.Attach(ctx))
		if err != nil {
			return nil, nil, err
		}
		resp, err := client.Do(req)
		if err != nil && trace.DiscardedUnwritten() && ctx.Err() == nil {
			continue
		}
		if err == nil && trace.Kept() && trace.answeredUnwritten() {
			_ = resp.Body.Close()
			continue
		}
		x := recordOf(ctx)
		x.trace = trace
		x.Framing, x.Kept, x.BodyBytes = "", trace.Kept(), 0
		x.BodyEnd, x.EndSeenBy, x.Follower, x.Quotes = "", trace.endSeenBy(), FollowerNone, ""
		if err == nil {
			x.Framing = framingOf(resp)
		}
		if err == nil && !isFinalStatus(resp.StatusCode) {
			trace.Discard()
			_ = resp.Body.Close()
			return nil, trace, errInvalidStatus
		}
		if err == nil && mergesHeads(resp, id) {
			RecordDiscarded(ctx, id, DiscardMergedHeads)
			trace.sawCopy()
			trace.Discard()
			_ = resp.Body.Close()
			return nil, trace, errMergedHeads
		}
		return resp, trace, err
	}
}
