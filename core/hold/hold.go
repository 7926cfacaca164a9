// Package hold tracks the key grants of a backend server: which grants are due,
// until when the server certainly holds the keys, and until when it may hold
// them.
//
// A grant's duration starts when the call arrives at the server, on the server's
// clock, even if the server processes the call later. A call without an answer
// may still be executed. Therefore the server certainly no longer holds the keys
// only after the latest end of all grants sent, or after it acknowledged a
// release that was sent when all grants had been answered.
//
// A Table does no I/O and is not safe for concurrent use.
package hold

import (
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/view"
)

const (
	// maxClockRatio bounds the ratio between the clock rates of this host and the
	// backend server, in both directions.
	maxClockRatio = 1.02
	// maxCallDelay bounds the time from Start to the arrival of the call on the same
	// host, excluding pauses of the host, which stop sender and receiver alike. It
	// holds only if the caller observes SendWithin.
	maxCallDelay = 50 * time.Millisecond
	// SendWithin is the time from Start within which the call must be written. After
	// that it must not be written, since the operating system may suspend the
	// sending process for longer than maxCallDelay.
	SendWithin = maxCallDelay / 2
	// minHold is the shortest duration of a grant.
	minHold = 100 * time.Millisecond
	// renewFraction is the fraction of a grant's duration after which it is renewed. A server
	// ends work that outlasts the hold under which it began, so half of it is left for a run.
	renewFraction = 0.5
	// retryDelay is the delay before a failed or unanswered grant is sent again.
	retryDelay = 150 * time.Millisecond
)

// Grant is a grant to send to the backend server.
type Grant struct {
	Shard    view.ShardID
	Token    uint64
	Handover string
	Hold     time.Duration // duration of the grant; set by Start
}

// entry is the state of one shard under one token.
type entry struct {
	token           uint64
	handover        string
	heldUntil       clock.Instant // the server certainly holds the keys before this time
	maybeHeldUntil  clock.Instant // the server certainly does not hold the keys from this time on
	unansweredUntil clock.Instant // maybeHeldUntil as of the last failed grant or lower token
	nextGrant       clock.Instant // time when the next grant is due
	inFlight        bool
	closed          bool // no further grants are sent

	// Of a server that takes its grants from replies.
	repliedIn        uint64 // sequence number of the last announcement whose reply contained the grant
	taken            bool   // the server has listed the keys under the token
	omitted          bool   // a reply since the shard was closed did not contain it
	released         bool   // the server has released the keys since the shard was closed
	releasedHandover string // handover token that came with the release, or ""
}

// Table is the state of all grants to one boot of a backend server.
type Table struct {
	limit   time.Duration
	entries map[view.ShardID]*entry
}

// New returns an empty table. The duration of a grant is at most longest.
func New(longest time.Duration) *Table {
	return &Table{limit: longest, entries: map[view.ShardID]*entry{}}
}

// Acquire adds a shard that was acquired under a token. handover is the token of
// the previous holder, or "". If the table has the shard under a lower token, the
// time until which the server may hold its keys is kept. Acquire has no effect if
// the table has the shard under the same or a higher token.
func (t *Table) Acquire(id view.ShardID, token uint64, handover string) {
	added := &entry{token: token, handover: handover}
	if e, ok := t.entries[id]; ok {
		if e.token >= token {
			return
		}
		added.maybeHeldUntil = e.maybeHeldUntil
		added.unansweredUntil = e.maybeHeldUntil
	}
	t.entries[id] = added
}

// Due returns the grants that are due now, under a lease that ends at deadline.
// The caller must call Start for each of them and, if Start returns true, later
// one of Answered, Unsent, Failed and Refused.
func (t *Table) Due(now, deadline clock.Instant) []Grant {
	if t.maxGrant(now, deadline) < minHold {
		return nil
	}
	var due []Grant
	for id, e := range t.entries {
		if e.closed || e.inFlight || now < e.nextGrant {
			continue
		}
		e.inFlight = true
		due = append(due, Grant{Shard: id, Token: e.token, Handover: e.handover})
	}
	return due
}

// maxGrant returns the longest duration of a grant sent now. The grant ends no
// later than the lease, at deadline, even if its call takes maxCallDelay and the
// server's clock is slower by maxClockRatio.
func (t *Table) maxGrant(now, deadline clock.Instant) time.Duration {
	return min(t.limit, time.Duration(float64(deadline.Sub(now)-maxCallDelay)/maxClockRatio))
}

// Start sets the duration of a grant that is sent at now. It returns false if the
// grant must not be sent any more.
func (t *Table) Start(g *Grant, now, deadline clock.Instant) bool {
	e := t.find(g.Shard, g.Token)
	if e == nil {
		return false
	}
	g.Hold = t.maxGrant(now, deadline)
	if e.closed || g.Hold < minHold {
		e.inFlight = false
		return false
	}
	e.maybeHeldUntil = max(e.maybeHeldUntil, now.Add(maxCallDelay+time.Duration(float64(g.Hold)*maxClockRatio)))
	return true
}

