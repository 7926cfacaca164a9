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
	maxReadRecords = 1024 // most records requested by one read
	// minRetryDelay is the delay after a failed read; it doubles with each further
	// failure up to maxRetryDelay. Up to the same time is added at random.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// A read of the platform may take between minPatience and maxPatience beyond its wait.
	// A read on a connection that has become silent should end early, but one that is
	// answered late, by a slow log or because this process is short of processor time, must
	// not begin anew over and over.
	minPatience = 1500 * time.Millisecond
	maxPatience = 8 * time.Second
)

// reader reads one stream continuously, from the peer that the relay selects, or
// else from the platform.
type reader struct {
	stream      string
	log         logstream.Log
	relay       kernel.Relay
	clock       clock.Clock
	logger      *zap.Logger
	hasRead     bool // a read has succeeded; until then, reads from the platform do not wait
	retryDelay  time.Duration
	maxWaitMS   int           // longest wait of a read for new records
	gatherDelay time.Duration // delay after new records
	max         int           // records requested; fewer after a failure, as the answer may have been too large
	patience    time.Duration // time that a read of the platform may take beyond its wait
}

func startReaders(lc fx.Lifecycle, set settings.Daemon, l logstream.Log, relay kernel.Relay, clk clock.Clock, log *zap.Logger) {
	var tasks []func(context.Context)
	for _, stream := range []string{logstream.ConfigStream, logstream.PlacementStream(set.Region)} {
		r := &reader{stream: stream, log: l, relay: relay, clock: clk, logger: log.Named("logclient"), max: maxReadRecords, maxWaitMS: maxWaitOf(set, stream),
			gatherDelay: time.Duration(set.Bounds.LogGatherMS) * time.Millisecond}
		tasks = append(tasks, r.run)
	}
	kernel.Background(lc, tasks...)
}

// maxWaitOf returns the longest wait of one read of a stream, in milliseconds.
func maxWaitOf(set settings.Daemon, stream string) int {
	if stream == logstream.ConfigStream {
		return set.Bounds.LogWaitMS
	}
	return set.Bounds.LogPlacementWaitMS
}

// run reads the stream until ctx ends. It starts from a snapshot where records
// were trimmed.
func (r *reader) run(ctx context.Context) {
	for ctx.Err() == nil {
		from := r.relay.NextOffset(r.stream)
		began := r.clock.Now()
		batch, asOf, err := r.read(ctx, from)
		switch {
		case err == nil:
			r.retryDelay = 0
			r.hasRead = true
			r.relay.Apply(r.stream, from, batch, asOf)
			r.gather(ctx, batch)
		case r.relay.NextOffset(r.stream) > from:
			// The log was restored, and another stream's reader knows it.
		case errors.Is(err, logstream.ErrRestored):
			r.logger.Warn("the log was restored", zap.String("stream", r.stream), zap.Uint64("era", logstream.EraOf(batch.First)))
			r.hasRead = false
			r.relay.Reset(r.stream, batch.First)
		case errors.Is(err, logstream.ErrTrimmed) && batch.First > from:
			r.logger.Warn("records were trimmed; starting from a snapshot",
				zap.String("stream", r.stream), zap.Uint64("from", from), zap.Uint64("first", batch.First))
			r.relay.Reset(r.stream, batch.First)
		default:
			r.logger.Info("read failed", zap.String("stream", r.stream), zap.Duration("took", r.clock.Now().Sub(began)), zap.Error(err))
			r.backOff(ctx)
		}
	}
}

// gather waits for gatherDelay after new records, so that the next read returns
// the following ones in one batch.
func (r *reader) gather(ctx context.Context, batch logstream.Batch) {
	if r.gatherDelay == 0 || len(batch.Records) == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(r.gatherDelay):
	}
}

// read reads from a peer or else from the platform. The returned time is that as
// of which the head of the stream is known. For a read from the platform it is the
// time of sending, however long the read waited: the answer proves no later one.
func (r *reader) read(ctx context.Context, from uint64) (logstream.Batch, clock.Instant, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	restored := r.relay.Restored(r.stream)
	go func() {
		select {
		case <-restored:
			cancel()
		case <-ctx.Done():
		}
	}()
	batch, asOf, err := r.relay.Read(ctx, r.stream, from)
	if err == nil || errors.Is(err, logstream.ErrRestored) {
		return batch, asOf, err
	}
	wait := r.maxWaitMS
	if !r.hasRead {
		wait = 0
	}
	sent := r.clock.Now()
	batch, err = r.readPlatform(ctx, from, wait)
	if err == nil {
		r.max = min(2*max(r.max, 1), maxReadRecords)
	}
	return batch, sent, err
}

// readPlatform reads from the platform, and adapts the patience of the next read to the time
// that this one took.
func (r *reader) readPlatform(ctx context.Context, from uint64, waitMS int) (logstream.Batch, error) {
	wait := time.Duration(waitMS) * time.Millisecond
	patience := min(max(r.patience, minPatience), maxPatience)
	limited, cancel := context.WithTimeout(ctx, wait+patience)
	defer cancel()
	sent := r.clock.Now()
	batch, err := r.log.Read(limited, r.stream, from, max(r.max, 1), waitMS)
	switch {
	case err == nil:
		r.patience = 2 * (r.clock.Now().Sub(sent) - wait)
	case limited.Err() != nil && ctx.Err() == nil:
		r.patience = 2 * patience
	}
	return batch, err
}

// backOff waits before the next read, and reduces the number of records that it
// requests: the answer may have been too large to be read.
func (r *reader) backOff(ctx context.Context) {
	r.max /= 4
	r.retryDelay = min(max(2*r.retryDelay, minRetryDelay), maxRetryDelay)
	select {
	case <-ctx.Done():
	case <-time.After(r.retryDelay + rand.N(r.retryDelay)):
	}
}
