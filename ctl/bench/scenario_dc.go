package bench

import (
	"context"
	"fmt"
	"time"
)

// Instants of the data centre scenario.
const (
	outAt  = 12 * sec
	backAt = 27 * sec
)

// dataCentre takes a data centre out and returns it, by order and by loss.
func dataCentre() Scenario {
	const name = "vungtau"
	planned := []Step{
		{outAt, "out", func(ctx context.Context, f *Fleet) error { return f.setOut(ctx, name, true) }},
		{backAt, "back", func(ctx context.Context, f *Fleet) error { return f.setOut(ctx, name, false) }},
	}
	killed := []Step{
		{outAt, "out", func(_ context.Context, f *Fleet) error {
			for _, s := range f.in(name) {
				f.kill("daemon-" + s.name)
				f.kill("backend-" + s.name)
			}
			return nil
		}},
		{backAt, "back", func(_ context.Context, f *Fleet) error {
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
		Change: heavy, Load: scaled(loadScale),
		Variants: []Variant{
			{Name: "killed, naive", Policy: naive, Steps: killed},
			{Name: "killed", Steps: killed, Chosen: true},
			{Name: "planned, naive", Policy: naive, Steps: planned},
			{Name: "planned", Steps: planned, Chosen: true},
		},
		Measure: func(r *Run) []Row { return measureDataCentre(r, name) },
	}
}

func measureDataCentre(r *Run, name string) []Row {
	gone, back, end := r.Done["out"], r.Done["back"], time.Now()
	left, returned := Moved(r.Moves, gone, back), Moved(r.Moves, back, end)
	owned, total := 0, 0
	for slot, n := range Owned(r.Moves, gone) {
		total += n
		if r.Fleet.server(slot).dataCentre == name {
			owned += n
		}
	}
	fair := total * len(r.Fleet.in(name)) / len(r.Fleet.servers)
	outage := r.Report.Outages
	out, in := Window{outAt, backAt}, Window{backAt, 50 * sec}
	rows := []Row{
		{Metric: "longest unavailable time of a key, at least", Unit: "ms", Value: outage.AtLeastMS, Limit: "0", Bound: AtMost, Target: 2000},
		{Metric: "longest unavailable time of a key, at most", Unit: "ms", Value: outage.AtMostMS, Limit: "0"},
		{Metric: "keys unavailable at some time", Value: float64(outage.Keys), Limit: "0"},
		{Metric: "requests not served while out", Unit: "%", Value: r.refused(out, all), Limit: "0"},
		{Metric: "requests not served after the return", Unit: "%", Value: r.refused(in, all), Limit: "0"},
		{Metric: "time until no new work", Unit: "s", Value: r.lastWork(name, out) - outAt.Seconds(), Limit: "0", Bound: AtMost, Target: 5},
		{Metric: "time until the last move after the return", Unit: "s", Value: lastMove(returned, back)},
		{Metric: "churn of leaving", Value: Churn(len(left), owned), Limit: fmt.Sprintf("1 (%d shards)", owned)},
		{Metric: "churn of returning", Value: Churn(len(returned), fair), Limit: fmt.Sprintf("1 (%d shards)", fair)},
		{Metric: "imbalance of cert-desk, last 10 s", Value: Imbalance(r.Servers, "cert-desk", r.Start, Window{40 * sec, 50 * sec}), Limit: "1"},
	}
	rows = append(rows, r.latencies("while out", out, all, hostLimit())...)
	return append(rows, r.latencies("after the return", in, all, hostLimit())...)
}

// lastWork returns when a server of the data centre last started a request in
// the window, in seconds since the start of the load; the window's start if
// none did. Servers that were killed tell nothing of their runs before.
func (r *Run) lastWork(dataCentre string, w Window) float64 {
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

// lastMove returns the seconds from an instant to the last of the moves.
func lastMove(moves []Move, from time.Time) float64 {
	last := from
	for _, m := range moves {
		if m.At.After(last) {
			last = m.At
		}
	}
	return last.Sub(from).Seconds()
}
