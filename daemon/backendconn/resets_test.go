package backendconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// A reset of which a look at the connection or a write was told was read as the end of the answer.
func TestResetSeenBeforeTheReaderLooksLikeAnEnd(t *testing.T) {
	for by, see := range map[EndObserver]func(*Continuity, net.Conn){
		EndSeenByLook:  func(c *Continuity, _ net.Conn) { c.lookForLosses() },
		EndSeenByWrite: func(_ *Continuity, conn net.Conn) { _, _ = conn.Write([]byte("x")) },
	} {
		t.Run(string(by), func(t *testing.T) {
			is := is.New(t)
			conn, continuity, _ := resetConn(t)
			see(continuity, conn)
			n, err := conn.Read(make([]byte, 1))
			is.Equal(n, 0)
			is.True(errors.Is(err, syscall.ECONNRESET))
			is.True(!continuity.ClosesQuickly()) // a reset is no close of an idle connection
			is.True(!continuity.LeadsTo(0, clock.Boot{}.Now()))
		})
	}
}

// resettingServer answers requests without a body whole, and others without a length: some bytes
// of the body, and then what end does. It reads no body of a request.
func resettingServer(t *testing.T, end func(net.Conn)) (addr string) {
	return listen(t, func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		r := bufio.NewReaderSize(conn, 512)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if req.Method == http.MethodGet {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n%s", req.Header.Get("Id"), partOfBody)
			time.Sleep(rand.N(500 * time.Microsecond))
			end(conn)
			return
		}
	})
}

var partOfBody = strings.Repeat("x", 55)

// beside calls f all the time until the end of a test.
func beside(t *testing.T, interval time.Duration, f func()) {
	stop, done := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(stop); <-done })
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(interval):
				f()
			}
		}
	}()
}

// A server reset a connection in the middle of an answer without a length. The caller got the part
// of the answer as a whole one.
func TestResetAnswerLooksWhole(t *testing.T) {
	const callers, requests = 4, 400
	for name, form := range map[string]struct {
		bodyBytes int // of the request; the server does not read them
		looks     bool
	}{
		"nobody looks": {},
		"looks":        {looks: true},
		"long request": {bodyBytes: 1 << 20},
		"both":         {bodyBytes: 1 << 20, looks: true},
	} {
		t.Run(name, func(t *testing.T) {
			addr := resettingServer(t, reset)
			var continuity Continuity
			if form.looks {
				beside(t, 50*time.Microsecond, continuity.lookForLosses)
			}
			answers := playResets(t, addr, &continuity, callers, requests, form.bodyBytes)
			whole := 0
			seenBy := map[EndObserver]int{}
			for _, x := range answers {
				if x.err == nil {
					whole++
				}
				seenBy[x.EndSeenBy]++
			}
			t.Logf("%d of %d answers that were reset look whole; resets by the first that saw them: %v", whole, len(answers), seenBy)
			if len(answers) < requests/2 {
				t.Errorf("the head of only %d of %d answers was read", len(answers), requests)
			}
			if whole > 0 {
				t.Errorf("%d of %d answers that were reset look whole", whole, len(answers))
			}
		})
	}
}

// playedAnswer is the result of one answer of a resettingServer.
type playedAnswer struct {
	Exchange
	err error
}

