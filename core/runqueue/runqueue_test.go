package runqueue

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

const (
	start = clock.Instant(time.Hour)
	ms    = time.Millisecond
)

func ticket(priority uint32, target, limit time.Duration) *Ticket {
	return &Ticket{Class: "c", Priority: priority, Target: start.Add(target), Deadline: start.Add(limit)}
}

// queue returns a queue in which class "c" has the given measured service time.
func queue(slots int, service time.Duration) *Queue {
	q := New()
	q.SetSlots(slots)
	q.means[class{"c", false}] = &mean{value: service, count: 100}
	q.all = mean{value: service, count: 100}
	return q
}

func TestRunsAtMostSlots(t *testing.T) {
	is := is.New(t)
	q := queue(2, 50*ms)
	for range 5 {
		is.True(q.Submit(start, ticket(0, time.Second, 2*time.Second)) == nil)
	}
	started, refused := q.Dispatch(start)
	is.Equal(len(started), 2)
	is.Equal(len(refused), 0)
	is.Equal(q.Waiting(), 3)
	q.Done(start.Add(50*ms), started[0], true)
	started, _ = q.Dispatch(start.Add(50 * ms))
	is.Equal(len(started), 1)
	is.Equal(q.Running(), 2)
}

// A request that cannot be answered in time is refused on arrival. RetryAfter is
// the time by which its answer would have been late.
func TestUnanswerableRequestIsRefusedOnArrival(t *testing.T) {
	is := is.New(t)
	q := queue(1, 100*ms)
	is.True(q.Submit(start, ticket(0, 300*ms, time.Second)) == nil)
	q.Dispatch(start)
	is.True(q.Submit(start, ticket(0, 300*ms, time.Second)) == nil)
	is.True(q.Submit(start, ticket(0, 300*ms, time.Second)) == nil)
	refused := q.Submit(start, ticket(0, 150*ms, 250*ms))
	is.True(refused != nil)
	// The answer would have been 50 ms late, or more if the offered load stays the same.
	is.True(refused.RetryAfter >= 50*ms && refused.RetryAfter <= 300*ms)
}

func TestIdleServerAcceptsLateRequest(t *testing.T) {
	is := is.New(t)
	q := queue(1, 100*ms)
	is.True(q.Submit(start, ticket(0, -100*ms, 500*ms)) == nil)
	started, _ := q.Dispatch(start)
	is.Equal(len(started), 1)
}

func TestOrder(t *testing.T) {
	is := is.New(t)
	q := queue(1, 100*ms)
	running := ticket(0, time.Second, 2*time.Second)
	is.True(q.Submit(start, running) == nil)
	q.Dispatch(start)
	late := ticket(0, 50*ms, 5*time.Second)
	low := ticket(2, 900*ms, 5*time.Second)
	high := ticket(1, 950*ms, 5*time.Second)
	nested := ticket(3, 990*ms, 5*time.Second)
	nested.Nested = true
	for _, w := range []*Ticket{late, low, high, nested} {
		is.True(q.Submit(start, w) == nil)
	}
	now := start
	for _, want := range []*Ticket{nested, high, low, late} {
		now = now.Add(100 * ms)
		q.Done(now, running, true)
		started, refused := q.Dispatch(now)
		is.Equal(len(refused), 0)
		is.Equal(started, []*Ticket{want})
		running = want
	}
}

func TestWaitingRequestIsRefusedWhenDeadlineNears(t *testing.T) {
	is := is.New(t)
	q := queue(1, 100*ms)
	running := ticket(0, time.Second, 2*time.Second)
	is.True(q.Submit(start, running) == nil)
	q.Dispatch(start)
	is.True(q.Submit(start, ticket(0, 250*ms, 300*ms)) == nil)
	now := start.Add(260 * ms) // the previous run took longer than expected
	q.Done(now, running, true)
	started, refused := q.Dispatch(now)
	is.Equal(len(started)+len(refused), 1)
	is.Equal(len(refused), 1)
}

// The start rate of a cold server is limited, regardless of the service times.
func TestColdServerStartRateIsLimited(t *testing.T) {
	is := is.New(t)
	q := queue(9, 5*ms)
	q.SetCold(start.Add(3*time.Second), 18)
	var starts []clock.Instant
	var running []*Ticket
	for at := start; at < start.Add(2900*ms); at = at.Add(ms) {
		for _, r := range running {
			q.Done(at, r, true)
		}
		q.Submit(at, &Ticket{Class: "c", Target: at.Add(300 * ms), Deadline: at.Add(2 * time.Second)})
		running, _ = q.Dispatch(at)
		for range running {
			starts = append(starts, at)
		}
	}
	is.True(len(starts) >= 18*2)
	for i := range starts {
		if i >= 18 {
			is.True(starts[i].Sub(starts[i-18]) >= time.Second)
		}
	}
}

