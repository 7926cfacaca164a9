package backend

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/hold"
	"github.com/sesamemoor/sesamemoor/core/protocol"
	"github.com/sesamemoor/sesamemoor/core/view"
)

// maxReplyDelay is the longest wait of a reply for something to tell the server. Keys
// that are acquired or released meanwhile need not wait for the next announcement. The
// server takes an announcement without a reply within a second for lost.
const maxReplyDelay = 400 * time.Millisecond

// applyReportedKeys applies what an announcement says of the keys that the server holds
// and has released. The caller holds the lock.
func (e *executor) applyReportedKeys(v *view.View, a protocol.Announcement) {
	reported := hold.ReportedKeys(a, func(id view.ShardID) (first, last uint32, ok bool) {
		keys, ok := keyRangeOf(v, id, 0)
		return keys.First, keys.Last, ok
	})
	for _, g := range e.holds.Report(a.Sequence, reported) {
		e.holdLog.add("keys not taken from a reply", g.Shard, g.Token, false)
	}
}

// replyWithGrants returns the reply to an announcement that arrived at arrived, with the
// keys that the server is to hold. It waits at most maxReplyDelay for a change of them.
// The reply has no grants while there is no lease, and if a newer announcement arrived.
func (e *executor) replyWithGrants(ctx context.Context, arrived clock.Instant, a protocol.Announcement, fit func([]protocol.KeyGrant) int) protocol.AnnouncementReply {
	deadline := arrived.Add(maxReplyDelay)
	for e.clock.Now() < deadline && ctx.Err() == nil && !a.Leaving {
		v := e.control.View()
		e.mu.Lock()
		due := !e.isNewest(a) || v.Lease.Valid(e.clock.Now()) && e.holds.ReplyDue(e.clock.Now())
		e.mu.Unlock()
		if due {
			break
		}
		time.Sleep(pollInterval)
	}
	reply := protocol.AnnouncementReply{Acknowledged: true}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isNewest(a) {
		return reply
	}
	v := e.control.View()
	grants, ok := e.holds.ForReply(arrived, v.Lease.Deadline(), func(id view.ShardID, token uint64) bool {
		held, inView := v.Held[id]
		_, hasKeys := keyRangeOf(v, id, token)
		return hasKeys && inView && held.Token == token && !e.server.down
	})
	if !ok {
		return reply
	}
	rows := hold.Rows(grants, func(g hold.Grant) protocol.KeyRange {
		keys, _ := keyRangeOf(v, g.Shard, g.Token)
		return keys
	})
	reply.HasGrants = true
	for _, row := range rows {
		reply.Grants = append(reply.Grants, row.KeyGrant)
	}
	if n := fit(reply.Grants); n < len(rows) {
		e.counters.unfitGrants.Add(int64(len(rows) - n))
		e.log.Warn("reply is full", zap.Int("ranges", len(rows)), zap.Int("ranges_in_reply", n))
		rows, reply.Grants = rows[:n], reply.Grants[:n]
	}
	granted := hold.GrantsOf(rows)
	if len(granted) > 0 {
		reply.Hold = granted[0].Hold
	}
	for _, g := range granted {
		if !e.holds.Holds(arrived, g.Shard, g.Token) {
			e.holdLog.add("keys granted", g.Shard, g.Token, g.Handover != "")
		}
	}
	e.holds.Replied(a.Sequence, arrived, granted)
	return reply
}

// isNewest reports whether a is the newest announcement of the server's present boot. The
// caller holds the lock.
func (e *executor) isNewest(a protocol.Announcement) bool {
	return e.isPresent(a) && e.server.sequence == a.Sequence
}

// awaitReleaseInReply waits until a server that takes its keys from replies has released
// those of a shard, or until its hold has expired. It returns the handover token, or "", and
// whether it has released them.
func (e *executor) awaitReleaseInReply(q control.Quiesce, s *server) (handover string, released bool) {
	e.await(func() bool {
		if s.process.Ended() || e.clock.Now() >= e.holds.ExpiredBy(q.Shard, q.Token) {
			return true
		}
		token, ok := e.holds.Released(q.Shard, q.Token)
		if !ok || e.clock.Now() < e.holds.ReleasedBy(q.Shard, q.Token) {
			return false
		}
		handover, released = token, true
		return true
	})
	return handover, released
}
