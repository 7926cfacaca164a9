// Package runqueue decides which requests a backend server runs, in which order,
// and which are refused at once because they cannot be answered in time.
//
// Load that it answers: more requests than the server's slots bear, of several
// ranks and service times, with deadlines close to the service times. A request
// that can still be answered within its latency objective goes before all that
// cannot, so that an overload costs whole requests instead of making all late.
//
// A Queue does no I/O and is not safe for concurrent use.
package runqueue

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

const (
	// defaultService is the expected service time of a class before one of its
	// requests was measured.
	defaultService = 60 * time.Millisecond
	// coldFactor is how much longer a cold server takes before it was measured: work
	// takes two to four times as long there.
	coldFactor = 3
	// smoothing is the least weight of a new measurement in the mean service time.
	smoothing = 0.1
	// residualShare is the least part of its expected service time that a
	// running request is taken to need still, however long it has run.
	residualShare = 0.25
	// lateShare is the part of its remaining time within which a request that
	// misses its objective must be answered by prediction to be kept waiting.
	lateShare = 0.5
	// leastShare is the part of its expected service time that must be left of a
	// request's limit for a run to be worth a slot.
	leastShare = 0.7
	// offeredWindow is the time over which the work that arrives is averaged.
	offeredWindow = time.Second
	// leastRest is the least part of the slots that is taken to be left by requests
	// that go before: none at all would let nothing wait.
	leastRest = 0.05
	// minRetryAfter is the shortest advised time to come back: below it a
	// caller's way here and back outweighs the wait.
	minRetryAfter = 40 * time.Millisecond
	// maxRetryAfter bounds the advised time; predictions beyond it say little.
	maxRetryAfter = 2 * time.Second
	// paceLife is the time in which a server's word of its pace loses its weight:
	// it changes several times a second.
	paceLife = 400 * time.Millisecond
	// rateWindow is the span over which the starts of a cold server are counted.
	rateWindow = time.Second
)

// Ticket is one request. The exported fields are set by the caller.
type Ticket struct {
	Class    string        // requests of a class have similar service times
	Nested   bool          // a running request elsewhere waits for it
	Priority uint32        // 0 is the highest
	Target   clock.Instant // an answer until then is worth most
	Limit    clock.Instant // an answer after it is worth nothing

	started clock.Instant
	number  uint64 // order of arrival
}

// Refusal is a ticket that never runs, with the time after which room is
// expected.
type Refusal struct {
	Ticket     *Ticket
	RetryAfter time.Duration
	Reason     string
}

// Queue is the state of one backend server.
type Queue struct {
	slots   int
	running []*Ticket
	waiting []*Ticket // in the order in which they are to run
	means   map[class]*mean
	all     mean // over all classes
	last    uint64

	offered map[int64]*offer // work that arrives, by rank

	pace      float64 // how long work takes, 1 being usual, as of paceAt; 0 if never told
	paceAt    clock.Instant
	usualPace float64 // mean over the measured runs

	coldUntil clock.Instant
	coldRate  float64 // starts in rateWindow while cold; 0 means no limit
	starts    []clock.Instant
}

// New returns the queue of a server without slots.
func New() *Queue {
	return &Queue{means: map[class]*mean{}, offered: map[int64]*offer{}}
}

// offer is the slots that the arrivals of a rank keep busy, averaged.
type offer struct {
	slots float64
	at    clock.Instant
}

func (o *offer) now(now clock.Instant) float64 {
	return o.slots * math.Exp(-float64(now.Sub(o.at))/float64(offeredWindow))
}

// noteArrival counts the expected work of a request.
func (q *Queue) noteArrival(now clock.Instant, t *Ticket) {
	o, ok := q.offered[rank(t)]
	if !ok {
		o = &offer{}
		q.offered[rank(t)] = o
	}
	o.slots = o.now(now) + float64(q.service(now, t.Class))/float64(offeredWindow)
	o.at = now
}

// rest returns the part of the slots that arrivals leave to t which go before it:
// those of higher rank, or all if t can no longer meet its objective.
func (q *Queue) rest(now clock.Instant, t *Ticket, late bool) float64 {
	busy := 0.0
	for other, o := range q.offered {
		if late || other < rank(t) {
			busy += o.now(now)
		}
	}
	return max(1-busy/float64(max(q.slots, 1)), leastRest)
}

// SetSlots sets the number of requests that the server runs at once.
func (q *Queue) SetSlots(slots int) { q.slots = slots }

// SetCold tells that the server bears only so many requests a second until an
// instant.
func (q *Queue) SetCold(until clock.Instant, perS float64) {
	q.coldUntil = until
	q.coldRate = perS
}

// Cold reports whether the server is cold.
func (q *Queue) Cold(now clock.Instant) bool { return now < q.coldUntil }

// Running returns the number of requests that run.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Slots returns the number of requests that the server runs at once.
func (q *Queue) Slots() int { return q.slots }

// Mean returns the mean service time measured lately.
func (q *Queue) Mean() time.Duration { return q.all.or(defaultService) }

