package entry

import (
	"context"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
)

// errStale refuses a request whose caller key may have been withdrawn by a newer
// configuration.
var errStale = outcome.New(outcome.ConfigStale, "configuration not confirmed for too long")

// whileFresh returns a context that ends with the cause errStale when the
// configuration turns stale. It costs a timer only if that may happen before the
// deadline of ctx.
func whileFresh(ctx context.Context, fresh *view.Freshness, clk clock.Clock) (context.Context, context.CancelFunc) {
	until := fresh.Until()
	if until == 0 {
		return ctx, func() {}
	}
	end, ok := ctx.Deadline()
	if left := until.Sub(clk.Now()); ok && time.Until(end) < left {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	go watchFreshness(ctx, cancel, fresh, clk)
	return ctx, func() { cancel(nil) }
}

// watchFreshness cancels ctx when the configuration is stale.
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
