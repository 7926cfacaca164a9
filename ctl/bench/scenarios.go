package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/sesamemoor/sesamemoor/ctl/deployment"
	"github.com/sesamemoor/sesamemoor/ctl/load"
)

// Scenarios returns all scenarios in their order.
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
	// benchServiceMS is the service time of backend servers, long against the
	// time on the path, so that slots are what is short.
	benchServiceMS = 20
	// loadScale brings the example's load to where a slow, cold or hot server
	// is short of slots.
	loadScale = 2
)

func hostLimit() string { return fmt.Sprintf("%d ms service time + one hop", benchServiceMS) }

// heavy is the change of the example that most scenarios share.
func heavy(d *deployment.Deployment) {
	serviceTime(d, benchServiceMS)
	widened(d, 2*loadScale)
}

// coldStart turns a warm server cold, and replaces another by a cold one.
func coldStart() Scenario {
	const chilled, replaced = "cert-desk-2", "field-kit-2"
	const warmUp = 8 * sec
	chill := Step{At: 15 * sec, Name: "cold", Do: func(ctx context.Context, f *Fleet) error {
		return f.emulate(ctx, chilled, "POST", "/emulate/cold", nil)
	}}
	restart := Step{At: 30 * sec, Name: "restart", Do: func(_ context.Context, f *Fleet) error {
		f.kill("backend-" + replaced)
		return f.start("backend-"+replaced, f.binaries.Tool, f.server(replaced).backendArgs...)
	}}
	return Scenario{
		Name: "cold-start", Example: "hai-dang", Duration: 50 * sec, WarmUp: warmUp,
		About:  "one backend server turns cold by itself, another is replaced by a cold one",
		Change: heavy, Load: scaled(loadScale), Steps: []Step{chill, restart},
		Variants: []Variant{
			{Name: "none", Policy: map[string]string{"cold_start": "none"}},
			{Name: "ramp", Policy: map[string]string{"cold_start": "ramp"}, Chosen: true},
		},
		Measure: func(r *Run) []Row {
			shed, fell := 0, 0
			for _, st := range r.States {
				shed += st.Shed
				fell += st.FellOver
			}
			rows := []Row{
				{Metric: "requests shed by backend servers", Value: float64(shed), Limit: "0", Bound: AtMost, Target: 0},
				{Metric: "times that a cold server fell over", Value: float64(fell), Limit: "0", Bound: AtMost, Target: 0},
				{Metric: "time to full load after turning cold", Unit: "s", Value: r.fullLoad(chilled, "cold"), Limit: "8 s warm-up"},
				{Metric: "requests not served, 15 to 30 s", Unit: "%", Value: r.refused(Window{15 * sec, 30 * sec}, all), Limit: "0"},
				{Metric: "requests not served, 30 to 50 s", Unit: "%", Value: r.refused(Window{30 * sec, 50 * sec}, all), Limit: "0"},
			}
			return append(rows, r.latencies("15 to 50 s", Window{15 * sec, 50 * sec}, all, hostLimit())...)
		},
	}
}

// fullLoadShare is the part of the earlier rate that counts as full load.
const fullLoadShare = 0.8

// fullLoad returns the seconds from a step until the server runs its earlier
// rate again over two seconds, or -1.
func (r *Run) fullLoad(name, step string) float64 {
	from := r.at(step)
	before := float64(r.runs(name, Window{from - 6*sec, from})) / 6
	end := time.Duration(r.Plan.DurationMS) * time.Millisecond
	for at := from + sec; at+2*sec <= end; at += sec / 2 {
		if float64(r.runs(name, Window{at, at + 2*sec}))/2 >= fullLoadShare*before {
			return (at - from).Seconds()
		}
	}
	return -1
}

