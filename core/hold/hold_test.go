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

// granted returns a table in which the shard was granted at start.
func granted(t *testing.T, token uint64) (*Table, Grant) {
	t.Helper()
	table := New(10 * time.Second)
	table.Acquire(shard, token, "")
	due := table.Due(start, start.Add(term))
	if len(due) != 1 || !table.Start(&due[0], start, start.Add(term)) {
		t.Fatalf("%d grants due instead of 1", len(due))
	}
	table.Answered(due[0], start)
	return table, due[0]
}

func TestGrantEndsBeforeTheLeaseOnASlowClock(t *testing.T) {
	is := is.New(t)
	table, g := granted(t, 2)
	onSlowClock := time.Duration(float64(g.Hold) * 1.02)
	is.True(start.Add(transit+onSlowClock) <= start.Add(term))
	is.True(table.GoneBy(shard, 2) <= start.Add(term))
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
	table, g := granted(t, 2)
	is.Equal(len(table.Due(start.Add(100*ms), start.Add(term))), 0)
	at := start.Add(time.Duration(renewShare*float64(g.Hold)) + ms)
	is.True(table.Holds(at, shard, 2))
	is.Equal(len(table.Due(at, at.Add(term))), 1)
	is.Equal(len(table.Due(at, at.Add(term))), 0) // on its way
}

// The view drops a shard before its release begins. What the server may hold must
// be known until then: it was forgotten, and the shard given to another server
// while the first one still held it.
func TestShardDroppedByTheViewIsStillAccountedFor(t *testing.T) {
	is := is.New(t)
	table, _ := granted(t, 2)
	table.Keep(start.Add(10*ms), func(view.ShardID) bool { return false })
	is.Equal(len(table.Due(start.Add(term/2), start.Add(2*term))), 0) // no grant for it any more
	table.Close(shard, 2)
	is.True(table.GoneBy(shard, 2) > start.Add(term/2))
	table.Keep(start.Add(2*term), func(view.ShardID) bool { return false })
	is.Equal(table.GoneBy(shard, 2), clock.Instant(0)) // forgotten once it has ended
}

func TestUnansweredGrantOutlivesARelease(t *testing.T) {
	is := is.New(t)
	table, _ := granted(t, 2)
	at := start.Add(900 * ms) // renewal is due
	due := table.Due(at, at.Add(term))
	is.Equal(len(due), 1)
	is.True(table.Start(&due[0], at, at.Add(term)))
	is.True(table.Close(shard, 2)) // it must be awaited
	table.Failed(due[0], at.Add(400*ms))
	is.True(!table.Sending(shard, 2))
	is.Equal(table.ReleasedBy(shard, 2), table.GoneBy(shard, 2))
	is.True(table.ReleasedBy(shard, 2) > at.Add(term-100*ms))
}

func TestAnsweredGrantsEndWithTheRelease(t *testing.T) {
	is := is.New(t)
	table, _ := granted(t, 2)
	table.Close(shard, 2)
	is.Equal(table.ReleasedBy(shard, 2), clock.Instant(0))
}

// A shard that comes back under a higher token may still be held under the lower
// one by a late grant.
func TestHigherTokenKeepsTheAccountOfTheLower(t *testing.T) {
	is := is.New(t)
	table, _ := granted(t, 2)
	gone := table.GoneBy(shard, 2)
	table.Acquire(shard, 4, "")
	is.Equal(table.GoneBy(shard, 4), gone)
	is.True(!table.Holds(start.Add(ms), shard, 4))
	is.True(!table.Holds(start.Add(ms), shard, 2))
}

func TestServerThatLostTheKeysIsGrantedThemAgain(t *testing.T) {
	is := is.New(t)
	table, _ := granted(t, 2)
	table.Lost(shard, 2)
	is.True(!table.Holds(start.Add(ms), shard, 2))
	is.Equal(len(table.Due(start.Add(ms), start.Add(term))), 1)
}

func TestNewLifeHoldsNothing(t *testing.T) {
	is := is.New(t)
	table, _ := granted(t, 2)
	table.Restarted()
	is.True(!table.Holds(start.Add(ms), shard, 2))
}

// Hundreds of grants wait for their turn. One that is sent late, under a lease
// that was renewed meanwhile, ends late: it was accounted for as of the time at
// which it became due.
func TestGrantThatWaitedEndsLater(t *testing.T) {
	is := is.New(t)
	table := New(10 * time.Second)
	table.Acquire(shard, 2, "")
	due := table.Due(start, start.Add(term))
	is.Equal(len(due), 1)
	sent := start.Add(400 * ms)
	is.True(table.Start(&due[0], sent, sent.Add(term)))
	end := sent.Add(time.Duration(float64(due[0].Hold) * 1.02))
	is.True(table.GoneBy(shard, 2) >= end)
	is.True(table.GoneBy(shard, 2) <= sent.Add(term))
}

func TestGrantThatWaitedIsNotSentAfterTheClose(t *testing.T) {
	is := is.New(t)
	table := New(10 * time.Second)
	table.Acquire(shard, 2, "")
	due := table.Due(start, start.Add(term))
	is.True(table.Close(shard, 2))
	is.True(!table.Start(&due[0], start.Add(ms), start.Add(term)))
	is.True(!table.Sending(shard, 2))
}

func TestUnsentGrantIsDueAtOnce(t *testing.T) {
	is := is.New(t)
	table, _ := granted(t, 2)
	at := start.Add(900 * ms)
	due := table.Due(at, at.Add(term))
	is.True(table.Start(&due[0], at, at.Add(term)))
	table.Unsent(due[0], at.Add(30*ms))
	is.True(!table.Sending(shard, 2))
	is.Equal(len(table.Due(at.Add(30*ms), at.Add(term))), 1)
	is.Equal(table.ReleasedBy(shard, 2), clock.Instant(0)) // it will not arrive late
}

// A server that says it does not hold a shard's keys may be about to get them: a
// grant is on its way, or was carried out after the server looked. The keys were
// taken for free, and given to another server while the first one held them.
func TestGrantBesideALossIsAccountedFor(t *testing.T) {
	is := is.New(t)
	table, _ := granted(t, 2)
	at := start.Add(900 * ms) // renewal is due
	due := table.Due(at, at.Add(term))
	is.True(table.Start(&due[0], at, at.Add(term)))
	table.Lost(shard, 2)
	is.True(table.GoneBy(shard, 2) > at.Add(term-100*ms)) // on its way
	table.Answered(due[0], at)
	table.Lost(shard, 2)
	is.True(table.GoneBy(shard, 2) > at.Add(term-100*ms)) // carried out, perhaps later
}
