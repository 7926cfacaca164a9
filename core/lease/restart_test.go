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
	promised, _ := w.Renew(now, 20, true, 0)
	is.Equal(promised, time.Duration(0)) // the witness has not read its own record yet
	w.SetStartOffset(15)
	promised, _ = w.Renew(now, 14, false, 0)
	is.Equal(promised, time.Duration(0))
	promised, _ = w.Renew(now, 20, true, 0)
	is.True(promised > 0)
	state, _ := w.Seal(now, 20)
	is.Equal(state, Live)
}
