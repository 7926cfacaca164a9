package control

import (
	"time"

	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// leaveBound is the time for which a daemon with nothing left to do waits for
// replay to show its leave record before it stops.
const leaveBound = 1 * time.Second

// standbyBound is the time for which a departing daemon goes on serving a shard
// without a usable standby, so that a planner can name one. Without it the next
// owner would know nothing of the shard's request ids.
const standbyBound = 2 * time.Second

// depart starts the orderly end of the incarnation: every shard is quiesced and
// released to its standby, then the incarnation leaves. It works without the
// log, as the standbys are told directly.
func (s *State) depart(reason string) {
	m := &s.member
	if m.holder == nil || m.departing != "" {
		return
	}
	m.departing = reason
	m.departSince = s.now
	s.dirty = true
	s.decide(Decision{Action: "depart", Reason: reason, Member: m.incarnation, Count: len(s.rights)})
	if s.leaseHeld() {
		s.tickRights()
	}
}

// tickDeparture ends the incarnation once it has given up every shard.
func (s *State) tickDeparture() {
	m := &s.member
	if m.holder == nil || m.departing == "" || !s.givenUpAll() {
		return
	}
	s.decide(Decision{Action: "leave", Reason: m.departing, Member: m.incarnation})
	s.leaveIncarnation()
}

// departsNow reports whether a departing daemon releases sh now: its standby can
// take it, or there is no use in waiting for one. A shard that was taken over
// ahead of the log has no standby before replay shows that.
func (s *State) departsNow(sh *fold.Shard) bool {
	m := &s.member
	usable := sh.Owner == m.incarnation && s.usableStandby(sh)
	return m.backend == nil || usable || !s.logFresh() || s.now.Sub(m.departSince) >= standbyBound
}

// givenUpAll reports whether no shard is dispatched or runs a request, and each
// standby has answered or had its time.
func (s *State) givenUpAll() bool {
	for id, r := range s.rights {
		if r.owned {
			return false
		}
		if r.releasing && !s.givenUp(r, s.shard(id).Standby != 0) {
			return false
		}
	}
	return true
}

func (s *State) givenUp(r *right, hasStandby bool) bool {
	if !r.quiesced {
		return false
	}
	return r.answered || !hasStandby || s.now.Sub(r.releasedAt) >= releaseBound
}

// shutdown starts the orderly departure of the daemon.
func (s *State) shutdown() {
	if s.stopping {
		return
	}
	s.stopping = true
	s.dirty = true
	s.giveUpJoin()
	s.depart("shutdown")
}

// tickShutdown tells that the daemon may stop: once it is no member any more
// and replay has shown its leave record, or had the time for it.
func (s *State) tickShutdown() {
	if !s.stopping || s.left || s.member.holder != nil {
		return
	}
	if s.leftAt == 0 {
		s.leftAt = s.now
	}
	if s.outbox.holdsLeave() && s.now.Sub(s.leftAt) < leaveBound {
		return
	}
	s.left = true
	s.emit(Left{})
}

// holdsLeave reports whether a leave record waits for replay.
func (o *outbox) holdsLeave() bool {
	for _, out := range o.pending {
		if _, ok := out.record.GetBody().(*wire.Record_Leave); ok {
			return true
		}
	}
	return false
}
