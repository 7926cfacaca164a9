// Package logsink writes log lines without ever blocking those who log. Lines
// wait in a bounded buffer for one goroutine that writes them; what finds the
// buffer full is dropped, counted, and said.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBuffered bounds the bytes that wait: some seconds of a busy daemon's
	// lines.
	maxBuffered = 1 << 20
	// gatherTime is the time for which lines are gathered in one write.
	gatherTime = 50 * time.Millisecond
	// syncTime bounds the wait for the buffer to be written when the process ends.
	syncTime = 500 * time.Millisecond
)

// Sink is a writer that never blocks. It is safe for concurrent use.
type Sink struct {
	out  io.Writer
	wake chan struct{}

	mu       sync.Mutex
	buffer   []byte
	spare    []byte
	writing  bool
	dropped  uint64 // lines since the last that was written
	droppedN uint64 // lines in all
}

// New returns a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1)}
	go s.run()
	return s
}

// Write takes in one line. It reports success also for a line that it drops.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buffer)+len(line) > maxBuffered {
		s.dropped++
		s.droppedN++
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
	return s.droppedN
}

// Sync waits a bounded time until all lines are written.
func (s *Sink) Sync() error {
	deadline := time.Now().Add(syncTime)
	for time.Now().Before(deadline) {
		s.mu.Lock()
		done := len(s.buffer) == 0 && !s.writing
		s.mu.Unlock()
		if done {
			return nil
		}
		time.Sleep(time.Millisecond)
	}
	return fmt.Errorf("logsink: lines left after %v", syncTime)
}

func (s *Sink) run() {
	for range s.wake {
		time.Sleep(gatherTime)
		s.flush()
	}
}

// flush writes what waits. A failed write loses its lines: there is nowhere left
// to say so.
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
