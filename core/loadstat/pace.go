package loadstat

import (
	"time"

	"github.com/sesamemoor/sesamemoor/core/wire"
)

const (
	// MinInterval is the shortest time between two reports of a member.
	MinInterval = 2 * time.Second
	// maxInterval is the longest.
	maxInterval = 10 * time.Minute
	// reportBudget is the rate at which one planner takes in reports that
	// nothing hurries, in bytes a second.
	reportBudget = 1000
	// reportBytes is the size of a usual report with its headers.
	reportBytes = 250
	// hurryRate is the ratio to the service's mean rate from which on a member
	// reports at once.
	hurryRate = 1.15
	// hurryLatency is the same for the median service time.
	hurryLatency = 1.4
)

// Interval returns the time between reports of each of n members that keeps
// the planner within its budget.
func Interval(n int) time.Duration {
	d := time.Duration(float64(n) * reportBytes / reportBudget * float64(time.Second))
	return min(max(d, MinInterval), maxInterval)
}

// Hurried reports whether a report should not wait for its turn: the member
// carries more than its part or is slow. last is the newest answer; nil hurries.
func Hurried(report *wire.LoadReport, last *wire.LoadAnswer) bool {
	if last == nil {
		return true
	}
	rate := uint64(0)
	for _, s := range report.GetShards() {
		rate += s.GetRateMilli()
	}
	if float64(rate) > hurryRate*float64(last.GetMeanRateMilli()) {
		return true
	}
	return float64(report.GetLatencyUs()) > hurryLatency*float64(last.GetMedianLatencyUs())
}

// Answer returns the answer to a report of a service's member, where the
// planner hears from n members of the region.
func (b *Book) Answer(service string, n int) *wire.LoadAnswer {
	return &wire.LoadAnswer{
		Accepted:        true,
		NextMs:          uint32(Interval(n).Milliseconds()),
		MeanRateMilli:   uint64(b.meanLoad(service) * milli),
		MedianLatencyUs: uint32(b.medians()[service]),
	}
}
