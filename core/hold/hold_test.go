package hold

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/view"
)

const (
	start = clock.Instant(1_000 * time.Second)
	term  = 1500 * time.Millisecond
	ms    = time.Millisecond
)

var shard = view.ShardID{Service: "storefront", Shard: 3}

// newGrantedTable returns a table in which a grant of the shard was sent and
// acknowledged at start, and that grant.
func newGrantedTable(t *testing.T, token uint64) (*Table, Grant) {
	t.Helper()
	table := New(10 * time.Second)
	table.Acquire(shard, token, "")
	due := table.Due(start, start.Add(term))
	if len(due) != 1 || !table.Start(&due[0], start, start.Add(term)) {
		t.Fatalf("got %d grants due, want 1 that can be started", len(due))
	}
	table.Answered(due[0], start)
	return table, due[0]
}

func TestGrantEndsBeforeTheLeaseOnASlowClock(t *testing.T) {
	is := is.New(t)
	table, g := newGrantedTable(t, 2)
	onSlowClock := time.Duration(float64(g.Hold) * 1.02)
	is.True(start.Add(maxCallDelay+onSlowClock) <= start.Add(term))
	is.True(table.ExpiredBy(shard, 2) <= start.Add(term))
}

func TestNoGrantUnderAnEndingLease(t *testing.T) {
	is := is.New(t)
	table := New(10 * time.Second)
	table.Acquire(shard, 2, "")
	is.Equal(len(table.Due(start, start.Add(minHold))), 0)
	is.Equal(len(table.Due(start, 0)), 0)
}

func TestGrantsAreRenewed(t *testing.T) {
	is := is.New(t)
	table, g := newGrantedTable(t, 2)
	is.Equal(len(table.Due(start.Add(100*ms), start.Add(term))), 0)
	at := start.Add(time.Duration(renewFraction*float64(g.Hold)) + ms)
	is.True(table.Holds(at, shard, 2))
	is.Equal(len(table.Due(at, at.Add(term))), 1)
	is.Equal(len(table.Due(at, at.Add(term))), 0) // in flight
}

// The view drops a shard before its release begins. The table must keep the time
// until which the server may hold the keys: when it dropped the shard early, the
// shard was granted to another server while the first one still held it.
func TestShardDroppedByViewIsStillTracked(t *testing.T) {
	is := is.New(t)
	table, _ := newGrantedTable(t, 2)
	table.Retain(start.Add(10*ms), func(view.ShardID) bool { return false })
	is.Equal(len(table.Due(start.Add(term/2), start.Add(2*term))), 0) // no further grants
	table.Close(shard, 2)
	is.True(table.ExpiredBy(shard, 2) > start.Add(term/2))
	table.Retain(start.Add(2*term), func(view.ShardID) bool { return false })
	is.Equal(table.ExpiredBy(shard, 2), clock.Instant(0)) // removed after its end
}

// A run that begins just before the renewal has half of the grant left.
func TestHalfOfALongGrantIsLeftForARun(t *testing.T) {
	is := is.New(t)
	const lease = 4 * time.Second
	table := New(10 * time.Second)
	table.Acquire(shard, 2, "")
	due := table.Due(start, start.Add(lease))
	is.True(table.Start(&due[0], start, start.Add(lease)))
	table.Answered(due[0], start)
	renewed := start.Add(due[0].Hold / 2)
	is.Equal(len(table.Due(renewed.Add(-ms), renewed.Add(lease))), 0)
	is.True(table.Holds(renewed.Add(1700*ms), shard, 2))
	is.Equal(len(table.Due(renewed, renewed.Add(lease))), 1)
}

func TestUnansweredGrantDelaysRelease(t *testing.T) {
	is := is.New(t)
	table, _ := newGrantedTable(t, 2)
	at := start.Add(900 * ms) // renewal is due
	due := table.Due(at, at.Add(term))
	is.Equal(len(due), 1)
	is.True(table.Start(&due[0], at, at.Add(term)))
	is.True(table.Close(shard, 2)) // its answer must be awaited
	table.Failed(due[0], at.Add(400*ms))
	is.True(!table.InFlight(shard, 2))
	is.Equal(table.ReleasedBy(shard, 2), table.ExpiredBy(shard, 2))
	is.True(table.ReleasedBy(shard, 2) > at.Add(term-100*ms))
}

