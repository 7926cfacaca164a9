package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/fx/fxtest"
	"go.uber.org/zap"
)

// waitTimeout bounds the wait for an event of a test.
const waitTimeout = 10 * time.Second

// servePipelined serves handler on a loopback address until the test ends.
func servePipelined(t *testing.T, handler http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	lc := fxtest.NewLifecycle(t)
	ListenPipelined(lc, &http.Server{Handler: handler, ReadHeaderTimeout: time.Second, IdleTimeout: 2 * time.Second}, "test", addr, zap.NewNop())
	lc.RequireStart()
	t.Cleanup(lc.RequireStop)
	return addr
}

// caller is a connection that reads its answers one by one.
type caller struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func dialCaller(t *testing.T, addr string) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	return &caller{t: t, Conn: conn, r: bufio.NewReader(conn)}
}

func (c *caller) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// answer returns the body of the next answer, or an error.
func (c *caller) answer() (string, error) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// finalAnswer returns the body of the next answer that is not an interim one, or an error.
func (c *caller) finalAnswer() (string, error) {
	for {
		resp, err := http.ReadResponse(c.r, nil)
		if err != nil {
			return "", err
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode >= http.StatusOK {
			return string(body), err
		}
	}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

// gate is a handler that answers with the path and the body, for paths that contain "wait"
// once they are released.
type gate struct {
	release chan struct{}
	running atomic.Int64
	ended   atomic.Int64 // contexts that ended while the handler waited
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if strings.Contains(r.URL.Path, "turn") {
		_ = AwaitTurn(r.Context())
	}
	g.running.Add(1)
	defer g.running.Add(-1)
	if strings.Contains(r.URL.Path, "wait") {
		select {
		case <-g.release:
		case <-r.Context().Done():
			g.ended.Add(1)
		}
	}
	if strings.Contains(r.URL.Path, "close") {
		w.Header().Set("Connection", "close")
	}
	_, _ = fmt.Fprint(w, r.URL.Path, string(body))
}

func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, waitTimeout)
		}
	}
}

// A request behind a slow one of the same connection waited for its answer: three quarters
// of a second at a latency target of 0.3 s.
func TestPipelinedRequestsRunSideBySide(t *testing.T) {
	is := is.New(t)
	g := &gate{release: make(chan struct{})}
	c := dialCaller(t, servePipelined(t, g))
	c.send(get("/1wait") + get("/2wait") + get("/3"))
	eventually(t, "two run", func() bool { return g.running.Load() == 2 })
	close(g.release)
	for _, want := range []string{"/1wait", "/2wait", "/3"} {
		got, err := c.answer()
		is.NoErr(err)
		is.Equal(got, want)
	}
}

