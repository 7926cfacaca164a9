package load

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sesamemoor/sesamemoor/core/outcome"
)

// Report is what one run measured.
type Report struct {
	Seed        uint64         `json:"seed"`
	DurationMS  int64          `json:"duration_ms"`
	Outcomes    map[string]int `json:"outcomes"`
	Teams       []TeamReport   `json:"teams"`
	WorstServed string         `json:"worst_served_team"`
	Outages     OutageReport   `json:"unavailable"`
	Audit       Audit          `json:"audit"`

	timeline []second
}

// TeamReport is one team's share of a run. Latencies are of answered requests,
// from the intended send time, in milliseconds.
type TeamReport struct {
	Team              string  `json:"team"`
	Requests          int     `json:"requests"`
	OK                int     `json:"ok"`
	Share             float64 `json:"ok_share"`
	RateLimited       int     `json:"rate_limited"`
	RefusedWithinRate int     `json:"refused_within_rate"` // by the limiter, beyond those that one global bucket refuses
	Refused           int     `json:"refused_otherwise"`
	P50MS             float64 `json:"p50_ms"`
	P99MS             float64 `json:"p99_ms"`
	P999MS            float64 `json:"p999_ms"`
	MaxMS             float64 `json:"max_ms"`
}

// Range and precision of latency histograms.
const (
	lowestLatencyUS  = 1
	highestLatencyUS = int64(time.Minute / time.Microsecond)
	latencyDigits    = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatencyUS, highestLatencyUS, latencyDigits)
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	us := min(max(d.Microseconds(), lowestLatencyUS), highestLatencyUS)
	_ = h.RecordValue(us) // within range
}

func quantileMS(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtPercentile(percent)) / 1000
}

// NewReport summarises the results of a plan.
func NewReport(p Plan, results []Result, audit Audit) Report {
	slices.SortFunc(results, func(a, b Result) int { return cmp.Compare(a.At, b.At) })
	rep := Report{
		Seed: p.Seed, DurationMS: p.DurationMS, Outcomes: map[string]int{},
		Audit: audit, Outages: outages(results), timeline: timeline(p, results),
	}
	for _, r := range results {
		rep.Outcomes[r.Outcome]++
	}
	for i := range p.Teams {
		rep.Teams = append(rep.Teams, teamReport(p.Teams[i], i, results))
	}
	if len(rep.Teams) > 0 {
		rep.WorstServed = slices.MinFunc(rep.Teams, worse).Team
	}
	return rep
}

// worse orders teams by service, the worst first.
func worse(a, b TeamReport) int {
	if c := cmp.Compare(a.fairShare(), b.fairShare()); c != 0 {
		return c
	}
	return cmp.Compare(b.P99MS, a.P99MS)
}

// fairShare is the share served of what the team's own limit allows.
func (t TeamReport) fairShare() float64 {
	within := t.Requests - (t.RateLimited - t.RefusedWithinRate)
	if within <= 0 {
		return 1
	}
	return float64(t.OK) / float64(within)
}

// limiterRefusals are the outcomes by which the team limiter refuses.
var limiterRefusals = map[string]bool{
	outcome.RateLimited.String(): true, outcome.KeeperUnavailable.String(): true,
}

func teamReport(t Team, index int, results []Result) TeamReport {
	rep := TeamReport{Team: t.Name}
	hist := newHistogram()
	ideal := newIdealBucket(t.Limit, t.Burst)
	unavoidable := 0
	for _, r := range results {
		if r.Team != index {
			continue
		}
		rep.Requests++
		if !ideal.take(r.At) {
			unavoidable++
		}
		switch {
		case r.Outcome == outcomeOK:
			rep.OK++
			recordLatency(hist, r.Latency)
		case limiterRefusals[r.Outcome]:
			rep.RateLimited++
		default:
			rep.Refused++
		}
	}
	rep.RefusedWithinRate = max(0, rep.RateLimited-unavoidable)
	if rep.Requests > 0 {
		rep.Share = float64(rep.OK) / float64(rep.Requests)
	}
	rep.P50MS = quantileMS(hist, 50)
	rep.P99MS = quantileMS(hist, 99)
	rep.P999MS = quantileMS(hist, 99.9)
	rep.MaxMS = float64(hist.Max()) / 1000
	return rep
}

// idealBucket is a single global token bucket, the best that a limiter can do.
type idealBucket struct {
	rate, burst, tokens float64
	last                time.Duration
}

func newIdealBucket(rate, burst float64) *idealBucket {
	return &idealBucket{rate: rate, burst: burst, tokens: burst}
}

// take reports whether the bucket lets a request pass at an instant. Without a
// known limit it refuses nothing that the limiter refuses, so take is false.
func (b *idealBucket) take(at time.Duration) bool {
	if b.rate == 0 {
		return false
	}
	b.tokens = min(b.burst, b.tokens+b.rate*(at-b.last).Seconds())
	b.last = at
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// WriteText writes the report as tables.
func (r Report) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "team\trequests\tok\tok %\tover rate\twithin rate\tother\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\t")
	for _, t := range r.Teams {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%.2f\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n", t.Team, t.Requests, t.OK, 100*t.Share,
			t.RateLimited-t.RefusedWithinRate, t.RefusedWithinRate, t.Refused, t.P50MS, t.P99MS, t.P999MS, t.MaxMS)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "worst-served team: %s\n\n", r.WorstServed)
	out := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(out, "outcome\trequests")
	for _, name := range slices.Sorted(maps.Keys(r.Outcomes)) {
		fmt.Fprintf(out, "%s\t%d\n", name, r.Outcomes[name])
	}
	r.Outages.write(out)
	r.Audit.write(out)
	return out.Flush()
}

func (a Audit) write(w io.Writer) {
	rows := []struct {
		name  string
		count int
	}{
		{"requests", a.Requests}, {"answered ran", a.Ran}, {"answered not run", a.NotRun},
		{"answered may have run", a.MayHaveRun}, {"without a claim", a.Unclear},
		{"sent again under their ids", a.Resent},
		{"double runs of non-idempotent requests", a.DoubleRuns}, {"false \"not run\"", a.FalseNotRun},
		{"false \"ran\"", a.FalseRan}, {"wrong answers", a.WrongAnswers}, {"runs for the wrong team", a.WrongTeam},
		{"caller keys seen by backend servers", a.KeysSeen}, {"backend servers asked", a.BackendsAsked},
		{"backend servers without an answer", a.BackendsSilent},
	}
	fmt.Fprintln(w, "\naudit\tcount")
	for _, row := range rows {
		fmt.Fprintf(w, "%s\t%d\n", row.name, row.count)
	}
	for _, example := range a.Examples {
		fmt.Fprintln(w, "  "+example)
	}
}
