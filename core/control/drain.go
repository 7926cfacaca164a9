package control

// drainReason is the reason of a departure that the backend server asked for.
const drainReason = "backend server leaves"

// backendLeaving starts the drain of the backend server: its daemon hands over
// all shards and takes over no others.
func (s *State) backendLeaving() {
	m := &s.member
	if m.backend == nil || m.draining {
		return
	}
	m.draining = true
	s.dirty = true
	s.decide(Decision{Action: "drain", Reason: drainReason, Member: m.incarnation})
	s.giveUpJoin()
	s.depart(drainReason)
}

// resumeBackend takes back the wish of the backend server to leave. Releases
// under way go on.
func (s *State) resumeBackend() {
	m := &s.member
	m.draining = false
	if m.departing == drainReason && !s.stopping {
		m.departing = ""
	}
}

// tickDrain forgets the backend server once its incarnation has left.
func (s *State) tickDrain() {
	if s.member.draining && s.member.holder == nil {
		s.backendDown(BackendDown{Reason: "backend server is drained"})
	}
}
