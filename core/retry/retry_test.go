package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
)

// Drives a request through random outcomes and checks that one which is not
// idempotent is never sent again after a try that ran or may have run.
func TestOneTimeRequestIsNotSentAgain(t *testing.T) {
	kinds := outcome.Kinds()
	rapid.Check(t, func(t *rapid.T) {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		mayHaveRun := false
		for range 50 {
			if mayHaveRun && !idempotent {
				t.Fatal("sent again after it may have run")
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
			is.True(verdict != Await || answer.Ran == outcome.NotRun)
			is.True(verdict != Again || idempotent)
			is.True(answer.Ran != outcome.DidRun || verdict == Stop)
		}
	}
	is.Equal(Decide(outcome.BackendCrashed, true), Stop)
	is.Equal(Decide(outcome.Kind(9999), false), Stop) // unknown kinds claim least
}

// simulate sends requests at 1,000 a second for ten seconds, of which every
// fifth fails each try, and returns tries per request.
func simulate(allow func(b *Budget, now clock.Instant) bool) float64 {
	now := clock.Instant(0)
	b := NewBudget(now)
	const requests = 10_000
	tries := 0
	for i := range requests {
		now = now.Add(time.Millisecond)
		b.Earn(now)
		tries++
		if i%5 != 0 {
			continue
		}
		for pause := time.Duration(0); pause < 2*time.Second && allow(b, now); pause += 20 * time.Millisecond {
			tries++
		}
	}
	return float64(tries) / requests
}

func TestBudgetBoundsAmplification(t *testing.T) {
	is := is.New(t)
	budget := simulate(func(b *Budget, now clock.Instant) bool { return b.Take(now) })
	naive := simulate(func(*Budget, clock.Instant) bool { return true })
	t.Logf("tries per request: budget %.3f, naive %.3f", budget, naive)
	is.True(budget <= 1.1)
	is.True(naive > 1.1) // the bound can fail
}

func TestBackoffGrowsWithinBounds(t *testing.T) {
	is := is.New(t)
	for tries := 1; tries < 100; tries++ {
		pause := Backoff(tries)
		is.True(pause >= backoffFirst/2 && pause <= backoffMost)
	}
}

// A fleet's retries in any window stay below what it may send, with the calls that
// repeated runs make again: a budget that each daemon filled by itself did not
// know of the others.
func TestFleetKeepsItsRetryBudget(t *testing.T) {
	is := is.New(t)
	const (
		daemons = 10
		ratio   = 0.2
		extra   = 60.0
		window  = 10 * time.Second
	)
	// spent is what all daemons spend on as many requests each in a window.
	spent := func(requests int, nested bool) float64 {
		now := clock.Instant(time.Hour)
		sent := 0
		for range daemons {
			b := NewBudgetOn(now, ShareOf(ratio, extra, daemons, nested))
			for i := range requests {
				at := now.Add(time.Duration(i) * window / time.Duration(requests))
				b.Earn(at)
				for b.Take(at) {
					sent++
				}
			}
		}
		return float64(sent)
	}
	for _, requests := range []int{10, 100, 1000} {
		for _, calls := range []float64{0, 0.7, 2} { // of each run at the other service
			atCaller := spent(requests, false)
			is.True(atCaller <= ratio*daemons*float64(requests)+extra)
			nested := int(calls * float64(requests))
			if nested == 0 {
				continue
			}
			direct := spent(requests, false)
			atCalled := spent(nested, true) + calls*atCaller + direct
			is.True(atCalled <= ratio*daemons*float64(requests+nested)+extra)
		}
	}
}
