package retry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/outcome"
)

// A request must not be reported as not run if one of its attempts may have run,
// even if the last attempt did not run.
func TestNotRunRequiresAllAttempts(t *testing.T) {
	is := is.New(t)
	unreachable := outcome.New(outcome.OwnerUnreachable, "gone")
	lost := outcome.New(outcome.ConnectionLost, "lost")
	later := outcome.New(outcome.DeadlineMaybeRan, "late")
	var c Failures
	c.Add(unreachable)
	is.Equal(c.Result(unreachable), error(unreachable))
	c.Add(lost)
	c.Add(later)
	is.Equal(c.Result(unreachable), error(lost)) // the first failure of an attempt that may have run
	is.Equal(c.Result(later), error(later))
	is.Equal(c.Result(nil), nil)
}
