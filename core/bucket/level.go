package bucket

import (
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// Level is what one keeper of a bucket hands to the next.
type Level struct {
	Tokens float64
	Lent   float64       // tokens in slices that may still be used
	Left   time.Duration // longest time for which they may
}

// Level returns the bucket's level at now. The bucket must hand out nothing
// from then on, unless no other keeper can have received the level.
func (b *Bucket) Level(now clock.Instant) Level {
	b.refill(now, b.terms)
	level := Level{Tokens: b.tokens}
	for _, l := range b.lent {
		level.Lent += l.tokens
		level.Left = max(level.Left, l.until.Sub(now))
	}
	return level
}

// NewAt returns a bucket that goes on at the level of another keeper's. No
// tokens are added for the time that the level took; its slices end the later.
func NewAt(now clock.Instant, level Level) *Bucket {
	return &Bucket{
		at:     now,
		tokens: level.Tokens,
		lent:   []lent{{level.Lent, now.Add(keeperLife(level.Left))}},
		moved:  true,
	}
}
