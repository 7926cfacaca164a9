package backend

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// resettingServer answers the requests of one connection. While full is set, it resets each new one,
// at once or after it has read the request.
type resettingServer struct {
	net.Listener
	full, readFirst atomic.Bool
	runs            atomic.Int64 // requests that were read
}

func startResetting(t *testing.T) *resettingServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &resettingServer{Listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *resettingServer) serve(conn net.Conn) {
	defer conn.Close()
	full := s.full.Load()
	for r := bufio.NewReader(conn); ; {
		if full && !s.readFirst.Load() {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		s.runs.Add(1)
		if full {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok", req.Header.Get("Id"))
	}
}

// runOn sends an order to the server with its client.
func runOn(c *client, s *resettingServer, id string) *wire.Response {
	req := &wire.Request{RequestId: id, Method: "POST", Path: "/x", Host: "a"}
	resp, _, _ := c.run(context.Background(), &server{addr: s.Addr().String()}, req, time.Second)
	return resp
}

// A full server that resets new connections at once looked like a lost response, so that orders that it
// had not got were not sent on. An order is known not to have run if the reset came before it was
// written; none that was read may be said to be one.
func TestResetByAFullServerLooksLikeALostResponse(t *testing.T) {
	is := is.New(t)
	s := startResetting(t)
	s.full.Store(true)
	c := newClient(clock.Boot{}, &fake{}, noSuspects{})
	const orders = 50
	notRun := 0
	for i := range orders {
		resp := runOn(c, s, fmt.Sprint("r-", i))
		switch kind(resp) {
		case outcome.Overloaded:
			is.True(!resp.GetArrived())
			notRun++
		case outcome.BackendReset: // the reset crossed the order
		default:
			t.Fatalf("outcome %v (%s)", kind(resp), resp.GetDetail())
		}
	}
	is.Equal(s.runs.Load(), int64(0))
	t.Logf("%d of %d orders are known not to have run", notRun, orders)
	is.True(notRun > 0)
	s.full.Store(false)
	is.Equal(kind(runOn(c, s, "r-ok")), outcome.OK) // no memory of it keeps requests away
}

// A server that reads an order before it resets the connection may run it.
func TestResetAfterReadingIsNotSaidToBeNotRun(t *testing.T) {
	is := is.New(t)
	s := startResetting(t)
	s.full.Store(true)
	s.readFirst.Store(true)
	c := newClient(clock.Boot{}, &fake{}, noSuspects{})
	for i := range 50 {
		resp := runOn(c, s, fmt.Sprint("r-", i))
		if kind(resp) != outcome.BackendReset {
			t.Fatalf("outcome %v (%s)", kind(resp), resp.GetDetail())
		}
		is.Equal(kind(resp).Answer().Ran, outcome.MayHaveRun)
		is.Equal(s.runs.Load(), int64(i+1)) // sent once
	}
}

// The end of a connection without a reset is a lost response, whether it has carried an answer or not,
// and a reset by a process that has ended is a crash.
func TestLostResponseAndCrashAreNotResetsOfAFullServer(t *testing.T) {
	is := is.New(t)
	c := newClient(clock.Boot{}, &fake{}, noSuspects{})
	addr := rawServer(t, func(n int, id string) (string, bool) {
		if n == 2 {
			return "", false
		}
		return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok", true
	})
	got, _ := runRaw(c, addr, "r-1")
	is.Equal(got, outcome.OK)
	got, _ = runRaw(c, addr, "r-2")
	is.Equal(got, outcome.ConnectionLost)
	fresh := rawServer(t, func(int, string) (string, bool) { return "", false })
	got, _ = runRaw(c, fresh, "r-3")
	is.Equal(got, outcome.ConnectionLost)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1024))
		_ = l.Close()
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}()
	got, _ = runRaw(newClient(clock.Boot{}, &fake{}, noSuspects{}), l.Addr().String(), "r-4")
	is.Equal(got, outcome.BackendCrashed)
}
