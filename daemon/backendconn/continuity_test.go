package backendconn

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// A connection to the next process must not be taken for one to the process that ended, and a
// lost connection must not cut off a process that goes on.
func TestContinuity(t *testing.T) {
	is := is.New(t)
	const start = clock.Instant(time.Hour)
	at := func(d time.Duration) clock.Instant { return start.Add(d) }
	var c Continuity
	is.True(c.LeadsTo(0, at(0)))
	c.Lost(at(time.Second))
	is.True(c.LeadsTo(0, at(0)))
	is.True(!c.LeadsTo(0, at(time.Second-continuityMargin/2))) // its process may have ended before the loss was seen
	is.True(!c.LeadsTo(0, at(2*time.Second)))

	c.Answered(at(2 * time.Second)) // maybe the next process
	is.True(!c.LeadsTo(0, at(2*time.Second)))
	c.Announced(at(time.Second + continuityMargin/2)) // sent before the loss
	is.True(!c.LeadsTo(0, at(2*time.Second)))
	c.Lost(at(3 * time.Second)) // the doubt stays that of the first loss
	is.True(!c.LeadsTo(0, at(2*time.Second)))

	c.Answered(at(0)) // the process goes on
	is.True(c.LeadsTo(0, at(2*time.Second)))
	c.Lost(at(4 * time.Second))
	c.Announced(at(5 * time.Second))
	is.True(c.LeadsTo(0, at(5*time.Second)))
	c.Lost(at(6 * time.Second))
	process := c.Restarted(at(7 * time.Second))
	is.True(c.LeadsTo(process, at(7*time.Second)))
	is.True(!c.LeadsTo(process, at(6*time.Second)))   // to the process before, or the next one
	is.True(!c.LeadsTo(process-1, at(7*time.Second))) // a call for the process before
}
