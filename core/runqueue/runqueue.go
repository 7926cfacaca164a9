// Package runqueue decides which requests a backend server runs, in which order,
// and which it refuses at once because they cannot be answered in time.
//
// It is designed for overload: more requests than the server's slots can serve, with
// several priorities and service times, and with deadlines close to the service times.
// Requests that can still meet their latency objective run before all others, so
// that an overload makes some requests fail instead of making all of them late.
//
// A Queue does no I/O and is not safe for concurrent use.
package runqueue

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/link"
	"github.com/sesamemoor/sesamemoor/core/pace"
)

const (
	// defaultServiceTime is the expected service time of a class before the first
	// measurement.
	defaultServiceTime = 60 * time.Millisecond
	// coldFactor is the expected ratio of the service time on a cold server to that
	// on a warm one before the first measurement: a cold server takes two to four
	// times as long.
	coldFactor = 3
	// smoothing is the minimum weight of a new measurement in a mean.
	smoothing = 0.1
	// minRemainingShare is the minimum expected remaining time of a running request,
	// as a share of its expected service time, however long it has already run.
	minRemainingShare = 0.25
	// lateShare is a share of the time left until a request's deadline. A request that
	// has to wait and is expected to miss its objective is refused if it is not
	// expected to be answered within this share.
	lateShare = 0.5
	// minRunShare is a share of a request's expected service time. The request is
	// refused if no more than this is left until its deadline, because its answer
	// would be late.
	minRunShare = 0.7
	// offeredWindow is the time constant over which the offered load is averaged.
	offeredWindow = time.Second
	// minSpareShare is the minimum share of the slots that is assumed to be left over
	// by requests that run earlier. Predicted waits are divided by the spare share, so
	// without a minimum they would be unbounded and no request could wait.
	minSpareShare = 0.05
	// minRetryAfter is the minimum advised retry delay. Below it the caller's round
	// trip is longer than the wait.
	minRetryAfter = 40 * time.Millisecond
	// maxRetryAfter is the maximum advised retry delay. Longer predictions are
	// unreliable.
	maxRetryAfter = 2 * time.Second
	// slowdownMaxAge is the time in which the weight of a server's reported slowdown
	// falls to zero. The slowdown changes several times a second.
	slowdownMaxAge = 400 * time.Millisecond
	// minReturnsPerS is the least rate at which refused callers are told to return.
	minReturnsPerS = 1
	// rateWindow is the period over which the starts on a cold server are counted.
	rateWindow = time.Second
)

// Ticket is one request. The exported fields are set by the caller.
type Ticket struct {
	Class    string        // requests of a class have similar service times
	Team     string        // team of the caller; "" if there is none
	Nested   bool          // a running request on another server waits for it
	Priority uint32        // 0 is the highest; of a nested request, that of the request that waits for it
	Target   clock.Instant // latency objective: an answer up to this time has full value
	Deadline clock.Instant // deadline: an answer after this time has no value
	// Size is the expected size of the response in bytes, and Spread its standard deviation, if
	// the link carries it as bulk; otherwise 0.
	Size, Spread float64

	promise *link.Transfer // of the link; nil if it has none
	started clock.Instant
	number  uint64 // sequence number of the arrival
	late    bool   // its objective had passed when it arrived
}

// Refusal is a ticket that was refused without running.
type Refusal struct {
	Ticket     *Ticket
	RetryAfter time.Duration // advised retry delay
	Reason     string
	ForLink    bool // the network link cannot carry the response
}

// Queue holds the running and waiting requests of one backend server and the
// measurements from which it predicts service times.
type Queue struct {
	slots      int
	running    []*Ticket
	waiting    []*Ticket       // in run order
	means      map[class]*mean // service times
	all        mean            // service time over all classes
	lastNumber uint64          // number of the newest ticket

	offered map[int64]*offeredLoad // offered load by rank

	slowdown        float64 // last reported factor on service times, 1 being typical; 0 before the first report
	slowdownAt      clock.Instant
	typicalSlowdown float64 // moving average of the reported factors

	coldUntil clock.Instant
	coldRate  float64         // maximum starts per rateWindow while cold; 0 means no limit
	starts    []clock.Instant // recent starts, oldest first

	limited // rate that the server names

	spreadReturns bool
	link          Link         // nil if it is not limited
	linkReturns   pace.Returns // of callers that were refused for the link
	slotReturns   pace.Returns // of callers that were refused for the slots
}

