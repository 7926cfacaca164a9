package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/sesamemoor/sesamemoor/ctl/deployment"
	"github.com/sesamemoor/sesamemoor/ctl/load"
)

// Scenarios returns all scenarios in the order in which they run.
func Scenarios() []Scenario {
	return []Scenario{coldStart(), stragglers(), hotKeys(), teams(), dataCentre(), retries()}
}

// Find returns the scenario of that name.
func Find(name string) (Scenario, bool) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

const (
	sec = time.Second
	// benchServiceMS is the service time of backend servers. It is long compared
	// with the network and routing time, so that slots are the scarce resource.
	benchServiceMS = 20
	// loadScale multiplies the load of the example so that a slow, cold or hot
	// server has too few slots.
	loadScale = 2
)

// latencyLimit describes the lowest possible latency.
func latencyLimit() string { return fmt.Sprintf("%d ms service time + one hop", benchServiceMS) }

// limitBySlots is the change of the example that most scenarios share: it makes
// slots the scarce resource and raises the limits of teams, so that the limiter
// does not refuse the load.
func limitBySlots(d *deployment.Deployment) {
	setServiceTime(d, benchServiceMS)
	multiplyLimits(d, 2*loadScale)
}

// coldStart turns a warm backend server cold, and restarts another, which starts
// cold.
func coldStart() Scenario {
	const coldServer, restartedServer = "cert-desk-2", "field-kit-2"
	const warmUp = 8 * sec
	turnCold := Step{At: 15 * sec, Name: "cold", Do: func(ctx context.Context, f *Fleet) error {
		return f.controlBackend(ctx, coldServer, "POST", "/emulate/cold", nil)
	}}
	restart := Step{At: 30 * sec, Name: "restart", Do: func(_ context.Context, f *Fleet) error {
		f.kill("backend-" + restartedServer)
		return f.start("backend-"+restartedServer, f.binaries.Tool, f.server(restartedServer).backendArgs...)
	}}
	return Scenario{
		Name: "cold-start", Example: "hai-dang", Duration: 50 * sec, WarmUp: warmUp,
		About:  "one backend server turns cold by itself, another is replaced by a cold one",
		Change: limitBySlots, Load: multiplyLoad(loadScale), Steps: []Step{turnCold, restart},
		Variants: []Variant{
			{Name: "none", Policy: map[string]string{"cold_start": "none"}},
			{Name: "ramp", Policy: map[string]string{"cold_start": "ramp"}, Chosen: true},
		},
		Measure: func(r *Run) []Row {
			shed, overloads := 0, 0
			for _, st := range r.States {
				shed += st.Shed
				overloads += st.Overloads
			}
			rows := []Row{
				{Metric: "requests shed by backend servers", Value: float64(shed), Limit: "0", Bound: AtMost, Target: 0},
				{Metric: "times that a cold server fell over", Value: float64(overloads), Limit: "0", Bound: AtMost, Target: 0},
				{Metric: "time to full load after turning cold", Unit: "s", Value: r.timeToFullLoad(coldServer, "cold"), Limit: "8 s warm-up"},
				{Metric: "requests not served, 15 to 30 s", Unit: "%", Value: r.notServedPercent(Window{15 * sec, 30 * sec}, keepAll), Limit: "0"},
				{Metric: "requests not served, 30 to 50 s", Unit: "%", Value: r.notServedPercent(Window{30 * sec, 50 * sec}, keepAll), Limit: "0"},
			}
			return append(rows, r.latencyRows("15 to 50 s", Window{15 * sec, 50 * sec}, keepAll, latencyLimit())...)
		},
	}
}

// fullLoadShare is the fraction of the earlier rate that counts as full load.
const fullLoadShare = 0.8

// timeToFullLoad returns the seconds from a step until the server runs at least
// fullLoadShare of its earlier rate (mean of the 6 seconds before the step) over
// two seconds, or -1 if it does not.
func (r *Run) timeToFullLoad(name, step string) float64 {
	from := r.at(step)
	earlierRate := float64(r.runCount(name, Window{from - 6*sec, from})) / 6
	end := time.Duration(r.Plan.DurationMS) * time.Millisecond
	for at := from + sec; at+2*sec <= end; at += sec / 2 {
		if float64(r.runCount(name, Window{at, at + 2*sec}))/2 >= fullLoadShare*earlierRate {
			return (at - from).Seconds()
		}
	}
	return -1
}

