package control

import (
	"cmp"
	"maps"
	"slices"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// right is this daemon's right to one shard, including what replay does not show yet.
//
// Invariants: a shard is dispatched only while owned is set; owned is cleared before a
// release is sent; after a release at generation g the shard is owned again only once
// replay shows this daemon as owner at g+2 or later; after a consent at generation g no
// takeover of g happens, unless the log definitely did not accept the consent.
type right struct {
	owned        bool
	token        uint64 // generation under which the shard was acquired
	since        clock.Instant
	noRequestIDs bool // see view.Held

	taken     uint64 // generation g taken over before replay shows it, plus one; 0 if none
	consented uint64 // generation g whose standby right was ceded by consent, plus one
	released  uint64 // generation g released, plus one

	readinessCheck readinessCheck // whether the standby can take the shard
	releasing      bool           // the shard is being released to its standby
	quiesced       bool           // no request of it runs any more
	irrevocable    bool           // a split may be in flight; this process, which is stopping, never resumes the shard
	answered       bool           // the standby accepted the release
	recorded       bool           // the release was written to the log because the standby did not answer
	sent           bool           // the standby may have received the release
	releaseGen     uint64         // generation under which it is being released
	releasedAt     clock.Instant  // when it was quiesced
	nextSend       clock.Instant
	marks          []*wire.RequestMark
	levels         []*wire.BucketLevel
	handover       string
	resumed        Resumed // how an aborted release left the shard; cleared when it is acquired
}

func (s *State) right(id view.ShardID) *right {
	r, ok := s.rights[id]
	if !ok {
		r = &right{}
		s.rights[id] = r
	}
	return r
}

// reconcileRights compares the rights with replay after records were applied.
func (s *State) reconcileRights() {
	me := s.member.incarnation
	if me == 0 {
		return
	}
	if m := s.self(); s.member.holder != nil && (m == nil || m.Phase == fold.Gone) {
		s.emitDecision(Decision{Action: "lease_lost", Reason: "replay shows the incarnation as gone", Member: me})
		s.dropIncarnation()
		return
	}
	for inc := range s.lapsed {
		if m, ok := s.fold.Members[inc]; !ok || m.Phase == fold.Gone {
			delete(s.lapsed, inc)
		}
	}
	for _, name := range s.serviceNames() {
		shards := s.fold.Services[name].Shards
		for i := range shards {
			if shards[i].Owner == me {
				s.right(view.ShardID{Service: name, Shard: uint32(i)})
			}
		}
	}
	for _, id := range s.shardIDs() {
		s.reconcileShard(id, s.shard(id), s.rights[id])
	}
}

// shardIDs returns the shards that have a right, in order.
func (s *State) shardIDs() []view.ShardID {
	return slices.SortedFunc(maps.Keys(s.rights), func(a, b view.ShardID) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Shard, b.Shard))
	})
}

func (s *State) reconcileShard(id view.ShardID, sh *fold.Shard, r *right) {
	me := s.member.incarnation
	switch {
	case sh.Owner == me:
		if r.releasing && sh.Generation != r.releaseGen && !r.irrevocable {
			s.abortRelease(r)
		}
		mayOwn := r.released == 0 || sh.Generation >= r.released+1
		if r.owned {
			s.dirty = true // the recorded generation is part of the view
		}
		if !r.owned && !r.releasing && mayOwn && !s.hasIrrevocableRelease() && s.placementSettled() {
			s.acquire(id, r, sh.Generation, TakeOver{Resumed: r.resumed}, true, "replay shows this daemon as owner")
		}
	case s.fold.Claiming && r.owned:
		// Claimed, but replay does not show the record yet.
	case s.fold.Claiming && r.resumed != NotResumed:
		// Its release was aborted; it is resumed once the era is open.
	case sh.Standby == me && (r.taken == sh.Generation+1 || r.consented == sh.Generation+1):
		// Taken over or consented, but replay does not show the record yet.
	default:
		if r.owned || r.releasing {
			s.emitDecision(Decision{Action: "drop", Reason: "replay shows another owner", Shard: id, Generation: sh.Generation})
		}
		delete(s.rights, id)
		s.dirty = true
	}
}

