package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/fx/fxtest"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/edge"
	"github.com/sesamemoor/sesamemoor/daemon/edge/edgetest"
)

func readRequest(id int) string {
	return fmt.Sprintf("GET /read/1 HTTP/1.1\r\nHost: a\r\nId: r-%d\r\nKey: %s\r\nNumber: 3\r\n\r\n", id, teamKey)
}

func TestRequestIsForwardedAfterItsCallerLeft(t *testing.T) {
	const callers = 50
	is := is.New(t)
	s := newFakeDaemon()
	var handled atomic.Int64
	g := newTestHandler(t, s)
	l := edgetest.NewListener(t)
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.ServeHTTP(w, r)
		handled.Add(1)
	}))
	_ = srv.Listener.Close()
	srv.Listener, srv.Config.ConnContext = l, edge.WithConn
	edgetest.SendAndLeave(t, l.Addr().String(), slices.Repeat([]string{readRequest(1)}, callers)...)
	l.Open()
	srv.Start()
	defer srv.Close()
	eventually(t, "all are handled", func() bool { return handled.Load() == callers })
	is.Equal(len(s.targets), 0)
}

func TestTimeInTheConnectionIsAddedToTheCallersTime(t *testing.T) {
	const (
		running = 16 // of one connection
		wait    = 100 * time.Millisecond
		timeout = 500 * time.Millisecond // of the route
	)
	is := is.New(t)
	s := newFakeDaemon()
	release := make(chan struct{})
	var sent atomic.Int64
	var last atomic.Uint64
	s.respond = func(target string, req *wire.Request) (*wire.Response, error) {
		if sent.Add(1) > running {
			last.Store(req.GetTimeoutMs())
		}
		<-release
		return okResponse(target, req)
	}
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := unused.Addr().String()
	is.NoErr(unused.Close())
	lc := fxtest.NewLifecycle(t)
	edge.ListenPipelined(lc, &http.Server{Handler: newTestHandler(t, s)}, "test", addr, zap.NewNop())
	lc.RequireStart()
	defer lc.RequireStop()
	conn, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer conn.Close()
	var requests strings.Builder
	for i := range running + 1 {
		requests.WriteString(readRequest(i))
	}
	_, err = io.WriteString(conn, requests.String())
	is.NoErr(err)
	eventually(t, "as many run as may", func() bool { return sent.Load() == running })
	<-time.After(wait)
	close(release)
	eventually(t, "the last one runs", func() bool { return last.Load() > 0 })
	is.True(time.Duration(last.Load())*time.Millisecond <= timeout-wait)
}

// A refusal before the body was read closed the connection under the requests behind it, of
// which some had been passed on.
func TestRefusedBodyClosesUnderRequestsBehindIt(t *testing.T) {
	is := is.New(t)
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := unused.Addr().String()
	is.NoErr(unused.Close())
	lc := fxtest.NewLifecycle(t)
	edge.ListenPipelined(lc, &http.Server{Handler: newTestHandler(t, newFakeDaemon())}, "test", addr, zap.NewNop())
	lc.RequireStart()
	defer lc.RequireStop()
	conn, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
	refused := strings.Replace(strings.Replace(readRequest(1), "GET /read", "POST /unknown", 1), "\r\n\r\n", "\r\nContent-Length: 3\r\n\r\nabc", 1)
	_, err = io.WriteString(conn, refused+readRequest(2)+readRequest(3))
	is.NoErr(err)
	r := bufio.NewReader(conn)
	for i, want := range []int{http.StatusNotFound, http.StatusOK, http.StatusOK} {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.Equal(resp.StatusCode, want)
	}
}

// eventually waits until cond holds.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	const bound = 10 * time.Second
	for end := time.Now().Add(bound); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, bound)
		}
	}
}