// Answered records that the server acknowledged a grant that was sent at sent.
func (t *Table) Answered(g Grant, sent clock.Instant) {
	e := t.find(g.Shard, g.Token)
	if e == nil {
		return
	}
	e.inFlight = false
	e.heldUntil = max(e.heldUntil, sent.Add(time.Duration(float64(g.Hold)/maxClockRatio)))
	e.nextGrant = sent.Add(time.Duration(renewFraction * float64(g.Hold)))
}

// Unsent records that a started grant was not written and never will be. The next
// grant is due at the given time.
func (t *Table) Unsent(g Grant, next clock.Instant) {
	e := t.find(g.Shard, g.Token)
	if e == nil {
		return
	}
	e.inFlight = false
	e.nextGrant = next
}

// Failed records that a grant got no answer, or an answer other than an
// acknowledgement. The server may still execute it.
func (t *Table) Failed(g Grant, now clock.Instant) {
	e := t.find(g.Shard, g.Token)
	if e == nil {
		return
	}
	e.inFlight = false
	e.unansweredUntil = e.maybeHeldUntil
	e.nextGrant = now.Add(retryDelay)
}

// Refused records that the server refused a grant permanently. No further grants
// of the shard are sent under its token.
func (t *Table) Refused(g Grant) {
	if e := t.find(g.Shard, g.Token); e != nil {
		e.inFlight = false
		e.closed = true
	}
}

// ReportNotHeld records that the server reported that it does not hold the
// shard's keys. The next grant is due at once. The server may hold the keys
// nevertheless, by a grant that arrived after it checked, so ExpiredBy and
// ReleasedBy do not change.
func (t *Table) ReportNotHeld(id view.ShardID, token uint64) {
	if e := t.find(id, token); e != nil {
		e.heldUntil = 0
		e.nextGrant = 0
	}
}

// Holds reports whether the server certainly holds the shard's keys under the
// token at now.
func (t *Table) Holds(now clock.Instant, id view.ShardID, token uint64) bool {
	e := t.find(id, token)
	return e != nil && now < e.heldUntil
}

// MayHold reports whether the server may hold keys of any shard at now.
func (t *Table) MayHold(now clock.Instant) bool {
	for _, e := range t.entries {
		if now < e.maybeHeldUntil {
			return true
		}
	}
	return false
}

// Unexpired returns the shards whose keys the server may hold at now, and the time from which it
// certainly does not.
func (t *Table) Unexpired(now clock.Instant) map[view.ShardID]clock.Instant {
	held := map[view.ShardID]clock.Instant{}
	for id, e := range t.entries {
		if now < e.maybeHeldUntil {
			held[id] = e.maybeHeldUntil
		}
	}
	return held
}

// Close stops further grants of a shard. It reports whether a grant is in flight,
// in which case its answer must be awaited before a release is sent.
func (t *Table) Close(id view.ShardID, token uint64) (inFlight bool) {
	e := t.find(id, token)
	if e == nil {
		return false
	}
	e.closed = true
	return e.inFlight
}

// InFlight reports whether a grant of the shard is in flight.
func (t *Table) InFlight(id view.ShardID, token uint64) bool {
	e := t.find(id, token)
	return e != nil && e.inFlight
}

// ReleasedBy returns the time from which a server that acknowledged the release
// of the shard certainly does not hold its keys. It is in the future only if a
// grant got no answer, or if a grant under a lower token may not have ended.
func (t *Table) ReleasedBy(id view.ShardID, token uint64) clock.Instant {
	if e := t.find(id, token); e != nil {
		return e.unansweredUntil
	}
	return 0
}

// ExpiredBy returns the time from which the server certainly does not hold the
// shard's keys, regardless of its answers.
func (t *Table) ExpiredBy(id view.ShardID, token uint64) clock.Instant {
	if e := t.find(id, token); e != nil {
		return e.maybeHeldUntil
	}
	return 0
}

// Drop removes a shard under a token.
func (t *Table) Drop(id view.ShardID, token uint64) {
	if t.find(id, token) != nil {
		delete(t.entries, id)
	}
}

// Retain stops further grants of the shards for which held returns false, and
// removes those that have no grant in flight and whose keys the server certainly
// no longer holds.
func (t *Table) Retain(now clock.Instant, held func(view.ShardID) bool) {
	for id, e := range t.entries {
		if held(id) {
			continue
		}
		e.closed = true
		if now >= e.maybeHeldUntil && !e.inFlight {
			delete(t.entries, id)
		}
	}
}

// Reset removes all shards, since a restarted server holds no keys.
func (t *Table) Reset() { clear(t.entries) }

// find returns the entry of a shard under a token, or nil.
func (t *Table) find(id view.ShardID, token uint64) *entry {
	if e, ok := t.entries[id]; ok && e.token == token {
		return e
	}
	return nil
}
