package backend

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/outcome"
)

// endless is a backend server that sends bytes without end until its caller closes.
type endless struct {
	head   string        // bytes before the endless ones
	piece  string        // bytes that are repeated
	pause  time.Duration // between pieces
	sent   atomic.Int64
	closed atomic.Int64 // connections that the caller closed
}

func (s *endless) serve(w http.ResponseWriter, id string) {
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	defer s.closed.Add(1)
	_, _ = buffered.WriteString(strings.ReplaceAll(s.head, "ID", id))
	_ = buffered.Flush()
	for {
		_ = conn.(*net.TCPConn).SetWriteDeadline(time.Now().Add(waitTimeout))
		n, err := conn.Write([]byte(s.piece))
		s.sent.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(s.pause)
	}
}

// Whatever a server sends without end costs bounded memory and time, ends its connection
// and gets a true outcome.
func TestBytesWithoutEndAreReadOn(t *testing.T) {
	const sealed = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n"
	filler := strings.Repeat("x", 16<<10)
	for name, tc := range map[string]struct {
		server *endless
		want   outcome.Kind
	}{
		"in the status line":  {&endless{head: "HTTP/1.1 200 ", piece: filler}, outcome.ConnectionLost},
		"in a header":         {&endless{head: sealed + "More: ", piece: filler}, outcome.ConnectionLost},
		"in many headers":     {&endless{head: sealed, piece: strings.Repeat("More: x\r\n", 1000)}, outcome.ConnectionLost},
		"no response":         {&endless{piece: filler}, outcome.ConnectionLost},
		"in a body":           {&endless{head: sealed + "\r\n", piece: filler}, outcome.AnswerTooLarge},
		"in interim answers":  {&endless{head: "HTTP/1.1 103 Early Hints\r\n\r\n", piece: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100)}, outcome.ConnectionLost},
		"in a trailer":        {&endless{head: sealed + "Transfer-Encoding: chunked\r\n\r\n0\r\n", piece: strings.Repeat("More: x\r\n", 1000)}, outcome.AnswerCut},
		"in a chunk's length": {&endless{head: sealed + "Transfer-Encoding: chunked\r\n\r\n", piece: "0"}, outcome.AnswerCut},
		"in chunks":           {&endless{head: sealed + "Transfer-Encoding: chunked\r\n\r\n", piece: "4000\r\n" + filler + "\r\n"}, outcome.AnswerTooLarge},
		"in a long body":      {&endless{head: sealed + "Content-Length: 90000000000\r\n\r\n", piece: filler}, outcome.AnswerTooLarge},
		"slowly in a header":  {&endless{head: sealed + "More: ", piece: "x", pause: time.Millisecond}, outcome.DeadlineMaybeRan},
		"slowly in a body":    {&endless{head: sealed + "\r\n", piece: "x", pause: time.Millisecond}, outcome.DeadlineMaybeRan},
		"slowly in a refusal": {&endless{head: "HTTP/1.1 503 Full\r\nId: ID\r\nNot-Run: 1\r\n\r\n", piece: "x", pause: time.Millisecond}, outcome.BackendShed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, f := start(t)
			s := tc.server
			f.handler = s.serve
			const requests = 4
			timeout := 8 * time.Second // for the bytes of a large body
			if s.pause > 0 {
				timeout = 800 * time.Millisecond
			}
			var wg sync.WaitGroup
			began := time.Now()
			var peak atomic.Uint64
			stop := make(chan struct{})
			go watchHeap(&peak, stop)
			for i := range requests {
				wg.Go(func() {
					req := request(fmt.Sprint("r-", i), 7)
					req.TimeoutMs = uint64(timeout.Milliseconds())
					got := kind(e.Execute(context.Background(), req))
					if got != tc.want && got.Answer().Ran != outcome.NotRun {
						t.Errorf("outcome %v, expected %v", got, tc.want)
					}
					if got.Answer().Ran == outcome.NotRun && got != outcome.BackendShed && f.runs(req.GetRequestId()) > 0 {
						t.Errorf("outcome %v, but the request reached the server", got)
					}
				})
			}
			wg.Wait()
			close(stop)
			took := time.Since(began)
			is.True(took < timeout+time.Second)
			is.True(tc.want != outcome.BackendShed || took < 400*time.Millisecond) // the refusal is known at once
			is.True(peak.Load() < 128<<20)
			until(t, "the connections are closed", func() bool { return s.closed.Load() > 0 && f.allReturned(s) })
		})
	}
}

// allReturned reports whether the server's handler has returned for all requests.
func (f *fake) allReturned(s *endless) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.closed.Load() == int64(len(f.ran))
}

// watchHeap records the largest heap until stop is closed.
func watchHeap(peak *atomic.Uint64, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak.Store(max(peak.Load(), m.HeapInuse))
		}
	}
}
