package owner

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
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// viewControl is a control state with a fixed view.
type viewControl struct{ view *view.View }

func (c viewControl) View() *view.View   { return c.view }
func (c viewControl) Post(control.Event) {}

// copyingServer answers each request and, on the same connection, once more when the next
// request has arrived. header is the line that names the request of an answer, or "".
func copyingServer(t *testing.T, header func(id string) string) string {
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
				last := ""
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					id := req.Header.Get(headerRequest)
					answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header(id), len(id), id)
					if last != "" {
						answer = last + answer
					}
					last = answer
					if _, err := conn.Write([]byte(answer)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// A server sent a second copy of an answer on a connection that was in use again. The
// next caller got that answer.
func TestLateCopyOfAnAnswerIsNotTheNextAnswer(t *testing.T) {
	for name, header := range map[string]func(string) string{
		"server names the request": func(id string) string { return headerRequest + ": " + id + "\r\n" },
		"server names no request":  func(string) string { return "" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lease := new(view.LeaseCell)
			lease.Set(clock.Boot{}.Now().Add(time.Minute))
			f := viewControl{view: &view.View{Lease: lease, Backend: &view.Backend{Name: "b", Addr: copyingServer(t, header)}}}
			b := newBackend(f, clock.Boot{}, nil, 4)
			for i := range 8 {
				id := fmt.Sprint("r-", i)
				resp, _ := b.run(context.Background(), &wire.Request{RequestId: id, Method: "GET", Path: "/"}, 1, clock.Boot{}.Now().Add(5*time.Second))
				if outcome.Kind(resp.GetKind()) == outcome.OK {
					is.Equal(string(resp.GetBody()), id)
				} else {
					is.Equal(outcome.Kind(resp.GetKind()), outcome.AnswerCut)
				}
			}
		})
	}
}

// A server wrote a refusal once more when the same request was sent again on that connection.
// The copy answered it, although the server ran it.
func TestCopyOfARefusalAnswersTheRetry(t *testing.T) {
	is := is.New(t)
	var refused atomic.Bool
	var ran atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	const refusal = "HTTP/1.1 503 Service Unavailable\r\n" + headerRequest + ": r-1\r\n" + headerRefused + ": shed\r\nContent-Length: 0\r\n\r\n"
	serve := func(conn net.Conn) {
		defer conn.Close()
		r := bufio.NewReader(conn)
		for n := 1; ; n++ {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			answer := refusal
			if !refused.CompareAndSwap(false, true) {
				ran.Add(1)
				answer = "HTTP/1.1 200 OK\r\n" + headerRequest + ": r-1\r\nContent-Length: 5\r\n\r\nwhole"
				if n > 1 {
					answer = refusal + answer
				}
			}
			_, _ = conn.Write([]byte(answer))
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	lease := new(view.LeaseCell)
	lease.Set(clock.Boot{}.Now().Add(time.Minute))
	f := viewControl{view: &view.View{Lease: lease, Backend: &view.Backend{Name: "b", Addr: listener.Addr().String()}}}
	b := newBackend(f, clock.Boot{}, nil, 4)
	run := func() *wire.Response {
		resp, _ := b.run(context.Background(), &wire.Request{RequestId: "r-1", Method: "POST", Path: "/"}, 1, clock.Boot{}.Now().Add(5*time.Second))
		return resp
	}
	is.Equal(outcome.Kind(run().GetKind()), outcome.BackendShed)
	resp := run()
	is.Equal(ran.Load(), int64(1))
	is.Equal(outcome.Kind(resp.GetKind()), outcome.OK)
	is.Equal(string(resp.GetBody()), "whole")
}