// class tells requests of similar service times apart: a cold server takes longer.
type class struct {
	name string
	cold bool
}

// mean is a mean that forgets: of few measurements the plain one.
type mean struct {
	value time.Duration
	count int
}

func (m *mean) add(took time.Duration) {
	m.count++
	weight := max(smoothing, 1/float64(m.count))
	m.value += time.Duration(weight * float64(took-m.value))
}

func (m *mean) or(other time.Duration) time.Duration {
	if m == nil || m.count == 0 {
		return other
	}
	return m.value
}

// SetPace takes in the server's word of how long work takes at this moment, 1 being
// usual.
func (q *Queue) SetPace(now clock.Instant, pace float64) {
	if q.usualPace == 0 {
		q.usualPace = pace
	}
	q.usualPace += smoothing * (pace - q.usualPace)
	q.pace = pace
	q.paceAt = now
}

// Pace returns how long work takes now beside the mean of what was measured, 1 if
// nothing is known.
func (q *Queue) Pace(now clock.Instant) float64 {
	age := now.Sub(q.paceAt)
	if q.pace == 0 || age >= paceLife {
		return 1
	}
	weight := 1 - float64(age)/float64(paceLife)
	return 1 + weight*(q.pace/q.usualPace-1)
}

// service returns the expected service time of a request that starts now.
func (q *Queue) service(now clock.Instant, name string) time.Duration {
	return time.Duration(q.Pace(now) * float64(q.usualService(now, name)))
}

// usualService is service at the usual pace.
func (q *Queue) usualService(now clock.Instant, name string) time.Duration {
	warm := q.means[class{name, false}].or(q.Mean())
	if !q.Cold(now) {
		return warm
	}
	return q.means[class{name, true}].or(coldFactor * warm)
}

// Submit takes in a request. It may start, wait or be refused: Next tells which
// start.
func (q *Queue) Submit(now clock.Instant, t *Ticket) *Refusal {
	q.last++
	t.number = q.last
	start, finish := q.predict(now, t)
	q.noteArrival(now, t)
	if reason := hopeless(now, start, finish, t); reason != "" {
		return &Refusal{Ticket: t, Reason: reason, RetryAfter: retryAfter(now, finish, t)}
	}
	i, _ := slices.BinarySearchFunc(q.waiting, t, q.order(now))
	q.waiting = slices.Insert(q.waiting, i, t)
	return nil
}

// predict returns the instants at which a request that arrives now would start and
// be answered, if what arrives goes on as it did.
func (q *Queue) predict(now clock.Instant, t *Ticket) (start, finish clock.Instant) {
	wait := float64(q.predictStart(now, t).Sub(now))
	service := q.service(now, t.Class)
	start = now.Add(time.Duration(wait / q.rest(now, t, false)))
	if finish = start.Add(service); finish <= t.Target {
		return start, finish
	}
	start = now.Add(time.Duration(wait / q.rest(now, t, true)))
	return start, start.Add(service)
}

// hopeless tells why a request is not worth waiting, or "".
func hopeless(now, start, finish clock.Instant, t *Ticket) string {
	switch {
	case finish > t.Limit && start > now:
		return "no slot before the time limit"
	case now.Add(time.Duration(leastShare*float64(finish.Sub(start)))) >= t.Limit:
		return "too little time is left"
	case finish > t.Target && start > now && finish > now.Add(time.Duration(lateShare*float64(t.Limit.Sub(now)))):
		return "no slot within the latency objective"
	}
	return ""
}

// retryAfter is the time after which the request would have been in time: the
// excess of the prediction over the objective.
func retryAfter(now, finish clock.Instant, t *Ticket) time.Duration {
	return min(max(finish.Sub(max(t.Target, now)), minRetryAfter), maxRetryAfter)
}

// order compares tickets by the order in which they are to run: those that can
// still meet their objective first, then by rank, then by objective.
func (q *Queue) order(now clock.Instant) func(a, b *Ticket) int {
	return func(a, b *Ticket) int {
		return cmp.Or(
			cmp.Compare(q.late(now, a), q.late(now, b)),
			cmp.Compare(rank(a), rank(b)),
			cmp.Compare(a.Target, b.Target),
			cmp.Compare(a.number, b.number),
		)
	}
}

// late is 1 for a ticket that misses its objective even if it starts now.
func (q *Queue) late(now clock.Instant, t *Ticket) int {
	if now.Add(q.service(now, t.Class)) > t.Target {
		return 1
	}
	return 0
}

// rank is the position of a ticket's kind: nested ones hold a slot elsewhere.
func rank(t *Ticket) int64 {
	if t.Nested {
		return -1
	}
	return int64(t.Priority)
}

// predictStart returns the instant at which t would start if nothing else came.
func (q *Queue) predictStart(now clock.Instant, t *Ticket) clock.Instant {
	free := q.freeAt(now)
	order := q.order(now)
	for _, w := range q.waiting {
		if order(w, t) < 0 {
			occupy(free, q.service(now, w.Class))
		}
	}
	if len(free) == 0 {
		return now.Add(maxRetryAfter)
	}
	return max(slices.Min(free), q.coldStart(now))
}

