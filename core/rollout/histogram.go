package rollout

import (
	"math"
	"math/bits"
	"time"
)

// Buckets is the number of buckets of a Histogram. Two buckets per doubling from 128 µs
// to 134 s distinguish a version that is twice as slow from noise and keep a report small.
const Buckets = 42

// minLatency is the upper bound of the first bucket.
const minLatency = 128 * time.Microsecond

// Histogram counts latencies in fixed buckets. Bucket 0 has the latencies below 128 µs;
// the last one has all above 134 s. The zero value is empty.
type Histogram [Buckets]uint32

// bucket returns the index of the bucket of a latency. Negative latencies count as zero.
func bucket(d time.Duration) int {
	if d < minLatency {
		return 0
	}
	ratio := uint64(d / (minLatency / 128)) // in units of 1/128 of minLatency, at least 128
	octave := bits.Len64(ratio) - 8
	index := 1 + 2*octave
	// 181/128 approximates the square root of 2, the middle of an octave.
	if ratio>>octave >= 181 {
		index++
	}
	return min(index, Buckets-1)
}

// upperEdge returns the latency at which the buckets above bucket i begin.
func upperEdge(i int) time.Duration {
	return time.Duration(float64(minLatency) * math.Exp2(float64(i)/2))
}

// Observe counts one latency.
func (h *Histogram) Observe(d time.Duration) { h[bucket(d)]++ }

// Merge adds the counts of other.
func (h *Histogram) Merge(other Histogram) {
	for i, n := range other {
		h[i] = saturatingAdd(h[i], n)
	}
}

// Total returns the number of latencies counted.
func (h *Histogram) Total() uint64 {
	var total uint64
	for _, n := range h {
		total += uint64(n)
	}
	return total
}

// Slice returns the counts without the empty buckets at the end, for a message.
func (h *Histogram) Slice() []uint32 {
	end := Buckets
	for end > 0 && h[end-1] == 0 {
		end--
	}
	return append([]uint32(nil), h[:end]...)
}

// HistogramOf returns the histogram of the counts that Slice returned. Counts beyond the
// last bucket, as a later version may send them, count in the last bucket.
func HistogramOf(counts []uint32) Histogram {
	var h Histogram
	for i, n := range counts {
		i = min(i, Buckets-1)
		h[i] = saturatingAdd(h[i], n)
	}
	return h
}

// saturatingAdd returns a+b, or the largest uint32 where the sum is larger.
func saturatingAdd(a, b uint32) uint32 {
	if sum := a + b; sum >= a {
		return sum
	}
	return 1<<32 - 1
}
