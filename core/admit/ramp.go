package admit

import (
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

const (
	// coldLimit is the initial limit of a cold backend server.
	coldLimit = 1
	// growInterval is the minimum time between two increases, each by one slot.
	growInterval = 200 * time.Millisecond
	// halveInterval is the minimum time between two decreases by half.
	halveInterval = 100 * time.Millisecond
	// shedWindow is the maximum time between two sheds that together count as a
	// sign of a cold server.
	shedWindow = time.Second
	// coldRatio is the ratio of the recent to the warm service time above which
	// a server that sheds repeatedly is marked as cold.
	coldRatio = 3
	// holdRatio is the ratio of the recent to the warm service time above which
	// the limit does not grow.
	holdRatio = 2
	// settleInterval is the initial length of the intervals whose mean service
	// times are compared on a cold server. The server is not warm while the mean
	// falls from one interval to the next.
	settleInterval = 700 * time.Millisecond
	// maxSettleInterval is the maximum length of such an interval. The length
	// doubles when the server sheds after its service time counted as settled.
	maxSettleInterval = 8 * time.Second
	// settledRatio is the ratio of the mean service times of two successive
	// intervals at or above which the service time counts as settled.
	settledRatio = 0.97
	// warmRatio is the ratio of the recent to the warm service time below which
	// a cold server may use all its slots.
	warmRatio = 1.1
	// minBackoff and maxBackoff bound the backoff after the server shed its only
	// request. The backoff doubles with each such shed.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// sampleMaxAge is the age of the newest sample above which the recent mean
	// is not used.
	sampleMaxAge = time.Second
	// fastWeight and slowWeight are the weights of a new sample in the recent
	// mean and of the recent mean in the warm service time.
	fastWeight = 0.2
	slowWeight = 0.01
)

// Ramp computes the concurrency limit of one backend server: additive increase
// up to the server's slots, halving on sheds, and a restart from coldLimit when
// the server is cold or behaves as if it were.
type Ramp struct {
	enabled bool
	slots   int
	limit   int
	cold    bool

	mean      time.Duration // moving average of recent service times
	warm      time.Duration // service time of the warm server
	sampleAt  clock.Instant // time of the newest sample
	warmKnown bool          // warm is a settled service time; markCold keeps it

	interval      time.Duration // length of a comparison interval on a cold server
	previousMean  time.Duration // mean service time of the previous interval; 0 if there is none
	intervalStart clock.Instant // start of the current interval
	sum           time.Duration // sum of service times in the current interval
	count         time.Duration // number of service times in sum

	backoff      time.Duration // current backoff; 0 after an answer
	backoffUntil clock.Instant // end of the backoff

	changedAt clock.Instant // last change of the limit or of the number of slots
	answers   int           // answers since the limit last changed
	shedAt    clock.Instant // last overload refusal; 0 if there was none
	loweredAt clock.Instant // last decrease of the limit by lower; 0 if there was none
}

func newRamp(enabled bool) *Ramp { return &Ramp{enabled: enabled} }

// setSlots changes the number of slots. Fewer slots lower the limit at once. More
// slots raise it at once only if the ramp is disabled; otherwise it grows from its
// old value, or from coldLimit if that is 0.
func (r *Ramp) setSlots(now clock.Instant, slots int) {
	if slots == r.slots {
		return
	}
	grown := slots > r.slots
	r.slots = slots
	r.limit = min(r.limit, slots)
	if grown && !r.enabled {
		r.limit = slots
	}
	if r.limit == 0 && slots > 0 {
		r.limit = coldLimit
	}
	r.changedAt = now
}

// markCold restarts the ramp at coldLimit. It keeps the warm service time.
func (r *Ramp) markCold(now clock.Instant) {
	if !r.enabled {
		return
	}
	r.cold = true
	r.mean = 0
	r.interval = settleInterval
	r.beginInterval(now, 0)
	r.lower(now, min(coldLimit, r.slots))
}

// lower sets a lower limit.
func (r *Ramp) lower(now clock.Instant, limit int) {
	r.limit = limit
	r.loweredAt = now
	r.changedAt = now
	r.answers = 0
}

// answered records a service time.
func (r *Ramp) answered(now clock.Instant, took time.Duration) {
	if r.mean == 0 || now.Sub(r.sampleAt) > sampleMaxAge {
		r.mean = took
	}
	r.sampleAt = now
	r.backoff = 0
	r.mean += time.Duration(fastWeight * float64(took-r.mean))
	r.updateWarm(took)
	r.answers++
	r.observe(now, took)
	r.grow(now)
}

// updateWarm moves the warm service time towards the recent mean: at once
// downwards, and slowly upwards if the server is not cold. On a cold server,
// observe raises it when the service time has settled, so that a server that has
// become permanently slower is not limited forever.
func (r *Ramp) updateWarm(took time.Duration) {
	switch {
	case r.warm == 0:
		r.warm = took
	case r.mean < r.warm:
		r.warm = r.mean
	case !r.cold:
		r.warm += time.Duration(slowWeight * float64(r.mean-r.warm))
	}
}

// grow raises the limit by one after as many answers as the limit, at most once
// per growInterval, unless service times are above holdRatio or the limit has
// reached the capacity. The server is no longer cold once the limit equals its
// slots.
func (r *Ramp) grow(now clock.Instant) {
	if r.limit >= r.slots || r.answers < r.limit || now.Sub(r.changedAt) < growInterval {
		return
	}
	if r.enabled && (r.mean > holdRatio*r.warm || r.limit >= r.capacity()) {
		return
	}
	r.limit++
	r.changedAt = now
	r.answers = 0
	if r.limit == r.slots {
		r.cold = false
	}
}

// observe compares the mean service time of the current interval of a cold
// server with that of the previous one. A mean that no longer falls becomes the
// warm service time.
func (r *Ramp) observe(now clock.Instant, took time.Duration) {
	if !r.cold {
		return
	}
	r.sum += took
	r.count++
	if now.Sub(r.intervalStart) < r.interval {
		return
	}
	mean := r.sum / r.count
	if r.previousMean > 0 && float64(mean) >= settledRatio*float64(r.previousMean) {
		r.warmKnown = true
		r.warm = max(mean, r.mean)
	}
	r.beginInterval(now, mean)
}

// beginInterval starts a comparison interval; previous is the mean service time of
// the one before, or 0.
func (r *Ramp) beginInterval(now clock.Instant, previous time.Duration) {
	r.previousMean = previous
	r.intervalStart = now
	r.sum, r.count = 0, 0
}

// resettle discards the settled service time after a shed showed that the server
// was not warm yet, and doubles the interval.
func (r *Ramp) resettle(now clock.Instant) {
	r.warmKnown = false
	r.interval = min(2*r.interval, maxSettleInterval)
	r.beginInterval(now, 0)
}

// capacity returns the estimated number of requests that the server can run at
// once. For a cold server this is coldLimit until the warm service time is
// known, then its slots divided by the square of the ratio of recent to warm
// service time. The square is used because a cold server has other shortages
// besides its lower speed.
func (r *Ramp) capacity() int {
	if !r.cold {
		return r.slots
	}
	if !r.warmKnown {
		return coldLimit
	}
	ratio := float64(r.mean) / float64(max(r.warm, 1))
	if ratio < warmRatio {
		return r.slots
	}
	return max(coldLimit, int(float64(r.slots)/(ratio*ratio)))
}

// backOff starts a backoff after the server shed its only request.
func (r *Ramp) backOff(now clock.Instant) {
	r.backoff = min(max(2*r.backoff, minBackoff), maxBackoff)
	r.backoffUntil = now.Add(r.backoff)
}

// backoffLeft returns the time until the next request may start.
func (r *Ramp) backoffLeft(now clock.Instant) time.Duration { return max(0, r.backoffUntil.Sub(now)) }

// shed records an overload refusal while the given number of other requests ran.
// That number is the server's capacity at the time, so the limit drops to it at
// once, and at least by half unless it was lowered within halveInterval. If
// sheds repeat within shedWindow and service times have jumped, the server is
// marked as cold.
func (r *Ramp) shed(now clock.Instant, others int) {
	recent := r.shedAt != 0 && now.Sub(r.shedAt) < shedWindow
	r.shedAt = now
	if !r.enabled {
		return
	}
	if others == 0 {
		r.backOff(now)
	}
	if r.cold && r.warmKnown && r.limit > coldLimit {
		r.resettle(now)
	}
	if !r.cold && recent && r.jumped(now) {
		r.markCold(now)
		return
	}
	limit := min(r.limit, others)
	if r.loweredAt == 0 || now.Sub(r.loweredAt) >= halveInterval {
		limit = min(limit, r.limit/2)
	}
	if limit < r.limit {
		r.lower(now, max(1, limit))
	}
}

// jumped reports whether the recent mean exceeds coldRatio times the warm service
// time. It is false without a sample younger than sampleMaxAge.
func (r *Ramp) jumped(now clock.Instant) bool {
	return now.Sub(r.sampleAt) <= sampleMaxAge && r.mean > coldRatio*r.warm
}

// minExpected returns the minimum time that a request is expected to take, or
// zero without a recent sample. It is half the mean, so that only requests that
// are very unlikely to finish in time are refused.
func (r *Ramp) minExpected(now clock.Instant) time.Duration {
	if r.mean == 0 || now.Sub(r.sampleAt) > sampleMaxAge {
		return 0
	}
	return r.mean / 2
}
