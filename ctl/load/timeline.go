package load

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sesamemoor/sesamemoor/core/outcome"
)

// second is one second of a run.
type second struct {
	latency *hdrhistogram.Histogram // of all answered ok
	ok      []int                   // by team
	refused []int                   // by team; everything else
}

// timeline sorts results into seconds by their intended send time.
func timeline(p Plan, results []Result) []second {
	seconds := make([]second, (p.DurationMS+999)/1000)
	for i := range seconds {
		seconds[i] = second{newHistogram(), make([]int, len(p.Teams)), make([]int, len(p.Teams))}
	}
	for _, r := range results {
		s := seconds[int(r.At/time.Second)]
		if r.Outcome == outcomeOK {
			s.ok[r.Team]++
			recordLatency(s.latency, r.Latency)
			continue
		}
		s.refused[r.Team]++
	}
	return seconds
}

// OutageReport is the unavailable time of keys. A key is unavailable from the
// first request that failed for want of service. The time ends somewhere
// between the last such request and the next that is served: the first is the
// lower bound, the second the upper. Bounds are wide for keys with few requests.
type OutageReport struct {
	Keys        int     `json:"keys"`        // that were unavailable at some time
	AtLeastMS   float64 `json:"at_least_ms"` // longest lower bound of one key
	AtMostMS    float64 `json:"at_most_ms"`  // longest upper bound of one key
	P99AtMostMS float64 `json:"p99_at_most_ms"`
	NotReturned int     `json:"not_returned"`  // keys not served again before the end of the run
	Longest     string  `json:"longest_key"`   // path of the longest lower bound
	LongestAtMS float64 `json:"longest_at_ms"` // its start, since the start of the run
}

// callerFaults are outcomes that are not for want of service.
var callerFaults = []outcome.Kind{
	outcome.BadRequest, outcome.UnknownRoute, outcome.Unauthenticated, outcome.Forbidden, outcome.BodyTooLarge,
	outcome.RateLimited, outcome.KeeperUnavailable, outcome.Quarantined, outcome.DuplicateRan,
	outcome.InProgress,
}

func wantsService(name string) bool {
	if name == outcomeUnsent {
		return false
	}
	return !slices.ContainsFunc(callerFaults, func(k outcome.Kind) bool { return k.String() == name })
}

// outage is the unavailable time of one key so far.
type outage struct{ first, last time.Duration }

// outages finds the unavailable times of keys in results ordered by time.
func outages(results []Result) OutageReport {
	var rep OutageReport
	open := map[string]outage{}
	keys := map[string]bool{}
	hist := newHistogram()
	for _, r := range results {
		o, failing := open[r.Path]
		switch {
		case r.Outcome == outcomeOK && failing:
			delete(open, r.Path)
			rep.AtMostMS = max(rep.AtMostMS, milliseconds(r.At-o.first))
			recordLatency(hist, r.At-o.first)
		case r.Outcome != outcomeOK && wantsService(r.Outcome):
			if !failing {
				o.first = r.At
			}
			o.last = r.At
			open[r.Path] = o
			keys[r.Path] = true
			rep.add(r.Path, o)
		}
	}
	rep.Keys = len(keys)
	rep.NotReturned = len(open)
	rep.P99AtMostMS = quantileMS(hist, 99)
	return rep
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func (o *OutageReport) add(key string, seen outage) {
	ms := milliseconds(seen.last - seen.first)
	if ms > o.AtLeastMS || o.Longest == "" {
		o.AtLeastMS = ms
		o.Longest = key
		o.LongestAtMS = milliseconds(seen.first)
	}
}

func (o OutageReport) write(w io.Writer) {
	fmt.Fprintln(w, "\nunavailable time\tvalue")
	fmt.Fprintf(w, "keys unavailable at some time\t%d\n", o.Keys)
	fmt.Fprintf(w, "longest, one key, at least\t%.0f ms (%s at %.1f s)\n", o.AtLeastMS, o.Longest, o.LongestAtMS/1000)
	fmt.Fprintf(w, "longest, one key, at most\t%.0f ms\n", o.AtMostMS)
	fmt.Fprintf(w, "p99 over outages, at most\t%.0f ms\n", o.P99AtMostMS)
	fmt.Fprintf(w, "not served again before the end\t%d\n", o.NotReturned)
}
