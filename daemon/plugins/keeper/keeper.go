// Package keeper limits teams to their fleet-wide rates. The keeper of a team's token
// bucket is the owner of an internal shard; it grants slices of tokens to the daemons
// where the team's requests enter. docs/LIMITS.md describes the trade-offs.
//
// Invariant: no token is granted after the keeper's shard was quiesced or its lease
// ended.
package keeper

import (
	"context"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/sesamemoor/sesamemoor/core/bucket"
	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

func init() {
	kernel.Register(kernel.Plugin{ID: "sesamemoor.keeper", Module: module})
}

func module() fx.Option {
	return fx.Options(
		fx.Provide(
			newKeeper,
			newLimiter,
			func(l *limiter) kernel.Limiter { return l },
			kernel.AsEffectHandler(func(k *keeper) *keeper { return k }),
			kernel.AsFrameHandler(func(k *keeper) *keeper { return k }),
		),
		fx.Invoke(registerMetrics),
	)
}

// milli is the number of token units in messages per token.
const milli = 1000

// keeper holds the buckets of the teams whose shards this daemon owns.
//
// Invariants: a bucket exists only for a shard that was held, and belongs to one
// generation of it; only an aborted release moves it to a new generation. No token is
// granted after the shard was quiesced or the lease ended.
type keeper struct {
	control kernel.Control
	clock   clock.Clock

	mu                  sync.Mutex
	buckets             map[string]*teamBucket
	levels              map[string]releasedLevel // received with a release, not in use yet
	quiescedGenerations map[view.ShardID]uint64  // highest generation in which the shard was quiesced
	version             uint64                   // of the configuration that the buckets use
	tokensGranted       uint64                   // total
	shortAnswers        uint64                   // replies with fewer tokens than needed
}

type teamBucket struct {
	bucket *bucket.Bucket
	shard  view.ShardID
	token  uint64 // generation in which the shard is held
}

func newKeeper(c kernel.Control, clk clock.Clock) *keeper {
	return &keeper{
		control: c, clock: clk,
		buckets:             map[string]*teamBucket{},
		levels:              map[string]releasedLevel{},
		quiescedGenerations: map[view.ShardID]uint64{},
	}
}

// HandleEffect implements kernel.EffectHandler.
func (k *keeper) HandleEffect(effect control.Effect) {
	switch e := effect.(type) {
	case control.Quiesce:
		if e.Shard.Service == view.KeeperService {
			levels := k.quiesceShard(e)
			go k.control.Post(control.Quiesced{Shard: e.Shard, Token: e.Token, Levels: levels})
		}
	case control.TakeOver:
		if e.Shard.Service == view.KeeperService {
			k.takeOver(e)
		}
	case control.Publish:
		k.applyView(e.View)
	}
}

// applyView creates buckets for acquired shards and applies changed limits to all
// buckets.
func (k *keeper) applyView(v *view.View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.version == v.ConfigVersion && !k.hasNewShard(v) {
		return
	}
	k.version = v.ConfigVersion
	now := k.clock.Now()
	for name, team := range v.Config.Teams {
		if id, held, ok := heldShard(v, name); ok {
			k.bucketOf(v, name, id, held, now).Set(now, limitOf(team))
		}
	}
}

// hasNewShard reports whether v holds the shard of a team that has no bucket for the
// shard's generation.
func (k *keeper) hasNewShard(v *view.View) bool {
	for name := range v.Config.Teams {
		if _, held, ok := heldShard(v, name); ok {
			if tb := k.buckets[name]; tb == nil || tb.token != held.Token {
				return true
			}
		}
	}
	return false
}

func heldShard(v *view.View, team string) (view.ShardID, view.Held, bool) {
	id, _, ok := v.Lookup(view.KeeperService, team)
	held, owned := v.Held[id]
	return id, held, ok && owned
}

func limitOf(t fleet.Team) bucket.Limit { return bucket.Limit{Rate: t.Rate, Burst: t.Burst} }

// bucketOf returns the team's bucket for the shard's generation. A new bucket starts
// at the level received with the release, or full if no keeper owned the shard before.
// Otherwise it starts empty, since the previous keeper may have granted all tokens: as
// of the time of acquisition, or as of now if that time is unknown or this daemon
// already has a bucket of the team.
func (k *keeper) bucketOf(v *view.View, team string, id view.ShardID, held view.Held, now clock.Instant) *bucket.Bucket {
	tb, ok := k.buckets[team]
	if ok && tb.token == held.Token {
		return tb.bucket
	}
	tb = &teamBucket{shard: id, token: held.Token}
	level, moved := k.levels[team]
	delete(k.levels, team)
	switch {
	case moved && level.shard == id && level.token == held.Token:
		tb.bucket = bucket.NewAtLevel(now, level.level)
	case v.NeverOwned(id, held.Token):
		tb.bucket = bucket.NewFull(now)
	case ok || held.Since == 0: // the limits may have changed since the acquisition
		tb.bucket = bucket.NewEmpty(now)
	default:
		tb.bucket = bucket.NewEmpty(held.Since)
	}
	k.buckets[team] = tb
	return tb.bucket
}

// Handles implements kernel.FrameHandler.
func (k *keeper) Handles(frame *wire.Frame) bool { return frame.GetSliceRequest() != nil }

// HandleFrame implements kernel.FrameHandler.
func (k *keeper) HandleFrame(_ context.Context, _ string, frame *wire.Frame) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_SliceAnswer{SliceAnswer: k.grant(frame.GetSliceRequest())}}
}

