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

// The repeats of a fleet in a window, including the calls that repeated runs make again,
// must stay within the fleet's budget. Only requests of callers add to it: calls do not.
func TestFleetStaysWithinRetryBudget(t *testing.T) {
	is := is.New(t)
	const daemons = 10
	limits := FleetLimits{Ratio: 0.2, Extra: 60, Window: 10 * time.Second}
	for _, requests := range []int{10, 100, 1000} { // of each daemon in a window
		for _, called := range []int{0, 10, 1000} { // requests of each daemon for the service that is called
			for _, calls := range []float64{0, 0.7, 2} { // calls of each run to the other service
				repeats := map[string]float64{}
				for range daemons {
					start := clock.Instant(time.Hour)
					b := NewFleetBudget(start.Add(-limits.Window), limits)
					b.SetDaemons(daemons)
					for i := range requests {
						now := start.Add(time.Duration(i) * limits.Window / time.Duration(requests))
						b.RecordRequest(now, "front")
						if i*called/requests != (i-1)*called/requests {
							for range max(1, called/requests) {
								b.RecordRequest(now, "back")
							}
						}
						for take(b, now, map[string]float64{"front": 1, "back": calls}) {
							repeats["front"]++
							repeats["back"] += calls
						}
						for take(b, now, map[string]float64{"back": 1}) {
							repeats["back"]++
						}
					}
				}
				is.True(repeats["front"] <= limits.Ratio*daemons*float64(requests)+limits.Extra)
				is.True(repeats["back"] <= limits.Ratio*daemons*float64(called)+limits.Extra)
				is.True(repeats["back"] > 0)
			}
		}
	}
}

// take reports whether a repeat is allowed that ends at once.
func take(b *FleetBudget, now clock.Instant, cost map[string]float64) bool {
	if !b.Reserve(now, cost) {
		return false
	}
	b.Settle(now, cost, cost)
	return true
}

// A daemon that restarts again and again must not start with extra repeats each time.
func TestRestartsDoNotAddToRetryBudget(t *testing.T) {
	is := is.New(t)
	limits := FleetLimits{Ratio: 0.2, Extra: 60, Window: 10 * time.Second}
	repeats := 0
	for start := clock.Instant(time.Hour); start < clock.Instant(time.Hour).Add(limits.Window); start = start.Add(time.Second) {
		b := NewFleetBudget(start, limits)
		for now := start; now < start.Add(time.Second); now = now.Add(10 * time.Millisecond) {
			for take(b, now, map[string]float64{"front": 1}) {
				repeats++
			}
		}
	}
	is.True(repeats <= int(limits.Extra))
	is.True(repeats > 0)
}

func TestCallRatesFollowTheRuns(t *testing.T) {
	is := is.New(t)
	c := NewCallRates()
	is.Equal(c.Cost("read", "front"), map[string]float64{"front": 1})
	for i := range 1000 {
		calls := map[string]uint32{}
		if i%10 < 7 {
			calls["back"] = 2
		}
		c.Record("read", calls)
	}
	cost := c.Cost("read", "front")
	is.Equal(cost["front"], 1.0)
	is.True(cost["back"] > 1.3 && cost["back"] < 1.5)
}

// A call belongs to the running request whose deadline it has.
func TestCallBelongsToTheRunWithItsDeadline(t *testing.T) {
	is := is.New(t)
	runs := NewRuns()
	is.True(runs.Parent(0) == nil)
	is.True(!runs.Parent(0).Repeat())
	first := runs.Begin("", clock.Instant(500*time.Millisecond), false)
	second := runs.Begin("", clock.Instant(620*time.Millisecond), true)
	is.True(runs.Parent(clock.Instant(503*time.Millisecond)) == first)
	parent := runs.Parent(clock.Instant(615 * time.Millisecond))
	is.True(parent == second && parent.Repeat())
	parent.AddCalls("back", 1)
	parent.AddCalls("back", 2)
	is.Equal(second.End(), map[string]uint32{"back": 3})
	is.Equal(first.End(), map[string]uint32{})
}
