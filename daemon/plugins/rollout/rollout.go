// Package rollout carries out roll-outs: it moves the traffic of a service from the backend
// servers of one version to those of another, as package core/rollout decides.
//
// Each daemon that sends requests to the service counts their results by version and reports
// them to the daemon in charge, the first planner of the region. The answers carry the
// decision. The daemon in charge records the state of each roll-out in the platform's store.
//
// Invariants: a daemon without a valid answer sends nothing to the new version of a running
// roll-out while the old one has servers, unless it was told that the completion is decided and
// the old servers fail. A roll-out counts as completed or rolled back only once that is
// recorded, and a recorded end of an order is never replaced. Without orders nothing is sent
// and nothing is stored.
package rollout

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/protocol"
	"github.com/sesamemoor/sesamemoor/core/rollout"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

func init() {
	kernel.Register(kernel.Plugin{ID: "sesamemoor.rollout", Module: module})
}

func module() fx.Option {
	return fx.Options(
		fx.Provide(
			newCoordinator,
			newEntries,
			func(e *entries) kernel.Rollouts { return e },
			kernel.AsFrameHandler(func(c *coordinator) *coordinator { return c }),
		),
		fx.Invoke(start, registerMetrics),
	)
}

const (
	// stepInterval is the interval of the decisions, and of the checks for due reports.
	stepInterval = 100 * time.Millisecond
	// reportInterval is the shortest interval between two reports of a daemon about a service.
	reportInterval = 250 * time.Millisecond
	// maxReportsPerS is the rate of reports that the daemon in charge accepts.
	maxReportsPerS = 400
	// minValidity is the shortest validity of an answer: a few reports may fail within it.
	minValidity = time.Second
)

type params struct {
	fx.In
	Settings settings.Daemon
	Control  kernel.Control
	Peers    kernel.Peers
	Clock    clock.Clock
	Log      *zap.Logger
	Stream   logstream.Log            `optional:"true"`
	Statuses protocol.RolloutStatuses `optional:"true"` // nil: in the configuration stream
}

// start runs the daemon's parts of roll-outs, unless the deployment has none.
func start(lc fx.Lifecycle, set settings.Daemon, e *entries, c *coordinator) {
	if enabled(set) {
		kernel.Background(lc, e.run, c.run, c.runWriter)
	}
}

// enabled reports whether the deployment has roll-outs.
func enabled(set settings.Daemon) bool { return set.Bounds.ExposureShare > 0 }

func boundsOf(set settings.Daemon) rollout.Bounds {
	return rollout.Bounds{
		ExposureShare: set.Bounds.ExposureShare, ExposureSlack: set.Bounds.ExposureSlack,
		Rollback: seconds(set.Bounds.RollbackS),
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// every calls f at intervals until ctx ends, the first time after a random part of one.
func every(ctx context.Context, interval time.Duration, f func()) {
	wait := time.Duration(rand.Int64N(int64(interval)))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
			wait = interval
		}
		f()
	}
}
