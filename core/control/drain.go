package control

// backendLeaving starts the drain of the backend server: as the owner of its
// shards this daemon releases them, and it takes over no others.
func (s *State) backendLeaving() {
	if s.member.backend == nil || s.member.draining {
		return
	}
	s.member.draining = true
	s.dirty = true
	s.decide(Decision{Action: "drain", Reason: "backend server leaves", Member: s.member.incarnation})
}

// tickDrain ends the incarnation once the drained shards are handed over. A
// shard without a usable standby is given up with the leave record.
func (s *State) tickDrain() {
	if !s.member.draining || s.busyShards() > 0 {
		return
	}
	s.backendDown(BackendDown{Reason: "backend server is drained"})
}
