package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// server is a backend server in virtual time that bears few requests while it
// is cold, sheds the others, and is slower then.
type server struct {
	bears   func(now clock.Instant) int
	service func(now clock.Instant) time.Duration
}

type figures struct {
	sheds, answers int
	full           time.Duration // time until the limit reached the slots; 0 if never
}

// drive keeps the queue full for the given time, stepping by a millisecond.
func drive(q *Queue, s server, from clock.Instant, lasts time.Duration) figures {
	var f figures
	ends := map[*Ticket]clock.Instant{}
	for now := from; now < from.Add(lasts); now = now.Add(time.Millisecond) {
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
			if len(ends) >= s.bears(now) {
				f.sheds++
				q.Done(now, t, Shed)
				continue
			}
			ends[t] = now.Add(s.service(now))
		}
		if f.full == 0 && q.Limit() == q.Slots() {
			f.full = now.Sub(from) + time.Millisecond
		}
	}
	for t := range ends {
		q.Done(from.Add(lasts), t, Failed)
	}
	return f
}

// coldServer warms up over lasts from at: it bears one request more each
// ninth of it and serves in 20 ms at first, 5 ms when warm.
func coldServer(at clock.Instant, lasts time.Duration) server {
	part := func(now clock.Instant) float64 {
		if now < at {
			return 1
		}
		return min(1, float64(now.Sub(at))/float64(lasts))
	}
	return server{
		bears: func(now clock.Instant) int { return 1 + int(8*part(now)) },
		service: func(now clock.Instant) time.Duration {
			return 20*time.Millisecond - time.Duration(part(now)*float64(15*time.Millisecond))
		},
	}
}

const warmUp = 1500 * time.Millisecond

func TestRampSparesAColdServer(t *testing.T) {
	is := is.New(t)
	ramped := New(Options{MaxQueue: 100, Fair: true, Ramp: true})
	ramped.SetSlots(1, 9)
	ramped.TurnCold(1)
	with := drive(ramped, coldServer(1, warmUp), 1, 5*time.Second)
	naive := New(Options{MaxQueue: 100, Fair: true})
	naive.SetSlots(1, 9)
	without := drive(naive, coldServer(1, warmUp), 1, 5*time.Second)
	t.Logf("ramp: %+v; none: %+v", with, without)
	is.Equal(with.sheds, 0)       // no request beyond what the server bears
	is.True(without.sheds > 1000) // the baseline floods it
	is.True(with.full > 0 && with.full < 5*time.Second)
	is.True(!ramped.Cold())
}

func TestUnannouncedColdnessIsSeen(t *testing.T) {
	is := is.New(t)
	q := New(Options{MaxQueue: 100, Fair: true, Ramp: true})
	q.SetSlots(1, 9)
	warm := server{
		bears:   func(clock.Instant) int { return 9 },
		service: func(clock.Instant) time.Duration { return 5 * time.Millisecond },
	}
	is.Equal(drive(q, warm, 1, 5*time.Second).sheds, 0)
	is.Equal(q.Limit(), 9)
	at := clock.Instant(1).Add(5 * time.Second)
	f := drive(q, coldServer(at, 3*time.Second), at, 10*time.Second)
	t.Logf("cold again: %+v", f)
	is.True(f.sheds <= 20) // steps down of one lesson, against thousands without
	is.Equal(q.Limit(), 9) // and back to full load
}

func TestOneShedDoesNotMakeCold(t *testing.T) {
	is := is.New(t)
	r := newRamp(true)
	r.setSlots(1, 8)
	r.limit = 8
	r.answered(2, time.Millisecond)
	r.shed(3, 7)
	is.Equal(r.limit, 4)
	is.True(!r.cold)
}

// A server that warms up over several seconds is not given more than it bears,
// however long that takes and whatever it bore before. Service times fall by
// more than the milliseconds of drive's steps each second.
func TestRampFollowsSlowWarmUp(t *testing.T) {
	for _, lasts := range []time.Duration{4 * time.Second, 8 * time.Second, 12 * time.Second} {
		is := is.New(t)
		q := New(Options{MaxQueue: 100, Fair: true, Ramp: true})
		q.SetSlots(1, 9)
		q.TurnCold(1)
		first := drive(q, coldServer(1, lasts), 1, lasts+5*time.Second)
		is.Equal(first.sheds, 0)
		is.True(first.full > 0)
		again := clock.Instant(1).Add(lasts + 5*time.Second)
		q.TurnCold(again)
		second := drive(q, coldServer(again, lasts), again, lasts+5*time.Second)
		is.Equal(second.sheds, 0)
		is.True(second.full > 0)
	}
}

// A server that sheds everything is asked seldom, not by each waiting request.
func TestFallenServerRests(t *testing.T) {
	is := is.New(t)
	q := New(Options{MaxQueue: 100, Fair: true, Ramp: true})
	q.SetSlots(1, 9)
	q.TurnCold(1)
	fallen := server{bears: func(clock.Instant) int { return 0 }}
	f := drive(q, fallen, 1, 3*time.Second)
	is.True(f.sheds > 0 && f.sheds < 10)
}

// Service times of a warm server on a busy host vary; that must not hold a
// restarted server at one slot.
func TestRampBearsNoise(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	noisy := server{
		bears:   func(clock.Instant) int { return 9 },
		service: func(clock.Instant) time.Duration { return time.Duration(4+rnd.IntN(5)) * time.Millisecond },
	}
	q := New(Options{MaxQueue: 100, Fair: true, Ramp: true})
	q.SetSlots(1, 9)
	for i := range 5 {
		at := clock.Instant(1).Add(time.Duration(i) * 10 * time.Second)
		q.TurnCold(at)
		f := drive(q, noisy, at, 10*time.Second)
		is.True(f.full > 0 && f.full < 7*time.Second)
	}
}
