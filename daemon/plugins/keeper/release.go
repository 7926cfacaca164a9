package keeper

import (
	"math"
	"time"

	"github.com/sesamemoor/sesamemoor/core/bucket"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// releasedLevel is the level of a team's bucket received with the release of a shard.
// It is valid only in the generation in which the shard was taken over.
type releasedLevel struct {
	shard view.ShardID
	token uint64
	level bucket.Level
}

// maxOutstandingMs bounds the remaining lifetime of the outstanding slices in a
// received level.
const maxOutstandingMs = 60_000

// quiesceShard stops granting tokens for a shard that is handed off and returns the
// levels of its buckets.
func (k *keeper) quiesceShard(e control.Quiesce) []*wire.BucketLevel {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.quiescedGenerations[e.Shard] = max(k.quiescedGenerations[e.Shard], e.Token)
	now := k.clock.Now()
	var levels []*wire.BucketLevel
	for team, tb := range k.buckets {
		if tb.shard == e.Shard && tb.token == e.Token {
			levels = append(levels, encodeLevel(team, tb.bucket.Level(now)))
		}
	}
	return levels
}

// takeOver stores the levels received with a release until the view lists the shard as
// held. If the release was aborted before it left this daemon, the buckets of the shard
// stay in use in the new generation.
func (k *keeper) takeOver(e control.TakeOver) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, l := range e.Levels {
		k.levels[l.GetTeam()] = releasedLevel{e.Shard, e.Token, decodeLevel(l)}
	}
	if e.Resumed != control.ResumedUnsent {
		return
	}
	for _, tb := range k.buckets {
		if tb.shard == e.Shard && tb.token == k.quiescedGenerations[e.Shard] {
			tb.token = e.Token
		}
	}
}

// encodeLevel rounds conservatively: tokens down, outstanding tokens and their lifetime
// up.
func encodeLevel(team string, l bucket.Level) *wire.BucketLevel {
	return &wire.BucketLevel{
		Team:        team,
		TokensMilli: uint64(math.Floor(l.Tokens * milli)),
		LentMilli:   uint64(math.Ceil(l.Outstanding * milli)),
		LentLeftMs:  uint64(max(0, (l.MaxLifetime + time.Millisecond - 1).Milliseconds())),
	}
}

func decodeLevel(l *wire.BucketLevel) bucket.Level {
	return bucket.Level{
		Tokens:      float64(l.GetTokensMilli()) / milli,
		Outstanding: float64(l.GetLentMilli()) / milli,
		MaxLifetime: time.Duration(min(l.GetLentLeftMs(), maxOutstandingMs)) * time.Millisecond,
	}
}
