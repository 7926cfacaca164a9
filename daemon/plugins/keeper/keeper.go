// Package keeper limits teams to their fleet-wide rates. One daemon keeps each
// team's bucket: the owner of an internal shard. It hands out slices of tokens
// to the other daemons. docs/LIMITS.md tells what was weighed.
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

// milli is the unit of tokens in messages.
const milli = 1000

// keeper holds the buckets of the teams whose shards this daemon owns.
//
// Invariants: a bucket exists only for a shard that was held, under the token
// with which it was set up; no token is handed out after the shard was
// quiesced or the lease had ended.
type keeper struct {
	control kernel.Control
	clock   clock.Clock

	mu      sync.Mutex
	buckets map[string]*teamBucket
	levels  map[string]movedLevel   // that came with a release and are not in use yet
	closed  map[view.ShardID]uint64 // newest token under which the shard was quiesced
	version uint64                  // of the configuration that the buckets follow
	granted uint64                  // tokens handed out
	short   uint64                  // questions answered with fewer tokens than needed
}

type teamBucket struct {
	bucket *bucket.Bucket
	shard  view.ShardID
	token  uint64 // generation under which the shard is held
}

func newKeeper(c kernel.Control, clk clock.Clock) *keeper {
	return &keeper{
		control: c, clock: clk,
		buckets: map[string]*teamBucket{},
		levels:  map[string]movedLevel{},
		closed:  map[view.ShardID]uint64{},
	}
}

// HandleEffect implements kernel.EffectHandler.
func (k *keeper) HandleEffect(effect control.Effect) {
	switch e := effect.(type) {
	case control.Quiesce:
		if e.Shard.Service == view.KeeperService {
			levels := k.close(e)
			go k.control.Post(control.Quiesced{Shard: e.Shard, Token: e.Token, Levels: levels})
		}
	case control.TakeOver:
		if e.Shard.Service == view.KeeperService {
			k.takeOver(e)
		}
	case control.Publish:
		k.follow(e.View)
	}
}

// follow sets up buckets of acquired shards, and tells all buckets of changed
// terms at once.
func (k *keeper) follow(v *view.View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.version == v.ConfigVersion && !k.acquired(v) {
		return
	}
	k.version = v.ConfigVersion
	now := k.clock.Now()
	for name, team := range v.Config.Teams {
		if id, held, ok := heldShard(v, name); ok {
			k.bucketOf(v, name, id, held, now).Set(now, termsOf(team))
		}
	}
}

// acquired reports whether v holds a shard for a team without a bucket under
// the shard's token.
func (k *keeper) acquired(v *view.View) bool {
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

func termsOf(t fleet.Team) bucket.Terms { return bucket.Terms{Rate: t.Rate, Burst: t.Burst} }

// bucketOf returns the team's bucket under the shard's token. A new one starts
// at the level that came with the release; full if there was no keeper before;
// otherwise empty at the instant of acquisition, since the keeper before may
// have handed out everything up to then.
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
		tb.bucket = bucket.NewAt(now, level.level)
	case v.NeverOwned(id, held.Token):
		tb.bucket = bucket.NewFull(now)
	case ok || held.Since == 0: // terms may have changed since the acquisition
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

// grant hands out tokens of a team's bucket. All that it decides counts as of
// the instant at which the lease was seen to be held, whatever pause follows:
// the life of the slice began when the request was sent, before that.
func (k *keeper) grant(req *wire.SliceRequest) *wire.SliceAnswer {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.control.View()
	now := k.clock.Now()
	id, held, owned := heldShard(v, req.GetTeam())
	team, known := v.Config.Teams[req.GetTeam()]
	if !owned || !known || !v.Lease.Valid(now) || k.closed[id] >= held.Token {
		return &wire.SliceAnswer{Kind: uint32(outcome.KeeperUnavailable)}
	}
	need := float64(req.GetWantMilli() / milli)
	b := k.bucketOf(v, req.GetTeam(), id, held, now)
	b.Arrived(now, termsOf(team), float64(req.GetArrived()))
	g := b.Take(now, termsOf(team), need, float64(req.GetExtraMilli()/milli))
	k.granted += uint64(g.Tokens)
	answer := &wire.SliceAnswer{
		GrantedMilli:     uint64(g.Tokens) * milli,
		ExpiresMs:        uint64(g.Life.Milliseconds()),
		AheadMs:          uint64(g.Ahead.Milliseconds()),
		WaitMs:           uint64(g.Wait.Milliseconds()),
		RecoverMs:        uint64(g.Recover.Milliseconds()),
		NextMs:           uint64(g.Next.Milliseconds()),
		Kind:             uint32(outcome.OK),
		KeeperGeneration: held.Token,
	}
	if g.Tokens < need {
		k.short++
		answer.Kind = uint32(outcome.RateLimited)
	}
	return answer
}

// grantOf is the grant that an answer carries.
func grantOf(a *wire.SliceAnswer) bucket.Grant {
	return bucket.Grant{
		Tokens: float64(a.GetGrantedMilli() / milli),
		Life:   time.Duration(a.GetExpiresMs()) * time.Millisecond,
		Ahead:  time.Duration(a.GetAheadMs()) * time.Millisecond,
		Wait:   time.Duration(a.GetWaitMs()) * time.Millisecond,
		Next:   time.Duration(a.GetNextMs()) * time.Millisecond,

		Recover: time.Duration(a.GetRecoverMs()) * time.Millisecond,
	}
}

var (
	_ kernel.FrameHandler  = (*keeper)(nil)
	_ kernel.EffectHandler = (*keeper)(nil)
)
