// Package logsink writes log lines without blocking the goroutines that log. Lines
// wait in a bounded buffer for one writer goroutine. Lines that do not fit are dropped
// and counted, and a line "log lines dropped" reports their number.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes bounds the buffered bytes. It holds a few seconds of the
	// lines of a busy daemon.
	maxBufferedBytes = 1 << 20
	// batchDelay is the time for which lines are collected before a write.
	batchDelay = 50 * time.Millisecond
	// syncTimeout bounds the time that Sync waits for the buffer to be written when
	// the process ends.
	syncTimeout = 500 * time.Millisecond
)

// Sink is a writer that never blocks. It is safe for concurrent use.
type Sink struct {
	out  io.Writer
	wake chan struct{}

	mu           sync.Mutex
	buffer       []byte
	spare        []byte
	writing      bool
	dropped      uint64 // lines dropped since the last buffered line
	totalDropped uint64 // lines dropped since the start
}

// New returns a sink that writes to out on its own goroutine.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1)}
	go s.run()
	return s
}

// Write buffers one line. It reports success also for a line that it drops.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buffer)+len(line) > maxBufferedBytes {
		s.dropped++
		s.totalDropped++
		return len(line), nil
	}
	if s.dropped > 0 {
		s.buffer = fmt.Appendf(s.buffer, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d}\n", s.dropped)
		s.dropped = 0
	}
	s.buffer = append(s.buffer, line...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalDropped
}

// Sync waits until all buffered lines are written. It returns an error if lines are
// left after syncTimeout.
func (s *Sink) Sync() error {
	deadline := time.Now().Add(syncTimeout)
	for time.Now().Before(deadline) {
		s.mu.Lock()
		done := len(s.buffer) == 0 && !s.writing
		s.mu.Unlock()
		if done {
			return nil
		}
		time.Sleep(time.Millisecond)
	}
	return fmt.Errorf("logsink: lines not written after %v", syncTimeout)
}

func (s *Sink) run() {
	for range s.wake {
		time.Sleep(batchDelay)
		s.flush()
	}
}

// flush writes the buffered lines. The lines of a failed write are lost; there is no
// other place to report the error.
func (s *Sink) flush() {
	s.mu.Lock()
	out := s.buffer
	s.buffer = s.spare[:0]
	s.writing = true
	s.mu.Unlock()
	_, _ = s.out.Write(out)
	s.mu.Lock()
	s.spare = out
	s.writing = false
	s.mu.Unlock()
}
