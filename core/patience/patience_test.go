package patience

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

const start = clock.Instant(time.Hour)

// Timeouts of first attempts that differ a little must not count as retries.
func TestFirstAttemptsHaveNotWaited(t *testing.T) {
	is := is.New(t)
	e := new(Estimate)
	r := rand.New(rand.NewPCG(1, 0))
	for i := range 1000 {
		remaining := time.Duration(1700+r.IntN(300)) * time.Millisecond
		is.Equal(e.Elapsed(start.Add(time.Duration(i)*time.Millisecond), remaining), time.Duration(0))
	}
}

func TestReturnedCallersHaveWaited(t *testing.T) {
	is := is.New(t)
	e := new(Estimate)
	for range 100 {
		e.Elapsed(start, 2*time.Second)
	}
	is.Equal(e.Elapsed(start, 1200*time.Millisecond), 800*time.Millisecond)
	is.Equal(e.Elapsed(start, 100*time.Millisecond), 1900*time.Millisecond)
}

// If callers change to a shorter timeout, their first attempts are recognized again
// after some minutes, since the longest timeout decays.
func TestLongerPatienceIsForgotten(t *testing.T) {
	is := is.New(t)
	e := new(Estimate)
	e.Elapsed(start, 4*time.Second)
	later := start
	for range 30 * 60 {
		later = later.Add(time.Second)
		e.Elapsed(later, time.Second)
	}
	is.Equal(e.Elapsed(later, time.Second), time.Duration(0))
	is.True(e.Elapsed(later, 500*time.Millisecond) > 400*time.Millisecond)
}
