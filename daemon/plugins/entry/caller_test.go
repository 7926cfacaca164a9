package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/fx/fxtest"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/daemon/edge"
	"github.com/sesamemoor/sesamemoor/daemon/edge/edgetest"
)

func TestRequestIsForwardedAfterItsCallerLeft(t *testing.T) {
	const callers = 50
	is := is.New(t)
	s := new(fakeEnv)
	e, _ := newTestEntry(t, s)
	var handled atomic.Int64
	l := edgetest.NewListener(t)
	srv := httptest.NewUnstartedServer(nil)
	_ = srv.Listener.Close()
	srv.Listener, srv.Config = l, e.httpServer()
	srv.Config.ConnContext = edge.WithConn
	handler := srv.Config.Handler
	srv.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(w, r)
		handled.Add(1)
	})
	request := "GET /stock/key HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + testKey + "\r\n\r\n"
	edgetest.SendAndLeave(t, l.Addr().String(), slices.Repeat([]string{request}, callers)...)
	l.Open()
	srv.Start()
	defer srv.Close()
	for end := time.Now().Add(eventTimeout); handled.Load() < callers; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end)) // all are handled
	}
	is.Equal(s.count(), 0)
}

func TestTimeToReadTheBodyIsAddedToTheCallersTime(t *testing.T) {
	const (
		wait    = 100 * time.Millisecond
		timeout = 2 * time.Second // of the service
	)
	is := is.New(t)
	s := new(fakeEnv)
	_, srv := newTestEntry(t, s)
	conn, err := net.Dial("tcp", srv.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetDeadline(time.Now().Add(eventTimeout)))
	_, err = io.WriteString(conn, "POST /stock/key HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "+testKey+
		"\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n")
	is.NoErr(err)
	answers := bufio.NewReader(conn)
	_, err = answers.ReadString('\n') // 100 Continue: the body is awaited
	is.NoErr(err)
	<-time.After(wait)
	_, err = io.WriteString(conn, "x")
	is.NoErr(err)
	_, err = answers.ReadString('\n') // the empty line
	is.NoErr(err)
	status, err := answers.ReadString('\n')
	is.NoErr(err)
	is.Equal(status, "HTTP/1.1 200 OK\r\n")
	is.True(time.Duration(s.sent[0].GetTimeoutMs())*time.Millisecond <= timeout-wait)
}

// A refusal before the body was read closed the connection under a request behind it.
func TestRefusedBodyClosesUnderRequestsBehindIt(t *testing.T) {
	is := is.New(t)
	e, _ := newTestEntry(t, new(fakeEnv))
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := unused.Addr().String()
	is.NoErr(unused.Close())
	lc := fxtest.NewLifecycle(t)
	edge.Listen(lc, e.httpServer(), "test", addr, zap.NewNop())
	lc.RequireStart()
	defer lc.RequireStop()
	conn, err := net.Dial("tcp", addr)
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetDeadline(time.Now().Add(eventTimeout)))
	_, err = io.WriteString(conn, "POST /stock/key HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"+
		"GET /stock/key HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "+testKey+"\r\n\r\n")
	is.NoErr(err)
	r := bufio.NewReader(conn)
	for _, want := range []int{http.StatusUnauthorized, http.StatusOK} {
		resp, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.Equal(resp.StatusCode, want)
	}
}
