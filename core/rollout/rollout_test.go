package rollout

import (
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against buckets that overlap, leave gaps or lose counts in a message.
func TestHistogramBucketsAreOrderedAndSurviveAMessage(t *testing.T) {
	is := is.New(t)
	var h Histogram
	last, distinct := -1, 0
	for d := time.Duration(1); d < 300*time.Second; d += d/8 + 1 {
		b := bucket(d)
		is.True(b == last || b == last+1)
		if b != last {
			distinct++
		}
		last = b
		h.Observe(d)
	}
	is.Equal(distinct, Buckets)
	is.Equal(HistogramOf(h.Slice()), h)
	is.Equal(HistogramOf(slices.Repeat([]uint32{1}, Buckets+3))[Buckets-1], uint32(4))
}

// Guards against a share that clumps, or that starves one of two routes whose requests
// alternate, and against a share that outlives its validity.
func TestPickerSpreadsShareEvenlyAndEndsWithValidity(t *testing.T) {
	is := is.New(t)
	for _, share := range []float64{0.01, 0.1, 0.5} {
		p := NewPicker(7)
		p.Set(Answer{Decision: Decision{Share: share, Servers: 2}, Until: 100})
		var got [2]float64
		for i := range 10000 {
			if toNew, n := p.Pick(99, 3, 3); toNew {
				is.Equal(n, 2)
				got[i%2]++
			}
			want := share * float64(i+1)
			is.True(got[0]+got[1] > want-5 && got[0]+got[1] < want+5)
		}
		is.True(got[0] > 0.9*share*5000 && got[0] < 1.1*share*5000)
		toNew, _ := p.Pick(100, 3, 3)
		is.True(!toNew)
		toNew, _ = p.Pick(100, 0, 3) // the old version has no servers
		is.True(toNew)
		p.Set(Answer{Decision: Decision{State: RolledBack}})
		p.Set(Answer{Decision: Decision{Share: 1}, Until: 1000})
		toNew, _ = p.Pick(100, 0, 3)
		is.True(!toNew)
	}
	first := slices.Clone(Servers(1, []string{"a", "b", "c", "d"}, 2))
	is.Equal(Servers(1, []string{"d", "c", "b", "a"}, 2), first)
}

// Guards against counts that are lost or reported twice while requests end at the same time.
func TestRecorderLosesNothingUnderConcurrency(t *testing.T) {
	is := is.New(t)
	var r Recorder
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Go(func() {
			for i := range 1000 {
				route := strconv.Itoa(i % (maxRecords + 10))
				r.Sent(route, "v1")
				r.Answered(route, "v1", g == 0, time.Millisecond)
			}
		})
	}
	var all Counts
	for done := false; !done; {
		done = all.Requests == 4000 || t.Failed()
		for _, c := range r.Take() {
			all.Sent += c.Sent
			all.Requests += c.Requests
			all.Failures += c.Failures
			all.Latencies.Merge(c.Latencies)
		}
	}
	wg.Wait()
	is.Equal([]uint32{all.Sent, all.Failures, uint32(all.Latencies.Total())}, []uint32{4000, 1000, 4000})
	is.Equal(len(r.Take()), 0)
}
