package bucket

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// TestSharesAddUpToTheRate guards against refusal of all requests while the keeper is
// unavailable: all daemons together must admit requests at the team's rate.
func TestSharesAddUpToTheRate(t *testing.T) {
	is := is.New(t)
	const (
		daemons = 10
		rate    = 100.0
		seconds = 4
	)
	served := 0
	for range daemons {
		var s Share
		for ms := range seconds * 1000 {
			if s.Take(clock.Instant(time.Hour)+clock.Instant(ms)*clock.Instant(time.Millisecond), rate/daemons) {
				served++
			}
		}
	}
	is.True(served >= 0.9*rate*seconds)
	is.True(served <= rate*seconds+rate*shareBurst)
}
