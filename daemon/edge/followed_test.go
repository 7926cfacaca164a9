package edge

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// readCounter counts the bytes that are read from its connections.
type readCounter struct {
	net.Listener
	bytes atomic.Int64
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *readCounter) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countedConn{conn, &l.bytes}, err
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// A daemon that leaves closed a connection behind an answer although it had read further requests.
func TestRequestsReadBehindAFullConnectionGetNoAnswer(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	counter := &readCounter{Listener: inner}
	release := make(chan struct{})
	var running atomic.Int64
	srv := &http.Server{ConnContext: WithConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		running.Add(1)
		<-release
		if EndAfter(r.Context()) {
			w.Header().Set("Connection", "close")
		}
		_, _ = w.Write([]byte(r.URL.Path))
	})}
	srv.ConnState = func(conn net.Conn, state http.ConnState) {
		if l, ok := conn.(*lane); ok && state == http.StateIdle {
			l.answered()
		}
	}
	t.Cleanup(func() { _ = srv.Close() })
	go func() { _ = srv.Serve(newPipelineListener(counter, testConfig)) }()
	c := dialCaller(t, inner.Addr().String())
	const behind = 4
	c.send(strings.Repeat(get("/a"), maxPipelined))
	eventually(t, "as many run as may", func() bool { return running.Load() == maxPipelined })
	for range behind {
		c.send(get("/b"))
	}
	sent := int64((maxPipelined + behind) * len(get("/a")))
	eventually(t, "all are read", func() bool { return counter.bytes.Load() == sent })
	close(release)
	for i := range maxPipelined + behind {
		if _, err := c.answer(); err != nil {
			t.Fatalf("%d requests were read, %d answered: %v", maxPipelined+behind, i, err)
		}
	}
}

// An answer to a request that waited for 100 (Continue) closes the connection if the body was
// not read, under the request that had been read behind it, too.
func TestUnreadBodyLeavesNoRequestThatWasRead(t *testing.T) {
	for name, listen := range listeners {
		for _, head := range []string{"", "Expect: 100-continue\r\n"} {
			t.Run(name+"/"+head, func(t *testing.T) {
				is := is.New(t)
				addr, stop := serveUntilStopped(t, listen, &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})})
				defer func() { is.NoErr(stop(t.Context())) }()
				c := dialCaller(t, addr)
				c.send("POST /1 HTTP/1.1\r\nHost: a\r\n" + head + "Content-Length: 3\r\n\r\nabc" + get("/2"))
				for answers := 0; answers < 2; {
					resp, err := http.ReadResponse(c.r, nil)
					is.NoErr(err)
					if resp.StatusCode != http.StatusContinue {
						answers++
					}
				}
			})
		}
	}
}

// The connection stayed open, unread, if the answer did not close it after all.
func TestConnectionEndsAfterItsLastAnswer(t *testing.T) {
	is := is.New(t)
	c := dialCaller(t, servePipelined(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		is.True(EndAfter(r.Context()))
	})))
	c.send(get("/1"))
	_, err := c.answer()
	is.NoErr(err)
	begin := time.Now()
	_, err = c.answer()
	is.Equal(err, io.ErrUnexpectedEOF)
	is.True(time.Since(begin) < time.Second) // less than the idle timeout
}

// A handler that flushes its answer learned nothing of an error.
func TestFlushReportsThatTheCallerIsGone(t *testing.T) {
	is := is.New(t)
	flushed := make(chan error, 1)
	c := dialCaller(t, servePipelined(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		_, _ = io.WriteString(w, "answer")
		flushed <- http.NewResponseController(w).Flush()
	})))
	c.send(get("/1"))
	is.NoErr(c.Conn.(*net.TCPConn).SetLinger(0)) // close resets the connection
	is.NoErr(c.Close())
	is.True(<-flushed != nil)
}
