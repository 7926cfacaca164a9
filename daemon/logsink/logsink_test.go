package logsink

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (s *syncBuffer) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.Write(b)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data.String()
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	is := is.New(t)
	out := &syncBuffer{}
	s := New(out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, err := s.Write([]byte(line))
		is.NoErr(err)
	}
	is.NoErr(s.Sync())
	is.Equal(out.String(), "a\nb\nc\n")
}

// TestUnreadPipeDoesNotBlockWriters: writes to a pipe without a reader must not block, and
// the dropped lines are reported once the pipe is read.
func TestUnreadPipeDoesNotBlockWriters(t *testing.T) {
	is := is.New(t)
	r, w := io.Pipe()
	s := New(w)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	started := time.Now()
	for range 4096 {
		_, err := s.Write(line)
		is.NoErr(err)
	}
	is.True(time.Since(started) < 2*time.Second)
	is.True(s.Dropped() > 0)
	out := &syncBuffer{}
	go func() { _, _ = io.Copy(out, r) }()
	is.NoErr(s.Sync())
	_, _ = s.Write([]byte("after\n"))
	is.NoErr(s.Sync())
	is.True(strings.Contains(out.String(), "log lines dropped"))
	is.True(strings.HasSuffix(out.String(), "after\n"))
}