// Link predicts when the network link can carry the responses, see package link.
type Link interface {
	Promise(now clock.Instant, rank int64, size, spread float64) *link.Transfer
	Drop(t *link.Transfer)
	Predict(now, ready clock.Instant, rank int64, size, spread float64, own *link.Transfer) link.Prediction
	BulkRate(now clock.Instant) float64
}

// SetLink sets the link that carries the responses.
func (q *Queue) SetLink(l Link) { q.link = l }

// SpreadReturns makes refused callers return one after the other, at the rate of the slots.
func (q *Queue) SpreadReturns() { q.spreadReturns = true }

// New returns a queue for a server without slots. Nothing runs before SetSlots is
// called.
func New() *Queue {
	return &Queue{means: map[class]*mean{}, offered: map[int64]*offeredLoad{}, limited: newLimited()}
}

// offeredLoad is the load of one rank: an exponentially decaying average of the
// number of slots that its arrivals keep busy.
type offeredLoad struct {
	slots    float64
	requests float64       // arrivals within offeredWindow
	at       clock.Instant // time of the last update
}

// decay updates the averages to the given time.
func (o *offeredLoad) decay(now clock.Instant) {
	factor := math.Exp(-float64(now.Sub(o.at)) / float64(offeredWindow))
	o.slots *= factor
	o.requests *= factor
	o.at = now
}

// recordArrival adds the expected service time of a request to the offered load.
func (q *Queue) recordArrival(now clock.Instant, t *Ticket) {
	o, ok := q.offered[rank(t)]
	if !ok {
		o = &offeredLoad{}
		q.offered[rank(t)] = o
	}
	o.decay(now)
	o.slots += float64(q.serviceTime(now, t.Class)) / float64(offeredWindow)
	o.requests++
	q.recordAsked(now, t)
}

// spareShare returns the share of the slots that is left for t by arrivals that run
// before it: those with a lower rank than t, or all arrivals if t can no longer meet
// its objective (late). It is at least minSpareShare.
func (q *Queue) spareShare(now clock.Instant, t *Ticket, late bool) float64 {
	busy, requests := 0.0, 0.0
	for other, o := range q.offered {
		if late || other < q.rank(now, t) {
			o.decay(now)
			busy += o.slots
			requests += o.requests
		}
	}
	spare := 1 - busy/float64(max(q.slots, 1))
	if perS := q.limit.PerS(); perS > 0 {
		spare = min(spare, 1-requests/offeredWindow.Seconds()/perS)
	}
	return max(spare, minSpareShare)
}

// SetSlots sets the number of requests that the server can run at once.
func (q *Queue) SetSlots(slots int) { q.slots = slots }

// SetCold marks the server as cold until the given time and limits its starts to
// ratePerS per second. A ratePerS of 0 sets no limit.
func (q *Queue) SetCold(until clock.Instant, ratePerS float64) {
	q.coldUntil = until
	q.coldRate = ratePerS
}

// Cold reports whether the server is cold.
func (q *Queue) Cold(now clock.Instant) bool { return now < q.coldUntil }

// Running returns the number of running requests.
func (q *Queue) Running() int { return len(q.running) }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Slots returns the number of requests that the server can run at once.
func (q *Queue) Slots() int { return q.slots }

// MeanServiceTime returns the moving average of the service times of all classes, or
// defaultServiceTime before the first measurement.
func (q *Queue) MeanServiceTime() time.Duration { return q.all.valueOr(defaultServiceTime) }

// class identifies requests of similar service times. Requests on a cold server take
// longer and form classes of their own.
type class struct {
	name string
	cold bool
}

// mean is a moving average of durations. Up to 1/smoothing measurements it is
// their arithmetic mean.
type mean struct {
	value time.Duration
	count int
}

func (m *mean) add(took time.Duration) {
	m.count++
	weight := max(smoothing, 1/float64(m.count))
	m.value += time.Duration(weight * float64(took-m.value))
}

func (m *mean) valueOr(fallback time.Duration) time.Duration {
	if m == nil || m.count == 0 {
		return fallback
	}
	return m.value
}

// SetSlowdown records the slowdown that the server reported, a factor on service times:
// 1 is typical, and 3 means that requests take three times as long.
func (q *Queue) SetSlowdown(now clock.Instant, slowdown float64) {
	if q.typicalSlowdown == 0 {
		q.typicalSlowdown = slowdown
	}
	q.typicalSlowdown += smoothing * (slowdown - q.typicalSlowdown)
	q.slowdown = slowdown
	q.slowdownAt = now
}

