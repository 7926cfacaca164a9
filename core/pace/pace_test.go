package pace

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

const second = clock.Instant(time.Second)

// starts plays demand for a while and returns the times at which requests start.
func starts(l *Limit, from, to clock.Instant, perS float64) []clock.Instant {
	var list []clock.Instant
	gap := clock.Instant(float64(time.Second) / perS)
	for now := from; now < to; now += gap {
		if l.Next(now, 0) <= now {
			l.Take(now)
			list = append(list, now)
		}
	}
	return list
}

// most returns the largest number of times within a window of the given length.
func most(times []clock.Instant, window clock.Instant) int {
	best, first := 0, 0
	for i, at := range times {
		for at-times[first] >= window {
			first++
		}
		best = max(best, i-first+1)
	}
	return best
}

func TestServerGetsMoreThanItsLimit(t *testing.T) {
	for _, perS := range []float64{0, 0.4, 3, 12.1, 250} {
		is := is.New(t)
		var l Limit
		l.Observe(second, second, perS, true)
		times := starts(&l, second, 60*second, 5*perS+20)
		allowed := 1.0 + max(perS, minPerS)*4 + l.capacity()
		is.True(float64(most(times, 4*second)) <= allowed)
		is.True(float64(len(times)) >= 0.95*59*perS-1) // and the rate is used
	}
}

func TestLimitIsLiftedByCrossingResponse(t *testing.T) {
	is := is.New(t)
	var l Limit
	l.Observe(10*second, 9*second, 5, true)
	l.Observe(11*second, 9*second, 0, false) // sent before the limit was named
	is.Equal(l.PerS(), 5.0)
	l.Observe(12*second, 11*second, 0, false)
	is.Equal(l.PerS(), 0.0)
	is.Equal(l.Next(12*second, 100), 12*second)
}

func TestLimitIsForgottenByRestart(t *testing.T) {
	is := is.New(t)
	var l Limit
	l.AwaitResponse(second)
	is.True(l.Unknown(second))
	l.Learn(second+1, 7)
	is.Equal(l.PerS(), 7.0)
	is.True(!l.Unknown(second + 1))
	l.Learn(second+2, 100) // old knowledge does not replace what is in force
	is.Equal(l.PerS(), 7.0)

	l = Limit{}
	l.AwaitResponse(second)
	l.Observe(second+5, second+1, 0, false)
	l.Learn(second+6, 7) // the server has answered without a limit
	is.Equal(l.PerS(), 0.0)

	l = Limit{}
	l.AwaitResponse(second)
	is.True(!l.Unknown(second + clock.Instant(firstResponseWait)))
}

func TestChangesOfLimitMintRequests(t *testing.T) {
	is := is.New(t)
	var l Limit
	rng := rand.New(rand.NewPCG(1, 1))
	var times []clock.Instant
	for now := second; now < 60*second; now += second / 100 {
		if rng.IntN(3) == 0 {
			l.Observe(now, now, 5+5*rng.Float64(), true)
		}
		if l.Next(now, 0) <= now {
			l.Take(now)
			times = append(times, now)
		}
	}
	is.True(most(times, 4*second) <= 4*10+3)
}
