package loadstat

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// Compares the sketch with exact counts of every key. The sketch must contain every
// key above its guaranteed share, and its bounds must contain each true count.
func TestTopKeysMatchesExactCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 20).Draw(t, "capacity")
		stream := rapid.SliceOfN(rapid.Uint64Range(0, 60), 0, 400).Draw(t, "stream")
		sketch := NewTopKeys(capacity)
		exact := map[uint64]float64{}
		for _, key := range stream {
			sketch.Add(key, 0)
			exact[key]++
		}
		top := sketch.Top(0)
		estimates := map[uint64]KeyCount{}
		for _, k := range top {
			estimates[k.Hash] = k
			if exact[k.Hash] > k.Count || exact[k.Hash] < k.Count-k.Error {
				t.Fatalf("key %d: true count %v, want a count within [%v, %v]", k.Hash, exact[k.Hash], k.Count-k.Error, k.Count)
			}
		}
		for key, count := range exact {
			if _, ok := estimates[key]; !ok && count > float64(len(stream))/float64(capacity) {
				t.Fatalf("key %d with %v of %d requests is missing from the sketch", key, count, len(stream))
			}
		}
	})
}

// report returns a report of 100 samples with the given rates in requests per second,
// for shards numbered from 10 times the incarnation.
func report(inc uint64, latencyUS uint32, rates ...uint64) *wire.LoadReport {
	r := &wire.LoadReport{Incarnation: inc, Service: "storefront", LatencyUs: latencyUS, LatencySamples: 100, WindowMs: 1000}
	for i, rate := range rates {
		r.Shards = append(r.Shards, &wire.ShardLoad{Shard: uint32(inc)*10 + uint32(i), RateMilli: rate * milli})
	}
	return r
}

func TestStragglerIsWeighedByMeasuredLatency(t *testing.T) {
	is := is.New(t)
	b := NewTable()
	now := clock.Instant(time.Second)
	for inc := uint64(1); inc <= 4; inc++ {
		b.Apply(now, report(inc, 2000, 10))
	}
	b.Apply(now, report(5, 10_000, 10))
	_, weights := b.Load(now)
	is.Equal(weights[1], 1.0)
	is.True(weights[5] < 0.25)
	is.True(weights[5] >= minWeight)
}

// A straggler must get less than a hundredth of the load of a service with seven
// members, so that it does not determine the 99th percentile of the latency.
func TestStragglerKeepsLittleLoad(t *testing.T) {
	is := is.New(t)
	b := NewTable()
	now := clock.Instant(time.Second)
	for inc := uint64(1); inc <= 6; inc++ {
		b.Apply(now, report(inc, 2000, 10))
	}
	b.Apply(now, report(7, 10_000, 10))
	_, weights := b.Load(now)
	is.True(weights[7] < 0.06)
}

func withSamples(r *wire.LoadReport, n uint32) *wire.LoadReport {
	r.LatencySamples = n
	return r
}

// A straggler that gets no samples must get some load again as a probe, and a few
// samples in each report must add up to a new measurement.
func TestStragglerRecoversThroughProbes(t *testing.T) {
	is := is.New(t)
	b := NewTable()
	now := clock.Instant(time.Second)
	for inc := uint64(1); inc <= 4; inc++ {
		b.Apply(now, report(inc, 1000, 10))
	}
	b.Apply(now, report(5, 10_000, 10))
	_, weights := b.Load(now)
	is.Equal(weights[5], minWeight)
	for range 100 {
		b.Apply(now, withSamples(report(5, 0), 0))
	}
	_, weights = b.Load(now)
	is.True(weights[5] > minWeight && weights[5] < 0.2) // a probe, not full load
	for range 100 {
		b.Apply(now, withSamples(report(5, 1000, 10), 2))
	}
	_, weights = b.Load(now)
	is.Equal(weights[5], 1.0)
}

// Between stragglerRatio and recoveredRatio a member keeps its state.
func TestStragglerStateHasHysteresis(t *testing.T) {
	is := is.New(t)
	b := NewTable()
	now := clock.Instant(time.Second)
	latency := func(us uint32) float64 {
		for inc := uint64(1); inc <= 4; inc++ {
			b.Apply(now, report(inc, 1000, 10))
		}
		for range 20 { // enough reports for the moving average to converge
			b.Apply(now, report(5, us, 10))
		}
		_, weights := b.Load(now)
		return weights[5]
	}
	is.Equal(latency(1400), 1.0)
	is.True(latency(2000) < 1)
	is.True(latency(1400) < 1)
	is.Equal(latency(1100), 1.0)
}

// The weights of fast and slow members must follow their service times, within the
// bounds and with hysteresis.
func TestFastMemberGetsMore(t *testing.T) {
	is := is.New(t)
	b := NewTable()
	now := clock.Instant(time.Second)
	latencies := map[uint64]uint32{1: 1000, 2: 1000, 3: 1000, 4: 700, 5: 1800, 6: 100}
	for inc, us := range latencies {
		b.Apply(now, report(inc, us, 10))
	}
	_, weights := b.Load(now)
	is.Equal(weights[4], 1.0) // 100 samples are fewer than speedSamples
	for inc, us := range latencies {
		b.Apply(now, report(inc, us, speedSamples))
	}
	_, weights = b.Load(now)
	is.Equal(weights[1], 1.0)
	is.True(weights[4] > 1.4 && weights[4] < 1.45)
	is.True(weights[5] > 0.5 && weights[5] < 0.6)
	is.Equal(weights[6], maxWeight)
	for range 20 {
		b.Apply(now, report(4, 850, speedSamples))
	}
	_, weights = b.Load(now)
	is.True(weights[4] > 1) // still fast: the ratio is below notFastRatio
	for range 20 {
		b.Apply(now, report(4, 950, speedSamples))
	}
	_, weights = b.Load(now)
	is.Equal(weights[4], 1.0)
}

