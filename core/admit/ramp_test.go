package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// server is a model of a backend server in virtual time. It sheds requests beyond
// its current capacity.
type server struct {
	capacity func(now clock.Instant) int           // requests that it can run at once
	service  func(now clock.Instant) time.Duration // service time of a request
}

// stats are the counts of a simulation.
type stats struct {
	sheds, answers int
	timeToFull     time.Duration // time until the limit reached the slots; 0 if it did not
}

// simulate simulates the server for the given duration in steps of 1 ms and keeps
// the queue full.
func simulate(q *Queue, s server, from clock.Instant, duration time.Duration) stats {
	var f stats
	ends := map[*Ticket]clock.Instant{}
	for now := from; now < from.Add(duration); now = now.Add(time.Millisecond) {
		for t, end := range ends {
			if now >= end {
				delete(ends, t)
				f.answers++
				q.Done(now, t, Answered)
			}
		}
		for q.Waiting() < q.Slots() {
			q.Submit(now, &Ticket{Deadline: now.Add(time.Hour)})
		}
		started, _ := q.Dispatch(now)
		for _, t := range started {
			if len(ends) >= s.capacity(now) {
				f.sheds++
				q.Done(now, t, Shed)
				continue
			}
			ends[t] = now.Add(s.service(now))
		}
		if f.timeToFull == 0 && q.Limit() == q.Slots() {
			f.timeToFull = now.Sub(from) + time.Millisecond
		}
	}
	for t := range ends {
		q.Done(from.Add(duration), t, Failed)
	}
	return f
}

// coldServer returns a server that starts to warm up at the given time and is
// warm after the given duration. Its capacity grows from 1 request by one with
// each eighth of the duration, and its service time falls linearly from 20 ms to
// 5 ms.
func coldServer(at clock.Instant, duration time.Duration) server {
	progress := func(now clock.Instant) float64 {
		if now < at {
			return 1
		}
		return min(1, float64(now.Sub(at))/float64(duration))
	}
	return server{
		capacity: func(now clock.Instant) int { return 1 + int(8*progress(now)) },
		service: func(now clock.Instant) time.Duration {
			return 20*time.Millisecond - time.Duration(progress(now)*float64(15*time.Millisecond))
		},
	}
}

const warmUpTime = 1500 * time.Millisecond

func TestRampDoesNotOverloadColdServer(t *testing.T) {
	is := is.New(t)
	ramped := New(Options{MaxQueue: 100, Fair: true, Ramp: true})
	ramped.SetSlots(1, 9)
	ramped.MarkCold(1)
	with := simulate(ramped, coldServer(1, warmUpTime), 1, 5*time.Second)
	unramped := New(Options{MaxQueue: 100, Fair: true})
	unramped.SetSlots(1, 9)
	without := simulate(unramped, coldServer(1, warmUpTime), 1, 5*time.Second)
	t.Logf("ramp: %+v; none: %+v", with, without)
	is.Equal(with.sheds, 0)       // no request beyond the server's capacity
	is.True(without.sheds > 1000) // without a ramp the server is overloaded
	is.True(with.timeToFull > 0 && with.timeToFull < 5*time.Second)
	is.True(!ramped.Cold())
}

func TestRampDetectsUnannouncedCold(t *testing.T) {
	is := is.New(t)
	q := New(Options{MaxQueue: 100, Fair: true, Ramp: true})
	q.SetSlots(1, 9)
	warm := server{
		capacity: func(clock.Instant) int { return 9 },
		service:  func(clock.Instant) time.Duration { return 5 * time.Millisecond },
	}
	is.Equal(simulate(q, warm, 1, 5*time.Second).sheds, 0)
	is.Equal(q.Limit(), 9)
	at := clock.Instant(1).Add(5 * time.Second)
	f := simulate(q, coldServer(at, 3*time.Second), at, 10*time.Second)
	t.Logf("cold again: %+v", f)
	is.True(f.sheds <= 20) // sheds until the limit is low enough; thousands without the ramp
	is.Equal(q.Limit(), 9) // full load again
}

func TestSingleShedDoesNotMarkCold(t *testing.T) {
	is := is.New(t)
	r := newRamp(true)
	r.setSlots(1, 8)
	r.limit = 8
	r.answered(2, time.Millisecond)
	r.shed(3, 7)
	is.Equal(r.limit, 4)
	is.True(!r.cold)
}

// A server that warms up over several seconds must not get more requests than
// its capacity, regardless of the duration and of its earlier capacity. The
// service times fall by more than 1 ms, the step of simulate, each second.
func TestRampFollowsSlowWarmUp(t *testing.T) {
	for _, duration := range []time.Duration{4 * time.Second, 8 * time.Second, 12 * time.Second} {
		is := is.New(t)
		q := New(Options{MaxQueue: 100, Fair: true, Ramp: true})
		q.SetSlots(1, 9)
		q.MarkCold(1)
		first := simulate(q, coldServer(1, duration), 1, duration+5*time.Second)
		is.Equal(first.sheds, 0)
		is.True(first.timeToFull > 0)
		again := clock.Instant(1).Add(duration + 5*time.Second)
		q.MarkCold(again)
		second := simulate(q, coldServer(again, duration), again, duration+5*time.Second)
		is.Equal(second.sheds, 0)
		is.True(second.timeToFull > 0)
	}
}

// A server that sheds every request must get few attempts, not one for each
// waiting request.
func TestRampBacksOffFromOverloadedServer(t *testing.T) {
	is := is.New(t)
	q := New(Options{MaxQueue: 100, Fair: true, Ramp: true})
	q.SetSlots(1, 9)
	q.MarkCold(1)
	overloaded := server{capacity: func(clock.Instant) int { return 0 }}
	f := simulate(q, overloaded, 1, 3*time.Second)
	is.True(f.sheds > 0 && f.sheds < 10)
}

// Service times of a warm server on a busy host vary. This variation must not
// keep the limit of a restarted server at one slot.
func TestRampToleratesServiceTimeNoise(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	noisy := server{
		capacity: func(clock.Instant) int { return 9 },
		service:  func(clock.Instant) time.Duration { return time.Duration(4+rnd.IntN(5)) * time.Millisecond },
	}
	q := New(Options{MaxQueue: 100, Fair: true, Ramp: true})
	q.SetSlots(1, 9)
	for i := range 5 {
		at := clock.Instant(1).Add(time.Duration(i) * 10 * time.Second)
		q.MarkCold(at)
		f := simulate(q, noisy, at, 10*time.Second)
		is.True(f.timeToFull > 0 && f.timeToFull < 7*time.Second)
	}
}
