package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
)

// Applies random outcomes to a request and checks that a request that is not
// idempotent is never resent after an attempt that ran or may have run.
func TestNonIdempotentRequestIsNotResent(t *testing.T) {
	kinds := outcome.Kinds()
	rapid.Check(t, func(t *rapid.T) {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		mayHaveRun := false
		for range 50 {
			if mayHaveRun && !idempotent {
				t.Fatal("request that is not idempotent was resent after it may have run")
			}
			kind := rapid.SampledFrom(kinds).Draw(t, "kind")
			mayHaveRun = mayHaveRun || kind.Answer().Ran != outcome.NotRun
			if Decide(kind, idempotent) == Stop {
				return
			}
		}
	})
}

func TestDecideOverAllKinds(t *testing.T) {
	is := is.New(t)
	for _, k := range outcome.Kinds() {
		answer := k.Answer()
		for _, idempotent := range []bool{false, true} {
			verdict := Decide(k, idempotent)
			is.True(verdict != AwaitPlacement || answer.Ran == outcome.NotRun)
			is.True(verdict != RetryNow || idempotent)
			is.True(answer.Ran != outcome.DidRun || verdict == Stop)
		}
	}
	is.Equal(Decide(outcome.BackendCrashed, true), Stop)
	is.Equal(Decide(outcome.Kind(9999), false), Stop) // an unknown kind may have run
}

// simulate sends 1,000 requests a second for ten seconds and returns the attempts
// per request. Every attempt of every fifth request fails.
func simulate(allow func(b *Budget, now clock.Instant) bool) float64 {
	now := clock.Instant(0)
	b := NewBudget(now)
	const requests = 10_000
	attempts := 0
	for i := range requests {
		now = now.Add(time.Millisecond)
		b.RecordRequest(now)
		attempts++
		if i%5 != 0 {
			continue
		}
		for delay := time.Duration(0); delay < 2*time.Second && allow(b, now); delay += 20 * time.Millisecond {
			attempts++
		}
	}
	return float64(attempts) / requests
}

func TestBudgetBoundsAmplification(t *testing.T) {
	is := is.New(t)
	budget := simulate(func(b *Budget, now clock.Instant) bool { return b.Take(now) })
	unlimited := simulate(func(*Budget, clock.Instant) bool { return true })
	t.Logf("attempts per request: with budget %.3f, without %.3f", budget, unlimited)
	is.True(budget <= 1.1)
	is.True(unlimited > 1.1) // the load exceeds the bound without a budget
}

func TestBackoffGrowsWithinBounds(t *testing.T) {
	is := is.New(t)
	for attempts := 1; attempts < 100; attempts++ {
		delay := Backoff(attempts)
		is.True(delay >= minBackoff/2 && delay <= maxBackoff)
	}
}

// The retries of a fleet in a window, including the calls that repeated runs make
// again, must stay within the fleet's budget. Budgets that each daemon filled without
// regard to the others exceeded it.
func TestFleetStaysWithinRetryBudget(t *testing.T) {
	is := is.New(t)
	const (
		daemons = 10
		ratio   = 0.2
		extra   = 60.0
		window  = 10 * time.Second
	)
	// retriesSent returns the number of retries that all daemons send in a window in which
	// each gets the given number of requests.
	retriesSent := func(requests int, nested bool) float64 {
		now := clock.Instant(time.Hour)
		sent := 0
		for range daemons {
			b := NewBudgetWithLimits(now, DaemonLimits(ratio, extra, daemons, nested))
			for i := range requests {
				at := now.Add(time.Duration(i) * window / time.Duration(requests))
				b.RecordRequest(at)
				for b.Take(at) {
					sent++
				}
			}
		}
		return float64(sent)
	}
	for _, requests := range []int{10, 100, 1000} {
		for _, calls := range []float64{0, 0.7, 2} { // calls of each run to the other service
			callerRetries := retriesSent(requests, false)
			is.True(callerRetries <= ratio*daemons*float64(requests)+extra)
			nested := int(calls * float64(requests))
			if nested == 0 {
				continue
			}
			directRetries := retriesSent(requests, false)
			calledRetries := retriesSent(nested, true) + calls*callerRetries + directRetries
			is.True(calledRetries <= ratio*daemons*float64(requests+nested)+extra)
		}
	}
}
