// Package callermemory accounts for the memory that a daemon holds on behalf of callers: the
// bytes read of their requests, the requests and answers that run, that wait in sessions between
// daemons or for their turn on a connection, and answers until the connection has taken them.
//
// It is designed for 4,000 requests a second and 3,000 callers' connections at a daemon with
// 284 MB, of which each operation costs a few atomic additions.
package callermemory

import (
	"context"
	"sync"
	"sync/atomic"
)

// Limits are the bounds of an Account in bytes.
type Limits struct {
	Connection int64 // of one connection of a caller
	Entry      int64 // of all callers' connections
	Total      int64 // of callers' connections and requests of other daemons
}

const (
	// SmallBytes is the size up to which a reservation may use the last part of a bound, so that
	// small requests are served while long answers are refused.
	SmallBytes = 64 << 10
	// largeShare is the part of a bound that larger reservations may use.
	largeShare = 0.75
)

// Account counts memory. A nil *Account counts nothing and refuses nothing. It is safe for concurrent
// use.
type Account struct {
	limits       Limits
	entry, total atomic.Int64
	reads        atomic.Int64 // part of entry
	refusals     [Refusals]atomic.Int64
	sizes        *sizes // of answers

	connections, refusedConnections, closedConnections atomic.Int64
}

// Refusal is the reason for which something was not accepted.
type Refusal int

const (
	Admitted     Refusal = iota
	ByConnection         // the connection's bound
	ByEntry              // the bound of all callers' connections
	ByTotal              // the bound of the daemon
	Refusals             // their number
)

// String returns the name of the bound.
func (r Refusal) String() string {
	return [...]string{"none", "connection", "entry", "total"}[r]
}

// New returns an account with bounds.
func New(limits Limits) *Account { return &Account{limits: limits, sizes: newSizes()} }

// Entry returns the bytes held for callers' connections.
func (a *Account) Entry() int64 { return a.entry.Load() }

// Total returns the bytes held in all.
func (a *Account) Total() int64 { return a.total.Load() }

// Refused returns how many requests were refused for want of memory by a bound.
func (a *Account) Refused(by Refusal) int64 { return a.refusals[by].Load() }

// CountRefusal counts a request that was refused by a bound.
func (c *Charge) CountRefusal(by Refusal) {
	if c != nil && c.account != nil {
		c.account.refusals[by].Add(1)
	}
}

// ExpectedAnswer returns the size that answers of a route have on average.
func (c *Charge) ExpectedAnswer(route string) int64 {
	if c == nil || c.account == nil {
		return leastBytes
	}
	return c.account.sizes.expected(route)
}

// RecordAnswer records the size of an answer of a route.
func (c *Charge) RecordAnswer(route string, bytes int) {
	if c != nil && c.account != nil {
		c.account.sizes.record(route, bytes)
	}
}

// AnswerBytes returns what an answer of n bytes takes while it is passed on: a daemon has it as
// it was received and as it is written.
func AnswerBytes(n int64) int64 { return 2 * n }

// Exceeded reports whether more is held than a bound allows: what has arrived is counted even
// if there is no room for it.
func (a *Account) Exceeded() bool { return a.exceeds(1) }

// FarExceeded reports whether much more is held than a bound allows.
func (a *Account) FarExceeded() bool { return a.exceeds(farShare) }

// farShare is the multiple of a bound from which it is far exceeded.
const farShare = 1.1

func (a *Account) exceeds(share float64) bool {
	return a != nil && (float64(a.entry.Load()) > share*float64(a.limits.Entry) || float64(a.total.Load()) > share*float64(a.limits.Total))
}

// Connections returns how many connections of callers are open.
func (a *Account) Connections() int64 { return a.connections.Load() }

// RefusedConnections returns how many connections found no place.
func (a *Account) RefusedConnections() int64 { return a.refusedConnections.Load() }

// ClosedConnections returns how many connections were closed for what others need.
func (a *Account) ClosedConnections() int64 { return a.closedConnections.Load() }

// CountRefusedConnection counts a connection that found no place.
func (a *Account) CountRefusedConnection() {
	if a != nil {
		a.refusedConnections.Add(1)
	}
}

// headShare is the part of the entry's bound that bytes may take that were read of requests and
// not given to their handlers yet. Proper callers have such bytes for a moment only.
const headShare = 0.2

// ReadRoom reports whether there is room for further bytes of requests.
func (a *Account) ReadRoom() bool {
	return a == nil || a.reads.Load() <= int64(headShare*float64(a.limits.Entry))
}

// CountRead changes the bytes that were read and not given to handlers, which a Charge counts, too.
func (a *Account) CountRead(change int64) {
	if a != nil {
		a.reads.Add(change)
	}
}

// Connection is the share of one connection of a caller.
type Connection struct {
	account *Account
	held    atomic.Int64
}

// Connection returns the share of a new connection.
func (a *Account) Connection() *Connection {
	if a != nil {
		a.connections.Add(1)
	}
	return &Connection{account: a}
}