// Slowdown returns the expected ratio of service times now to their moving averages. It
// is the last reported factor relative to the average factor, and approaches 1 as
// the report ages. It is 1 without a report younger than slowdownMaxAge.
func (q *Queue) Slowdown(now clock.Instant) float64 {
	age := now.Sub(q.slowdownAt)
	if q.slowdown == 0 || age >= slowdownMaxAge {
		return 1
	}
	weight := 1 - float64(age)/float64(slowdownMaxAge)
	return 1 + weight*(q.slowdown/q.typicalSlowdown-1)
}

// serviceTime returns the expected service time of a request of the given class that
// starts now.
func (q *Queue) serviceTime(now clock.Instant, name string) time.Duration {
	return time.Duration(q.Slowdown(now) * float64(q.typicalServiceTime(now, name)))
}

// typicalServiceTime returns the expected service time at the typical slowdown.
func (q *Queue) typicalServiceTime(now clock.Instant, name string) time.Duration {
	warm := q.means[class{name, false}].valueOr(q.MeanServiceTime())
	if !q.Cold(now) {
		return warm
	}
	return q.means[class{name, true}].valueOr(coldFactor * warm)
}

// Submit adds a request to the queue, or returns a Refusal if it is not expected to
// be answered in time. Dispatch returns the requests to start.
func (q *Queue) Submit(now clock.Instant, t *Ticket) *Refusal {
	q.lastNumber++
	t.number, t.late = q.lastNumber, t.Target < now
	p := q.predict(now, t)
	q.recordArrival(now, t)
	if reason := refusalReason(now, p, t); reason != "" {
		return q.refuse(now, p, t, reason)
	}
	if q.link != nil && t.Size > 0 {
		t.promise = q.link.Promise(now, linkRank(t), t.Size, t.Spread)
	}
	i, _ := slices.BinarySearchFunc(q.waiting, t, q.order(now))
	q.waiting = slices.Insert(q.waiting, i, t)
	return nil
}

// prediction is the expected course of a request.
type prediction struct {
	start    clock.Instant   // of the run
	ready    clock.Instant   // end of the run
	transfer link.Prediction // of the response; zero if the link does not carry it as bulk
}

// finish returns the expected time at which the response is transferred.
func (p prediction) finish() clock.Instant { return max(p.ready, p.transfer.Expected) }

// predict returns the expected course of a request that arrives now if the offered load stays
// the same.
func (q *Queue) predict(now clock.Instant, t *Ticket) prediction {
	wait := float64(q.predictStart(now, t).Sub(now))
	p := q.course(now, now.Add(time.Duration(wait/q.spareShare(now, t, false))), t)
	if p.finish() <= t.Target {
		return p
	}
	return q.course(now, now.Add(time.Duration(wait/q.spareShare(now, t, true))), t)
}

// course returns the expected course of a request that starts at the given time.
func (q *Queue) course(now, start clock.Instant, t *Ticket) prediction {
	p := prediction{start: start, ready: start.Add(q.serviceTime(now, t.Class))}
	if q.link != nil && t.Size > 0 {
		p.transfer = q.link.Predict(now, p.ready, linkRank(t), t.Size, t.Spread, t.promise)
	}
	return p
}

// lateForLink returns the time by which the link carries the response too late, or 0.
func (p prediction) lateForLink(now clock.Instant, t *Ticket) time.Duration {
	if p.transfer == (link.Prediction{}) {
		return 0
	}
	return p.transfer.Lateness(now, t.Target, t.Deadline)
}

// refusalReason returns the reason to refuse a request with the given prediction, or "" if it
// may wait.
func refusalReason(now clock.Instant, p prediction, t *Ticket) string {
	switch {
	case p.ready > t.Deadline && p.start > now:
		return "no slot before the deadline"
	case now.Add(time.Duration(minRunShare*float64(p.ready.Sub(p.start)))) >= t.Deadline:
		return "too little time is left"
	case p.ready > t.Target && p.start > now && p.ready > now.Add(time.Duration(lateShare*float64(t.Deadline.Sub(now)))):
		return "no slot within the latency objective"
	case p.lateForLink(now, t) > 0:
		return linkReason
	}
	return ""
}

// linkReason is the reason of a refusal for the link.
const linkReason = "the link cannot carry the response in time"

