package logclient

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

const (
	readMax = 1024
	// readRetry is the pause after a failed read; it doubles with each further
	// failure up to readRetryMax. Up to as much again is added at random.
	readRetry    = 100 * time.Millisecond
	readRetryMax = 800 * time.Millisecond
)

// reader follows one stream, from a peer where there is one to follow, else
// from the platform.
type reader struct {
	stream    string
	log       logstream.Log
	relay     kernel.Relay
	clock     clock.Clock
	logger    *zap.Logger
	primed    bool // the platform or a peer answered once
	pause     time.Duration
	waitMS    int           // longest wait for new records
	gatherFor time.Duration // pause after new records
	max       int           // records asked for; fewer after a failure, which may be one of size
}

func startReaders(lc fx.Lifecycle, set settings.Daemon, l logstream.Log, relay kernel.Relay, clk clock.Clock, log *zap.Logger) {
	var tasks []func(context.Context)
	for _, stream := range []string{logstream.ConfigStream, logstream.PlacementStream(set.Region)} {
		r := &reader{stream: stream, log: l, relay: relay, clock: clk, logger: log.Named("logclient"), max: readMax, waitMS: waitOf(set, stream),
			gatherFor: time.Duration(set.Bounds.LogGatherMS) * time.Millisecond}
		tasks = append(tasks, r.run)
	}
	kernel.Background(lc, tasks...)
}

// waitOf returns the longest wait of one read of a stream, in milliseconds.
func waitOf(set settings.Daemon, stream string) int {
	if stream == logstream.ConfigStream {
		return set.Bounds.LogWaitMS
	}
	return set.Bounds.LogPlacementWaitMS
}

func (r *reader) run(ctx context.Context) {
	for ctx.Err() == nil {
		from := r.relay.Next(r.stream)
		batch, asOf, err := r.read(ctx, from)
		switch {
		case err == nil:
			r.pause = 0
			r.primed = true
			r.relay.Take(r.stream, from, batch, asOf)
			r.gather(ctx, batch)
		case errors.Is(err, logstream.ErrTrimmed) && batch.First > from:
			r.logger.Warn("records were trimmed; starting from a snapshot",
				zap.String("stream", r.stream), zap.Uint64("from", from), zap.Uint64("first", batch.First))
			r.relay.Restart(r.stream, batch.First)
		default:
			r.logger.Debug("read failed", zap.String("stream", r.stream), zap.Error(err))
			r.backOff(ctx)
		}
	}
}

// gather waits a little after new records, so that the next read brings those
// that follow them together.
func (r *reader) gather(ctx context.Context, batch logstream.Batch) {
	if r.gatherFor == 0 || len(batch.Records) == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(r.gatherFor):
	}
}

// read reads from the peer to follow or else from the platform. The instant is
// that of the sending: the answer to a read proves the head as of then, however
// long the read waited.
func (r *reader) read(ctx context.Context, from uint64) (logstream.Batch, clock.Instant, error) {
	batch, asOf, err := r.relay.Read(ctx, r.stream, from)
	if err == nil {
		return batch, asOf, nil
	}
	wait := r.waitMS
	if !r.primed {
		wait = 0
	}
	sent := r.clock.Now()
	batch, err = r.log.Read(ctx, r.stream, from, max(r.max, 1), wait)
	if err == nil {
		r.max = min(2*max(r.max, 1), readMax)
	}
	return batch, sent, err
}

// backOff waits before the next read, which asks for fewer records: the answer
// may have been too large to be read.
func (r *reader) backOff(ctx context.Context) {
	r.max /= 4
	r.pause = min(max(2*r.pause, readRetry), readRetryMax)
	select {
	case <-ctx.Done():
	case <-time.After(r.pause + rand.N(r.pause)):
	}
}