// hasIrrevocableRelease reports whether this daemon is stopping and released a shard
// while a split of that shard may be in flight. The standby may dispatch the split key
// under the shard that it took over, so this daemon must not dispatch it under the
// shard that the split creates: it acquires nothing more.
func (s *State) hasIrrevocableRelease() bool {
	if !s.stopping {
		return false
	}
	for _, r := range s.rights {
		if r.irrevocable {
			return true
		}
	}
	return false
}

// acquire makes this daemon the dispatcher of a shard under token. effect gives the
// source of its request ids; withoutIDs reports that its request-id table starts empty.
func (s *State) acquire(id view.ShardID, r *right, token uint64, effect TakeOver, withoutIDs bool, reason string) {
	r.owned = true
	r.token = token
	r.since = s.now
	r.noRequestIDs = withoutIDs
	r.resumed = NotResumed
	s.dirty = true
	effect.Shard = id
	effect.Token = token
	s.emit(effect)
	s.emitDecision(Decision{Action: "take_over", Reason: reason, Shard: id, Generation: token, Member: s.member.incarnation})
}

// takeOver acquires a shard as its recorded standby before replay shows it. effect
// carries the content of the owner's release; withoutIDs reports that there was none.
// It returns false if this daemon already took over the generation or consented to its
// successor.
func (s *State) takeOver(id view.ShardID, sh *fold.Shard, withoutIDs bool, effect TakeOver) bool {
	r := s.right(id)
	if r.consented == sh.Generation+1 || r.taken == sh.Generation+1 || s.fold.Claiming {
		return false
	}
	r.taken = sh.Generation + 1
	reason := "release by the owner"
	if withoutIDs {
		reason = "lapse of the owner's lease"
	}
	s.acquire(id, r, sh.Generation+1, effect, withoutIDs, reason)
	return true
}

// tickRights starts releases that are due, repeats release messages, and sends
// consents.
func (s *State) tickRights() {
	if !s.leaseHeld() || s.fold.Claiming {
		return
	}
	s.sendConsents()
	for _, id := range s.shardIDs() {
		sh := s.shard(id)
		r := s.rights[id]
		s.releaseIfDue(id, sh, r)
		if r.releasing && r.quiesced {
			s.advanceRelease(id, sh, r)
		}
	}
}

// releaseIfDue starts the release of a shard that is due for handover once its standby
// can take it.
func (s *State) releaseIfDue(id view.ShardID, sh *fold.Shard, r *right) {
	if !r.owned || s.member.departReason == "" && s.inKeyChange(id) || !s.shouldRelease(sh) {
		return
	}
	if s.standbyReady(id, sh, r) {
		s.startRelease(id, sh, r)
	}
}

func (s *State) shard(id view.ShardID) *fold.Shard {
	svc, ok := s.fold.Services[id.Service]
	if !ok || int(id.Shard) >= len(svc.Shards) {
		return nil
	}
	return &svc.Shards[id.Shard]
}

// sendConsents cedes standby rights where replay shows a proposed successor, unless
// this daemon has already taken over the shard.
func (s *State) sendConsents() {
	if !s.recheckConsents || !s.mayConsent() {
		return
	}
	s.recheckConsents = false
	me := s.member.incarnation
	var refs []*wire.ShardRef
	for _, name := range s.serviceNames() {
		shards := s.fold.Services[name].Shards
		for i := range shards {
			sh := &shards[i]
			if sh.Standby != me || !sh.HasPending {
				continue
			}
			r := s.right(view.ShardID{Service: name, Shard: uint32(i)})
			if r.taken == sh.Generation+1 || r.consented == sh.Generation+1 {
				continue
			}
			r.consented = sh.Generation + 1
			refs = append(refs, &wire.ShardRef{Service: name, Shard: uint32(i), Generation: sh.Generation})
		}
	}
	if len(refs) == 0 {
		return
	}
	s.append(&wire.Record{Body: &wire.Record_Consent{Consent: &wire.Consent{Incarnation: me, Refs: refs}}})
	s.emitDecision(Decision{Action: "consent", Reason: "another standby is proposed", Count: len(refs)})
}
