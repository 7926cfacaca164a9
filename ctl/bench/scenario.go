package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/sesamemoor/sesamemoor/ctl/deployment"
	"github.com/sesamemoor/sesamemoor/ctl/load"
)

// Scenario is one experiment. Its variants have the same load and faults, except
// where a Variant replaces them.
type Scenario struct {
	Name     string
	About    string
	Example  string // directory in Options.Examples
	Duration time.Duration
	WarmUp   time.Duration                // of backend servers
	Change   func(*deployment.Deployment) // nil changes nothing
	Load     func(*load.Plan)             // nil changes nothing
	Steps    []Step
	Variants []Variant
	// Measure returns the rows of one run.
	Measure func(*Run) []Row
	// Compare returns the rows that need the runs of all variants, which are
	// passed by name; nil means none.
	Compare func(map[string]*Run) []Row
}

// Variant is one set of policies to compare.
type Variant struct {
	Name   string
	Policy map[string]string
	Chosen bool                         // not a baseline, so its rows must meet their targets
	Change func(*deployment.Deployment) // applied after the scenario's; nil changes nothing
	Load   func(*load.Plan)             // applied after the scenario's; nil changes nothing
	Steps  []Step                       // replaces the scenario's, if not nil
}

// Step is an action at an offset from the start of the load, such as a fault.
type Step struct {
	At   time.Duration
	Name string
	Do   func(context.Context, *Fleet) error
}

// Bound says whether the target of a row is an upper or a lower limit of its value.
type Bound string

// The bounds. NoBound marks a row without a target.
const (
	NoBound Bound = ""
	AtMost  Bound = "<="
	AtLeast Bound = ">="
)

// Row is one measured value in a report.
type Row struct {
	Metric string  `json:"metric"`
	Unit   string  `json:"unit"`
	Value  float64 `json:"value"`
	Limit  string  `json:"limit,omitempty"` // best possible value, as text
	Bound  Bound   `json:"bound,omitempty"`
	Target float64 `json:"target,omitempty"`
}

// Met reports whether the value meets its target. It is true without a target.
func (r Row) Met() bool {
	switch r.Bound {
	case AtMost:
		return r.Value <= r.Target
	case AtLeast:
		return r.Value >= r.Target
	default:
		return true
	}
}

// Run is the execution of one variant with its results.
type Run struct {
	Variant           string
	HostLoad          string    // load averages of the host at the start
	Start             time.Time // of the load
	Fleet             *Fleet
	Plan              load.Plan
	Results           []load.Result
	Report            load.Report
	Servers           []ServerRuns
	IncompleteServers int // number of backend servers whose run list is missing or incomplete
	Moves             []Move
	Splits            int
	Done              map[string]time.Time // time at which each step began, by name
	Counts            map[string]Counts    // counters of daemons before each step, by name; at the end, under ""
	States            map[string]ServerState
}

// Counts are the daemons' counters at a point in time.
type Counts struct{ Requests, Retries float64 }

// amplification returns the mean number of attempts at owners per request between
// two steps, or 0 without requests.
func (r *Run) amplification(from, to string) float64 {
	requests := r.Counts[to].Requests - r.Counts[from].Requests
	if requests <= 0 {
		return 0
	}
	return 1 + (r.Counts[to].Retries-r.Counts[from].Retries)/requests
}

// ServerState holds counters of an emulated backend server.
type ServerState struct {
	Shed      int `json:"shed"`      // requests
	Overloads int `json:"fell_over"` // times that it stalled under more load than it can serve while cold
}

// keepAll selects every request.
func keepAll(load.Result) bool { return true }

// keepService selects the requests of a service.
func keepService(name string) func(load.Result) bool {
	prefix := "/" + name + "/"
	return func(r load.Result) bool { return len(r.Path) > len(prefix) && r.Path[:len(prefix)] == prefix }
}

// ms returns d in milliseconds.
func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// latencyRows returns the latency percentiles of requests in a window.
func (r *Run) latencyRows(label string, w Window, keep func(load.Result) bool, limit string) []Row {
	var rows []Row
	for _, q := range []float64{0.5, 0.99, 0.999} {
		rows = append(rows, Row{
			Metric: fmt.Sprintf("p%g %s", 100*q, label), Unit: "ms", Value: ms(Quantile(r.Results, w, q, keep)), Limit: limit,
		})
	}
	return rows
}

// notServedPercent returns the percentage of requests in a window with an outcome
// other than ok. Requests with the outcome rate_limited are excluded.
func (r *Run) notServedPercent(w Window, keep func(load.Result) bool) float64 {
	n, notServed := 0, 0
	for _, res := range r.Results {
		if !w.contains(res.At) || !keep(res) || res.Outcome == "rate_limited" {
			continue
		}
		n++
		if res.Outcome != "ok" {
			notServed++
		}
	}
	if n == 0 {
		return 0
	}
	return 100 * float64(notServed) / float64(n)
}

// at returns the time of a step since the start of the load.
func (r *Run) at(step string) time.Duration { return r.Done[step].Sub(r.Start) }

// setFaultsStep returns a step that sets the faults of a backend server.
func setFaultsStep(at time.Duration, name, server string, faults map[string]any) Step {
	return Step{At: at, Name: name, Do: func(ctx context.Context, f *Fleet) error {
		return f.controlBackend(ctx, server, "PUT", "/emulate/faults", faults)
	}}
}

// multiplyLoad returns a change that multiplies the request rate of every team.
func multiplyLoad(factor float64) func(*load.Plan) {
	return func(p *load.Plan) {
		for i := range p.Teams {
			p.Teams[i].Rate *= factor
		}
	}
}

// multiplyLimits multiplies rate and burst of every team, so that the limiter does
// not refuse a multiplied load.
func multiplyLimits(d *deployment.Deployment, factor float64) {
	for i := range d.Teams {
		d.Teams[i].Rate *= factor
		d.Teams[i].Burst *= factor
	}
}

// setServiceTime sets the service time of all backend servers, in milliseconds.
func setServiceTime(d *deployment.Deployment, ms int) {
	for i := range d.Services {
		d.Services[i].ServiceTimeMS = ms
	}
}
