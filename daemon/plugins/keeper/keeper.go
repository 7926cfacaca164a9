// Package keeper limits teams to their fleet-wide rates. One daemon keeps each
// team's bucket: the owner of an internal shard. It hands out slices of tokens
// to the other daemons.
package keeper

import (
	"context"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/sesamemoor/sesamemoor/core/bucket"
	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

func init() {
	kernel.Register(kernel.Plugin{ID: "sesamemoor.keeper", Module: module})
}

func module() fx.Option {
	return fx.Options(fx.Provide(
		newKeeper,
		newLimiter,
		func(l *limiter) kernel.Limiter { return l },
		kernel.AsFrameHandler(func(k *keeper) *keeper { return k }),
	))
}

// sliceLife is the time for which a slice may be used after it was asked for.
const sliceLife = 500 * time.Millisecond

// keeper holds the buckets of the teams whose shards this daemon owns.
type keeper struct {
	control kernel.Control
	clock   clock.Clock
	mu      sync.Mutex
	buckets map[string]*teamBucket
}

type teamBucket struct {
	bucket bucket.Bucket
	token  uint64 // generation under which the bucket was set up
}

func newKeeper(c kernel.Control, clk clock.Clock) *keeper {
	return &keeper{control: c, clock: clk, buckets: map[string]*teamBucket{}}
}

// Handles implements kernel.FrameHandler.
func (k *keeper) Handles(frame *wire.Frame) bool { return frame.GetSliceRequest() != nil }

// HandleFrame implements kernel.FrameHandler.
func (k *keeper) HandleFrame(_ context.Context, _ string, frame *wire.Frame) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_SliceAnswer{SliceAnswer: k.grant(frame.GetSliceRequest())}}
}

// grant hands out tokens of a team's bucket.
func (k *keeper) grant(req *wire.SliceRequest) *wire.SliceAnswer {
	v := k.control.View()
	now := k.clock.Now()
	id, _, ok := v.Lookup(view.KeeperService, req.GetTeam())
	held, owned := v.Held[id]
	team, known := v.Config.Teams[req.GetTeam()]
	if !ok || !owned || !known || !v.Lease.Valid(now) {
		return &wire.SliceAnswer{Kind: uint32(outcome.KeeperUnavailable)}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	tb, ok := k.buckets[req.GetTeam()]
	if !ok || tb.token != held.Token {
		tb = &teamBucket{bucket: bucket.NewEmpty(now), token: held.Token}
		k.buckets[req.GetTeam()] = tb
	}
	granted := tb.bucket.TakeUpTo(now, team.Rate, team.Burst, float64(req.GetWantMilli())/1000)
	if granted == 0 {
		return &wire.SliceAnswer{Kind: uint32(outcome.RateLimited), KeeperGeneration: held.Token}
	}
	return &wire.SliceAnswer{
		GrantedMilli:     uint64(granted * 1000),
		ExpiresMs:        uint64(sliceLife.Milliseconds()),
		Kind:             uint32(outcome.OK),
		KeeperGeneration: held.Token,
	}
}

// limiter takes tokens for the requests that enter at this daemon.
type limiter struct {
	control kernel.Control
	peers   kernel.Peers
	local   *keeper
}

func newLimiter(c kernel.Control, p kernel.Peers, k *keeper) *limiter {
	return &limiter{control: c, peers: p, local: k}
}

// Take implements kernel.Limiter.
func (l *limiter) Take(ctx context.Context, team string) error {
	v := l.control.View()
	_, shard, ok := v.Lookup(view.KeeperService, team)
	if !ok || shard.Owner == nil {
		return outcome.New(outcome.KeeperUnavailable, "no keeper for team %s", team)
	}
	req := &wire.SliceRequest{Team: team, WantMilli: 1000}
	answer, err := l.ask(ctx, v, shard, req)
	if err != nil {
		return err
	}
	if answer.GetGrantedMilli() < 1000 {
		return outcome.New(outcome.Kind(answer.GetKind()), "team %s", team)
	}
	return nil
}

func (l *limiter) ask(ctx context.Context, v *view.View, shard view.Shard, req *wire.SliceRequest) (*wire.SliceAnswer, error) {
	if shard.Owner.Incarnation == v.Incarnation {
		return l.local.grant(req), nil
	}
	frame, err := l.peers.Call(ctx, shard.Owner.PeerAddr, &wire.Frame{Body: &wire.Frame_SliceRequest{SliceRequest: req}})
	if err != nil {
		return nil, outcome.New(outcome.KeeperUnavailable, "%v", err)
	}
	if frame.GetSliceAnswer() == nil {
		return nil, outcome.New(outcome.KeeperUnavailable, "answer of another kind")
	}
	return frame.GetSliceAnswer(), nil
}

var (
	_ kernel.Limiter      = (*limiter)(nil)
	_ kernel.FrameHandler = (*keeper)(nil)
)
