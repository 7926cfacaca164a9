package hold

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/view"
)

// A server may take its grants from the replies to its own announcements instead of
// from calls. A reply lists everything that the server is to hold, and the server
// releases the rest. Its next announcement lists what it holds, which acknowledges or
// refutes the reply before. The duration of the grants starts when the announcement
// was sent, so that it does not matter how long the reply takes.

// maxReplyTransit bounds the time from the sending of an announcement to its arrival
// that Holds allows for. Safety does not depend on it: a server that got an
// announcement through later holds its keys for a shorter time and refuses requests.
const maxReplyTransit = maxCallDelay

// Reported is what an announcement says of the keys of one shard.
type Reported struct {
	Held     bool   // the server holds keys of the shard or still works on them
	Token    uint64 // under which it holds them
	Handover string // handover token, if the server released the keys since the last announcement
}

// Report applies an announcement of the server with its sequence number. reported
// returns what the announcement says of a shard. It returns the grants that the server
// did not take although a reply contained them.
func (t *Table) Report(sequence uint64, reported func(view.ShardID) Reported) (missed []Grant) {
	for id, e := range t.entries {
		if e.repliedIn == 0 || e.repliedIn >= sequence {
			continue // the server had no reply with this grant yet
		}
		r := reported(id)
		switch {
		case r.Held && r.Token == e.token:
			e.taken = true
		case e.closed && !r.Held:
			e.endReplies(r.Handover)
		case !e.closed:
			if !e.taken {
				missed = append(missed, Grant{Shard: id, Token: e.token})
			}
			e.heldUntil = 0
			e.taken = false
		}
	}
	return missed
}

// endReplies records that a server that takes its grants from replies has released the
// keys. A grant that the server never listed may have been lost, so its end is awaited.
func (e *entry) endReplies(handover string) {
	e.released = true
	e.releasedHandover = handover
	if !e.taken {
		e.unansweredUntil = e.maybeHeldUntil
	}
}

// ForReply returns the grants for a reply, those that the server holds first, then by
// shard, and their duration. valid reports whether a shard may be granted under a token.
// ok is false if the lease, which ends at deadline, is too short for a reply with
// grants to an announcement that arrived at arrived.
func (t *Table) ForReply(arrived, deadline clock.Instant, valid func(view.ShardID, uint64) bool) (grants []Grant, ok bool) {
	hold := t.maxReply(arrived, deadline)
	if hold < minHold {
		return nil, false
	}
	for id, e := range t.entries {
		if !e.closed && valid(id, e.token) {
			g := Grant{Shard: id, Token: e.token, Hold: hold}
			if !e.taken {
				g.Handover = e.handover
			}
			grants = append(grants, g)
		}
	}
	slices.SortFunc(grants, func(a, b Grant) int {
		if ta, tb := t.entries[a.Shard].taken, t.entries[b.Shard].taken; ta != tb {
			if ta {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Shard.Service, b.Shard.Service), cmp.Compare(a.Shard.Shard, b.Shard.Shard))
	})
	return grants, true
}

// maxReply returns the longest duration of grants in the reply to an announcement that
// arrived at arrived. It was sent earlier, so that they end no later than the lease.
func (t *Table) maxReply(arrived, deadline clock.Instant) time.Duration {
	return min(t.limit, time.Duration(float64(deadline.Sub(arrived))/maxClockRatio))
}

// Replied records that the reply to the announcement with a sequence number, which
// arrived at arrived, contained these grants and no others.
func (t *Table) Replied(sequence uint64, arrived clock.Instant, grants []Grant) {
	contained := make(map[view.ShardID]bool, len(grants))
	for _, g := range grants {
		e := t.find(g.Shard, g.Token)
		if e == nil || e.closed {
			continue
		}
		contained[g.Shard] = true
		e.repliedIn = sequence
		e.heldUntil = max(e.heldUntil, arrived.Add(time.Duration(float64(g.Hold)/maxClockRatio)-maxReplyTransit))
		e.maybeHeldUntil = max(e.maybeHeldUntil, arrived.Add(time.Duration(float64(g.Hold)*maxClockRatio)))
	}
	for id, e := range t.entries {
		if !e.closed && !contained[id] {
			e.heldUntil = 0
		}
		e.omitted = e.closed && e.repliedIn != 0
	}
}

// ReplyDue reports whether a reply would tell the server something new: a grant that it
// lacks at now, or the release of keys that the last reply still contained.
func (t *Table) ReplyDue(now clock.Instant) bool {
	for _, e := range t.entries {
		if !e.closed && now >= e.heldUntil || e.closed && e.repliedIn != 0 && !e.omitted && !e.released {
			return true
		}
	}
	return false
}

// Released reports whether a server that takes its grants from replies has released the
// keys of a closed shard, and the handover token that it returned, or "". ReleasedBy
// tells from when on the server certainly does not hold them.
func (t *Table) Released(id view.ShardID, token uint64) (handover string, ok bool) {
	e := t.find(id, token)
	if e == nil || e.repliedIn == 0 {
		return "", true
	}
	return e.releasedHandover, e.released
}
