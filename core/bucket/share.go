package bucket

import "github.com/sesamemoor/sesamemoor/core/clock"

// shareBurst is the time, in seconds, for which an unused share of a rate
// accumulates. It limits the excess of all shares over the team's limit when a
// keeper is lost right after it granted the whole burst.
const shareBurst = 0.5

// Share is a daemon's equal share of a team's rate, used while the keeper of the
// team's bucket is unavailable. The zero value is an empty share.
type Share struct {
	tokens float64
	at     clock.Instant
}

// Take takes a token from a share that accrues rate tokens per second. It reports
// whether one was available.
func (s *Share) Take(now clock.Instant, rate float64) bool {
	if s.at == 0 {
		s.at = now
	}
	s.tokens = min(s.tokens+rate*now.Sub(s.at).Seconds(), max(rate*shareBurst, 1))
	s.at = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}
