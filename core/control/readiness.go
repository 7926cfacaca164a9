package control

import (
	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// A shard that was quiesced for a release cannot be resumed before replay ends the
// standby's right. The owner therefore first checks whether the standby's replay shows
// the placement, and keeps serving while it does not. A readiness check is a release
// message without an owner: the standby answers it and takes nothing over.

// readinessCheck is what the standby of one generation has answered so far.
type readinessCheck struct {
	generation uint64 // of the shard, plus one; 0 if no check was sent
	since      clock.Instant
	next       clock.Instant
	refused    bool // the standby answers, but cannot take the shard yet
	ready      bool
}

// standbyReady reports whether the release of sh may start, and sends a readiness check
// if needed. It does not wait for a standby that does not answer.
func (s *State) standbyReady(id view.ShardID, sh *fold.Shard, r *right) bool {
	m := &s.member
	late := m.departReason != "" && s.now.Sub(m.departingSince) >= standbyWait
	if m.backend == nil || sh.Owner != m.incarnation || sh.Standby == 0 || late {
		return true
	}
	q := &r.readinessCheck
	if q.generation != sh.Generation+1 {
		*q = readinessCheck{generation: sh.Generation + 1, since: s.now}
	}
	if q.ready || !q.refused && s.now.Sub(q.since) >= standbyTimeout {
		return true
	}
	if s.now >= q.next {
		q.next = s.now.Add(releaseRetry)
		s.sendReadinessCheck(id, sh)
	}
	return false
}

func (s *State) sendReadinessCheck(id view.ShardID, sh *fold.Shard) {
	standby, ok := s.fold.Members[sh.Standby]
	if !ok {
		return
	}
	if slot, ok := s.fold.Slots[standby.Slot]; ok {
		ref := &wire.ShardRef{Service: id.Service, Shard: id.Shard, Generation: sh.Generation}
		s.emit(SendRelease{PeerAddr: slot.PeerAddr, Shard: id, Msg: &wire.Release{Ref: ref}})
	}
}

// readinessAnswered starts the release at once when the standby is ready.
func (s *State) readinessAnswered(e ReleaseAnswered) {
	r, ok := s.rights[e.Shard]
	if !ok || r.readinessCheck.generation != e.Generation+1 {
		return
	}
	switch {
	case e.Accepted:
		r.readinessCheck.ready = true
		s.releaseIfDue(e.Shard, s.shard(e.Shard), r)
	case !e.NoAnswer && !r.readinessCheck.refused:
		r.readinessCheck.refused = true
		s.emitDecision(Decision{Action: "release_refused", Reason: e.Reason, Shard: e.Shard, Generation: e.Generation})
	}
}
