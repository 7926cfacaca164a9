package bench

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/sesamemoor/sesamemoor/ctl/load"
)

// Report holds the results of a scenario.
type Report struct {
	Scenario    string          `json:"scenario"`
	About       string          `json:"about"`
	Seed        uint64          `json:"seed"`
	Started     time.Time       `json:"started"`
	LoadAverage string          `json:"load_average"` // of the host at the start
	Variants    []VariantReport `json:"variants"`
	Compared    []Row           `json:"compared,omitempty"`

	series map[string][]float64 // p99 latency in ms by second of the load, by variant
}

// VariantReport holds the results of one variant.
type VariantReport struct {
	Name     string      `json:"name"`
	Chosen   bool        `json:"chosen"`       // not a baseline
	HostLoad string      `json:"load_average"` // of the host at the start
	Rows     []Row       `json:"rows"`
	Load     load.Report `json:"load"`
}

// commonRows returns the rows that every scenario reports for each variant.
func commonRows(r *Run) []Row {
	a := r.Report.Audit
	faults := a.Unclear + a.DoubleRuns + a.FalseNotRun + a.FalseRan + a.WrongAnswers + a.WrongTeam + a.KeysSeen
	return []Row{
		{Metric: "requests sent", Value: float64(a.Requests)},
		{Metric: "requests with a fault in the audit", Value: float64(faults), Limit: "0", Bound: AtMost, Target: 0},
	}
}

// add appends the results of a run to the report.
func (rep *Report) add(r *Run, chosen bool, rows []Row) {
	rep.Variants = append(rep.Variants, VariantReport{Name: r.Variant, Chosen: chosen, HostLoad: r.HostLoad, Rows: append(rows, commonRows(r)...), Load: r.Report})
	if rep.series == nil {
		rep.series = map[string][]float64{}
	}
	for at := time.Duration(0); at < time.Duration(r.Plan.DurationMS)*time.Millisecond; at += time.Second {
		p99 := Quantile(r.Results, Window{at, at + time.Second}, 0.99, keepAll)
		rep.series[r.Variant] = append(rep.series[r.Variant], ms(p99))
	}
}

// Missed returns the rows of chosen variants and of the comparison that miss their
// targets.
func (rep Report) Missed() []Row {
	rows := rep.Compared
	for _, v := range rep.Variants {
		if v.Chosen {
			rows = append(rows[:len(rows):len(rows)], v.Rows...)
		}
	}
	var missed []Row
	for _, r := range rows {
		if !r.Met() {
			missed = append(missed, r)
		}
	}
	return missed
}

// WriteText writes the report as a table with a column for each variant.
func (rep Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "%s: %s\nseed %d, load average at the start %s\n", rep.Scenario, rep.About, rep.Seed, rep.LoadAverage)
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprint(tw, "figure\t")
	for _, v := range rep.Variants {
		fmt.Fprint(tw, v.Name, "\t")
	}
	fmt.Fprintln(tw, "limit\ttarget\t")
	fmt.Fprint(tw, "load average of the host\t")
	for _, v := range rep.Variants {
		fmt.Fprint(tw, strings.Fields(v.HostLoad + " -")[0], "\t")
	}
	fmt.Fprintln(tw, "\t\t")
	for _, metric := range rep.metrics() {
		rep.writeMetric(tw, metric)
	}
	for _, row := range rep.Compared {
		fmt.Fprintf(tw, "%s\t%s%s%s\t%s\t\n", row.Metric, strings.Repeat("\t", max(0, len(rep.Variants)-1)), figure(row),
			"\t"+row.Limit, target(row))
	}
	return tw.Flush()
}

// metrics returns the distinct metric names in the order of first use.
func (rep Report) metrics() []string {
	var names []string
	seen := map[string]bool{}
	for _, v := range rep.Variants {
		for _, row := range v.Rows {
			if !seen[row.Metric] {
				seen[row.Metric] = true
				names = append(names, row.Metric)
			}
		}
	}
	return names
}

// writeMetric writes the table line of a metric.
func (rep Report) writeMetric(w io.Writer, metric string) {
	fmt.Fprint(w, metric, "\t")
	last := Row{}
	for _, v := range rep.Variants {
		cell := "-"
		for _, row := range v.Rows {
			if row.Metric == metric {
				cell = figure(row)
				last = row
			}
		}
		fmt.Fprint(w, cell, "\t")
	}
	fmt.Fprintf(w, "%s\t%s\t\n", last.Limit, target(last))
}

// figure formats the value of a row and marks a missed target.
func figure(r Row) string {
	text := strings.TrimSpace(fmt.Sprintf("%.4g %s", r.Value, r.Unit))
	if !r.Met() {
		text += " (missed)"
	}
	return text
}

// target formats the target of a row; it is empty without one.
func target(r Row) string {
	if r.Bound == NoBound {
		return ""
	}
	return strings.TrimSpace(fmt.Sprintf("%s %.4g %s", r.Bound, r.Target, r.Unit))
}

// write writes report.json, report.txt and the plots to dir.
func (rep Report) write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := writeJSON(filepath.Join(dir, "report.json"), rep); err != nil {
		return err
	}
	text, err := os.Create(filepath.Join(dir, "report.txt"))
	if err != nil {
		return err
	}
	defer text.Close()
	if err := rep.WriteText(text); err != nil {
		return err
	}
	var curves []load.Curve
	for _, v := range rep.Variants {
		curves = append(curves, load.Curve{Name: v.Name, Y: rep.series[v.Name]})
		sub := filepath.Join(dir, v.Name)
		if err := v.Load.WritePlots(sub); err != nil {
			return err
		}
	}
	return load.DrawPlot(filepath.Join(dir, "p99.png"), rep.Scenario+": p99 from the intended send time", "ms", curves)
}

// loadAverage returns the host's load averages, or "unknown".
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	fields := strings.Fields(string(data))
	return strings.Join(fields[:min(3, len(fields))], " ")
}
