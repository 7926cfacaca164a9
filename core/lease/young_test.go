package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// A restarted witness abstains, since the process before it may have sealed what
// asks now. It cannot have sealed an incarnation that joined after the restart.
func TestYoungIncarnationIsAcknowledgedByARestartedWitness(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	w := NewWitness(Params{Term: 1200 * time.Millisecond, Renew: 400 * time.Millisecond, Drift: 0.02}, now)
	ack, _ := w.Renew(now, 20, true)
	is.True(!ack) // its own record is not read yet
	w.Began(15)
	ack, _ = w.Renew(now, 14, false)
	is.True(!ack)
	ack, _ = w.Renew(now, 20, true)
	is.True(ack)
	state, _ := w.Seal(now, 20)
	is.Equal(state, Live)
}
