package backendconn

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/outcome"
)

// stalled is a body that blocks after some bytes until it is released.
type stalled struct {
	left     int
	release  <-chan struct{}
	reached  func()
	signaled bool
}

func (s *stalled) Read(p []byte) (int, error) {
	if s.left == 0 {
		if !s.signaled {
			s.signaled = true
			s.reached()
		}
		<-s.release
		return 0, io.EOF
	}
	n := min(len(p), s.left)
	s.left -= n
	return n, nil
}

func (s *stalled) Close() error { return nil }

// Each of many responses is within the bound of one, but they exceed the memory of the
// process together.
func TestLargeResponsesExceedMemoryTogether(t *testing.T) {
	is := is.New(t)
	const responses, size = 40, 7 << 20
	r := NewResponseReader()
	var mu sync.Mutex
	var wg, ended sync.WaitGroup
	release := make(chan struct{})
	refused := 0
	ended.Add(responses)
	for range responses {
		wg.Go(func() {
			body := &stalled{left: size, release: release, reached: ended.Done}
			_, err := r.Read(context.Background(), &http.Response{Body: body, ContentLength: -1})
			if outcome.KindOf(err) == outcome.AnswerTooLarge {
				mu.Lock()
				refused++
				mu.Unlock()
				ended.Done()
			}
		})
	}
	ended.Wait() // all are read as far as possible, or refused
	is.True(r.bodies.Taken() <= sharedResponseBytes)
	close(release)
	wg.Wait()
	is.True(refused >= responses-sharedResponseBytes/size)
	is.True(refused < responses)
	is.Equal(r.bodies.Taken(), int64(0))
}