func TestAnswersKeepTheOrderOfRequests(t *testing.T) {
	is := is.New(t)
	g := &gate{release: make(chan struct{})}
	addr := servePipelined(t, g)
	c := dialCaller(t, addr)
	for round := range 50 {
		g.release = make(chan struct{})
		c.send(get("/wait"))
		body := strings.Repeat("x", round*997)
		c.send(fmt.Sprintf("POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		c.send(get("/c"))
		eventually(t, "the first runs", func() bool { return g.running.Load() >= 1 })
		close(g.release)
		for _, want := range []string{"/wait", "/b" + body, "/c"} {
			got, err := c.answer()
			is.NoErr(err)
			is.Equal(got, want)
		}
	}
}

func TestRequestWaitsForItsTurn(t *testing.T) {
	is := is.New(t)
	g := &gate{release: make(chan struct{})}
	c := dialCaller(t, servePipelined(t, g))
	c.send(get("/1wait") + get("/2turn") + get("/3wait"))
	eventually(t, "first and third run", func() bool { return g.running.Load() == 2 })
	time.Sleep(20 * time.Millisecond)
	is.Equal(g.running.Load(), int64(2)) // the second waits
	close(g.release)
	for _, want := range []string{"/1wait", "/2turn", "/3wait"} {
		got, err := c.answer()
		is.NoErr(err)
		is.Equal(got, want)
	}
}

// What stands behind an answer that closes the connection gets none.
func TestClosingAnswerIsTheLast(t *testing.T) {
	is := is.New(t)
	g := &gate{release: make(chan struct{})}
	c := dialCaller(t, servePipelined(t, g))
	c.send(get("/1wait-close") + get("/2"))
	eventually(t, "the first runs", func() bool { return g.running.Load() == 1 })
	close(g.release)
	got, err := c.answer()
	is.NoErr(err)
	is.Equal(got, "/1wait-close")
	_, err = c.answer()
	is.True(err != nil)
}

// While bytes of another request were waiting, the server did not notice that the caller
// had left.
func TestCallerThatLeavesEndsAllItsRequests(t *testing.T) {
	g := &gate{release: make(chan struct{})}
	defer close(g.release)
	c := dialCaller(t, servePipelined(t, g))
	c.send(get("/1wait") + get("/2wait"))
	eventually(t, "both run", func() bool { return g.running.Load() == 2 })
	_ = c.Close()
	eventually(t, "both end", func() bool { return g.ended.Load() == 2 })
}

func TestRequestsWithoutAKnownEndStayInOrder(t *testing.T) {
	is := is.New(t)
	g := &gate{release: make(chan struct{})}
	c := dialCaller(t, servePipelined(t, g))
	c.send("POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + get("/2") + get("/3close"))
	for _, want := range []string{"/1abc", "/2", "/3close"} {
		got, err := c.answer()
		is.NoErr(err)
		is.Equal(got, want)
	}
}

func TestMalformedRequestIsAnsweredAndEndsTheConnection(t *testing.T) {
	is := is.New(t)
	c := dialCaller(t, servePipelined(t, &gate{}))
	c.send(get("/1") + "no request\r\n\r\n")
	got, err := c.answer()
	is.NoErr(err)
	is.Equal(got, "/1")
	got, err = c.answer()
	is.NoErr(err)
	is.True(strings.HasPrefix(got, "400"))
	_, err = c.answer()
	is.True(err != nil)
}

func TestHeadInPiecesAndIdleTimeout(t *testing.T) {
	is := is.New(t)
	c := dialCaller(t, servePipelined(t, &gate{}))
	for _, piece := range strings.SplitAfter(get("/1"), "\r") {
		c.send(piece)
		time.Sleep(5 * time.Millisecond)
	}
	got, err := c.answer()
	is.NoErr(err)
	is.Equal(got, "/1")
	started := time.Now()
	_, err = c.answer() // nothing is sent
	is.True(err != nil)
	is.True(time.Since(started) > time.Second)
	is.True(time.Since(started) < waitTimeout/2)

	slow := dialCaller(t, c.RemoteAddr().String())
	slow.send("GET /1 HTTP/1.1\r\nHost") // and nothing more
	got, err = slow.answer()
	is.True(err != nil || strings.HasPrefix(got, "400"))
	_, err = slow.answer()
	is.True(err != nil)
}

// During a stop under load, requests that had just been accepted were cut off without an
// answer. Each request of which a byte was read gets one.
func TestStopAnswersEveryRequestThatWasRead(t *testing.T) {
	for range 20 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addr := l.Addr().String()
		_ = l.Close()
		var ran, answered atomic.Int64
		handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if AwaitTurn(r.Context()) != nil {
				return // an earlier answer closed the connection
			}
			ran.Add(1)
			time.Sleep(time.Millisecond)
		})
		lc := fxtest.NewLifecycle(t)
		ListenPipelined(lc, &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}, "test", addr, zap.NewNop())
		lc.RequireStart()
		var callers sync.WaitGroup
		stop := make(chan struct{})
		for range 8 {
			callers.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					conn, err := net.Dial("tcp", addr)
					if err != nil {
						return
					}
					_ = conn.SetDeadline(time.Now().Add(waitTimeout))
					_, _ = io.WriteString(conn, get("/1")+get("/2"))
					r := bufio.NewReader(conn)
					for range 2 {
						if _, err := http.ReadResponse(r, nil); err == nil {
							answered.Add(1)
						}
					}
					_ = conn.Close()
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
		lc.RequireStop()
		close(stop)
		callers.Wait()
		if ran.Load() != answered.Load() {
			t.Fatalf("%d requests ran and %d were answered", ran.Load(), answered.Load())
		}
	}
}

func TestAwaitTurnEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	p := newPipeline(nil, testConfig, nil, nil)
	first, second := &lane{p: p}, &lane{p: p}
	p.order = []*lane{first, second}
	ctx, cancel := context.WithCancel(WithConn(context.Background(), second))
	done := make(chan error, 1)
	go func() { done <- AwaitTurn(ctx) }()
	cancel()
	is.Equal(<-done, context.Canceled)
	is.NoErr(AwaitTurn(WithConn(context.Background(), first)))
	is.True(!EndAfter(WithConn(context.Background(), first)))
	is.True(EndAfter(WithConn(context.Background(), second)))
	is.NoErr(AwaitTurn(context.Background()))
}
