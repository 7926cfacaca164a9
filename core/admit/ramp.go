package admit

import (
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

const (
	// coldLimit is the number of requests that a cold backend server gets.
	coldLimit = 1
	// growInterval is the least time between two steps up by one slot.
	growInterval = 200 * time.Millisecond
	// shedPause is the least time between two steps down.
	shedPause = 100 * time.Millisecond
	// shedMemory is the time for which a shed counts towards coldness.
	shedMemory = time.Second
	// coldFactor is the jump of service times, against those of the warm
	// server, that together with sheds shows a server as cold.
	coldFactor = 3
	// holdFactor is the service time, against that of the warm server, above
	// which a limit does not grow.
	holdFactor = 2
	// settleInterval is the time over which the service time of a cold server
	// is watched: while it falls, the server is not warm.
	settleInterval = 700 * time.Millisecond
	// settleMost is the longest such time; it doubles when the server sheds.
	settleMost = 8 * time.Second
	// settled is the ratio of service times over that interval from which on
	// the server counts as warm.
	settled = 0.97
	// warmFactor is the service time, against that of the warm server, below
	// which a server bears all its slots.
	warmFactor = 1.1
	// probeFirst and probeMost bound the pause after a cold server shed its
	// only request; the pause doubles with each.
	probeFirst = 50 * time.Millisecond
	probeMost  = 800 * time.Millisecond
	// sampleLife is the age at which service times say nothing any more.
	sampleLife = time.Second
	// fastWeight and slowWeight are the weights of a new sample in the mean
	// of late and in the mean of the warm server.
	fastWeight = 0.2
	slowWeight = 0.01
)

// Ramp is the limit on running requests of one backend server: additive
// increase up to its slots, halved by sheds, and started from coldLimit when
// the server is cold or behaves as if it were.
type Ramp struct {
	enabled bool
	slots   int
	limit   int
	cold    bool

	mean   time.Duration // service time of late
	warm   time.Duration // service time of the warm server
	sample clock.Instant // newest sample
	known  bool          // warm was seen to have settled

	interval  time.Duration // over which a cold server is watched
	watched   time.Duration // mean service time of the interval before
	watchedAt clock.Instant // start of the interval
	sum       time.Duration // of service times since
	count     time.Duration // their number

	pause time.Duration // after the newest shed of an only request
	until clock.Instant // nothing starts before

	grownAt   clock.Instant
	answers   int // answers since the limit last changed
	shedAt    clock.Instant
	loweredAt clock.Instant
}

func newRamp(enabled bool) *Ramp { return &Ramp{enabled: enabled} }

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
	r.grownAt = now
}

func (r *Ramp) turnCold(now clock.Instant) {
	if !r.enabled {
		return
	}
	r.cold = true
	r.mean = 0
	r.interval = settleInterval
	r.beginWatch(now, 0)
	r.lower(now, min(coldLimit, r.slots))
}

func (r *Ramp) lower(now clock.Instant, limit int) {
	r.limit = limit
	r.loweredAt = now
	r.grownAt = now
	r.answers = 0
}

// answered takes in a service time.
func (r *Ramp) answered(now clock.Instant, took time.Duration) {
	if r.mean == 0 || now.Sub(r.sample) > sampleLife {
		r.mean = took
	}
	r.sample = now
	r.pause = 0
	r.mean += time.Duration(fastWeight * float64(took-r.mean))
	r.learnWarm(took)
	r.answers++
	r.watch(now, took)
	r.grow(now)
}

// learnWarm lets the service time of the warm server follow that of late: at
// once downwards, slowly upwards. A cold server's times raise it only when they
// have come to rest, see watch, so that a server that has become slower for good
// is not held back for ever.
func (r *Ramp) learnWarm(took time.Duration) {
	switch {
	case r.warm == 0:
		r.warm = took
	case r.mean < r.warm:
		r.warm = r.mean
	case !r.cold:
		r.warm += time.Duration(slowWeight * float64(r.mean-r.warm))
	}
}

