package load

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sesamemoor/sesamemoor/core/outcome"
)

// secondStats are the results of requests with a send time within one second.
type secondStats struct {
	latency *hdrhistogram.Histogram // of requests with the outcome ok, all teams
	ok      []int                   // by team index
	refused []int                   // by team index; any other outcome
}

// timeline groups results into seconds by their intended send time.
func timeline(p Plan, results []Result) []secondStats {
	seconds := make([]secondStats, (p.DurationMS+999)/1000)
	for i := range seconds {
		seconds[i] = secondStats{newHistogram(), make([]int, len(p.Teams)), make([]int, len(p.Teams))}
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

// OutageReport summarises the outages of keys. An outage begins with the first
// request to a key that fails with an outcome that counts as an outage. It ends
// at an unknown time between the last such request and the next one served,
// which give the lower and the upper bound of its duration. The bounds are far
// apart for keys with few requests.
type OutageReport struct {
	Keys         int     `json:"keys"`           // keys with at least one outage
	AtLeastMS    float64 `json:"at_least_ms"`    // longest lower bound of an outage
	AtMostMS     float64 `json:"at_most_ms"`     // longest upper bound of an outage that ended
	P99AtMostMS  float64 `json:"p99_at_most_ms"` // of the upper bounds of all outages that ended
	NotRecovered int     `json:"not_returned"`   // keys whose outage did not end during the run
	LongestKey   string  `json:"longest_key"`    // path of the key with the longest lower bound
	LongestAtMS  float64 `json:"longest_at_ms"`  // start of that outage, since the start of the run
}

// nonOutageOutcomes are the failures that do not mean that the key is unavailable.
var nonOutageOutcomes = []outcome.Kind{
	outcome.BadRequest, outcome.UnknownRoute, outcome.Unauthenticated, outcome.Forbidden, outcome.BodyTooLarge,
	outcome.RateLimited, outcome.KeeperUnavailable, outcome.Quarantined, outcome.DuplicateRan,
	outcome.InProgress,
}

// countsAsOutage reports whether a request that failed with the outcome counts
// as an outage of its key.
func countsAsOutage(name string) bool {
	if name == outcomeUnsent {
		return false
	}
	return !slices.ContainsFunc(nonOutageOutcomes, func(k outcome.Kind) bool { return k.String() == name })
}

// outage holds the send times of the first and the latest failed request of an
// outage.
type outage struct{ first, last time.Duration }

// findOutages returns the outages in results, which are sorted by send time.
func findOutages(results []Result) OutageReport {
	var rep OutageReport
	ongoing := map[string]outage{}
	keys := map[string]bool{}
	endedOutages := newHistogram()
	for _, r := range results {
		current, unavailable := ongoing[r.Path]
		switch {
		case r.Outcome == outcomeOK && unavailable:
			delete(ongoing, r.Path)
			rep.AtMostMS = max(rep.AtMostMS, milliseconds(r.At-current.first))
			recordLatency(endedOutages, r.At-current.first)
		case r.Outcome != outcomeOK && countsAsOutage(r.Outcome):
			if !unavailable {
				current.first = r.At
			}
			current.last = r.At
			ongoing[r.Path] = current
			keys[r.Path] = true
			rep.updateLongest(r.Path, current)
		}
	}
	rep.Keys = len(keys)
	rep.NotRecovered = len(ongoing)
	rep.P99AtMostMS = quantileMS(endedOutages, 99)
	return rep
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// updateLongest raises the longest lower bound if that of the current outage is
// longer.
func (o *OutageReport) updateLongest(key string, current outage) {
	ms := milliseconds(current.last - current.first)
	if ms > o.AtLeastMS || o.LongestKey == "" {
		o.AtLeastMS = ms
		o.LongestKey = key
		o.LongestAtMS = milliseconds(current.first)
	}
}

func (o OutageReport) write(w io.Writer) {
	fmt.Fprintln(w, "\nunavailable time\tvalue")
	fmt.Fprintf(w, "keys unavailable at some time\t%d\n", o.Keys)
	fmt.Fprintf(w, "longest, one key, at least\t%.0f ms (%s at %.1f s)\n", o.AtLeastMS, o.LongestKey, o.LongestAtMS/1000)
	fmt.Fprintf(w, "longest, one key, at most\t%.0f ms\n", o.AtMostMS)
	fmt.Fprintf(w, "p99 over outages, at most\t%.0f ms\n", o.P99AtMostMS)
	fmt.Fprintf(w, "not served again before the end\t%d\n", o.NotRecovered)
}
