package logclient

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

type bubbleClock struct{}

func (bubbleClock) Now() clock.Instant { return clock.Instant(time.Now().UnixNano()) }

// fakeLog is a log that answers reads after a delay; its stream starts at first.
type fakeLog struct {
	logstream.Log
	first, next uint64
	delay       time.Duration
	down        bool
	maxRecords  int // most records that fit an answer; 0 means any number
	reads       int
	era         uint64
}

func (l *fakeLog) Read(_ context.Context, _ string, from uint64, limit, waitMS int) (logstream.Batch, error) {
	l.reads++
	time.Sleep(l.delay)
	batch := logstream.Batch{First: logstream.Position(l.era, l.first), Next: logstream.Position(l.era, l.next)}
	if restored, err := logstream.CheckEra(l.era, from); err != nil {
		return restored, err
	}
	switch {
	case l.down:
		return logstream.Batch{}, logstream.ErrUnavailable
	case from < batch.First:
		return batch, logstream.ErrTrimmed
	}
	if l.maxRecords > 0 && limit > l.maxRecords {
		return logstream.Batch{}, logstream.ErrUnavailable
	}
	for o := from; o < min(batch.Next, from+uint64(limit)); o++ {
		batch.Records = append(batch.Records, logstream.Entry{Offset: o})
	}
	if len(batch.Records) == 0 {
		time.Sleep(time.Duration(waitMS) * time.Millisecond)
	}
	return batch, nil
}

// fakeRelay is a relay without a peer to read from. It records the calls.
type fakeRelay struct {
	next     uint64
	restarts []uint64
	asOf     clock.Instant
	taken    int
}

func (r *fakeRelay) NextOffset(string) uint64 { return r.next }

func (r *fakeRelay) Apply(_ string, _ uint64, batch logstream.Batch, asOf clock.Instant) {
	r.taken += len(batch.Records)
	r.next += uint64(len(batch.Records))
	r.asOf = asOf
}

func (r *fakeRelay) Reset(_ string, first uint64) {
	r.restarts = append(r.restarts, first)
	r.next = first
}

func (r *fakeRelay) Restored(string) <-chan struct{} { return nil }

func (r *fakeRelay) Read(context.Context, string, uint64) (logstream.Batch, clock.Instant, error) {
	return logstream.Batch{}, 0, kernel.ErrNoPeer
}

// readFor runs a reader for the duration d.
func readFor(t *testing.T, l *fakeLog, relay *fakeRelay, d time.Duration) {
	r := &reader{stream: logstream.ConfigStream, log: l, relay: relay, clock: bubbleClock{}, logger: zap.NewNop(), max: maxReadRecords, maxWaitMS: 1000}
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	r.run(ctx)
}

func TestReaderRestartsAtFirstRecordAfterTrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		relay := &fakeRelay{next: 1}
		readFor(t, &fakeLog{first: 500, next: 510}, relay, 3*time.Second)
		is.Equal(relay.restarts, []uint64{500})
		is.Equal(relay.taken, 10)
	})
}

// TestHeadIsKnownAsOfSendTime checks that with a slow log the head is
// known as of the time at which the read was sent, not answered.
func TestHeadIsKnownAsOfSendTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		relay := &fakeRelay{next: 1}
		start := bubbleClock{}.Now()
		readFor(t, &fakeLog{first: 1, next: 3, delay: 2 * time.Second}, relay, time.Second)
		is.Equal(relay.asOf, start)
	})
}

// A reader whose position is beyond the end of a restored log must read it from its
// beginning.
func TestReaderWaitsBeyondTheEndOfARestoredLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		relay := &fakeRelay{next: logstream.Position(1, 40)}
		readFor(t, &fakeLog{first: 1, next: 21, era: 2}, relay, 3*time.Second)
		is.Equal(relay.restarts, []uint64{logstream.Position(2, 1)})
		is.Equal(relay.taken, 20)
	})
}

func TestReaderBacksOffWhileLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &fakeLog{down: true}
		readFor(t, l, &fakeRelay{next: 1}, time.Minute)
		is.True(l.reads <= 2+int(time.Minute/maxRetryDelay))
	})
}

func TestReaderRequestsFewerRecordsAfterFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		relay := &fakeRelay{next: 1}
		readFor(t, &fakeLog{first: 1, next: 101, maxRecords: 3}, relay, 2*time.Minute)
		is.Equal(relay.next, uint64(101))
	})
}
