package bucket

import (
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// Level is the state of a bucket that its keeper hands off to the next keeper.
type Level struct {
	Tokens      float64
	Outstanding float64       // tokens in unexpired slices
	MaxLifetime time.Duration // time until the last of them expires
}

// Level returns the bucket's level at now. After that, the bucket may grant
// tokens only if no other keeper can have received the level.
func (b *Bucket) Level(now clock.Instant) Level {
	b.refill(now, b.limit)
	level := Level{Tokens: b.tokens}
	for _, l := range b.outstanding {
		level.Outstanding += l.tokens
		level.MaxLifetime = max(level.MaxLifetime, l.until.Sub(now))
	}
	return level
}

// NewAtLevel returns a bucket that continues at the level of another keeper's bucket. The
// transit time of the level accrues no tokens and delays the expiry of its slices.
func NewAtLevel(now clock.Instant, level Level) *Bucket {
	return &Bucket{
		at:          now,
		tokens:      level.Tokens,
		outstanding: []outstanding{{level.Outstanding, now.Add(keeperLifetime(level.MaxLifetime))}},
		moved:       true,
	}
}