// grant takes tokens from a team's bucket. The whole decision applies to the time at
// which the lease was checked, however long the process pauses afterwards: the lifetime
// of the slice began earlier, when the slice request was sent.
func (k *keeper) grant(req *wire.SliceRequest) *wire.SliceAnswer {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.control.View()
	now := k.clock.Now()
	id, held, owned := heldShard(v, req.GetTeam())
	team, known := v.Config.Teams[req.GetTeam()]
	overdue := v.ConfigFreshness.Overdue(now) // the team's rate may be lower by now
	if !owned || !known || overdue || !v.Lease.Valid(now) || k.quiescedGenerations[id] >= held.Token {
		return &wire.SliceAnswer{Kind: uint32(outcome.KeeperUnavailable)}
	}
	need := float64(req.GetWantMilli() / milli)
	b := k.bucketOf(v, req.GetTeam(), id, held, now)
	b.Arrived(now, limitOf(team), float64(req.GetArrived()))
	g := b.Take(now, limitOf(team), need, float64(req.GetExtraMilli()/milli))
	k.tokensGranted += uint64(g.Tokens)
	reply := &wire.SliceAnswer{
		GrantedMilli:     uint64(g.Tokens) * milli,
		ExpiresMs:        uint64(g.Lifetime.Milliseconds()),
		AheadMs:          uint64(g.PrefetchLifetime.Milliseconds()),
		WaitMs:           uint64(g.RetryAfter.Milliseconds()),
		RecoverMs:        uint64(g.Recover.Milliseconds()),
		NextMs:           uint64(g.NextToken.Milliseconds()),
		Kind:             uint32(outcome.OK),
		KeeperGeneration: held.Token,
	}
	if g.Tokens < need {
		k.shortAnswers++
		reply.Kind = uint32(outcome.RateLimited)
	}
	return reply
}

// grantOf decodes the grant in a reply of the keeper.
func grantOf(a *wire.SliceAnswer) bucket.Grant {
	return bucket.Grant{
		Tokens:           float64(a.GetGrantedMilli() / milli),
		Lifetime:         time.Duration(a.GetExpiresMs()) * time.Millisecond,
		PrefetchLifetime: time.Duration(a.GetAheadMs()) * time.Millisecond,
		RetryAfter:       time.Duration(a.GetWaitMs()) * time.Millisecond,
		NextToken:        time.Duration(a.GetNextMs()) * time.Millisecond,

		Recover: time.Duration(a.GetRecoverMs()) * time.Millisecond,
	}
}

var (
	_ kernel.FrameHandler  = (*keeper)(nil)
	_ kernel.EffectHandler = (*keeper)(nil)
)