func TestAnsweredGrantsEndWithTheRelease(t *testing.T) {
	is := is.New(t)
	table, _ := newGrantedTable(t, 2)
	table.Close(shard, 2)
	is.Equal(table.ReleasedBy(shard, 2), clock.Instant(0))
}

// A late grant may still hold a shard under its lower token after the shard was
// acquired again under a higher token.
func TestHigherTokenKeepsExpiryOfLowerToken(t *testing.T) {
	is := is.New(t)
	table, _ := newGrantedTable(t, 2)
	gone := table.ExpiredBy(shard, 2)
	table.Acquire(shard, 4, "")
	is.Equal(table.ExpiredBy(shard, 4), gone)
	is.True(!table.Holds(start.Add(ms), shard, 4))
	is.True(!table.Holds(start.Add(ms), shard, 2))
}

func TestNotHeldKeysAreGrantedAgain(t *testing.T) {
	is := is.New(t)
	table, _ := newGrantedTable(t, 2)
	table.ReportNotHeld(shard, 2)
	is.True(!table.Holds(start.Add(ms), shard, 2))
	is.Equal(len(table.Due(start.Add(ms), start.Add(term))), 1)
}

func TestRestartedServerHoldsNothing(t *testing.T) {
	is := is.New(t)
	table, _ := newGrantedTable(t, 2)
	table.Reset()
	is.True(!table.Holds(start.Add(ms), shard, 2))
}

// With hundreds of grants queued, one may be sent long after it became due, under
// a lease that was renewed meanwhile. Its end must count from the time when it is
// sent; it was computed from the time when it became due.
func TestDelayedGrantExpiresLater(t *testing.T) {
	is := is.New(t)
	table := New(10 * time.Second)
	table.Acquire(shard, 2, "")
	due := table.Due(start, start.Add(term))
	is.Equal(len(due), 1)
	sent := start.Add(400 * ms)
	is.True(table.Start(&due[0], sent, sent.Add(term)))
	end := sent.Add(time.Duration(float64(due[0].Hold) * 1.02))
	is.True(table.ExpiredBy(shard, 2) >= end)
	is.True(table.ExpiredBy(shard, 2) <= sent.Add(term))
}

func TestDelayedGrantIsNotSentAfterClose(t *testing.T) {
	is := is.New(t)
	table := New(10 * time.Second)
	table.Acquire(shard, 2, "")
	due := table.Due(start, start.Add(term))
	is.True(table.Close(shard, 2))
	is.True(!table.Start(&due[0], start.Add(ms), start.Add(term)))
	is.True(!table.InFlight(shard, 2))
}

func TestUnsentGrantIsDueAtOnce(t *testing.T) {
	is := is.New(t)
	table, _ := newGrantedTable(t, 2)
	at := start.Add(900 * ms)
	due := table.Due(at, at.Add(term))
	is.True(table.Start(&due[0], at, at.Add(term)))
	table.Unsent(due[0], at.Add(30*ms))
	is.True(!table.InFlight(shard, 2))
	is.Equal(len(table.Due(at.Add(30*ms), at.Add(term))), 1)
	is.Equal(table.ReleasedBy(shard, 2), clock.Instant(0)) // it cannot arrive late
}

// A server that reports that it does not hold a shard's keys may receive them
// afterwards, by a grant that is in flight or was executed after the server
// checked. When the keys were assumed to be free, they were granted to another
// server while the first one held them.
func TestGrantInFlightIsTrackedAfterNotHeldReport(t *testing.T) {
	is := is.New(t)
	table, _ := newGrantedTable(t, 2)
	at := start.Add(900 * ms) // renewal is due
	due := table.Due(at, at.Add(term))
	is.True(table.Start(&due[0], at, at.Add(term)))
	table.ReportNotHeld(shard, 2)
	is.True(table.ExpiredBy(shard, 2) > at.Add(term-100*ms)) // in flight
	table.Answered(due[0], at)
	table.ReportNotHeld(shard, 2)
	is.True(table.ExpiredBy(shard, 2) > at.Add(term-100*ms)) // may have been executed after the check
}
