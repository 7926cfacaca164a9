// Package hold keeps account of the keys that are granted to a backend server:
// which grants are due, until when the server surely holds the keys, and until
// when it may hold them.
//
// A grant's time runs from the arrival of the call, on the server's clock. A call
// without an answer may be carried out late; its time counts from its arrival all
// the same. So a holder of keys is known to hold them no longer once the latest
// end of all grants sent, or the answer to a release after all of them were
// answered, is there.
//
// A Table does no I/O and is not safe for concurrent use.
package hold

import (
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/view"
)

const (
	// clockRate bounds how much slower than this host's a server's clock runs.
	clockRate = 1.02
	// transit bounds the time from Start to the arrival of the call on the same
	// host, beside pauses of the host, which stop both. The caller sees to SendWithin.
	transit = 50 * time.Millisecond
	// SendWithin is the time from Start within which the call must be written, or
	// not at all: a process may be kept from the processor for longer than transit.
	SendWithin = transit / 2
	// minHold is the shortest time worth granting.
	minHold = 100 * time.Millisecond
	// renewShare is the part of a grant's time after which it is renewed.
	renewShare = 0.55
	// retryPause is the time after which an unanswered or failed grant is sent
	// again.
	retryPause = 150 * time.Millisecond
)

// Grant is a grant to be sent.
type Grant struct {
	Shard    view.ShardID
	Token    uint64
	Handover string
	Hold     time.Duration // set by Start
}

// entry is the account of one shard under one token.
type entry struct {
	token      uint64
	handover   string
	sure       clock.Instant // until then the server holds the keys
	possible   clock.Instant // after it the server surely does not hold them
	unanswered clock.Instant // the same for grants that got no answer
	next       clock.Instant // when the next grant is due
	sending    bool
	closed     bool // no grant is sent any more
}

// Table is the account of one life of a backend server.
type Table struct {
	max     time.Duration
	entries map[view.ShardID]*entry
}

// New returns an empty table. No grant is longer than longest.
func New(longest time.Duration) *Table {
	return &Table{max: longest, entries: map[view.ShardID]*entry{}}
}

// Acquire adds a shard that was taken over under a token. handover is the last
// holder's token or "".
func (t *Table) Acquire(id view.ShardID, token uint64, handover string) {
	fresh := &entry{token: token, handover: handover}
	if e, ok := t.entries[id]; ok {
		if e.token >= token {
			return
		}
		fresh.possible = e.possible
		fresh.unanswered = e.possible
	}
	t.entries[id] = fresh
}

// Due returns the grants that are due now, under a lease that ends at deadline.
// Each must be begun by Start, and ended by Answered, Failed or Refused if Start
// let it be sent.
func (t *Table) Due(now, deadline clock.Instant) []Grant {
	if t.longest(now, deadline) < minHold {
		return nil
	}
	var due []Grant
	for id, e := range t.entries {
		if e.closed || e.sending || now < e.next {
			continue
		}
		e.sending = true
		due = append(due, Grant{Shard: id, Token: e.token, Handover: e.handover})
	}
	return due
}

// longest returns the time for which keys may be granted now, so that the grant
// ends before the lease does.
func (t *Table) longest(now, deadline clock.Instant) time.Duration {
	return min(t.max, time.Duration(float64(deadline.Sub(now)-transit)/clockRate))
}

// Start sets the time of a grant that is sent at this very moment. It returns
// false if it must not be sent any more.
func (t *Table) Start(g *Grant, now, deadline clock.Instant) bool {
	e := t.find(g.Shard, g.Token)
	if e == nil {
		return false
	}
	g.Hold = t.longest(now, deadline)
	if e.closed || g.Hold < minHold {
		e.sending = false
		return false
	}
	e.possible = max(e.possible, now.Add(transit+time.Duration(float64(g.Hold)*clockRate)))
	return true
}

// Answered ends a grant that was sent at an instant and acknowledged.
func (t *Table) Answered(g Grant, sent clock.Instant) {
	e := t.find(g.Shard, g.Token)
	if e == nil {
		return
	}
	e.sending = false
	e.sure = max(e.sure, sent.Add(time.Duration(float64(g.Hold)/clockRate)))
	e.next = sent.Add(time.Duration(renewShare * float64(g.Hold)))
}

// Unsent ends a grant that was not written and never will be.
func (t *Table) Unsent(g Grant, now clock.Instant) {
	e := t.find(g.Shard, g.Token)
	if e == nil {
		return
	}
	e.sending = false
	e.next = now
}

// Failed ends a grant that got no answer, or one that is not an
// acknowledgement. It may still be carried out.
func (t *Table) Failed(g Grant, now clock.Instant) {
	e := t.find(g.Shard, g.Token)
	if e == nil {
		return
	}
	e.sending = false
	e.unanswered = e.possible
	e.next = now.Add(retryPause)
}

// Refused ends a grant that the server refused for good.
func (t *Table) Refused(g Grant) {
	if e := t.find(g.Shard, g.Token); e != nil {
		e.sending = false
		e.closed = true
	}
}

// Lost tells that the server said it does not hold the shard's keys: the next
// grant is due at once. It may hold them all the same by now, by a grant that came
// after it looked.
func (t *Table) Lost(id view.ShardID, token uint64) {
	if e := t.find(id, token); e != nil {
		e.sure = 0
		e.next = 0
	}
}

// Holds reports whether the server surely holds the shard's keys under the token.
func (t *Table) Holds(now clock.Instant, id view.ShardID, token uint64) bool {
	e := t.find(id, token)
	return e != nil && now < e.sure
}

// Close ends the grants of a shard. It reports whether one is on its way: its
// answer must be awaited before a release is sent.
func (t *Table) Close(id view.ShardID, token uint64) (sending bool) {
	e := t.find(id, token)
	if e == nil {
		return false
	}
	e.closed = true
	return e.sending
}

// Sending reports whether a grant of the shard is on its way.
func (t *Table) Sending(id view.ShardID, token uint64) bool {
	e := t.find(id, token)
	return e != nil && e.sending
}

// ReleasedBy returns the instant from which on a server that acknowledged the
// release of the shard holds its keys no more: later than now only if a grant
// went unanswered.
func (t *Table) ReleasedBy(id view.ShardID, token uint64) clock.Instant {
	if e := t.find(id, token); e != nil {
		return e.unanswered
	}
	return 0
}

// GoneBy returns the instant from which on the server holds the shard's keys no
// more, whatever it answers.
func (t *Table) GoneBy(id view.ShardID, token uint64) clock.Instant {
	if e := t.find(id, token); e != nil {
		return e.possible
	}
	return 0
}

// Drop forgets a shard under a token.
func (t *Table) Drop(id view.ShardID, token uint64) {
	if t.find(id, token) != nil {
		delete(t.entries, id)
	}
}

// Keep ends the grants of the shards for which held reports false, and forgets
// those of them that the server surely does not hold any more.
func (t *Table) Keep(now clock.Instant, held func(view.ShardID) bool) {
	for id, e := range t.entries {
		if held(id) {
			continue
		}
		e.closed = true
		if now >= e.possible && !e.sending {
			delete(t.entries, id)
		}
	}
}

// Restarted tells that the server began a new life, which holds nothing.
func (t *Table) Restarted() { clear(t.entries) }

func (t *Table) find(id view.ShardID, token uint64) *entry {
	if e, ok := t.entries[id]; ok && e.token == token {
		return e
	}
	return nil
}
