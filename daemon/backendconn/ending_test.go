package backendconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// reset resets a connection of a test server.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// listen starts a test server whose connections are served by serve.
func listen(t *testing.T, serve func(net.Conn)) (addr string) {
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
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// marksOfID returns the marks of a server that names requests in the header Id.
func marksOfID(r *http.Response) Marks { return Marks{RequestID: r.Header.Get("Id")} }

// A run's line did not tell whether the server had closed the connection or reset it.
func TestEndOfAnAnswerIsNotRecorded(t *testing.T) {
	is := is.New(t)
	for end, answer := range map[BodyEnd]string{
		BodyEndLength: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		BodyEndClose:  "HTTP/1.1 200 OK\r\n\r\nwhole",
		BodyEndReset:  "HTTP/1.1 200 OK\r\n\r\npart",
		BodyEndCut:    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart",
	} {
		read := make(chan struct{})
		addr := listen(t, func(conn net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, answer)
			if end == BodyEndReset {
				<-read
				reset(conn)
			}
		})
		client := &http.Client{Transport: &http.Transport{DialContext: WatchedDialer(clock.Boot{}, new(Continuity), false)}}
		ctx, x := WithExchange(context.Background())
		resp, trace, err := Do(ctx, client, "r-1", clock.Boot{}.Now().Add(time.Minute), func(ctx context.Context) (*http.Request, error) {
			return http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr, nil)
		})
		is.NoErr(err)
		close(read)
		responses := NewResponseReader()
		_, err = responses.ReadOwn(ctx, resp, trace, marksOfID)
		is.Equal(err == nil, end == BodyEndLength || end == BodyEndClose)
		is.NoErr(resp.Body.Close())
		is.Equal(x.BodyEnd, end)
		is.Equal(x.EndSeenBy, EndObserver(""))
	}
}

// A run's line did not tell that a look at the connection or a write was told of its reset first.
func TestFirstToSeeAResetIsNotRecorded(t *testing.T) {
	is := is.New(t)
	for by, see := range map[EndObserver]func(*Continuity, net.Conn){
		EndSeenByLook:  func(c *Continuity, _ net.Conn) { c.lookForLosses() },
		EndSeenByWrite: func(_ *Continuity, conn net.Conn) { _, _ = conn.Write([]byte("x")) },
	} {
		conn, continuity, trace := resetConn(t)
		is.Equal(trace.endSeenBy(), EndObserver(""))
		see(continuity, conn)
		is.Equal(trace.endSeenBy(), by)
	}
}

// resetConn returns a connection on which a request was written and a byte of its answer was
// read, and that the server has reset since.
func resetConn(t *testing.T) (net.Conn, *Continuity, *Trace) {
	t.Helper()
	read, done := make(chan struct{}), make(chan struct{})
	addr := listen(t, func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 1))
		_, _ = io.WriteString(conn, "x")
		<-read
		reset(conn)
		close(done)
	})
	continuity := new(Continuity)
	conn, err := WatchedDialer(clock.Boot{}, continuity, false)(context.Background(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	trace := &Trace{Until: clock.Boot{}.Now().Add(time.Minute)}
	trace.SetConn(conn)
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	close(read)
	<-done
	return conn, continuity, trace
}
