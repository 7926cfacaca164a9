package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/sesamemoor/sesamemoor/ctl/deployment"
	"github.com/sesamemoor/sesamemoor/ctl/load"
)

// Scenario is one experiment: the same load and faults on each variant.
type Scenario struct {
	Name     string
	About    string
	Example  string // directory of examples
	Duration time.Duration
	WarmUp   time.Duration // of backend servers
	Change   func(*deployment.Deployment)
	Load     func(*load.Plan)
	Steps    []Step
	Variants []Variant
	// Measure returns the rows of one run.
	Measure func(*Run) []Row
	// Compare returns rows that need the runs of all variants, by name; nil
	// means none.
	Compare func(map[string]*Run) []Row
}

// Variant is one set of policies.
type Variant struct {
	Name   string
	Policy map[string]string
	Chosen bool                         // not a baseline: targets are for it
	Change func(*deployment.Deployment) // after the scenario's; nil changes nothing
	Load   func(*load.Plan)             // changes the scenario's load; nil changes nothing
	Steps  []Step                       // in place of the scenario's, if not nil
}

// Step is something that the experimenter does at an offset from the start of
// the load.
type Step struct {
	At   time.Duration
	Name string
	Do   func(context.Context, *Fleet) error
}

// Bound tells on which side of its target a figure should lie.
type Bound string

// The bounds. None is a figure without a target.
const (
	None    Bound = ""
	AtMost  Bound = "<="
	AtLeast Bound = ">="
)

// Row is one figure.
type Row struct {
	Metric string  `json:"metric"`
	Unit   string  `json:"unit"`
	Value  float64 `json:"value"`
	Limit  string  `json:"limit,omitempty"` // the best that is possible
	Bound  Bound   `json:"bound,omitempty"`
	Target float64 `json:"target,omitempty"`
}

// Met reports whether the figure meets its target; one without a target does.
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

// Run is what one variant did.
type Run struct {
	Variant  string
	HostLoad string    // load averages of the host at the start
	Start    time.Time // of the load
	Fleet    *Fleet
	Plan     load.Plan
	Results  []load.Result
	Report   load.Report
	Servers  []ServerRuns
	Silent   int // backend servers whose runs are unknown
	Moves    []Move
	Splits   int
	Done     map[string]time.Time // steps by name: when they were done
	Counts   map[string]Counts    // of daemons, by step, and at the end under ""
	States   map[string]ServerState
}

// Counts are the daemons' counters at an instant.
type Counts struct{ Requests, Retries float64 }

// amplification returns the tries of requests at owners for each request
// between two steps.
func (r *Run) amplification(from, to string) float64 {
	requests := r.Counts[to].Requests - r.Counts[from].Requests
	if requests <= 0 {
		return 0
	}
	return 1 + (r.Counts[to].Retries-r.Counts[from].Retries)/requests
}

// ServerState is what a stand-in of a backend server counted.
type ServerState struct {
	Shed     int `json:"shed"`
	FellOver int `json:"fell_over"`
}

// all keeps every request.
func all(load.Result) bool { return true }

// ofService keeps the requests of a service.
func ofService(name string) func(load.Result) bool {
	prefix := "/" + name + "/"
	return func(r load.Result) bool { return len(r.Path) > len(prefix) && r.Path[:len(prefix)] == prefix }
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// latencies returns the percentiles of a window.
func (r *Run) latencies(label string, w Window, keep func(load.Result) bool, limit string) []Row {
	var rows []Row
	for _, q := range []float64{0.5, 0.99, 0.999} {
		rows = append(rows, Row{
			Metric: fmt.Sprintf("p%g %s", 100*q, label), Unit: "ms", Value: ms(Quantile(r.Results, w, q, keep)), Limit: limit,
		})
	}
	return rows
}

// refused returns the share of requests in a window that were not served, in
// percent, without those that a limiter refused.
func (r *Run) refused(w Window, keep func(load.Result) bool) float64 {
	n, bad := 0, 0
	for _, res := range r.Results {
		if !w.contains(res.At) || !keep(res) || res.Outcome == "rate_limited" {
			continue
		}
		n++
		if res.Outcome != "ok" {
			bad++
		}
	}
	if n == 0 {
		return 0
	}
	return 100 * float64(bad) / float64(n)
}

func (r *Run) at(step string) time.Duration { return r.Done[step].Sub(r.Start) }

// set returns a step that switches a backend server's faults.
func set(at time.Duration, name, server string, faults map[string]any) Step {
	return Step{At: at, Name: name, Do: func(ctx context.Context, f *Fleet) error {
		return f.emulate(ctx, server, "PUT", "/emulate/faults", faults)
	}}
}

// scaled multiplies the load of all teams, within their rates.
func scaled(factor float64) func(*load.Plan) {
	return func(p *load.Plan) {
		for i := range p.Teams {
			p.Teams[i].Rate *= factor
		}
	}
}

// widened multiplies rates and bursts of all teams, so that no limiter refuses
// a load that was scaled.
func widened(d *deployment.Deployment, factor float64) {
	for i := range d.Teams {
		d.Teams[i].Rate *= factor
		d.Teams[i].Burst *= factor
	}
}

// serviceTime sets the service time of all backend servers.
func serviceTime(d *deployment.Deployment, ms int) {
	for i := range d.Services {
		d.Services[i].ServiceTimeMS = ms
	}
}
