package retry

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// CallRates estimates how many calls a run of each route makes, calls of calls
// included. It is safe for concurrent use.
type CallRates struct {
	mu     sync.Mutex
	routes map[string]*callRate
}

// callRate holds sums over the recent runs of a route.
type callRate struct {
	runs  float64
	calls map[string]float64 // by called service
}

// callMemory is the weight that earlier runs keep with each new one: about 100 runs count.
const callMemory = 0.99

// NewCallRates returns estimates without any run.
func NewCallRates() *CallRates { return &CallRates{routes: map[string]*callRate{}} }

// Record records a run of a route and the calls that it made, by service.
func (c *CallRates) Record(route string, calls map[string]uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rate, ok := c.routes[route]
	if !ok {
		rate = &callRate{calls: map[string]float64{}}
		c.routes[route] = rate
	}
	rate.runs = rate.runs*callMemory + 1
	for service := range rate.calls {
		rate.calls[service] *= callMemory
	}
	for service, n := range calls {
		rate.calls[service] += float64(n)
	}
}

// Cost returns the repeats that one more run of a route is expected to cause, by service:
// one at its own service, and its calls.
func (c *CallRates) Cost(route, service string) map[string]float64 {
	cost := map[string]float64{service: 1}
	c.mu.Lock()
	defer c.mu.Unlock()
	if rate, ok := c.routes[route]; ok {
		for called, n := range rate.calls {
			cost[called] += n / rate.runs
		}
	}
	return cost
}

// Runs tracks the requests that the backend server beside a daemon runs, to find the one
// on whose behalf the server makes a call. It is safe for concurrent use.
type Runs struct {
	mu      sync.Mutex
	running map[*Run]struct{}
	byID    map[string][]*Run // by request id; the newest last
}

// Run is a request that runs.
type Run struct {
	runs     *Runs
	id       string
	deadline clock.Instant
	repeat   bool
	calls    map[string]uint32 // by called service

	direct map[string]uint32 // calls of the run itself that have ended, by called service
	lost   bool              // some of them were not served

	ranked   bool // priority and target are set
	priority uint32
	target   clock.Instant
}

// NewRuns returns a tracker without running requests.
func NewRuns() *Runs { return &Runs{running: map[*Run]struct{}{}, byID: map[string][]*Run{}} }

// Begin records that the request with an id is sent to the backend server. repeat tells whether
// it may have arrived at one before, or is a call of such a run.
func (r *Runs) Begin(id string, deadline clock.Instant, repeat bool) *Run {
	run := &Run{runs: r, id: id, deadline: deadline, repeat: repeat, calls: map[string]uint32{}}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[run] = struct{}{}
	if id != "" {
		r.byID[id] = append(r.byID[id], run)
	}
	return run
}

// End records the end of a run and returns its calls, by service.
func (run *Run) End() map[string]uint32 {
	run.runs.mu.Lock()
	defer run.runs.mu.Unlock()
	delete(run.runs.running, run)
	same := run.runs.byID[run.id]
	if same = slices.DeleteFunc(same, func(other *Run) bool { return other == run }); len(same) > 0 {
		run.runs.byID[run.id] = same
	} else {
		delete(run.runs.byID, run.id)
	}
	return maps.Clone(run.calls)
}

// idSeparators separate the id of a request from what a backend server appends to it for a call.
const idSeparators = ".:/"

// ByCallID returns the run whose request id the id of a call extends, as in "ID.CALL", the newest if
// a request runs more than once, or nil if there is none.
func (r *Runs) ByCallID(callID string) *Run {
	i := strings.LastIndexAny(callID, idSeparators)
	if i <= 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if same := r.byID[callID[:i]]; len(same) > 0 {
		return same[len(same)-1]
	}
	return nil
}

// Parent returns the run on whose behalf a call with the given deadline is made: calls
// have the deadline of their run, so it is the one whose deadline is nearest. It returns
// nil if no request runs.
func (r *Runs) Parent(deadline clock.Instant) *Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var nearest *Run
	for run := range r.running {
		if nearest == nil || run.deadline.Sub(deadline).Abs() < nearest.deadline.Sub(deadline).Abs() {
			nearest = run
		}
	}
	return nearest
}

// Repeat reports whether the run is a repeat. It is false for nil.
func (run *Run) Repeat() bool { return run != nil && run.repeat }

// SetUrgency states the priority and the latency objective of the request that runs.
func (run *Run) SetUrgency(priority uint32, target clock.Instant) {
	run.runs.mu.Lock()
	defer run.runs.mu.Unlock()
	run.ranked, run.priority, run.target = true, priority, target
}

// Urgency returns what SetUrgency stated, and false if it was not called or the run is nil.
func (run *Run) Urgency() (priority uint32, target clock.Instant, ok bool) {
	if run == nil {
		return 0, 0, false
	}
	run.runs.mu.Lock()
	defer run.runs.mu.Unlock()
	return run.priority, run.target, run.ranked
}

// EndCall records the end of a call of the run itself. lost means that it was refused or not
// answered in time for want of capacity. It does nothing for nil.
func (run *Run) EndCall(service string, lost bool) {
	if run == nil {
		return
	}
	run.runs.mu.Lock()
	defer run.runs.mu.Unlock()
	if run.direct == nil {
		run.direct = map[string]uint32{}
	}
	run.direct[service]++
	run.lost = run.lost || lost
}

// DirectCalls returns the calls of the run itself that have ended, by service, and whether some
// were lost.
func (run *Run) DirectCalls() (calls map[string]uint32, lost bool) {
	run.runs.mu.Lock()
	defer run.runs.mu.Unlock()
	return maps.Clone(run.direct), run.lost
}

// AddCalls adds calls of the run. It does nothing for nil.
func (run *Run) AddCalls(service string, n uint32) {
	if run == nil {
		return
	}
	run.runs.mu.Lock()
	defer run.runs.mu.Unlock()
	run.calls[service] += n
}
