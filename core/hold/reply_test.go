package hold

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/protocol"
	"github.com/sesamemoor/sesamemoor/core/view"
)

func anyShard(view.ShardID, uint64) bool { return true }

// says returns a report in which the server holds these tokens of the shards.
func says(held map[view.ShardID]uint64) func(view.ShardID) Reported {
	return func(id view.ShardID) Reported {
		token, ok := held[id]
		return Reported{Held: ok, Token: token}
	}
}

func saysNothing(view.ShardID) Reported { return Reported{} }

// reply answers the announcement with a sequence number at now, under a lease of one
// term, with all grants of the table.
func reply(t *testing.T, table *Table, sequence uint64, now clock.Instant) []Grant {
	t.Helper()
	grants, ok := table.ForReply(now, now.Add(term), anyShard)
	if !ok {
		t.Fatal("no grants in the reply")
	}
	table.Replied(sequence, now, grants)
	return grants
}

// newRepliedTable returns a table of a server that took the shard from the reply to its
// first announcement, at start, and said so in the second.
func newRepliedTable(t *testing.T) *Table {
	t.Helper()
	table := New(10 * time.Second)
	table.Acquire(shard, 2, "h")
	reply(t, table, 1, start)
	table.Report(2, says(map[view.ShardID]uint64{shard: 2}))
	return table
}

func TestReplyEndsBeforeTheLeaseOnASlowClock(t *testing.T) {
	is := is.New(t)
	table := New(10 * time.Second)
	table.Acquire(shard, 2, "")
	grants := reply(t, table, 1, start)
	is.True(start.Add(time.Duration(float64(grants[0].Hold)*1.02)) <= start.Add(term))
	is.True(table.ExpiredBy(shard, 2) <= start.Add(term))
	is.True(table.Holds(start.Add(term/2), shard, 2))
	_, ok := table.ForReply(start, start.Add(minHold), anyShard)
	is.True(!ok) // the lease is about to end
}

func TestHandoverIsSentUntilTheServerListsTheKeys(t *testing.T) {
	is := is.New(t)
	table := New(10 * time.Second)
	table.Acquire(shard, 2, "h")
	is.Equal(reply(t, table, 1, start)[0].Handover, "h")
	is.Equal(len(table.Report(2, saysNothing)), 1) // the reply was lost
	is.True(!table.Holds(start.Add(ms), shard, 2))
	is.Equal(reply(t, table, 2, start.Add(ms))[0].Handover, "h")
	is.Equal(len(table.Report(3, says(map[view.ShardID]uint64{shard: 2}))), 0)
	is.Equal(reply(t, table, 3, start.Add(2*ms))[0].Handover, "")
}

// The keys of an earlier life of this daemon, under a lower token, are no sign that the
// server took the grant.
func TestKeysUnderALowerTokenAreNotTheGrant(t *testing.T) {
	is := is.New(t)
	table := New(10 * time.Second)
	table.Acquire(shard, 4, "")
	reply(t, table, 1, start)
	is.Equal(len(table.Report(2, says(map[view.ShardID]uint64{shard: 2}))), 1)
	is.True(!table.Holds(start.Add(ms), shard, 4))
}

func TestClosedShardIsReleasedOnceTheServerStopsListingIt(t *testing.T) {
	is := is.New(t)
	table := newRepliedTable(t)
	table.Close(shard, 2)
	is.True(table.ReplyDue(start.Add(ms))) // the server has to be told
	grants, ok := table.ForReply(start.Add(ms), start.Add(term), anyShard)
	is.True(ok)
	is.Equal(len(grants), 0)
	table.Replied(2, start.Add(ms), grants)
	is.True(!table.ReplyDue(start.Add(2 * ms)))
	table.Report(3, says(map[view.ShardID]uint64{shard: 2})) // a request still runs
	_, released := table.Released(shard, 2)
	is.True(!released)
	table.Report(4, func(view.ShardID) Reported { return Reported{Handover: "next"} })
	handover, released := table.Released(shard, 2)
	is.True(released)
	is.Equal(handover, "next")
	is.Equal(table.ReleasedBy(shard, 2), clock.Instant(0))
}

// A server that never listed a grant may have lost the reply, or may still get it.
func TestGrantThatWasNeverListedIsAwaited(t *testing.T) {
	is := is.New(t)
	table := New(10 * time.Second)
	table.Acquire(shard, 2, "")
	reply(t, table, 1, start)
	table.Close(shard, 2)
	table.Report(2, saysNothing)
	_, released := table.Released(shard, 2)
	is.True(released)
	is.Equal(table.ReleasedBy(shard, 2), table.ExpiredBy(shard, 2))
	is.True(table.ReleasedBy(shard, 2) > start.Add(term/2))
}

// An announcement that was sent before the reply says nothing about it.
func TestAnnouncementBeforeTheReplyIsNoRelease(t *testing.T) {
	is := is.New(t)
	table := New(10 * time.Second)
	table.Acquire(shard, 2, "")
	reply(t, table, 5, start)
	table.Close(shard, 2)
	table.Report(5, saysNothing)
	_, released := table.Released(shard, 2)
	is.True(!released)
}

func TestShardLeftOutOfAReplyIsNotHeld(t *testing.T) {
	is := is.New(t)
	table := newRepliedTable(t)
	table.Replied(2, start.Add(ms), nil)
	is.True(!table.Holds(start.Add(2*ms), shard, 2))
	is.True(table.ReplyDue(start.Add(2 * ms)))
}

func TestRowsKeepTokensApart(t *testing.T) {
	is := is.New(t)
	keys := func(g Grant) protocol.KeyRange {
		return protocol.KeyRange{First: g.Shard.Shard * 32, Last: g.Shard.Shard*32 + 31, Token: g.Token}
	}
	grant := func(n uint32, token uint64, handover string) Grant {
		return Grant{Shard: view.ShardID{Service: "s", Shard: n}, Token: token, Handover: handover}
	}
	rows := Rows([]Grant{grant(0, 2, ""), grant(1, 2, ""), grant(2, 3, ""), grant(3, 3, "h"), grant(5, 3, "h")}, keys)
	is.Equal(len(rows), 4)
	is.Equal(rows[0].KeyGrant, protocol.KeyGrant{KeyRange: protocol.KeyRange{First: 0, Last: 63, Token: 2}})
	is.Equal(rows[3].First, uint32(160))
	is.Equal(len(GrantsOf(rows)), 5)
}

func TestReportedKeysOfAnAnnouncement(t *testing.T) {
	is := is.New(t)
	a := protocol.Announcement{
		Held:     []protocol.KeyRange{{First: 64, Last: 95, Token: 3}, {First: 0, Last: 40, Token: 2}},
		Released: []protocol.ReleasedKeys{{First: 96, Last: 159, Handover: "h"}},
	}
	reported := ReportedKeys(a, func(id view.ShardID) (uint32, uint32, bool) {
		return id.Shard * 32, id.Shard*32 + 31, id.Service == "s"
	})
	of := func(n uint32) Reported { return reported(view.ShardID{Service: "s", Shard: n}) }
	is.Equal(of(0), Reported{Held: true, Token: 2})
	is.Equal(of(1), Reported{Held: true, Token: 2}) // a part of its keys
	is.Equal(of(2), Reported{Held: true, Token: 3})
	is.Equal(of(3), Reported{Handover: "h"})
	is.Equal(of(4), Reported{Handover: "h"})
	is.Equal(of(5), Reported{})
	is.Equal(reported(view.ShardID{Service: "other"}), Reported{})
}