// refuse returns the refusal of a ticket.
func (q *Queue) refuse(now clock.Instant, p prediction, t *Ticket, reason string) *Refusal {
	if reason == linkReason {
		// There is room for the response once the backlog has shrunk by the time that it is late.
		delay := q.linkReturns.Next(now, now.Add(p.lateForLink(now, t)), q.link.BulkRate(now)/t.Size)
		return &Refusal{Ticket: t, Reason: reason, RetryAfter: max(delay, minRetryAfter), ForLink: true}
	}
	delay := retryAfter(now, p.ready, t)
	if q.spreadReturns && !t.Nested && q.slots > 0 { // a nested call is sent elsewhere at once, or not at all
		delay = q.returnDelay(now, t)
	}
	if limited := q.limitedRetryAfter(now); limited > delay {
		delay = limited
		reason += " under the limit that the server names"
	}
	return &Refusal{Ticket: t, Reason: reason, RetryAfter: delay}
}

// returnDelay returns the delay after which a refused caller is to return: when the requests that
// wait now have started and those refused before are served, at the rate of the slots.
func (q *Queue) returnDelay(now clock.Instant, t *Ticket) time.Duration {
	serviceTime := q.serviceTime(now, t.Class)
	perS := max(float64(q.slots)/serviceTime.Seconds(), minReturnsPerS)
	first := now.Add(retryAfter(now, q.predictStart(now, t).Add(serviceTime), t))
	return q.slotReturns.Next(now, first, perS)
}

// retryAfter returns the advised retry delay: the time by which the predicted
// finish exceeds the objective, or now if the objective has passed, between
// minRetryAfter and maxRetryAfter.
func retryAfter(now, finish clock.Instant, t *Ticket) time.Duration {
	return min(max(finish.Sub(max(t.Target, now)), minRetryAfter), maxRetryAfter)
}

// order returns a comparison of tickets by run order: those that can still meet
// their objective first, then by rank, objective and arrival.
func (q *Queue) order(now clock.Instant) func(a, b *Ticket) int {
	return func(a, b *Ticket) int {
		return cmp.Or(
			cmp.Compare(q.late(now, a), q.late(now, b)),
			cmp.Compare(q.rank(now, a), q.rank(now, b)),
			q.compareTeams(now, a, b),
			cmp.Compare(a.Target, b.Target),
			cmp.Compare(a.number, b.number),
		)
	}
}

// late returns 1 for a ticket that would miss its objective even if it started now,
// otherwise 0.
func (q *Queue) late(now clock.Instant, t *Ticket) int {
	if now.Add(q.serviceTime(now, t.Class)) > t.Target {
		return 1
	}
	return 0
}

// rank returns the rank of a ticket; lower ranks run first.
func rank(t *Ticket) int64 { return link.Rank(t.Nested, t.Priority) }

// linkRank returns the rank of the response to a ticket on the link.
func linkRank(t *Ticket) int64 { return link.ResponseRank(t.Nested, t.Priority, t.late) }

// predictStart returns the time at which t would start if no other request
// arrived.
func (q *Queue) predictStart(now clock.Instant, t *Ticket) clock.Instant {
	free := q.freeAt(now)
	order := q.order(now)
	ahead := 0
	for _, w := range q.waiting {
		if order(w, t) < 0 {
			occupy(free, q.serviceTime(now, w.Class))
			ahead++
		}
	}
	if len(free) == 0 {
		return now.Add(maxRetryAfter)
	}
	return max(slices.Min(free), q.coldStart(now), q.limit.Next(now, ahead))
}

// freeAt returns for each slot the time at which it is expected to be free.
func (q *Queue) freeAt(now clock.Instant) []clock.Instant {
	free := make([]clock.Instant, 0, q.slots)
	for _, r := range q.running {
		serviceTime := q.serviceTime(now, r.Class)
		left := max(r.started.Add(serviceTime).Sub(now), time.Duration(minRemainingShare*float64(serviceTime)))
		free = append(free, now.Add(left))
	}
	for len(free) < q.slots {
		free = append(free, now)
	}
	if len(free) > q.slots { // the number of slots was lowered while requests ran
		slices.Sort(free)
		free = free[len(free)-q.slots:]
	}
	return free
}

// occupy assigns the slot that is free first to a request with the given service
// time.
func occupy(free []clock.Instant, serviceTime time.Duration) {
	if len(free) == 0 {
		return
	}
	first := 0
	for i := range free {
		if free[i] < free[first] {
			first = i
		}
	}
	free[first] = free[first].Add(serviceTime)
}

// coldStart returns the time from which the start rate of a cold server allows one
// more request after those that wait. It is now if the server is not cold or its
// start rate is not limited.
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

