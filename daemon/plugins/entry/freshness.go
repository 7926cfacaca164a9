package entry

import (
	"context"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
)

// errStale refuses a request while the configuration is stale: a newer one may
// have withdrawn the caller key.
var errStale = outcome.New(outcome.ConfigStale, "configuration not confirmed for too long")

// withFreshness returns a context that is cancelled with the cause errStale when
// the configuration becomes stale. It starts a goroutine only if that may happen
// before the deadline of ctx.
func withFreshness(ctx context.Context, fresh *view.Freshness, clk clock.Clock) (context.Context, context.CancelFunc) {
	until := fresh.Until()
	if until == 0 {
		return ctx, func() {}
	}
	end, ok := ctx.Deadline()
	if remaining := until.Sub(clk.Now()); ok && time.Until(end) < remaining {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	go watchFreshness(ctx, cancel, fresh, clk)
	return ctx, func() { cancel(nil) }
}

// watchFreshness calls cancel with errStale once the configuration is stale. It
// returns when ctx ends.
func watchFreshness(ctx context.Context, cancel context.CancelCauseFunc, fresh *view.Freshness, clk clock.Clock) {
	for {
		now := clk.Now()
		if fresh.Stale(now) {
			cancel(errStale)
			return
		}
		timer := time.NewTimer(fresh.Until().Sub(now) + time.Millisecond)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}
