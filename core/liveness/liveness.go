// Package liveness states what a daemon may conclude about its backend server from each signal.
// Conclude encodes the table in docs/OWNERSHIP.md, "What a signal tells of the server".
//
// It is designed for one server per daemon with some hundred connections, and for signals at the
// rate of its requests. It keeps no state.
package liveness

// Signal is something that a daemon notices about its backend server.
type Signal uint8

// The signals.
const (
	EndOfFile      Signal = iota // the server closed a connection
	Reset                        // a connection was reset
	Refused                      // a new connection was refused
	NoAnnouncement               // announcements are missing, or calls are not answered
	OtherBoot                    // another boot announced itself
	LeaveNotice                  // the server said that it is leaving, in any form
)

// Signals returns all signals.
func Signals() []Signal {
	return []Signal{EndOfFile, Reset, Refused, NoAnnouncement, OtherBoot, LeaveNotice}
}

// String returns the signal's name in docs/OWNERSHIP.md.
func (s Signal) String() string {
	return [...]string{"end of file", "reset", "refused connection", "no announcement", "another boot", "leave notice"}[s]
}

// Server is what is known of the server apart from the signal.
type Server struct {
	Leaving  bool // it said that it is leaving
	OpenConn bool // a connection to it is open, or being opened
}

// Transfer tells when the keys of a server may be transferred.
type Transfer uint8

// The conditions of a transfer.
const (
	// None means that the signal is no reason for a transfer.
	None Transfer = iota
	// AfterHold means once the server has released the keys or its hold has expired.
	AfterHold
	// AtOnce means that the process has ended. Runs whose connection the daemon had closed before
	// count until the hold under which they began has expired: nothing showed their end.
	AtOnce
)

// String returns the condition's name in docs/OWNERSHIP.md.
func (t Transfer) String() string { return [...]string{"no", "after the hold", "at once"}[t] }

// Conclusion is what a daemon may do after a signal.
type Conclusion struct {
	StopSending  bool // no new request is sent
	StopRenewing bool // no hold is renewed
	Transfer     Transfer
}

// Conclude returns what a daemon may do after a signal from a server.
func Conclude(signal Signal, s Server) Conclusion {
	switch signal {
	case Refused, OtherBoot:
		// A leaving server may close its listener and its connections long before it ends. One that
		// does not leave has a listener for as long as it runs; an open connection disproves its end.
		if s.Leaving || s.OpenConn {
			return Conclusion{StopSending: true, StopRenewing: true, Transfer: AfterHold}
		}
		return Conclusion{StopSending: true, StopRenewing: true, Transfer: AtOnce}
	case NoAnnouncement:
		return Conclusion{StopSending: true, StopRenewing: true, Transfer: AfterHold}
	case LeaveNotice:
		return Conclusion{Transfer: AfterHold} // it serves until its keys are handed over
	default: // a server may close or reset any connection and go on
		return Conclusion{}
	}
}
