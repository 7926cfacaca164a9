package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/retry"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// virtualClock is virtual time.
type virtualClock struct{ now clock.Instant }

func (c *virtualClock) Now() clock.Instant { return c.now }

// play lets 50 requests a second come for 30 s. Each run makes one call, without which it fails.
// The called service serves up to perS calls a second; a share of all calls ends with a failure of
// a kind, whatever its load.
func play(t *testing.T, c *Calls, clk *virtualClock, perS, share float64, kind outcome.Kind) (served, refused int) {
	rng, runs := rand.New(rand.NewPCG(1, 2)), retry.NewRuns()
	parent := &wire.Request{Route: "front", Priority: 2}
	room := 5.0
	for range 30 * 50 {
		clk.now = clk.now.Add(20 * time.Millisecond)
		room = min(room+perS/50, 5)
		if err := c.Admit(parent); err != nil {
			if outcome.KindOf(err) != outcome.Overloaded || outcome.RetryAfterOf(err) <= 0 {
				t.Fatal(err)
			}
			refused++
			continue
		}
		var err error
		status := uint32(500)
		switch {
		case rng.Float64() < share:
			err = outcome.New(kind, "")
		case room < 1:
			err = outcome.New(outcome.Overloaded, "")
		default:
			room--
			served++
			status = 200
		}
		run := runs.Begin("", clk.now, false)
		c.RecordCall(&wire.Request{Service: "back", Priority: 2}, run, err)
		run.End()
		c.RecordRun(parent, run, &wire.Response{Kind: uint32(outcome.OK), Status: status})
	}
	return served, refused
}

// Only calls that are lost for want of capacity count. A service that answers with failures would
// otherwise take all requests of its callers with it; one whose servers shed a part of their calls
// whatever their load made the gate refuse 12,542 of 29,154 requests, and served no more for it.
func TestRequestsAreRefusedForLostCallsOnly(t *testing.T) {
	const plenty, short = 100, 20
	for name, test := range map[string]struct {
		perS, share float64
		kind        outcome.Kind
		refuses     bool
	}{
		"shed":           {plenty, 0.43, outcome.BackendShed, false},
		"failures":       {plenty, 0.43, outcome.BackendError, false},
		"cut":            {plenty, 0.43, outcome.ConnectionLost, false},
		"sound":          {plenty, 0, outcome.OK, false},
		"late":           {plenty, 0.43, outcome.DeadlineMaybeRan, true},
		"short":          {short, 0, outcome.OK, true},
		"short and shed": {short, 0.3, outcome.BackendShed, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clk := &virtualClock{now: clock.Instant(time.Hour)}
			plain, _ := play(t, nil, clk, test.perS, test.share, test.kind)
			gated, refused := play(t, NewCalls(clk), clk, test.perS, test.share, test.kind)
			t.Logf("served %d without and %d with refusals, refused %d", plain, gated, refused)
			is.Equal(refused > 150, test.refuses)
			if !test.refuses {
				is.Equal(refused, 0)
			}
			is.True(refused < 1400)
			if test.kind != outcome.DeadlineMaybeRan {
				is.True(10*gated >= 9*plain) // refusals leave no capacity unused
			}
		})
	}
}
