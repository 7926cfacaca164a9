package backendconn

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// Stutter tells whether the backend server wrote bytes that are no answer of a call, mostly an
// answer that it had written before. If its answers to orders (grants and releases) do not name
// their order, such a server gets each order on a connection of its own. It is safe for concurrent
// use.
type Stutter struct {
	seen      atomic.Bool
	named     atomic.Bool  // an answer named its request
	unnamed   atomic.Bool  // an answer named no request
	discarded atomic.Int64 // how often a connection was closed for such bytes, since LogDiscarded
	loggedAt  atomic.Int64 // time of the last line
}

// logInterval bounds the lines of LogDiscarded.
const logInterval = time.Second

// Saw records such bytes.
func (s *Stutter) Saw() { s.seen.Store(true) }

// discard records that a connection was closed for such bytes, which no call reads.
func (s *Stutter) discard() {
	s.Saw()
	s.discarded.Add(1)
}

// LogDiscarded logs a line if connections were closed for such bytes, at most one in
// logInterval.
func (s *Stutter) LogDiscarded(log *zap.Logger, now clock.Instant) {
	last := s.loggedAt.Load()
	if s.discarded.Load() == 0 || now < clock.Instant(last).Add(logInterval) || !s.loggedAt.CompareAndSwap(last, int64(now)) {
		return
	}
	log.Info("bytes of no answer discarded", zap.Int64("count", s.discarded.Swap(0)))
}

// Seen reports whether there were such bytes since Reset.
func (s *Stutter) Seen() bool { return s.seen.Load() }

// Named records that an answer named its request.
func (s *Stutter) Named() { s.named.Store(true) }

// Unnamed records an answer that named no request, on a new connection or one that carried others. It
// reports whether it may be a copy of another answer: those of the server name their requests. If
// they never do, no request is sent on a connection that carried another one.
func (s *Stutter) Unnamed(kept bool) (mayBeCopy bool) {
	if kept && s.named.Load() {
		return true
	}
	s.unnamed.Store(true)
	return false
}

// namesNone reports whether the server has answered and named no request.
func (s *Stutter) namesNone() bool { return s.unnamed.Load() && !s.named.Load() }

// Reset is called when the server has restarted.
func (s *Stutter) Reset() {
	s.seen.Store(false)
	s.named.Store(false)
	s.unnamed.Store(false)
}

// OrderDialer returns a dial function for connections of orders that may be written at any time.
func OrderDialer(clk clock.Clock, stutter *Stutter) func(context.Context, string, string) (net.Conn, error) {
	return dialer(clk, guards{leaseHeld: func() bool { return true }, stutter: stutter})
}

// ErrCopy is the error of an order whose answer was given to an earlier one.
var ErrCopy = errors.New("the answer to an earlier call was read instead of the answer")

// Orders is an http.RoundTripper for orders. It names each one in the header IDHeader. An answer that
// names an earlier one of its connection is ErrCopy; a server need not name any.
type Orders struct {
	*http.Transport
	IDHeader string
}

type orderTraceKey struct{}

// WithOrderTrace returns a context whose order is recorded by a trace.
func WithOrderTrace(ctx context.Context, t *Trace) context.Context {
	return context.WithValue(ctx, orderTraceKey{}, t)
}

// RoundTrip implements http.RoundTripper.
func (o Orders) RoundTrip(req *http.Request) (*http.Response, error) {
	trace, ok := req.Context().Value(orderTraceKey{}).(*Trace)
	if !ok {
		trace = &Trace{Until: clock.Instant(math.MaxInt64)}
	}
	trace.RequestID, trace.order = strconv.FormatUint(rand.Uint64(), 16), true
	named := req.WithContext(trace.Attach(req.Context()))
	named.Header = req.Header.Clone()
	if o.IDHeader != "" {
		named.Header.Set(o.IDHeader, trace.RequestID)
	}
	resp, err := o.Transport.RoundTrip(named)
	for err == nil && trace.answeredUnwritten() {
		_ = resp.Body.Close()
		if !trace.Kept() {
			return nil, ErrCopy
		}
		if named.GetBody != nil {
			if named.Body, err = named.GetBody(); err != nil {
				return nil, err
			}
		}
		resp, err = o.Transport.RoundTrip(named)
	}
	if err != nil {
		return nil, err
	}
	if !isFinalStatus(resp.StatusCode) {
		trace.Discard()
		_ = resp.Body.Close()
		return nil, errInvalidStatus
	}
	if trace.isCopy(resp.Header.Get(o.IDHeader)) || mergesHeads(resp, trace.RequestID) || quotesStatusLine(resp.Header) {
		trace.Discard()
		_ = resp.Body.Close()
		return nil, ErrCopy
	}
	resp.Body = orderBody{resp.Body, trace}
	return resp, nil
}

// isCopy reports whether an answer to the order that names id, or nothing, was given to an earlier
// call.
func (t *Trace) isCopy(id string) bool {
	c := t.conn.Load()
	if c == nil || c.stutter == nil {
		return false
	}
	c.mu.Lock()
	own := id == t.RequestID
	ambiguous := id == "" && t.Kept() && c.answers > 1 // the first may be an earlier order's
	copied := !own && c.ids.contains(id) || id == "" && c.namesOrders && c.stutter.Seen() || ambiguous
	c.namesOrders = c.namesOrders || own
	c.mu.Unlock()
	if copied {
		c.stutter.discard()
	}
	return copied
}

// orderBody ends its order when it is closed.
type orderBody struct {
	io.ReadCloser
	trace *Trace
}

// Close implements io.Closer.
func (b orderBody) Close() error {
	err := b.ReadCloser.Close()
	b.trace.Answered()
	return err
}

// answersIn returns how many heads of answers, other than interim ones, begin in data.
func answersIn(data []byte) int {
	count := 0
	for at := indexFrom(data, statusLineStart, 0); at >= 0; at = indexFrom(data, statusLineStart, at+1) {
		line, _, _ := bytes.Cut(data[at:], []byte("\r"))
		if startsStatusLine(line) && line[len(statusLineStart+"d ")] != '1' {
			count++
		}
	}
	return count
}

// isTimeout reports whether data is an answer by which a server closes an idle connection.
func isTimeout(data []byte) bool {
	return startsStatusLine(data[:min(len(data), len(statusLineStart+"d ddd"))]) && bytes.HasPrefix(data[len(statusLineStart+"d "):], []byte("408"))
}

// accept looks at data that was read. It reports false if no call waits for it. The connection is not
// used again after that, nor after a second answer to an order.
func (c *guardedConn) accept(data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observe(data)
	switch {
	case c.current == nil:
		if isTimeout(data) {
			return true
		}
	case c.current.order:
		if c.answers += answersIn(data); c.answers <= 1 {
			return true
		}
	default:
		return true
	}
	c.discarded.Store(true)
	if c.stutter != nil {
		c.stutter.discard()
	}
	return c.current != nil
}

// Answered marks the end of the call: its answer was read. What comes on its connection before the
// next call belongs to none.
func (t *Trace) Answered() {
	c := t.conn.Load()
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == t {
		c.current = nil
	}
}