// runs returns how many requests the server started in the window.
func (r *Run) runs(name string, w Window) int {
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

// stragglers slows one worker of seven.
func stragglers() Scenario {
	const slow, factor = "storefront-3", 5
	healthy, late := Window{4 * sec, 15 * sec}, Window{25 * sec, 50 * sec}
	return Scenario{
		Name: "stragglers", Example: "hanbit", Duration: 50 * sec,
		About:  "1 of 7 workers of storefront is 5 times slower from 15 s on",
		Change: heavy, Load: scaled(loadScale),
		Steps: []Step{set(15*sec, "slow", slow, map[string]any{"slow_factor": factor})},
		Variants: []Variant{
			{Name: "none", Policy: map[string]string{"stragglers": "none"}},
			{Name: "reported", Policy: map[string]string{"stragglers": "reported"}},
			{Name: "measured", Policy: map[string]string{"stragglers": "measured"}, Chosen: true},
		},
		Measure: func(r *Run) []Row {
			keep := ofService("storefront")
			rows := r.latencies("healthy", healthy, keep, hostLimit())
			rows = append(rows, r.latencies("10 s after the slowdown", late, keep, hostLimit())...)
			ratio := ms(Quantile(r.Results, late, 0.99, keep)) / ms(Quantile(r.Results, healthy, 0.99, keep))
			moved := Moved(r.Moves, r.Done["slow"], time.Now())
			owned := Owned(r.Moves, r.Done["slow"])[slow]
			least := owned - owned/factor
			return append(rows,
				Row{Metric: "p99 10 s after, relative to healthy", Value: ratio, Limit: "1", Bound: AtMost, Target: 2},
				Row{Metric: "shards moved", Value: float64(len(moved)), Limit: fmt.Sprintf("%d", least)},
				Row{Metric: "churn", Value: Churn(len(moved), least), Limit: "1"},
				Row{Metric: "requests run by the slow server, last 25 s", Unit: "%", Value: r.share(slow, "storefront", late), Limit: "0"},
			)
		},
	}
}

// share returns the part of a service's runs that one server ran, in percent.
func (r *Run) share(name, service string, w Window) float64 {
	sum := 0
	for _, s := range r.Servers {
		if s.Service == service {
			sum += r.runs(s.Name, w)
		}
	}
	return 100 * float64(r.runs(name, w)) / float64(max(sum, 1))
}

// hotKeys puts most of the load on a few keys.
func hotKeys() Scenario {
	early, late := Window{2 * sec, 8 * sec}, Window{60 * sec, 75 * sec}
	single := func(p *load.Plan) { p.HotKeys, p.HotShare = 1, 0.4 }
	return Scenario{
		Name: "hot-keys", Example: "hanbit", Duration: 75 * sec,
		About:  "60% of the load goes to 14 keys of each service from the start on; or 40% to a single key",
		Change: heavy,
		Load: func(p *load.Plan) {
			scaled(loadScale)(p)
			p.Keys, p.HotKeys, p.HotShare = 2000, 14, 0.6
		},
		Variants: []Variant{
			{Name: "none", Policy: map[string]string{"hot_keys": "none"}},
			{Name: "single key", Policy: map[string]string{"hot_keys": "split"}, Load: single},
			{Name: "split", Policy: map[string]string{"hot_keys": "split"}, Chosen: true},
		},
		Measure: func(r *Run) []Row {
			moved := Moved(r.Moves, r.Start, time.Now())
			rows := []Row{
				{Metric: "imbalance of storefront, 2 to 8 s", Value: Imbalance(r.Servers, "storefront", r.Start, early), Limit: "1"},
				{Metric: "imbalance of storefront, 60 to 75 s", Value: Imbalance(r.Servers, "storefront", r.Start, late),
					Limit: "1", Bound: AtMost, Target: 1.15},
				{Metric: "imbalance of inventory, 60 to 75 s", Value: Imbalance(r.Servers, "inventory", r.Start, late),
					Limit: "1", Bound: AtMost, Target: 1.15},
				{Metric: "shards moved", Value: float64(len(moved))},
				{Metric: "keys split or merged", Value: float64(r.Splits)},
				{Metric: "requests not served, 60 to 75 s", Unit: "%", Value: r.refused(late, all), Limit: "0"},
			}
			return append(rows, r.latencies("60 to 75 s", late, all, hostLimit())...)
		},
	}
}

// retries makes a fifth of the backend servers fail in two ways.
func retries() Scenario {
	victims := []string{"cert-desk-2", "field-kit-2"}
	each := func(do func(context.Context, *Fleet, string) error) func(context.Context, *Fleet) error {
		return func(ctx context.Context, f *Fleet) error {
			for _, v := range victims {
				if err := do(ctx, f, v); err != nil {
					return err
				}
			}
			return nil
		}
	}
	frozen := func(on bool) func(context.Context, *Fleet) error {
		return each(func(ctx context.Context, f *Fleet, v string) error {
			return f.emulate(ctx, v, "PUT", "/emulate/faults", map[string]bool{"frozen": on})
		})
	}
	return Scenario{
		Name: "retries", Example: "hai-dang", Duration: 45 * sec,
		About:  "2 of 10 backend servers are killed from 10 to 20 s, and frozen from 28 to 38 s",
		Change: heavy, Load: scaled(loadScale),
		Steps: []Step{
			{10 * sec, "kill", each(func(_ context.Context, f *Fleet, v string) error { f.kill("backend-" + v); return nil })},
			{20 * sec, "restart", each(func(_ context.Context, f *Fleet, v string) error {
				return f.start("backend-"+v, f.binaries.Tool, f.server(v).backendArgs...)
			})},
			{28 * sec, "freeze", frozen(true)},
			{38 * sec, "thaw", frozen(false)},
		},
		Variants: []Variant{
			{Name: "naive", Policy: map[string]string{"retries": "naive"}},
			{Name: "budget", Policy: map[string]string{"retries": "budget"}, Chosen: true},
		},
		Measure: func(r *Run) []Row {
			killed, froze := Window{10 * sec, 20 * sec}, Window{28 * sec, 38 * sec}
			return []Row{
				{Metric: "amplification while killed", Value: r.amplification("kill", "restart"), Limit: "1", Bound: AtMost, Target: 1.1},
				{Metric: "amplification while frozen", Value: r.amplification("freeze", "thaw"), Limit: "1", Bound: AtMost, Target: 1.1},
				{Metric: "requests not served while killed", Unit: "%", Value: r.refused(killed, all), Limit: "0"},
				{Metric: "requests not served while frozen", Unit: "%", Value: r.refused(froze, all), Limit: "0"},
				{Metric: "longest unavailable time of a key, at least", Unit: "ms", Value: r.Report.Outages.AtLeastMS,
					Limit: "0", Bound: AtMost, Target: 2000},
				{Metric: "p99 while killed", Unit: "ms", Value: ms(Quantile(r.Results, killed, 0.99, all)), Limit: hostLimit()},
				{Metric: "p99 while frozen", Unit: "ms", Value: ms(Quantile(r.Results, froze, 0.99, all)), Limit: hostLimit()},
			}
		},
	}
}