func TestReportsExpire(t *testing.T) {
	is := is.New(t)
	b := NewTable()
	b.Apply(clock.Instant(time.Second), report(1, 1000, 10))
	shards, _ := b.Load(clock.Instant(time.Second).Add(maxReportIntervals*MinInterval + time.Second))
	is.Equal(len(shards), 0)
}

func TestMeterReportsRatesAndHotKeys(t *testing.T) {
	is := is.New(t)
	m := NewMeter(clock.Instant(0))
	for i := range 1000 {
		m.RecordArrival(uint32(i%4), uint64(i))
	}
	for range 500 {
		m.RecordArrival(1, 77_777)
	}
	m.RecordServiceTime(3 * time.Millisecond)
	m.RecordServiceTime(5 * time.Millisecond)
	v := &view.View{Incarnation: 9, Backend: &view.Backend{Service: "storefront"}}
	r := m.Report(clock.Instant(2*time.Second), v)
	is.Equal(r.GetLatencyUs(), uint32(4000))
	is.Equal(len(r.GetHotKeys()), 1)
	is.Equal(r.GetHotKeys()[0].GetKeyHash(), uint64(77_777))
	rates := map[uint32]uint64{}
	for _, s := range r.GetShards() {
		rates[s.GetShard()] = s.GetRateMilli()
	}
	is.Equal(rates[0], uint64(125*milli))
	is.Equal(rates[1], uint64(375*milli))
	is.Equal(len(m.Report(clock.Instant(4*time.Second), v).GetShards()), 0)
}

// The rate of a shard with one request in four windows must stay within a factor of
// two of the true rate, and must be transferred when the shard changes owner.
func TestRateOfRareRequests(t *testing.T) {
	is := is.New(t)
	const window = 2 * time.Second
	b := NewTable()
	id := view.ShardID{Service: "s", Shard: 7}
	now := clock.Instant(time.Hour)
	send := func(inc uint64, count int) float64 {
		r := report(inc, 1000, 10)
		r.Service = id.Service
		r.Shards = nil
		if count > 0 {
			r.Shards = []*wire.ShardLoad{{Shard: id.Shard, RateMilli: rateMilli(float64(count), window)}}
		}
		now = now.Add(window)
		b.Apply(now, r)
		rates, _ := b.Load(now)
		return rates[id]
	}
	send(2, 0)
	low, high := 1.0, 0.0
	for i := range 40 {
		rate := send(1, i%4/3)
		if i >= 20 {
			low, high = min(low, rate), max(high, rate)
		}
	}
	is.True(low > 0.125/2) // the true rate is one request per 8 s
	is.True(high < 0.125*2)
	send(2, 0)
	before := send(1, 0)
	after := send(2, 1)
	is.True(after > before) // the new owner's report is added to the previous rate
	rates, _ := b.Load(now)
	is.Equal(len(rates), 1)
}

func TestBusySince(t *testing.T) {
	is := is.New(t)
	b := NewTable()
	loaded := func(rate uint64) *wire.LoadReport {
		r := report(1, 1000, 10)
		r.Service = "s"
		r.Shards = []*wire.ShardLoad{{Shard: 1, RateMilli: rate * milli}}
		return r
	}
	b.Apply(clock.Instant(time.Second), loaded(0))
	is.Equal(b.BusySince("s"), clock.Instant(0))
	b.Apply(clock.Instant(2*time.Second), loaded(10))
	b.Apply(clock.Instant(4*time.Second), loaded(10))
	is.Equal(b.BusySince("s"), clock.Instant(2*time.Second))
	b.Apply(clock.Instant(time.Minute), loaded(0))
	is.Equal(b.BusySince("s"), clock.Instant(0))
}

// Scheduled reports must stay within the planner's budget for fleets of any size.
func TestIntervalKeepsBudget(t *testing.T) {
	is := is.New(t)
	is.Equal(Interval(5), MinInterval)
	for _, n := range []int{100, 1_700} {
		is.True(float64(n)*reportBytes/Interval(n).Seconds() <= reportBudget)
	}
}

func TestDeviatingMemberReportsAtOnce(t *testing.T) {
	is := is.New(t)
	last := &wire.LoadAnswer{Accepted: true, MeanRateMilli: 100 * milli, MedianLatencyUs: 2000}
	is.True(!Urgent(report(1, 2000, 100), last))
	is.True(Urgent(report(1, 2000, 120), last))
	is.True(Urgent(report(1, 3000, 100), last))
	is.True(Urgent(report(1, 2000, 10), nil))
}

func TestAnswerContainsMeanAndMedian(t *testing.T) {
	is := is.New(t)
	b := NewTable()
	b.Apply(clock.Instant(time.Second), report(1, 1000, 100))
	b.Apply(clock.Instant(time.Second), report(2, 3000, 200))
	b.Apply(clock.Instant(time.Second), report(3, 9000, 300))
	a := b.Answer("storefront", 3)
	is.Equal(a.GetMeanRateMilli(), uint64(200*milli))
	is.Equal(a.GetMedianLatencyUs(), uint32(3000))
}
