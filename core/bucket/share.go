package bucket

import "github.com/sesamemoor/sesamemoor/core/clock"

// shareBurst is the time for which an unused share of a rate is saved up, in
// seconds. All shares together then exceed the team's terms by little when a
// keeper is lost right after it handed out the whole burst.
const shareBurst = 0.5

// Share is a daemon's equal part of a team's rate, for the time in which no
// keeper of the team's bucket answers. The zero value is an empty one.
type Share struct {
	tokens float64
	at     clock.Instant
}

// Take takes a token of a share of rate tokens per second, and reports whether
// there was one.
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
