package edge

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// deadlineConn records the deadline of its writes.
type deadlineConn struct {
	net.Conn
	mu sync.Mutex
	at time.Time
}

func (c *deadlineConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = t
	return c.Conn.SetWriteDeadline(t)
}

func (c *deadlineConn) writeDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

type deadlineListener struct {
	net.Listener
	conns chan *deadlineConn
}

func (l deadlineListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &deadlineConn{Conn: conn}
	l.conns <- c
	return c, nil
}

// serveDeadlines serves one connection, and returns its caller and the connection.
func serveDeadlines(t *testing.T, handler http.HandlerFunc) (*caller, *deadlineConn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := make(chan *deadlineConn, 1)
	listener := newPipelineListener(deadlineListener{inner, conns}, pipelineConfig{requests: maxPipelined, maxHead: maxHeadBytes, log: newConnLog(zap.NewNop(), "test")})
	srv := &http.Server{Handler: handler}
	handleLanes(srv)
	go func() { _ = srv.Serve(listener) }()
	t.Cleanup(func() { _ = srv.Close() })
	c := dialCaller(t, inner.Addr().String())
	return c, <-conns
}

// A connection that was kept for longer than an answer may take to be written was closed under the answer 100 (Continue).
func TestWriteDeadlineOfAnAnswerThatWaitedEndsWithIt(t *testing.T) {
	is := is.New(t)
	second := make(chan struct{})
	c, conn := serveDeadlines(t, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(WriteTimeout))
		if r.URL.Path == "/1" {
			<-second
		}
		_, _ = w.Write([]byte("answer"))
		_ = http.NewResponseController(w).Flush()
		if r.URL.Path == "/2" {
			close(second)
		}
	})
	c.send(get("/1") + get("/2"))
	for range 2 {
		_, err := c.answer()
		is.NoErr(err)
	}
	eventually(t, "no deadline is left", func() bool { return conn.writeDeadline().IsZero() })
}

// An answer that began while an earlier one was under way was written without a deadline.
func TestAnswerWhoseTurnComesHasItsWriteDeadline(t *testing.T) {
	is := is.New(t)
	began, answered := make(chan struct{}), make(chan struct{})
	c, conn := serveDeadlines(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-began
		} else {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(WriteTimeout))
			close(began)
			<-answered
		}
		_, _ = w.Write([]byte("answer"))
	})
	defer close(answered)
	c.send(get("/1") + get("/2"))
	_, err := c.answer()
	is.NoErr(err)
	eventually(t, "the second answer has a deadline", func() bool { return !conn.writeDeadline().IsZero() })
}
