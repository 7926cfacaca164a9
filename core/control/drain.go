package control

import "time"

// drainGrace is the time for which a drain waits for standbys of shards that
// have none.
const drainGrace = 3 * time.Second

// backendLeaving starts the drain of the backend server: as the owner of its
// shards this daemon releases them, and it takes over no others.
func (s *State) backendLeaving() {
	if s.member.backend == nil || s.member.draining {
		return
	}
	s.member.draining = true
	s.member.drainSince = s.now
	s.dirty = true
	s.decide(Decision{Action: "drain", Reason: "backend server leaves", Member: s.member.incarnation})
}

// tickDrain ends the incarnation once the drained shards are handed over. A
// shard that gets no usable standby within drainGrace is given up with the
// leave record; its next owner has no request-id history.
func (s *State) tickDrain() {
	if !s.member.draining || s.busyShards() > 0 {
		return
	}
	if s.ownsAny() && s.now < s.member.drainSince.Add(drainGrace) {
		return
	}
	s.backendDown(BackendDown{Reason: "backend server is drained"})
}

// ownsAny reports whether this daemon owns a shard.
func (s *State) ownsAny() bool {
	for _, r := range s.rights {
		if r.owned {
			return true
		}
	}
	return false
}