// runCount returns the number of requests that the server started in the window.
func (r *Run) runCount(name string, w Window) int {
	n := 0
	for _, s := range r.Servers {
		if s.Name != name {
			continue
		}
		for _, run := range s.Runs {
			if w.contains(time.UnixMicro(run.At).Sub(r.Start)) {
				n++
			}
		}
	}
	return n
}

// stragglers makes one of seven backend servers of a service slow.
func stragglers() Scenario {
	const slow, factor = "storefront-3", 5
	healthy, late := Window{4 * sec, 15 * sec}, Window{25 * sec, 50 * sec}
	return Scenario{
		Name: "stragglers", Example: "hanbit", Duration: 50 * sec,
		About:  "1 of 7 workers of storefront is 5 times slower from 15 s on",
		Change: limitBySlots, Load: multiplyLoad(loadScale),
		Steps: []Step{setFaultsStep(15*sec, "slow", slow, map[string]any{"slow_factor": factor})},
		Variants: []Variant{
			{Name: "none", Policy: map[string]string{"stragglers": "none"}},
			{Name: "reported", Policy: map[string]string{"stragglers": "reported"}},
			{Name: "measured", Policy: map[string]string{"stragglers": "measured"}, Chosen: true},
		},
		Measure: func(r *Run) []Row {
			keep := keepService("storefront")
			rows := r.latencyRows("healthy", healthy, keep, latencyLimit())
			rows = append(rows, r.latencyRows("10 s after the slowdown", late, keep, latencyLimit())...)
			ratio := ms(Quantile(r.Results, late, 0.99, keep)) / ms(Quantile(r.Results, healthy, 0.99, keep))
			moved := MovesBetween(r.Moves, r.Done["slow"], time.Now())
			// A server factor times slower should keep 1/factor of its shards.
			owned := ShardsBySlot(r.Moves, r.Done["slow"])[slow]
			minMoves := owned - owned/factor
			return append(rows,
				Row{Metric: "p99 10 s after, relative to healthy", Value: ratio, Limit: "1", Bound: AtMost, Target: 2},
				Row{Metric: "shards moved", Value: float64(len(moved)), Limit: fmt.Sprintf("%d", minMoves)},
				Row{Metric: "churn", Value: Churn(len(moved), minMoves), Limit: "1"},
				Row{Metric: "requests run by the slow server, last 25 s", Unit: "%", Value: r.runSharePercent(slow, "storefront", late), Limit: "0"},
			)
		},
	}
}

// runSharePercent returns the percentage of a service's runs in the window that one
// server ran.
func (r *Run) runSharePercent(name, service string, w Window) float64 {
	sum := 0
	for _, s := range r.Servers {
		if s.Service == service {
			sum += r.runCount(s.Name, w)
		}
	}
	return 100 * float64(r.runCount(name, w)) / float64(max(sum, 1))
}

