package control

// drainReason is the reason for a departure that the backend server requested.
const drainReason = "backend server leaves"

// backendLeaving starts the drain of the backend server: its daemon hands off all
// shards and takes over no others.
func (s *State) backendLeaving() {
	m := &s.member
	if m.backend == nil || m.draining {
		return
	}
	m.draining = true
	s.dirty = true
	s.emitDecision(Decision{Action: "drain", Reason: drainReason, Member: m.incarnation})
	s.abandonJoin()
	s.depart(drainReason)
}

// cancelDrain cancels the drain of the backend server. Releases in progress continue.
func (s *State) cancelDrain() {
	m := &s.member
	m.draining = false
	if m.departReason == drainReason && !s.stopping {
		m.departReason = ""
	}
}

// tickDrain removes the backend server once its incarnation has left.
func (s *State) tickDrain() {
	if s.member.draining && s.member.holder == nil {
		s.backendDown(BackendDown{Reason: "backend server is drained"})
	}
}
