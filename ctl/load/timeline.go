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
// first request that failed for want of service until the next that is served.
type OutageReport struct {
	Keys        int     `json:"keys"`          // that were unavailable at some time
	LongestMS   float64 `json:"longest_ms"`    // of one key
	P99MS       float64 `json:"p99_ms"`        // over the outages of all keys
	TotalMS     float64 `json:"total_ms"`      // summed over keys
	NotReturned int     `json:"not_returned"`  // keys not served again before the end of the run
	LongestKey  string  `json:"longest_key"`   // path
	LongestAtMS float64 `json:"longest_at_ms"` // since the start of the run
}

// callerFaults are outcomes that are not for want of service.
var callerFaults = []outcome.Kind{
	outcome.BadRequest, outcome.UnknownRoute, outcome.Unauthenticated, outcome.Forbidden, outcome.BodyTooLarge,
	outcome.RateLimited, outcome.KeeperUnavailable, outcome.Quarantined, outcome.DuplicateRan, outcome.UnknownHistory,
	outcome.InProgress,
}

func wantsService(name string) bool {
	if name == outcomeUnsent {
		return false
	}
	return !slices.ContainsFunc(callerFaults, func(k outcome.Kind) bool { return k.String() == name })
}

// outages finds the unavailable times of keys in results ordered by time.
func outages(results []Result) OutageReport {
	var rep OutageReport
	since := map[string]time.Duration{}
	keys := map[string]bool{}
	hist := newHistogram()
	for _, r := range results {
		from, failing := since[r.Path]
		switch {
		case r.Outcome == outcomeOK && failing:
			delete(since, r.Path)
			rep.add(r.Path, from, r.At-from)
			recordLatency(hist, r.At-from)
		case r.Outcome != outcomeOK && !failing && wantsService(r.Outcome):
			since[r.Path] = r.At
			keys[r.Path] = true
		}
	}
	rep.Keys = len(keys)
	rep.NotReturned = len(since)
	rep.P99MS = quantileMS(hist, 99)
	return rep
}

func (o *OutageReport) add(key string, from, d time.Duration) {
	ms := float64(d.Microseconds()) / 1000
	o.TotalMS += ms
	if ms > o.LongestMS {
		o.LongestMS = ms
		o.LongestKey = key
		o.LongestAtMS = float64(from.Microseconds()) / 1000
	}
}

func (o OutageReport) write(w io.Writer) {
	fmt.Fprintln(w, "\nunavailable time\tvalue")
	fmt.Fprintf(w, "keys unavailable at some time\t%d\n", o.Keys)
	fmt.Fprintf(w, "longest, one key\t%.0f ms (%s at %.1f s)\n", o.LongestMS, o.LongestKey, o.LongestAtMS/1000)
	fmt.Fprintf(w, "p99 over outages\t%.0f ms\n", o.P99MS)
	fmt.Fprintf(w, "not served again before the end\t%d\n", o.NotReturned)
}
