package control

import (
	"time"

	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// leaveTimeout is the time for which a daemon without an incarnation waits for replay
// to show its leave record before it stops.
const leaveTimeout = 1 * time.Second

// standbyWait is the time for which a departing daemon keeps serving a shard without a
// usable standby, so that a planner can name one. Without a standby the next owner
// would not know the shard's request ids.
const standbyWait = 2 * time.Second

// depart starts the graceful end of the incarnation: every shard is quiesced and
// released to its standby, then the incarnation leaves. This works without the log,
// because releases go directly to the standbys.
func (s *State) depart(reason string) {
	m := &s.member
	if m.holder == nil || m.departReason != "" {
		return
	}
	m.departReason = reason
	m.departingSince = s.now
	s.dirty = true
	s.emitDecision(Decision{Action: "depart", Reason: reason, Member: m.incarnation, Count: len(s.rights)})
	if s.leaseHeld() {
		s.tickRights()
	}
}

// tickDeparture ends the incarnation once every shard is released.
func (s *State) tickDeparture() {
	m := &s.member
	if m.holder == nil || m.departReason == "" || !s.allReleased() {
		return
	}
	s.emitDecision(Decision{Action: "leave", Reason: m.departReason, Member: m.incarnation})
	s.leaveIncarnation()
}

// departingMayRelease reports whether a departing daemon releases sh now: its standby
// can take it, or waiting for one is of no use. A shard whose takeover replay does not
// show yet has no standby.
func (s *State) departingMayRelease(sh *fold.Shard) bool {
	m := &s.member
	usable := sh.Owner == m.incarnation && s.usableStandby(sh)
	return m.backend == nil || usable || !s.logFresh() || s.now.Sub(m.departingSince) >= standbyWait
}

// allReleased reports whether no shard is dispatched or runs a request, and each
// standby has answered or releaseTimeout has passed.
func (s *State) allReleased() bool {
	for id, r := range s.rights {
		if r.owned {
			return false
		}
		if r.releasing && !s.releaseDone(r, s.shard(id).Standby != 0) {
			return false
		}
	}
	return true
}

func (s *State) releaseDone(r *right, hasStandby bool) bool {
	if !r.quiesced {
		return false
	}
	return r.answered || !hasStandby || s.now.Sub(r.releasedAt) >= releaseTimeout
}

// shutdown starts the graceful departure of the daemon.
func (s *State) shutdown() {
	if s.stopping {
		return
	}
	s.stopping = true
	s.stoppingSince = s.now
	s.dirty = true
	s.abandonJoin()
	s.depart("shutdown")
}

// tickShutdown emits Departed once the daemon may stop: it is no member any more, and
// replay has shown its leave record or leaveTimeout has passed.
func (s *State) tickShutdown() {
	if !s.stopping || s.departed || s.member.holder != nil {
		return
	}
	if s.departedAt == 0 {
		s.departedAt = s.now
	}
	if s.outbox.leavePending() && s.now.Sub(s.departedAt) < leaveTimeout {
		return
	}
	s.departed = true
	s.emit(Departed{})
}

// leavePending reports whether replay has not shown a leave record yet.
func (o *outbox) leavePending() bool {
	for _, out := range o.pending {
		if _, ok := out.record.GetBody().(*wire.Record_Leave); ok {
			return true
		}
	}
	return false
}
