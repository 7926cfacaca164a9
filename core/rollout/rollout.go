// Package rollout decides about the roll-out of a version of a service: how much of the
// traffic the servers of the new version get, when it is completed and when it is rolled
// back. It has no network, goroutines or wall clock.
//
// It is designed for services of 1 to 1,000 servers and 3 to 100,000 requests a second, whose
// requests come from up to 12,000 daemons, for reports each 250 ms (at most 400 a second for a
// controller), and for durations of 8 s to hours. docs/design/rollout-decision.md gives the
// reasons for its rules.
package rollout

import "time"

// Order asks that the traffic of a service be moved to the servers of a version.
type Order struct {
	Service  string
	To       string        // version
	Duration time.Duration // within which the roll-out ends
	ID       uint64        // position of the order's record in the configuration stream
}

// State is the state of a roll-out.
type State uint8

// The states. Completed and RolledBack are terminal.
const (
	Running State = iota
	Completed
	RolledBack
)

// String returns the name of the state in the status record.
func (s State) String() string {
	switch s {
	case Completed:
		return "completed"
	case RolledBack:
		return "rolled_back"
	}
	return "running"
}

// Counts is what a daemon saw of one version on one route since its last report.
type Counts struct {
	Route, Version string
	Sent           uint32 // sent, answered or not; less than Requests where the answers come later
	Requests       uint32 // answered
	Failures       uint32 // of Requests: status 5xx, cut or missing answers
	Latencies      Histogram
}

// Bounds are the limits of the deployment.
type Bounds struct {
	ExposureShare float64       // share of all requests that a bad version may get
	ExposureSlack float64       // requests allowed beyond that share
	Rollback      time.Duration // from the 50th bad answer until the version gets nothing
	// LastStep is the time that moving the whole traffic takes: zero for a keyless service,
	// for a sharded one the time that moving all shards takes. The controller decides on
	// share 1 this much earlier than for a keyless service, and leaves each share in force
	// for longer. The caller writes Completed of a sharded service only after all shards have
	// moved.
	LastStep time.Duration
}

// Decision is what the controller decided last.
type Decision struct {
	State   State
	Share   float64 // of the requests, that the new version gets, 0 to 1
	Servers int     // of the new version, that get it
	Reason  string  // the evidence in one line, for the log
}
