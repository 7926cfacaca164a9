package callertimeout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

const start = clock.Instant(time.Hour)

// Timeouts of first attempts that differ a little must not count as retries.
func TestFirstAttemptsHaveZeroElapsed(t *testing.T) {
	is := is.New(t)
	e := new(Estimator)
	r := rand.New(rand.NewPCG(1, 0))
	for i := range 1000 {
		remaining := time.Duration(1700+r.IntN(300)) * time.Millisecond
		is.Equal(e.Observe(start.Add(time.Duration(i)*time.Millisecond), remaining), time.Duration(0))
	}
}

func TestRetriesHaveElapsedTime(t *testing.T) {
	is := is.New(t)
	e := new(Estimator)
	for range 100 {
		e.Observe(start, 2*time.Second)
	}
	is.Equal(e.Observe(start, 1200*time.Millisecond), 800*time.Millisecond)
	is.Equal(e.Observe(start, 100*time.Millisecond), 1900*time.Millisecond)
}

// If callers change to a shorter timeout, their first attempts are recognized again
// after some minutes, since the longest timeout decays.
func TestLongestTimeoutDecays(t *testing.T) {
	is := is.New(t)
	e := new(Estimator)
	e.Observe(start, 4*time.Second)
	later := start
	for range 30 * 60 {
		later = later.Add(time.Second)
		e.Observe(later, time.Second)
	}
	is.Equal(e.Observe(later, time.Second), time.Duration(0))
	is.True(e.Observe(later, 500*time.Millisecond) > 400*time.Millisecond)
}