// playResets sends requests on kept connections and returns the answers whose head was read.
func playResets(t *testing.T, addr string, continuity *Continuity, callers, requests, bodyBytes int) []playedAnswer {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DialContext: WatchedDialer(clock.Boot{}, continuity, false), MaxIdleConnsPerHost: callers}}
	t.Cleanup(client.CloseIdleConnections)
	responses := NewResponseReader()
	body := make([]byte, bodyBytes)
	send := func(method, id string, body io.Reader, size int) (playedAnswer, bool) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		ctx, x := WithExchange(ctx)
		resp, trace, err := Do(ctx, client, id, clock.Boot{}.Now().Add(time.Minute), func(ctx context.Context) (*http.Request, error) {
			req, err := http.NewRequestWithContext(ctx, method, "http://"+addr, body)
			if err == nil {
				req.ContentLength = int64(size)
				req.Header.Set("Id", id)
			}
			return req, err
		})
		if err != nil {
			return playedAnswer{}, false
		}
		defer resp.Body.Close()
		_, err = responses.ReadOwn(ctx, resp, trace, marksOfID)
		trace.Answered()
		return playedAnswer{*x, err}, true
	}
	var (
		mu      sync.Mutex
		answers []playedAnswer
		wg      sync.WaitGroup
	)
	for caller := range callers {
		wg.Go(func() {
			for n := range requests / callers {
				send(http.MethodGet, fmt.Sprintf("first-%d-%d", caller, n), http.NoBody, 0)
				got, ok := send(http.MethodPost, fmt.Sprintf("second-%d-%d", caller, n), bytes.NewReader(body), len(body))
				if ok && got.Framing == FramingClose {
					mu.Lock()
					answers = append(answers, got)
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return answers
}

// An answer without a length that the server ended before it reset the connection is whole.
func TestWholeAnswerBeforeAResetIsCut(t *testing.T) {
	const callers, requests = 4, 200
	addr := resettingServer(t, func(conn net.Conn) {
		_ = conn.(*net.TCPConn).CloseWrite()
		reset(conn)
	})
	var continuity Continuity
	beside(t, 50*time.Microsecond, continuity.lookForLosses)
	answers := playResets(t, addr, &continuity, callers, requests, 0)
	if len(answers) < requests*9/10 {
		t.Fatalf("only %d of %d answers without a length", len(answers), requests)
	}
	for _, x := range answers {
		if x.err != nil {
			t.Fatalf("%v, seen by %q", x.err, x.EndSeenBy)
		}
	}
}

// The end of an answer must not wait for a write that the server does not read.
func TestEndOfAnAnswerWaitsForABlockedWrite(t *testing.T) {
	is := is.New(t)
	addr := listen(t, func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		_, _ = conn.Read(make([]byte, 1))
		_, _ = io.WriteString(conn, "x")
		_ = conn.(*net.TCPConn).CloseWrite()
		<-t.Context().Done()
	})
	conn, err := WatchedDialer(clock.Boot{}, new(Continuity), false)(context.Background(), "tcp", addr)
	is.NoErr(err)
	trace := &Trace{Until: clock.Boot{}.Now().Add(time.Minute)}
	trace.SetConn(conn)
	written := make(chan error)
	go func() {
		_, err := conn.Write(make([]byte, 64<<20)) // more than the buffers of a socket take
		written <- err
	}()
	got := make(chan error)
	go func() {
		_, err := io.ReadAll(conn)
		got <- err
	}()
	select {
	case err := <-got:
		is.NoErr(err)
	case <-written:
		t.Fatal("the write did not block")
	case <-time.After(10 * time.Second):
		t.Error("the end was not read")
	}
	_ = conn.Close()
	is.True(<-written != nil)
}

// Bytes that no call awaited were read as the server's close, with which a body may end.
func TestBytesOfNoCallLookLikeAnEnd(t *testing.T) {
	is := is.New(t)
	addr := listen(t, func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 1))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
		_, _ = conn.Read(make([]byte, 1))
	})
	conn, err := WatchedDialer(clock.Boot{}, new(Continuity), false)(context.Background(), "tcp", addr)
	is.NoErr(err)
	defer conn.Close()
	trace := &Trace{Until: clock.Boot{}.Now().Add(time.Minute)}
	trace.SetConn(conn)
	_, err = conn.Write([]byte("x"))
	is.NoErr(err)
	trace.Answered()
	n, err := conn.Read(make([]byte, 100))
	is.Equal(n, 0)
	is.Equal(err, errNoCallWaits)
}
