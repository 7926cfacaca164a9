package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// A restarted witness abstains because its previous process may have sealed the
// incarnation that renews. The previous process cannot have sealed an
// incarnation that joined after the restart.
func TestRestartedWitnessAcknowledgesLaterIncarnation(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	w := NewWitness(Params{Term: 1200 * time.Millisecond, Renew: 400 * time.Millisecond, Drift: 0.02}, now)
	ack, _ := w.Renew(now, 20, true)
	is.True(!ack) // the witness has not read its own record yet
	w.SetStartOffset(15)
	ack, _ = w.Renew(now, 14, false)
	is.True(!ack)
	ack, _ = w.Renew(now, 20, true)
	is.True(ack)
	state, _ := w.Seal(now, 20)
	is.Equal(state, Live)
}
