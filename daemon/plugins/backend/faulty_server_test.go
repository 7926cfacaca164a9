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

// rawServer answers the n-th request of a connection with the bytes that answer returns,
// and closes the connection after an answer that is not whole.
func rawServer(t *testing.T, answer func(n int, id string) (data string, whole bool)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				for n := 1; ; n++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					data, whole := answer(n, req.Header.Get("Id"))
					if _, err := conn.Write([]byte(data)); err != nil || !whole {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// runRaw sends a request to a server at addr and returns the outcome.
func runRaw(c *client, addr, id string) (outcome.Kind, *wire.Response) {
	req := &wire.Request{RequestId: id, Method: "GET", Path: "/", Host: "a"}
	resp, _, _ := c.run(context.Background(), &server{addr: addr, id: "i-1"}, req, 2*time.Second)
	return outcome.Kind(resp.GetKind()), resp
}

// A refusal that a faulty server wrote once more on a kept connection must not be taken for
// that of the next request, which the server runs.
func TestEarlierRefusalIsTakenForTheNextRequest(t *testing.T) {
	is := is.New(t)
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	addr := rawServer(t, func(n int, id string) (string, bool) {
		if n < 3 {
			return refusal, true
		}
		return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSeal: s\r\nContent-Length: 5\r\n\r\nwhole", true
	})
	c := newClient(clock.Boot{}, &fake{}, nil)
	kind, _ := runRaw(c, addr, "r-1")
	is.Equal(kind, outcome.BackendShed) // on a new connection it can only be its own
	kind, _ = runRaw(c, addr, "r-2")
	is.Equal(kind.Answer().Ran, outcome.MayHaveRun)
	kind, _ = runRaw(c, addr, "r-3") // on another connection
	is.Equal(kind, outcome.BackendShed)
}

// A refusal with the id of an earlier request must not be taken for that of the next one, nor
// may the connection be used again.
func TestConnectionWithAnswerOfAnotherRequestIsKept(t *testing.T) {
	is := is.New(t)
	addr := rawServer(t, func(n int, id string) (string, bool) {
		if n == 1 {
			return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSeal: s\r\nContent-Length: 5\r\n\r\nwhole", true
		}
		return "HTTP/1.1 503 Service Unavailable\r\nId: r-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", true
	})
	c := newClient(clock.Boot{}, &fake{}, nil)
	kind, _ := runRaw(c, addr, "r-1")
	is.Equal(kind, outcome.OK)
	kind, _ = runRaw(c, addr, "r-2")
	is.Equal(kind, outcome.AnswerCut)
	kind, _ = runRaw(c, addr, "r-3")
	is.Equal(kind, outcome.OK)
}

// A refusal that a faulty server wrote once more must not be taken for the answer to the next
// sending of the same request: it has the same id, and the server runs the request.
func TestCopyOfARefusalAnswersTheRetry(t *testing.T) {
	is := is.New(t)
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nId: r-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	var ran atomic.Int64
	var refused atomic.Bool
	addr := rawServer(t, func(n int, id string) (string, bool) {
		if n == 1 && refused.CompareAndSwap(false, true) {
			return refusal, true
		}
		ran.Add(1)
		whole := "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSeal: s\r\nContent-Length: 5\r\n\r\nwhole"
		if n == 2 {
			return refusal + whole, true // the copy is read where the next answer is expected
		}
		return whole, true
	})
	c := newClient(clock.Boot{}, &fake{}, noSuspects{})
	kind, _ := runRaw(c, addr, "r-1")
	is.Equal(kind, outcome.BackendShed)
	kind, resp := runRaw(c, addr, "r-1")
	is.Equal(ran.Load(), int64(1))
	is.Equal(kind, outcome.OK)
	is.Equal(string(resp.GetBody()), "whole")
}

// A connection on which a request was refused must stay in use for others, and the refusals
// that it remembers are bounded.
func TestRefusalsCloseConnections(t *testing.T) {
	is := is.New(t)
	var conns atomic.Int64
	addr := rawServer(t, func(n int, id string) (string, bool) {
		if n == 1 {
			conns.Add(1)
		}
		return "HTTP/1.1 503 Service Unavailable\r\nId: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", true
	})
	c := newClient(clock.Boot{}, &fake{}, noSuspects{})
	const requests = 200
	for i := range requests {
		kind, _ := runRaw(c, addr, fmt.Sprint("r-", i))
		is.Equal(kind, outcome.BackendShed)
	}
	is.True(conns.Load() > 1)
	is.True(conns.Load() <= requests/50)
}

// A response whose head breaks off must not become a success.
func TestBrokenHeadIsAnswered(t *testing.T) {
	whole := "HTTP/1.1 200 OK\r\nId: r-1\r\nSeal: s\r\nContent-Length: 5\r\n\r\nwhole"
	for cut := 1; cut < len(whole); cut++ {
		addr := rawServer(t, func(int, string) (string, bool) { return whole[:cut], false })
		kind, resp := runRaw(newClient(clock.Boot{}, &fake{}, noSuspects{}), addr, "r-1")
		if kind == outcome.OK {
			t.Fatalf("answer cut after %d bytes, %q, is a success with body %q", cut, whole[:cut], resp.GetBody())
		}
	}
}

// noSuspects records nothing.
type noSuspects struct{}

func (noSuspects) RecordCrash(uint64, string, string, string) {}
