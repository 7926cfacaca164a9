package backendconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// A request was written on a connection that the server had closed as idle, which then looked
// like a crash of the server.
func TestRequestIsWrittenOnAConnectionClosedAsIdle(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, answer)
		}
	}()
	var continuity Continuity
	conn, err := WatchedDialer(clock.Boot{}, &continuity, true)(context.Background(), "tcp", listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	first := &Trace{Until: clock.Boot{}.Now().Add(time.Minute)}
	first.SetConn(conn)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	got, err := io.ReadAll(conn) // until the server closes
	is.NoErr(err)
	is.Equal(string(got), answer)

	second := &Trace{Until: clock.Boot{}.Now().Add(time.Minute)}
	second.SetConn(conn)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	is.True(errors.Is(err, ErrDiscarded))
	is.True(second.DiscardedUnwritten())
	_, err = conn.Read(make([]byte, 1))
	is.True(err != nil)
	is.True(continuity.LeadsTo(0, clock.Boot{}.Now()))
}

// A grant was written on a new connection although a crash had reset the others: it reached the
// next process behind the same listening socket.
func TestGrantIsWrittenBeforeAResetIsRead(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	reset := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "x")
		<-reset
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
		reset <- struct{}{}
	}()
	var continuity Continuity
	open := func() net.Conn {
		conn, err := WatchedDialer(clock.Boot{}, &continuity, true)(context.Background(), "tcp", listener.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		(&Trace{Until: clock.Boot{}.Now().Add(time.Minute)}).SetConn(conn)
		return conn
	}
	known := open()
	_, err = known.Read(make([]byte, 1))
	is.NoErr(err)
	reset <- struct{}{}
	<-reset
	_, err = open().Write([]byte("x"))
	is.Equal(err, ErrOtherProcess)
}

// A grant was written on a kept connection although the server closes these within
// milliseconds. The close that crosses it resets the connection, as a crash does.
func TestGrantIsWrittenOnAKeptConnectionOfAServerThatClosesQuickly(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	closeNow := make(chan struct{})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					if req.URL.Path == "/closed" {
						<-closeNow
						return
					}
				}
			}()
		}
	}()
	var continuity Continuity
	send := func(conn net.Conn, path string) error {
		(&Trace{Until: clock.Boot{}.Now().Add(time.Minute)}).SetConn(conn)
		_, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n")
		if err == nil {
			_, err = conn.Read(make([]byte, 1000))
		}
		return err
	}
	dial := WatchedDialer(clock.Boot{}, &continuity, true)
	var conns [2]net.Conn
	for i, path := range []string{"/kept", "/closed"} {
		conns[i], err = dial(context.Background(), "tcp", listener.Addr().String())
		is.NoErr(err)
		defer conns[i].Close()
		is.NoErr(send(conns[i], path))
	}
	is.NoErr(send(conns[0], "/kept"))
	close(closeNow)
	_, err = conns[1].Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.True(errors.Is(send(conns[0], "/kept"), ErrDiscarded))
	fresh, err := dial(context.Background(), "tcp", listener.Addr().String())
	is.NoErr(err)
	defer fresh.Close()
	is.NoErr(send(fresh, "/kept"))
}