// Close ends the share of a connection. forced tells that it was closed for what others need.
func (c *Connection) Close(forced bool) {
	if c.account == nil {
		return
	}
	c.account.connections.Add(-1)
	if forced {
		c.account.closedConnections.Add(1)
	}
}

// Held returns the bytes that are held for the connection.
func (c *Connection) Held() int64 { return c.held.Load() }

// Full reports whether the connection has reached its bound.
func (c *Connection) Full() bool {
	return c.account != nil && c.held.Load() >= c.account.limits.Connection
}

// NewCharge returns a charge of the connection without bytes.
func (c *Connection) NewCharge() *Charge { return &Charge{account: c.account, conn: c} }

// NewCharge returns a charge without bytes for a request of another daemon.
func (a *Account) NewCharge() *Charge { return &Charge{account: a} }

// Charge is what is held for one request and its answer, or for the bytes read of one connection.
// It is safe for concurrent use; the methods of a nil *Charge have no effect.
type Charge struct {
	account *Account
	conn    *Connection // nil for a request of another daemon

	mu              sync.Mutex
	request, answer int64
	ended           bool
}

// Reserve raises the part of the answer to n bytes if the bounds have room. A charge that is as
// high already stays as it is.
func (c *Charge) Reserve(n int64) Refusal { return c.reserve(n, true, answerOf) }

// ReserveFirst is Reserve without the connection's bound, for a request that waits for no other
// one of its connection.
func (c *Charge) ReserveFirst(n int64) Refusal { return c.reserve(n, false, answerOf) }

// ReserveRequest is Reserve for the request's own bytes.
func (c *Charge) ReserveRequest(n int64) Refusal { return c.reserve(n, true, requestOf) }

// ReserveRequestFirst is ReserveFirst for the request's own bytes.
func (c *Charge) ReserveRequestFirst(n int64) Refusal { return c.reserve(n, false, requestOf) }

func answerOf(c *Charge) *int64  { return &c.answer }
func requestOf(c *Charge) *int64 { return &c.request }

func (c *Charge) reserve(n int64, ofConn bool, part func(*Charge) *int64) Refusal {
	if c == nil || c.account == nil {
		return Admitted
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	more := n - *part(c)
	if more <= 0 || c.ended {
		return Admitted
	}
	a := c.account
	by := Admitted
	switch {
	case ofConn && c.conn != nil && !fits(c.conn.held.Load(), more, a.limits.Connection):
		by = ByConnection
	case !reserve(&a.total, more, bound(a.limits.Total, n)):
		by = ByTotal
	case c.conn != nil && !reserve(&a.entry, more, bound(a.limits.Entry, n)):
		a.total.Add(-more)
		by = ByEntry
	}
	if by != Admitted {
		return by
	}
	if c.conn != nil {
		c.conn.held.Add(more)
	}
	*part(c) = n
	return Admitted
}

// bound returns the part of a limit that a reservation of n bytes may use.
func bound(limit, n int64) int64 {
	if n <= SmallBytes {
		return limit
	}
	return int64(largeShare * float64(limit))
}

// fits reports whether more bytes may be held beside those that are. What is held alone fits:
// else a large answer would never be served.
func fits(held, more, limit int64) bool { return held+more <= limit || held <= SmallBytes }

// reserve adds n to a counter if it fits.
func reserve(counter *atomic.Int64, n, limit int64) bool {
	if !fits(counter.Add(n)-n, n, limit) {
		counter.Add(-n)
		return false
	}
	return true
}

// Set sets the part of the answer to n bytes, which exist already, whether there is room or
// not.
func (c *Charge) Set(n int64) { c.set(-1, n) }

// SetRequest is Set for the request's own bytes.
func (c *Charge) SetRequest(n int64) { c.set(n, -1) }

// Release ends the charge. It may be called more than once.
func (c *Charge) Release() {
	c.set(0, 0)
	if c != nil {
		c.mu.Lock()
		c.ended = true
		c.mu.Unlock()
	}
}

// set changes the parts that are not negative.
func (c *Charge) set(request, answer int64) {
	if c == nil || c.account == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	more := int64(0)
	if request >= 0 {
		more += request - c.request
		c.request = request
	}
	if answer >= 0 {
		more += answer - c.answer
		c.answer = answer
	}
	c.account.total.Add(more)
	if c.conn != nil {
		c.account.entry.Add(more)
		c.conn.held.Add(more)
	}
}

type chargeKey struct{}

// WithCharge returns a context for the work on a request.
func WithCharge(ctx context.Context, c *Charge) context.Context {
	return context.WithValue(ctx, chargeKey{}, c)
}

// ChargeOf returns the charge of the request of a context, or nil if it has none.
func ChargeOf(ctx context.Context) *Charge {
	c, _ := ctx.Value(chargeKey{}).(*Charge)
	return c
}
