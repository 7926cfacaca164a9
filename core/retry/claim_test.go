package retry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/outcome"
)

// TestNotRunIsClaimedForAllTries: one try that may have run is enough.
func TestNotRunIsClaimedForAllTries(t *testing.T) {
	is := is.New(t)
	unreachable := outcome.New(outcome.OwnerUnreachable, "gone")
	lost := outcome.New(outcome.ConnectionLost, "lost")
	later := outcome.New(outcome.DeadlineMaybeRan, "late")
	var c Claim
	c.Failed(unreachable)
	is.Equal(c.Worst(unreachable), error(unreachable))
	c.Failed(lost)
	c.Failed(later)
	is.Equal(c.Worst(unreachable), error(lost)) // the first that may have run
	is.Equal(c.Worst(later), error(later))
	is.Equal(c.Worst(nil), nil)
}
