package kernel

import (
	"context"
	"sync"

	"go.uber.org/fx"
)

// Background runs each task on its own goroutine while the daemon runs. On stop it
// cancels their context and waits until all have returned.
func Background(lc fx.Lifecycle, tasks ...func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			for _, task := range tasks {
				wg.Go(func() { task(ctx) })
			}
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			wg.Wait()
			return nil
		},
	})
}
