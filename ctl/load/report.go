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

// Report summarises one load run.
type Report struct {
	Seed        uint64         `json:"seed"`
	DurationMS  int64          `json:"duration_ms"`
	Outcomes    map[string]int `json:"outcomes"`
	Teams       []TeamReport   `json:"teams"`
	WorstServed string         `json:"worst_served_team"`
	Outages     OutageReport   `json:"unavailable"`
	Audit       Audit          `json:"audit"`

	timeline []secondStats
}

// TeamReport summarises the requests of one team. Latencies are those of
// requests with the outcome ok, from the intended send time, in milliseconds.
type TeamReport struct {
	Team              string  `json:"team"`
	Requests          int     `json:"requests"`
	OK                int     `json:"ok"`
	OKShare           float64 `json:"ok_share"`            // fraction of Requests
	RateLimited       int     `json:"rate_limited"`        // refused by the team limiter
	RefusedWithinRate int     `json:"refused_within_rate"` // limiter refusals beyond those of one global token bucket
	Refused           int     `json:"refused_otherwise"`   // any other outcome
	P50MS             float64 `json:"p50_ms"`
	P99MS             float64 `json:"p99_ms"`
	P999MS            float64 `json:"p999_ms"`
	MaxMS             float64 `json:"max_ms"`
}

// Range, in microseconds, and significant digits of latency histograms.
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
	_ = h.RecordValue(us) // cannot fail: us is within the range
}

func quantileMS(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtPercentile(percent)) / 1000
}

// NewReport summarises the results of a plan. It sorts results by send time.
func NewReport(p Plan, results []Result, audit Audit) Report {
	slices.SortFunc(results, func(a, b Result) int { return cmp.Compare(a.At, b.At) })
	rep := Report{
		Seed: p.Seed, DurationMS: p.DurationMS, Outcomes: map[string]int{},
		Audit: audit, Outages: findOutages(results), timeline: timeline(p, results),
	}
	for _, r := range results {
		rep.Outcomes[r.Outcome]++
	}
	for i := range p.Teams {
		rep.Teams = append(rep.Teams, teamReport(p.Teams[i], i, results))
	}
	if len(rep.Teams) > 0 {
		rep.WorstServed = slices.MinFunc(rep.Teams, compareTeams).Team
	}
	return rep
}

// compareTeams orders teams from the worst served to the best: by
// shareOfAllowed, then by p99 latency.
func compareTeams(a, b TeamReport) int {
	if c := cmp.Compare(a.shareOfAllowed(), b.shareOfAllowed()); c != 0 {
		return c
	}
	return cmp.Compare(b.P99MS, a.P99MS)
}

// shareOfAllowed returns the served fraction of the requests that the team's
// limit allows. It is 1 if the limit allows none.
func (t TeamReport) shareOfAllowed() float64 {
	allowed := t.Requests - (t.RateLimited - t.RefusedWithinRate)
	if allowed <= 0 {
		return 1
	}
	return float64(t.OK) / float64(allowed)
}

// limiterRefusals are the outcomes of requests refused by the team limiter.
var limiterRefusals = map[string]bool{
	outcome.RateLimited.String(): true, outcome.KeeperUnavailable.String(): true,
}

func teamReport(t Team, index int, results []Result) TeamReport {
	rep := TeamReport{Team: t.Name}
	hist := newHistogram()
	ideal := newIdealBucket(t.Limit, t.Burst)
	idealRefusals := 0
	for _, r := range results {
		if r.Team != index {
			continue
		}
		rep.Requests++
		if !ideal.take(r.At) {
			idealRefusals++
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
	rep.RefusedWithinRate = max(0, rep.RateLimited-idealRefusals)
	if rep.Requests > 0 {
		rep.OKShare = float64(rep.OK) / float64(rep.Requests)
	}
	rep.P50MS = quantileMS(hist, 50)
	rep.P99MS = quantileMS(hist, 99)
	rep.P999MS = quantileMS(hist, 99.9)
	rep.MaxMS = float64(hist.Max()) / 1000
	return rep
}

// idealBucket is a single global token bucket, the optimum for a distributed
// limiter.
type idealBucket struct {
	rate, burst, tokens float64
	last                time.Duration
}

func newIdealBucket(rate, burst float64) *idealBucket {
	return &idealBucket{rate: rate, burst: burst, tokens: burst}
}

// take reports whether the bucket admits a request at the given offset from the
// start of the run. It returns false if the limit is unknown (rate 0), so that
// no refusal counts as a refusal within the rate.
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
		fmt.Fprintf(tw, "%s\t%d\t%d\t%.2f\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t\n", t.Team, t.Requests, t.OK, 100*t.OKShare,
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
		{"caller keys seen by backend servers", a.KeysSeen}, {"backend servers asked", a.BackendsQueried},
		{"backend servers without an answer", a.BackendsIncomplete},
	}
	fmt.Fprintln(w, "\naudit\tcount")
	for _, row := range rows {
		fmt.Fprintf(w, "%s\t%d\n", row.name, row.count)
	}
	for _, example := range a.Examples {
		fmt.Fprintln(w, "  "+example)
	}
}
