package owner

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
)

// A sound server that names no request in its answers lost answers that have no body.
func TestSoundServerWithoutNamesKeepsAnswersWithoutABody(t *testing.T) {
	const callers, requests = 8, 250 // each
	for method, status := range map[string]int{"HEAD": 200, "GET": 204, "PUT": 200} {
		t.Run(method, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.WriteHeader(status) // PUT: Content-Length 0
			}))
			defer srv.Close()
			send := sendTo(newStutterBackend(srv.Listener.Addr().String()), method)
			var ok, failed atomic.Int64
			var wg sync.WaitGroup
			for i := range callers {
				wg.Go(func() {
					for j := range requests {
						if send("r-" + strconv.Itoa(i) + "-" + strconv.Itoa(j)).OK {
							ok.Add(1)
						} else {
							failed.Add(1)
						}
					}
				})
			}
			wg.Wait()
			t.Logf("%d ok, %d failed", ok.Load(), failed.Load())
			if failed.Load() > 0 {
				t.Errorf("%d of %d answers of a sound server were refused", failed.Load(), callers*requests)
			}
		})
	}
}

// A copy behind an answer that was cut filled it up to its length.
func TestCopyBehindACutAnswerIsNotItsBody(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	const own = "0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789"
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buf := make([]byte, 4096)
				_, _ = c.Read(buf)
				head := "HTTP/1.1 200 OK\r\n" + headerRequest + ": r-1\r\nContent-Length: " + strconv.Itoa(len(own)) + "\r\n\r\n"
				_, _ = io.WriteString(c, head+own[:50]+head+own)
			}()
		}
	}()
	got := sendTo(newStutterBackend(l.Addr().String()), "GET")("r-1")
	if got.OK && got.Body != own {
		t.Errorf("passed on as whole: %q", got.Body)
	}
}
