// Package rollout decides about the roll-out of a version of a service: how much of the
// traffic the servers of the new version get, when it is completed and when it is rolled
// back. It has no network, goroutines or wall clock.
//
// It is designed for services of 1 to 1,000 servers and 3 to 100,000 requests a second, whose
// requests come from up to 12,000 daemons, for reports each 250 ms (at most 400 a second for a
// controller), and for durations of 8 s to hours. docs/design/rollout-decision.md gives the
// reasons for its rules.
package rollout

import (
	"fmt"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

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
	// LastStep is the time from the decision to move the whole traffic until it has moved:
	// zero for a keyless service; for a sharded one the time that moving all shards takes.
	// The controller decides on share 1 this much earlier. The caller of a sharded service
	// writes Completed only after all shards have moved.
	LastStep time.Duration
}

// Decision is what the controller decided last.
type Decision struct {
	State   State
	Share   float64 // of the requests, that the new version gets, 0 to 1
	Servers int     // of the new version, that get it
	Reason  string  // the evidence in one line, for the log
}

// Controller decides about one roll-out. It is not safe for concurrent use.
type Controller struct {
	order    Order
	bounds   Bounds
	start    clock.Instant
	old, new int
	decision Decision

	oldRequests, oldFailures uint64
	newRequests, newFailures uint64
}

// NewController returns a controller for an order. now is the time of the order, or a later
// one for a controller that takes over from another: then o.Duration is the time left.
func NewController(now clock.Instant, o Order, b Bounds) *Controller {
	return &Controller{order: o, bounds: b, start: now}
}

// SetServers sets the numbers of servers in service of the old and of the new version.
func (c *Controller) SetServers(now clock.Instant, old, new int) { c.old, c.new = old, new }

// Add adds the counts of a daemon's report. Counts of other versions than the order's count
// for the old version.
func (c *Controller) Add(now clock.Instant, daemon uint64, counts []Counts) {
	for _, n := range counts {
		if n.Version == c.order.To {
			c.newRequests += uint64(n.Requests)
			c.newFailures += uint64(n.Failures)
		} else {
			c.oldRequests += uint64(n.Requests)
			c.oldFailures += uint64(n.Failures)
		}
	}
}

// Step decides. It is called at least each 250 ms. After a terminal state it returns the same
// decision always.
func (c *Controller) Step(now clock.Instant) Decision {
	if c.decision.State != Running {
		return c.decision
	}
	elapsed := now.Sub(c.start)
	total := float64(c.oldRequests + c.newRequests)
	allowed := c.bounds.ExposureShare*total + c.bounds.ExposureSlack/2
	oldRate := float64(c.oldFailures+1) / float64(c.oldRequests+20)
	newRate := float64(c.newFailures) / float64(max(c.newRequests, 1))
	reason := fmt.Sprintf("new %d of %d failed, old %d of %d",
		c.newFailures, c.newRequests, c.oldFailures, c.oldRequests)
	decide := func(state State, share float64, why string) Decision {
		servers := min(c.new, 1+int(share*float64(c.new)))
		c.decision = Decision{State: state, Share: share, Servers: servers, Reason: why + ": " + reason}
		return c.decision
	}
	last := c.order.Duration*9/10 - c.bounds.LastStep
	switch {
	case c.newRequests >= 10 && newRate > 0.05+3*oldRate:
		return decide(RolledBack, 0, "failures")
	case c.new == 0 && elapsed >= c.order.Duration/4:
		return decide(RolledBack, 0, "no servers of the version")
	case elapsed >= last+c.bounds.LastStep && c.newRequests >= 10:
		return decide(Completed, 1, "time")
	case elapsed >= last+c.bounds.LastStep:
		return decide(RolledBack, 0, "too few requests")
	case c.new == 0:
		return decide(Running, 0, "waits for servers")
	case elapsed >= last:
		return decide(Running, 1, "last step")
	case float64(c.newRequests) >= allowed:
		return decide(Running, 0, "exposure at its bound")
	}
	return decide(Running, c.bounds.ExposureShare*0.8, "first step")
}
