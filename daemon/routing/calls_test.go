package routing

import (
	"testing"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/retry"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// Only calls that are lost for want of capacity count: a service that answers with failures would
// otherwise take all requests of its callers with it.
func TestRequestsAreRefusedForLostCallsOnly(t *testing.T) {
	for kind, refuses := range map[outcome.Kind]bool{
		outcome.Overloaded: true, outcome.DeadlineMaybeRan: true, outcome.BackendError: false, outcome.ConnectionLost: false, outcome.OK: false,
	} {
		t.Run(kind.String(), func(t *testing.T) {
			is := is.New(t)
			c, runs := NewCalls(clock.Boot{}), retry.NewRuns()
			parent := &wire.Request{Route: "front", Priority: 2}
			refused := 0
			for range 100 {
				if err := c.Admit(parent); err != nil {
					is.Equal(outcome.KindOf(err), outcome.Overloaded)
					is.True(outcome.RetryAfterOf(err) > 0)
					refused++
				}
				run := runs.Begin("", clock.Boot{}.Now(), false)
				var err error
				if kind != outcome.OK {
					err = outcome.New(kind, "")
				}
				c.RecordCall(&wire.Request{Service: "back", Priority: 2}, run, err)
				run.End()
				c.RecordRun(parent, run, &wire.Response{Kind: uint32(outcome.OK), Status: 500})
			}
			is.Equal(refused > 20, refuses)
			is.True(refused < 95)
		})
	}
}
