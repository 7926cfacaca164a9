package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// windowTrace is what a service got, counted in steps.
type windowTrace struct{ requests, arrivals []int }

const traceStep = 50 * time.Millisecond

// check compares each window with the rule: the requests of callers count in the window, the one
// before it, or the one half a window before it, whichever has most.
func (w *windowTrace) check(t *rapid.T, limits FleetLimits) {
	window := int(limits.Window / traceStep)
	in := func(counts []int, from int) (n int) {
		for i := max(from, 0); i < min(from+window, len(counts)); i++ {
			n += counts[i]
		}
		return n
	}
	for from := -window; from < len(w.arrivals); from++ {
		requests := max(in(w.requests, from), in(w.requests, from-window), in(w.requests, from-window/2))
		allowed := limits.Ratio*float64(requests) + limits.Extra
		if n := in(w.arrivals, from); float64(n) > allowed {
			t.Fatalf("%d repeats arrive in the window from %v, %.1f are allowed for %d requests", n, time.Duration(from)*traceStep, allowed, requests)
		}
	}
}

// A service whose load had just begun got no repeats for half a window: keys whose owner was lost then
// were unserved until their callers gave up.
func TestRepeatsAtTheOnsetOfLoad(t *testing.T) {
	limits := FleetLimits{Ratio: 0.2, Extra: 0, Window: 10 * time.Second}
	for _, begun := range []time.Duration{0, 100 * time.Second} { // before the load
		b := NewFleetBudget(0, limits)
		now := clock.Instant(begun)
		const requests = 200
		for range requests { // for two seconds
			now = now.Add(10 * time.Millisecond)
			b.RecordRequest(now, "back")
		}
		repeats := 0
		for take(b, now, map[string]float64{"back": 1}) {
			repeats++
		}
		if least := int(0.4 * limits.Ratio * requests); repeats < least {
			t.Errorf("%d repeats after %d requests, expected at least %d", repeats, requests, least)
		}
	}
}

// Repeats that were allowed by the requests of one window arrived in another: after a burst, or late
// because they waited. In any window the fleet must stay within its budget, however the load changes.
func TestRepeatsThatCountInAnotherWindow(t *testing.T) {
	limits := FleetLimits{Ratio: 0.2, Extra: 6, Window: 10 * time.Second}
	cost := map[string]float64{"back": 1}
	rapid.Check(t, func(t *rapid.T) {
		const phase = 50 // steps: a quarter of a window
		daemons := rapid.IntRange(1, 3).Draw(t, "daemons")
		phases := rapid.IntRange(4, 16).Draw(t, "phases")
		transit := rapid.IntRange(0, 40).Draw(t, "steps until a repeat arrives")
		steps := phases * phase
		trace := windowTrace{make([]int, steps), make([]int, steps+transit+1)}
		for range daemons {
			start := clock.Instant(time.Hour)
			b := NewFleetBudget(start, limits)
			b.SetDaemons(daemons)
			perStep, repeating := 0, false
			pending := make([]int, steps+transit+1) // repeats under way, by the step of their arrival
			for step := range steps {
				if step%phase == 0 {
					perStep = rapid.SampledFrom([]int{0, 1, 8}).Draw(t, "requests in a step")
					repeating = rapid.Bool().Draw(t, "repeating")
				}
				now := start.Add(time.Duration(step) * traceStep)
				for range perStep {
					b.RecordRequest(now, "back")
				}
				trace.requests[step] += perStep
				for range pending[step] {
					b.Settle(now, cost, cost)
				}
				for repeating && b.Reserve(now, cost) {
					arrival := step + transit
					trace.arrivals[arrival]++
					if transit == 0 {
						b.Settle(now, cost, cost)
					} else {
						pending[arrival]++
					}
				}
			}
		}
		trace.check(t, limits)
	})
}
