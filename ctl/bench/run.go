package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"slices"
	"time"

	"github.com/sesamemoor/sesamemoor/ctl/deployment"
	"github.com/sesamemoor/sesamemoor/ctl/load"
)

// Options apply to all scenarios and variants.
type Options struct {
	Seed     uint64
	BasePort int
	Examples string // directory of the example deployments
	Out      string // directory for settings, logs, reports and plots
	Binaries Binaries
	Duration time.Duration // replaces the scenario's; 0 keeps it
	Progress io.Writer     // receives progress lines
}

// progressInterval is the interval between progress lines.
const progressInterval = time.Second

// RunScenario runs the variants of the scenario one after the other and writes the
// report to a directory of the scenario's name in Options.Out.
func RunScenario(ctx context.Context, s Scenario, o Options) (Report, error) {
	rep := Report{Scenario: s.Name, About: s.About, Seed: o.Seed, LoadAverage: loadAverage(), Started: time.Now().UTC()}
	if o.Duration > 0 {
		s.Duration = o.Duration
	}
	runs := map[string]*Run{}
	for _, v := range s.Variants {
		run, err := runVariant(ctx, s, v, o)
		if err != nil {
			return rep, fmt.Errorf("bench: %s, %s: %w", s.Name, v.Name, err)
		}
		runs[v.Name] = run
		rep.add(run, v.Chosen, s.Measure(run))
	}
	if s.Compare != nil {
		rep.Compared = s.Compare(runs)
	}
	return rep, rep.write(filepath.Join(o.Out, s.Name))
}

// runVariant starts a fleet, sends the load with the steps, and collects the
// results.
func runVariant(ctx context.Context, s Scenario, v Variant, o Options) (*Run, error) {
	fmt.Fprintf(o.Progress, "%s, %s: starting the fleet\n", s.Name, v.Name)
	fleet, err := StartFleet(ctx, FleetOptions{
		Example: filepath.Join(o.Examples, s.Example), Dir: filepath.Join(o.Out, s.Name, v.Name), BasePort: o.BasePort,
		Policy: v.Policy, Change: chain(s.Change, v.Change), WarmUp: s.WarmUp, Binaries: o.Binaries,
	})
	defer fleet.Stop()
	if err != nil {
		return nil, err
	}
	if err := waitWarm(ctx, s.WarmUp); err != nil {
		return nil, err
	}
	run := &Run{Variant: v.Name, HostLoad: loadAverage(), Fleet: fleet, Plan: plan(fleet, s, v, o), Done: map[string]time.Time{}, Counts: map[string]Counts{}}
	if err := run.Plan.Check(); err != nil {
		return nil, err
	}
	steps := s.Steps
	if v.Steps != nil {
		steps = v.Steps
	}
	if err := run.send(ctx, steps, o.Progress, s.Name+", "+v.Name); err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return run, run.collect(ctx)
}

// chain returns a function that applies two changes, either of which may be nil.
func chain(first, second func(*deployment.Deployment)) func(*deployment.Deployment) {
	return func(d *deployment.Deployment) {
		for _, change := range []func(*deployment.Deployment){first, second} {
			if change != nil {
				change(d)
			}
		}
	}
}

// waitWarm waits for the warm-up time of backend servers that started together.
func waitWarm(ctx context.Context, warmUp time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(warmUp):
		return nil
	}
}

// plan returns the load plan of a variant. The load has neither skewed nor
// changing hot keys, unless the scenario or the variant sets them.
func plan(f *Fleet, s Scenario, v Variant, o Options) load.Plan {
	p := f.plan
	p.Teams = slices.Clone(p.Teams)
	p.Seed = o.Seed
	p.DurationMS = s.Duration.Milliseconds()
	p.Skew = 0
	p.HotKeyChangeMS = 0
	for _, change := range []func(*load.Plan){s.Load, v.Load} {
		if change != nil {
			change(&p)
		}
	}
	return p
}

// send sends the load while runSteps runs. A step that fails stops the load.
func (r *Run) send(ctx context.Context, steps []Step, progress io.Writer, label string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sender := load.NewSender(r.Plan)
	stop := make(chan struct{})
	go showProgress(sender, r.Plan, label, progress, stop)
	defer close(stop)
	r.Start = time.Now()
	stepsDone := make(chan error, 1)
	go func() {
		err := r.runSteps(ctx, steps)
		if err != nil {
			cancel()
		}
		stepsDone <- err
	}()
	r.Results = sender.Run(ctx)
	cancel()
	return <-stepsDone
}

// runSteps runs the steps at their times. It skips the remaining steps when ctx ends.
func (r *Run) runSteps(ctx context.Context, steps []Step) error {
	for _, step := range steps {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Until(r.Start.Add(step.At))):
		}
		r.recordCounters(context.WithoutCancel(ctx), step.Name)
		r.Done[step.Name] = time.Now()
		if err := step.Do(context.WithoutCancel(ctx), r.Fleet); err != nil {
			return fmt.Errorf("%s: %w", step.Name, err)
		}
	}
	return nil
}

// showProgress rewrites a progress line every progressInterval until stop closes.
func showProgress(s *load.Sender, p load.Plan, label string, w io.Writer, stop <-chan struct{}) {
	start := time.Now()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			fmt.Fprintln(w)
			return
		case <-ticker.C:
		}
		n := s.Counts()
		fmt.Fprintf(w, "\r%s: %.0f of %d s, %d sent, %d ok, %d in flight  ", label, time.Since(start).Seconds(),
			p.DurationMS/1000, n.Sent, n.OK, n.Sent-n.Answered)
	}
}

// collect reads the records of backend servers, daemons and the placement stream.
// A backend server that was killed lost its earlier runs, so its run list counts
// as incomplete.
func (r *Run) collect(ctx context.Context) error {
	var runs []load.Run
	r.States = map[string]ServerState{}
	for _, s := range r.Fleet.servers {
		base := "http://" + s.addr
		list, incomplete := load.FetchRuns(ctx, []string{base})
		if r.Fleet.killedNames["backend-"+s.name] {
			incomplete = 1
		}
		r.IncompleteServers += incomplete
		runs = append(runs, list...)
		r.Servers = append(r.Servers, ServerRuns{Name: s.name, Service: s.service, DataCentre: s.dataCentre, Runs: list})
		r.States[s.name] = r.Fleet.serverState(ctx, s)
	}
	audit := load.NewAudit(r.Plan, r.Results, runs, len(r.Fleet.servers), r.IncompleteServers)
	r.Report = load.NewReport(r.Plan, r.Results, audit)
	records := r.Fleet.placement.read()
	r.Moves = Moves(records, r.Fleet.shardCounts())
	r.Splits = countSplits(records, r.Start)
	r.recordCounters(ctx, "")
	return nil
}

// recordCounters records the daemons' counters under the name of a step.
func (r *Run) recordCounters(ctx context.Context, step string) {
	r.Counts[step] = Counts{
		Requests: r.Fleet.counterTotal(ctx, counterRequests), Retries: r.Fleet.counterTotal(ctx, counterRetries),
	}
}

// serverState returns the state of a backend server, or the zero value if it does
// not respond.
func (f *Fleet) serverState(ctx context.Context, s server) ServerState {
	var st ServerState
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.addr+"/emulate/state", nil)
	if err != nil {
		return st
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return st
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&st)
	return st
}
