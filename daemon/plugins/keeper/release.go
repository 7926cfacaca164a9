package keeper

import (
	"math"
	"time"

	"github.com/sesamemoor/sesamemoor/core/bucket"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// movedLevel is a team's level that came with the release of a shard, to be
// used under the token under which the shard was taken over.
type movedLevel struct {
	shard view.ShardID
	token uint64
	level bucket.Level
}

// maxLeftMs bounds the life of slices that a level tells of, in milliseconds.
const maxLeftMs = 60_000

// close ends the grants of a shard that is handed over, and returns the levels
// of its buckets.
func (k *keeper) close(q control.Quiesce) []*wire.BucketLevel {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed[q.Shard] = max(k.closed[q.Shard], q.Token)
	now := k.clock.Now()
	var levels []*wire.BucketLevel
	for team, tb := range k.buckets {
		if tb.shard == q.Shard && tb.token == q.Token {
			levels = append(levels, encodeLevel(team, tb.bucket.Level(now)))
		}
	}
	return levels
}

// takeOver keeps the levels that came with a release, until the view shows the
// shard as held. The buckets of a shard whose release was taken back before it
// left this daemon go on.
func (k *keeper) takeOver(t control.TakeOver) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, l := range t.Levels {
		k.levels[l.GetTeam()] = movedLevel{t.Shard, t.Token, decodeLevel(l)}
	}
	if t.Resumed != control.ResumedWhole {
		return
	}
	for _, tb := range k.buckets {
		if tb.shard == t.Shard && tb.token == k.closed[t.Shard] {
			tb.token = t.Token
		}
	}
}

// encodeLevel rounds to the safe side: fewer tokens, more that are lent.
func encodeLevel(team string, l bucket.Level) *wire.BucketLevel {
	return &wire.BucketLevel{
		Team:        team,
		TokensMilli: uint64(math.Floor(l.Tokens * milli)),
		LentMilli:   uint64(math.Ceil(l.Lent * milli)),
		LentLeftMs:  uint64(max(0, (l.Left + time.Millisecond - 1).Milliseconds())),
	}
}

func decodeLevel(l *wire.BucketLevel) bucket.Level {
	return bucket.Level{
		Tokens: float64(l.GetTokensMilli()) / milli,
		Lent:   float64(l.GetLentMilli()) / milli,
		Left:   time.Duration(min(l.GetLentLeftMs(), maxLeftMs)) * time.Millisecond,
	}
}