func TestCancelAndWithdraw(t *testing.T) {
	is := is.New(t)
	q := queue(1, 100*ms)
	a, b, c := ticket(0, time.Second, 2*time.Second), ticket(0, time.Second, 2*time.Second), ticket(0, time.Second, 2*time.Second)
	for _, w := range []*Ticket{a, b, c} {
		is.True(q.Submit(start, w) == nil)
	}
	q.Dispatch(start)
	is.True(!q.Cancel(a)) // it runs
	is.True(q.Cancel(b))
	is.Equal(q.RemoveWaiting(func(*Ticket) bool { return true }), []*Ticket{c})
	is.Equal(q.Waiting(), 0)
}

// Service times on a cold server are averaged separately from those on a warm one.
func TestColdServiceTimesAreSeparate(t *testing.T) {
	is := is.New(t)
	q := queue(1, 50*ms)
	q.SetCold(start.Add(time.Second), 18)
	is.Equal(q.serviceTime(start, "c"), 150*ms)
	coldRun := ticket(0, time.Second, 2*time.Second)
	is.True(q.Submit(start, coldRun) == nil)
	q.Dispatch(start)
	q.Done(start.Add(200*ms), coldRun, true)
	is.Equal(q.serviceTime(start.Add(300*ms), "c"), 200*ms)
	is.Equal(q.serviceTime(start.Add(2*time.Second), "c"), 50*ms)
}

// If a server reports that requests take three times as long, those that can no
// longer be answered in time are refused at once. The report expires after
// slowdownMaxAge.
func TestReportedSlowdownRaisesServiceTime(t *testing.T) {
	is := is.New(t)
	q := New()
	q.SetSlots(1)
	at := clock.Instant(time.Hour)
	for range 50 { // 100 ms at the typical speed
		r := &Ticket{Class: "read", Target: at.Add(time.Second), Deadline: at.Add(time.Second)}
		is.Equal(q.Submit(at, r), nil)
		q.Dispatch(at)
		at = at.Add(100 * time.Millisecond)
		q.SetSlowdown(at, 1)
		q.Done(at, r, true)
	}
	short := func() *Ticket {
		return &Ticket{Class: "read", Target: at.Add(130 * time.Millisecond), Deadline: at.Add(150 * time.Millisecond)}
	}
	first := short()
	is.Equal(q.Submit(at, first), nil)
	is.True(q.Cancel(first))
	q.SetSlowdown(at, 3)
	refused := q.Submit(at, short())
	is.True(refused != nil)
	is.Equal(refused.Reason, "too little time is left")
	at = at.Add(slowdownMaxAge)
	is.Equal(q.Submit(at, short()), nil)
}

// Runs that reach their deadline without an answer count as measurements. If only
// answered runs were measured, a server that has become too slow to answer would
// still appear fast. A request that would have to wait there is refused at once.
func TestUnansweredRunsRaiseServiceTime(t *testing.T) {
	is := is.New(t)
	q := New()
	q.SetSlots(1)
	at := clock.Instant(time.Hour)
	submit := func() (*Ticket, *Refusal) {
		r := &Ticket{Class: "read", Target: at.Add(250 * time.Millisecond), Deadline: at.Add(600 * time.Millisecond)}
		return r, q.Submit(at, r)
	}
	run := func(took time.Duration, answered bool) {
		r, refused := submit()
		is.Equal(refused, nil)
		q.Dispatch(at)
		at = at.Add(took)
		q.Done(at, r, answered)
	}
	for range 50 {
		run(60*time.Millisecond, true)
	}
	_, _ = submit()
	q.Dispatch(at)
	waitingTicket, refused := submit()
	is.Equal(refused, nil) // behind one run of 60 ms
	q.Cancel(waitingTicket)
	q.Done(at.Add(600*time.Millisecond), q.running[0], false)
	at = at.Add(600 * time.Millisecond)
	for range 20 {
		run(600*time.Millisecond, false)
	}
	_, refused = submit()
	is.Equal(refused, nil) // an idle server still gets a request
	q.Dispatch(at)
	_, refused = submit()
	is.True(refused != nil)
}