// recentStarts returns the number of starts within the last rateWindow and removes
// earlier ones from q.starts.
func (q *Queue) recentStarts(now clock.Instant) int {
	keep := slices.IndexFunc(q.starts, func(at clock.Instant) bool { return now.Sub(at) < rateWindow })
	if keep < 0 {
		keep = len(q.starts)
	}
	q.starts = slices.Delete(q.starts, 0, keep)
	return len(q.starts)
}

// Dispatch returns the tickets that start now, and the waiting tickets that are refused
// because they are no longer expected to be answered in time.
func (q *Queue) Dispatch(now clock.Instant) (started []*Ticket, refused []Refusal) {
	refused = q.expire(now)
	slices.SortFunc(q.waiting, q.order(now))
	for len(q.waiting) > 0 && len(q.running) < q.slots && q.mayStart(now) {
		t := q.waiting[0]
		q.waiting = slices.Delete(q.waiting, 0, 1)
		t.started = now
		q.running = append(q.running, t)
		q.starts = append(q.starts, now)
		q.limit.Take(now)
		q.recordStart(now, t)
		started = append(started, t)
	}
	return started, refused
}

// expire removes and refuses the waiting tickets for which refusalReason finds a
// reason, given the tickets before them.
func (q *Queue) expire(now clock.Instant) []Refusal {
	var refused []Refusal
	free := q.freeAt(now)
	ahead := 0
	q.waiting = slices.DeleteFunc(q.waiting, func(t *Ticket) bool {
		start := q.limit.Next(now, ahead)
		if len(free) > 0 {
			start = max(start, slices.Min(free))
		}
		p := q.course(now, start, t)
		reason := refusalReason(now, p, t)
		if reason == "" {
			occupy(free, q.serviceTime(now, t.Class))
			ahead++
			return false
		}
		q.dropPromise(t)
		refused = append(refused, *q.refuse(now, p, t, reason))
		return true
	})
	return refused
}

// mayStart reports whether the rates of a cold server and of a server that names a limit
// allow one more start.
func (q *Queue) mayStart(now clock.Instant) bool {
	return q.mayStartCold(now) && q.mayStartLimited(now)
}

// mayStartCold reports whether the rate of a cold server allows one more start.
func (q *Queue) mayStartCold(now clock.Instant) bool {
	recent := q.recentStarts(now)
	return !q.Cold(now) || q.coldRate <= 0 || float64(recent) < q.coldRate
}

// StartDelay returns the time until Dispatch may start a ticket that waits for the rate
// of a cold server or of one that names a limit although a slot is free, or 0 if there is
// no such ticket.
func (q *Queue) StartDelay(now clock.Instant) time.Duration {
	if len(q.waiting) == 0 || len(q.running) >= q.slots || q.mayStart(now) {
		return 0
	}
	delay := time.Millisecond
	if !q.mayStartCold(now) {
		delay = max(delay, q.starts[0].Add(rateWindow).Sub(now))
	}
	return max(delay, q.limitDelay(now))
}

// Done ends the run of t. The duration of an answered run is added to the mean
// service times. That of an unanswered run is added only if it was longer than
// expected, since the server is at least that slow; without such runs, a slow server
// would be measured only by the runs that end in time. Done has no effect if t is
// not running.
func (q *Queue) Done(now clock.Instant, t *Ticket, answered bool) {
	i := slices.Index(q.running, t)
	if i < 0 {
		return
	}
	q.running = slices.Delete(q.running, i, i+1)
	q.dropPromise(t)
	took := now.Sub(t.started)
	if !answered && took <= q.serviceTime(t.started, t.Class) {
		return
	}
	of := class{t.Class, q.Cold(t.started)}
	if q.means[of] == nil {
		q.means[of] = &mean{}
	}
	q.means[of].add(took)
	q.all.add(took)
}

// dropPromise ends the promise of the link for a response: the request does not run, or the
// response is there and its writer offers it to the link.
func (q *Queue) dropPromise(t *Ticket) {
	if t.promise != nil {
		q.link.Drop(t.promise)
		t.promise = nil
	}
}

// Cancel removes t from the waiting tickets. It returns false if t is not waiting.
func (q *Queue) Cancel(t *Ticket) bool {
	i := slices.Index(q.waiting, t)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	q.dropPromise(t)
	return true
}

// RemoveWaiting removes the waiting tickets that match and returns them.
func (q *Queue) RemoveWaiting(match func(*Ticket) bool) []*Ticket {
	var removed []*Ticket
	q.waiting = slices.DeleteFunc(q.waiting, func(t *Ticket) bool {
		if match(t) {
			q.dropPromise(t)
			removed = append(removed, t)
			return true
		}
		return false
	})
	return removed
}