// hotKeys sends most of the load to a few keys.
func hotKeys() Scenario {
	early, late := Window{2 * sec, 8 * sec}, Window{60 * sec, 75 * sec}
	singleHotKey := func(p *load.Plan) { p.HotKeys, p.HotShare = 1, 0.4 }
	return Scenario{
		Name: "hot-keys", Example: "hanbit", Duration: 75 * sec,
		About:  "60% of the load goes to 14 keys of each service from the start on; or 40% to a single key",
		Change: limitBySlots,
		Load: func(p *load.Plan) {
			multiplyLoad(loadScale)(p)
			p.Keys, p.HotKeys, p.HotShare = 2000, 14, 0.6
		},
		Variants: []Variant{
			{Name: "none", Policy: map[string]string{"hot_keys": "none"}},
			{Name: "single key", Policy: map[string]string{"hot_keys": "split"}, Load: singleHotKey},
			{Name: "split", Policy: map[string]string{"hot_keys": "split"}, Chosen: true},
		},
		Measure: func(r *Run) []Row {
			moved := MovesBetween(r.Moves, r.Start, time.Now())
			rows := []Row{
				{Metric: "imbalance of storefront, 2 to 8 s", Value: Imbalance(r.Servers, "storefront", r.Start, early), Limit: "1"},
				{Metric: "imbalance of storefront, 60 to 75 s", Value: Imbalance(r.Servers, "storefront", r.Start, late),
					Limit: "1", Bound: AtMost, Target: 1.15},
				{Metric: "imbalance of inventory, 60 to 75 s", Value: Imbalance(r.Servers, "inventory", r.Start, late),
					Limit: "1", Bound: AtMost, Target: 1.15},
				{Metric: "shards moved", Value: float64(len(moved))},
				{Metric: "keys split or merged", Value: float64(r.Splits)},
				{Metric: "requests not served, 60 to 75 s", Unit: "%", Value: r.notServedPercent(late, keepAll), Limit: "0"},
			}
			return append(rows, r.latencyRows("60 to 75 s", late, keepAll, latencyLimit())...)
		},
	}
}

// retries kills, and later freezes, a fifth of the backend servers.
func retries() Scenario {
	failingServers := []string{"cert-desk-2", "field-kit-2"}
	forEachFailing := func(do func(context.Context, *Fleet, string) error) func(context.Context, *Fleet) error {
		return func(ctx context.Context, f *Fleet) error {
			for _, name := range failingServers {
				if err := do(ctx, f, name); err != nil {
					return err
				}
			}
			return nil
		}
	}
	setFrozen := func(on bool) func(context.Context, *Fleet) error {
		return forEachFailing(func(ctx context.Context, f *Fleet, name string) error {
			return f.controlBackend(ctx, name, "PUT", "/emulate/faults", map[string]bool{"frozen": on})
		})
	}
	return Scenario{
		Name: "retries", Example: "hai-dang", Duration: 45 * sec,
		About:  "2 of 10 backend servers are killed from 10 to 20 s, and frozen from 28 to 38 s",
		Change: limitBySlots, Load: multiplyLoad(loadScale),
		Steps: []Step{
			{10 * sec, "kill", forEachFailing(func(_ context.Context, f *Fleet, name string) error { f.kill("backend-" + name); return nil })},
			{20 * sec, "restart", forEachFailing(func(_ context.Context, f *Fleet, name string) error {
				return f.start("backend-"+name, f.binaries.Tool, f.server(name).backendArgs...)
			})},
			{28 * sec, "freeze", setFrozen(true)},
			{38 * sec, "thaw", setFrozen(false)},
		},
		Variants: []Variant{
			{Name: "naive", Policy: map[string]string{"retries": "naive"}},
			{Name: "budget", Policy: map[string]string{"retries": "budget"}, Chosen: true},
		},
		Measure: func(r *Run) []Row {
			killedWindow, frozenWindow := Window{10 * sec, 20 * sec}, Window{28 * sec, 38 * sec}
			return []Row{
				{Metric: "amplification while killed", Value: r.amplification("kill", "restart"), Limit: "1", Bound: AtMost, Target: 1.1},
				{Metric: "amplification while frozen", Value: r.amplification("freeze", "thaw"), Limit: "1", Bound: AtMost, Target: 1.1},
				{Metric: "requests not served while killed", Unit: "%", Value: r.notServedPercent(killedWindow, keepAll), Limit: "0"},
				{Metric: "requests not served while frozen", Unit: "%", Value: r.notServedPercent(frozenWindow, keepAll), Limit: "0"},
				{Metric: "longest unavailable time of a key, at least", Unit: "ms", Value: r.Report.Outages.AtLeastMS,
					Limit: "0", Bound: AtMost, Target: 2000},
				{Metric: "p99 while killed", Unit: "ms", Value: ms(Quantile(r.Results, killedWindow, 0.99, keepAll)), Limit: latencyLimit()},
				{Metric: "p99 while frozen", Unit: "ms", Value: ms(Quantile(r.Results, frozenWindow, 0.99, keepAll)), Limit: latencyLimit()},
			}
		},
	}
}
