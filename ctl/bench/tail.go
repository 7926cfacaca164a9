package bench

import (
	"context"
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/logstream"
)

// Record is a log record with the time at which it was read.
type Record struct {
	logstream.Entry
	ReadAt time.Time
}

const (
	tailBatch  = 500 // maximum number of records per read
	tailWaitMS = 500 // milliseconds that a read waits for the first record
)

// tail follows a log stream and keeps its records in memory.
type tail struct {
	stop context.CancelFunc
	done chan struct{}

	mu      sync.Mutex
	records []Record
}

// startTail follows the stream from its first record until close.
func startTail(log logstream.Log, stream string) *tail {
	ctx, cancel := context.WithCancel(context.Background())
	t := &tail{stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(t.done)
		t.run(ctx, log, stream)
	}()
	return t
}

func (t *tail) run(ctx context.Context, log logstream.Log, stream string) {
	next := uint64(1)
	for ctx.Err() == nil {
		batch, err := log.Read(ctx, stream, next, tailBatch, tailWaitMS)
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(retryInterval):
			}
			continue
		}
		now := time.Now()
		t.mu.Lock()
		for _, entry := range batch.Records {
			t.records = append(t.records, Record{entry, now})
			next = entry.Offset + 1
		}
		t.mu.Unlock()
	}
}

// read returns a copy of the records read so far.
func (t *tail) read() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Record(nil), t.records...)
}

// close stops reading and waits until the goroutine has ended.
func (t *tail) close() {
	t.stop()
	<-t.done
}
