package kernel

import (
	"context"
	"sync"

	"go.uber.org/fx"
)

// Background runs tasks from start to stop of the daemon. Stopping ends their
// context and waits until they have returned.
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