// freeAt returns the instants at which the slots are expected to be free.
func (q *Queue) freeAt(now clock.Instant) []clock.Instant {
	free := make([]clock.Instant, 0, q.slots)
	for _, r := range q.running {
		service := q.service(now, r.Class)
		left := max(r.started.Add(service).Sub(now), time.Duration(residualShare*float64(service)))
		free = append(free, now.Add(left))
	}
	for len(free) < q.slots {
		free = append(free, now)
	}
	if len(free) > q.slots { // the server was given fewer slots meanwhile
		slices.Sort(free)
		free = free[len(free)-q.slots:]
	}
	return free
}

// occupy gives the slot that is free first to a request.
func occupy(free []clock.Instant, service time.Duration) {
	if len(free) == 0 {
		return
	}
	first := 0
	for i := range free {
		if free[i] < free[first] {
			first = i
		}
	}
	free[first] = free[first].Add(service)
}

// coldStart returns the instant from which a cold server bears one more request
// after those that wait.
func (q *Queue) coldStart(now clock.Instant) clock.Instant {
	if !q.Cold(now) || q.coldRate <= 0 {
		return now
	}
	ahead := float64(len(q.waiting)) + float64(q.recentStarts(now)) - q.coldRate
	if ahead < 0 {
		return now
	}
	return min(now.Add(time.Duration((ahead+1)/q.coldRate*float64(rateWindow))), q.coldUntil)
}

// recentStarts returns the number of starts within the last rateWindow.
func (q *Queue) recentStarts(now clock.Instant) int {
	keep := slices.IndexFunc(q.starts, func(at clock.Instant) bool { return now.Sub(at) < rateWindow })
	if keep < 0 {
		keep = len(q.starts)
	}
	q.starts = slices.Delete(q.starts, 0, keep)
	return len(q.starts)
}

// Next returns the tickets that start now and those that are refused because
// their time has run out meanwhile.
func (q *Queue) Next(now clock.Instant) (started []*Ticket, refused []Refusal) {
	refused = q.expire(now)
	slices.SortFunc(q.waiting, q.order(now))
	for len(q.waiting) > 0 && len(q.running) < q.slots && q.mayStart(now) {
		t := q.waiting[0]
		q.waiting = slices.Delete(q.waiting, 0, 1)
		t.started = now
		q.running = append(q.running, t)
		q.starts = append(q.starts, now)
		started = append(started, t)
	}
	return started, refused
}

// expire refuses the waiting tickets that cannot be answered within their limit,
// or not in a sensible time behind those before them.
func (q *Queue) expire(now clock.Instant) []Refusal {
	var refused []Refusal
	free := q.freeAt(now)
	q.waiting = slices.DeleteFunc(q.waiting, func(t *Ticket) bool {
		start := now
		if len(free) > 0 {
			start = slices.Min(free)
		}
		finish := start.Add(q.service(now, t.Class))
		reason := hopeless(now, start, finish, t)
		if reason == "" {
			occupy(free, q.service(now, t.Class))
			return false
		}
		refused = append(refused, Refusal{Ticket: t, Reason: reason, RetryAfter: retryAfter(now, finish, t)})
		return true
	})
	return refused
}

// mayStart reports whether a cold server bears one more start.
func (q *Queue) mayStart(now clock.Instant) bool {
	recent := q.recentStarts(now)
	return !q.Cold(now) || q.coldRate <= 0 || float64(recent) < q.coldRate
}

// Rest returns the time after which Next may start a ticket that waits although
// a slot is free; 0 if there is none.
func (q *Queue) Rest(now clock.Instant) time.Duration {
	if len(q.waiting) == 0 || len(q.running) >= q.slots || q.mayStart(now) {
		return 0
	}
	return max(q.starts[0].Add(rateWindow).Sub(now), time.Millisecond)
}

// Done ends the run of t. An answered run counts for the expected service time; one
// without an answer does if it took longer than expected: the server is at least that
// slow. Otherwise only the runs that a slow server ends in time would be counted.
func (q *Queue) Done(now clock.Instant, t *Ticket, answered bool) {
	i := slices.Index(q.running, t)
	if i < 0 {
		return
	}
	q.running = slices.Delete(q.running, i, i+1)
	took := now.Sub(t.started)
	if !answered && took <= q.service(t.started, t.Class) {
		return
	}
	of := class{t.Class, q.Cold(t.started)}
	if q.means[of] == nil {
		q.means[of] = &mean{}
	}
	q.means[of].add(took)
	q.all.add(took)
}

// Cancel takes t out of the waiting tickets; false if it does not wait.
func (q *Queue) Cancel(t *Ticket) bool {
	i := slices.Index(q.waiting, t)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Withdraw takes out the waiting tickets that match and returns them.
func (q *Queue) Withdraw(match func(*Ticket) bool) []*Ticket {
	var out []*Ticket
	q.waiting = slices.DeleteFunc(q.waiting, func(t *Ticket) bool {
		if match(t) {
			out = append(out, t)
			return true
		}
		return false
	})
	return out
}
