package bench

import (
	"context"
	"fmt"
	"time"
)

// Times of the steps of the data centre scenario, since the start of the load.
const (
	outAt    = 12 * sec
	returnAt = 27 * sec
)

// dataCentre takes a data centre out of service and returns it: by an operator's
// order in the planned variants, by killing its processes in the killed variants.
func dataCentre() Scenario {
	const name = "vungtau"
	planned := []Step{
		{outAt, "out", func(ctx context.Context, f *Fleet) error { return f.setDataCentreOut(ctx, name, true) }},
		{returnAt, "back", func(ctx context.Context, f *Fleet) error { return f.setDataCentreOut(ctx, name, false) }},
	}
	killed := []Step{
		{outAt, "out", func(_ context.Context, f *Fleet) error {
			for _, s := range f.in(name) {
				f.kill("daemon-" + s.name)
				f.kill("backend-" + s.name)
			}
			return nil
		}},
		{returnAt, "back", func(_ context.Context, f *Fleet) error {
			for _, s := range f.in(name) {
				if err := f.startServer(s); err != nil {
					return err
				}
			}
			return nil
		}},
	}
	naive := map[string]string{"retries": "naive", "stragglers": "none", "hot_keys": "none"}
	return Scenario{
		Name: "data-centre", Example: "hai-dang", Duration: 50 * sec,
		About:  "data centre vungtau is out from 12 to 27 s: by order, or by kill of its processes",
		Change: limitBySlots, Load: multiplyLoad(loadScale),
		Variants: []Variant{
			{Name: "killed, naive", Policy: naive, Steps: killed},
			{Name: "killed", Steps: killed, Chosen: true},
			{Name: "planned, naive", Policy: naive, Steps: planned},
			{Name: "planned", Steps: planned, Chosen: true},
		},
		Measure: func(r *Run) []Row { return measureDataCentre(r, name) },
	}
}

// measureDataCentre returns the rows of one run of the data centre scenario. Churn
// is relative to the shards that the data centre owned before it was out, and to
// its share by number of servers after its return.
func measureDataCentre(r *Run, name string) []Row {
	removed, rejoined, end := r.Done["out"], r.Done["back"], time.Now()
	movesOut, movesBack := MovesBetween(r.Moves, removed, rejoined), MovesBetween(r.Moves, rejoined, end)
	owned, total := 0, 0
	for slot, n := range ShardsBySlot(r.Moves, removed) {
		total += n
		if r.Fleet.server(slot).dataCentre == name {
			owned += n
		}
	}
	fairCount := total * len(r.Fleet.in(name)) / len(r.Fleet.servers)
	outage := r.Report.Outages
	out, in := Window{outAt, returnAt}, Window{returnAt, 50 * sec}
	rows := []Row{
		{Metric: "longest unavailable time of a key, at least", Unit: "ms", Value: outage.AtLeastMS, Limit: "0", Bound: AtMost, Target: 2000},
		{Metric: "longest unavailable time of a key, at most", Unit: "ms", Value: outage.AtMostMS, Limit: "0"},
		{Metric: "keys unavailable at some time", Value: float64(outage.Keys), Limit: "0"},
		{Metric: "requests not served while out", Unit: "%", Value: r.notServedPercent(out, keepAll), Limit: "0"},
		{Metric: "requests not served after the return", Unit: "%", Value: r.notServedPercent(in, keepAll), Limit: "0"},
		{Metric: "time until no new work", Unit: "s", Value: r.lastRequestStart(name, out) - outAt.Seconds(), Limit: "0", Bound: AtMost, Target: 5},
		{Metric: "time until the last move after the return", Unit: "s", Value: secondsToLastMove(movesBack, rejoined)},
		{Metric: "churn of leaving", Value: Churn(len(movesOut), owned), Limit: fmt.Sprintf("1 (%d shards)", owned)},
		{Metric: "churn of returning", Value: Churn(len(movesBack), fairCount), Limit: fmt.Sprintf("1 (%d shards)", fairCount)},
		{Metric: "imbalance of cert-desk, last 10 s", Value: Imbalance(r.Servers, "cert-desk", r.Start, Window{40 * sec, 50 * sec}), Limit: "1"},
	}
	rows = append(rows, r.latencyRows("while out", out, keepAll, latencyLimit())...)
	return append(rows, r.latencyRows("after the return", in, keepAll, latencyLimit())...)
}

// lastRequestStart returns the time of the last request that a server of the data
// centre started in the window, in seconds since the start of the load. It is the
// start of the window if there is none. The run list of a server that was killed
// lacks the runs before its restart.
func (r *Run) lastRequestStart(dataCentre string, w Window) float64 {
	last := w.From
	for _, s := range r.Servers {
		if s.DataCentre != dataCentre {
			continue
		}
		for _, run := range s.Runs {
			if at := time.UnixMicro(run.At).Sub(r.Start); w.contains(at) {
				last = max(last, at)
			}
		}
	}
	return last.Seconds()
}

// secondsToLastMove returns the seconds from a point in time to the last move, or 0
// without moves.
func secondsToLastMove(moves []Move, from time.Time) float64 {
	last := from
	for _, m := range moves {
		if m.At.After(last) {
			last = m.At
		}
	}
	return last.Sub(from).Seconds()
}
