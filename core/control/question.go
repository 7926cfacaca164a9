package control

import (
	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// A shard that was quiesced for a release cannot be taken back before replay
// ends the standby's right. The owner therefore asks the standby first whether
// its replay shows the placement, and serves on while it does not. A question is
// a release message without an owner: the standby answers it and takes nothing.

// question is what the standby of one generation answered so far.
type question struct {
	generation uint64 // of the shard, plus one; 0 if none was asked
	since      clock.Instant
	next       clock.Instant
	refused    bool // the standby answers, but cannot take the shard yet
	ready      bool
}

// standbyReady reports whether the release of sh may begin, and asks its standby
// if need be. One that does not answer is not waited for.
func (s *State) standbyReady(id view.ShardID, sh *fold.Shard, r *right) bool {
	m := &s.member
	late := m.departing != "" && s.now.Sub(m.departSince) >= standbyBound
	if m.backend == nil || sh.Owner != m.incarnation || sh.Standby == 0 || late {
		return true
	}
	q := &r.question
	if q.generation != sh.Generation+1 {
		*q = question{generation: sh.Generation + 1, since: s.now}
	}
	if q.ready || !q.refused && s.now.Sub(q.since) >= standbyPatience {
		return true
	}
	if s.now >= q.next {
		q.next = s.now.Add(releaseRetry)
		s.ask(id, sh)
	}
	return false
}

func (s *State) ask(id view.ShardID, sh *fold.Shard) {
	standby, ok := s.fold.Members[sh.Standby]
	if !ok {
		return
	}
	if slot, ok := s.fold.Slots[standby.Slot]; ok {
		ref := &wire.ShardRef{Service: id.Service, Shard: id.Shard, Generation: sh.Generation}
		s.emit(SendRelease{PeerAddr: slot.PeerAddr, Shard: id, Msg: &wire.Release{Ref: ref}})
	}
}

// questionAnswered begins the release at once when the standby is ready.
func (s *State) questionAnswered(e ReleaseAnswered) {
	r, ok := s.rights[e.Shard]
	if !ok || r.question.generation != e.Generation+1 {
		return
	}
	switch {
	case e.Accepted:
		r.question.ready = true
		s.releaseDue(e.Shard, s.shard(e.Shard), r)
	case !e.Silent:
		r.question.refused = true
	}
}
