package loadstat

import (
	"time"

	"github.com/sesamemoor/sesamemoor/core/wire"
)

const (
	// MinInterval is the minimum interval between scheduled reports of a member.
	MinInterval = 2 * time.Second
	// maxInterval is the maximum interval.
	maxInterval = 10 * time.Minute
	// reportBudget is the rate at which one planner receives scheduled reports, in
	// bytes per second.
	reportBudget = 1000
	// reportBytes is the size of a typical report with headers, in bytes.
	reportBytes = 250
	// urgentRateRatio is the ratio of a member's request rate to the mean of its
	// service above which the member reports at once.
	urgentRateRatio = 1.15
	// urgentLatencyRatio is the ratio of a member's service time to the median of its
	// service above which the member reports at once.
	urgentLatencyRatio = 1.4
)

// Interval returns the interval between scheduled reports of each of n members that
// keeps the planner within reportBudget. It is between MinInterval and maxInterval.
func Interval(n int) time.Duration {
	d := time.Duration(float64(n) * reportBytes / reportBudget * float64(time.Second))
	return min(max(d, MinInterval), maxInterval)
}

// Urgent reports whether a report should be sent at once rather than at the next
// interval: the member is overloaded or slow compared with its service, or last, the
// newest answer from the planner, is nil.
func Urgent(report *wire.LoadReport, last *wire.LoadAnswer) bool {
	if last == nil {
		return true
	}
	rate := uint64(0)
	for _, s := range report.GetShards() {
		rate += s.GetRateMilli()
	}
	if float64(rate) > urgentRateRatio*float64(last.GetMeanRateMilli()) {
		return true
	}
	return float64(report.GetLatencyUs()) > urgentLatencyRatio*float64(last.GetMedianLatencyUs())
}

// Answer returns the planner's answer to a report of a member of the service, with
// the report interval for n members in the region.
func (t *Table) Answer(service string, n int) *wire.LoadAnswer {
	return &wire.LoadAnswer{
		Accepted:        true,
		NextMs:          uint32(Interval(n).Milliseconds()),
		MeanRateMilli:   uint64(t.meanLoad(service) * milli),
		MedianLatencyUs: uint32(t.medians()[service]),
	}
}