// grow adds a slot after enough answers at a good service time.
func (r *Ramp) grow(now clock.Instant) {
	if r.limit >= r.slots || r.answers < r.limit || now.Sub(r.grownAt) < growInterval {
		return
	}
	if r.enabled && (r.mean > holdFactor*r.warm || r.limit >= r.bears()) {
		return
	}
	r.limit++
	r.grownAt = now
	r.answers = 0
	if r.limit == r.slots {
		r.cold = false
	}
}

// watch compares the mean service time of a cold server's interval with that of
// the interval before. When it no longer falls it is that of the warm server.
func (r *Ramp) watch(now clock.Instant, took time.Duration) {
	if !r.cold {
		return
	}
	r.sum += took
	r.count++
	if now.Sub(r.watchedAt) < r.interval {
		return
	}
	mean := r.sum / r.count
	if r.watched > 0 && float64(mean) >= settled*float64(r.watched) {
		r.known = true
		r.warm = max(mean, r.mean)
	}
	r.beginWatch(now, mean)
}

func (r *Ramp) beginWatch(now clock.Instant, before time.Duration) {
	r.watched = before
	r.watchedAt = now
	r.sum, r.count = 0, 0
}

// fell takes in that a server which was taken to be warm enough was not: it is
// watched for longer.
func (r *Ramp) fell(now clock.Instant) {
	r.known = false
	r.interval = min(2*r.interval, settleMost)
	r.beginWatch(now, 0)
}

// bears returns how many requests a cold server is trusted with: one until its
// warm service time is known, then a part of its slots by the square of its
// speed, since it is short of more than time.
func (r *Ramp) bears() int {
	if !r.cold {
		return r.slots
	}
	if !r.known {
		return coldLimit
	}
	factor := float64(r.mean) / float64(max(r.warm, 1))
	if factor < warmFactor {
		return r.slots
	}
	return max(coldLimit, int(float64(r.slots)/(factor*factor)))
}

// rest lets a server that shed its only request alone for a while.
func (r *Ramp) rest(now clock.Instant) {
	r.pause = min(max(2*r.pause, probeFirst), probeMost)
	r.until = now.Add(r.pause)
}

// resting returns the time until the next request may start.
func (r *Ramp) resting(now clock.Instant) time.Duration { return max(0, r.until.Sub(now)) }

// shed takes in a refusal for overload while the given number of other
// requests ran. The server bears no more than those: the limit falls to them
// at once, and further by half when sheds go on; or to coldLimit, if service
// times have jumped too.
func (r *Ramp) shed(now clock.Instant, others int) {
	recent := r.shedAt != 0 && now.Sub(r.shedAt) < shedMemory
	r.shedAt = now
	if !r.enabled {
		return
	}
	if others == 0 {
		r.rest(now)
	}
	if r.cold && r.known && r.limit > coldLimit {
		r.fell(now)
	}
	if !r.cold && recent && r.jumped(now) {
		r.turnCold(now)
		return
	}
	limit := min(r.limit, others)
	if r.loweredAt == 0 || now.Sub(r.loweredAt) >= shedPause {
		limit = min(limit, r.limit/2)
	}
	if limit < r.limit {
		r.lower(now, max(1, limit))
	}
}

// jumped reports whether service times of late are far above the warm ones.
func (r *Ramp) jumped(now clock.Instant) bool {
	return now.Sub(r.sample) <= sampleLife && r.mean > coldFactor*r.warm
}

// expected returns the least time that a request is expected to need, zero
// when there is no sample of late. It is half the mean, so that only requests
// without a real chance are refused.
func (r *Ramp) expected(now clock.Instant) time.Duration {
	if r.mean == 0 || now.Sub(r.sample) > sampleLife {
		return 0
	}
	return r.mean / 2
}
