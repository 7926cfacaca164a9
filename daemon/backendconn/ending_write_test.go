package backendconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// A write that fails because the server has reset a connection behind the end of its answer says nothing of the answer.
func TestWriteBehindTheEndOfAnAnswerCutsIt(t *testing.T) {
	is := is.New(t)
	gone := make(chan struct{})
	addr := listen(t, func(conn net.Conn) {
		_, _ = conn.Read(make([]byte, 1))
		_, _ = io.WriteString(conn, "whole")
		_ = conn.(*net.TCPConn).CloseWrite()
		reset(conn)
		close(gone)
	})
	conn, err := WatchedDialer(clock.Boot{}, new(Continuity), false)(context.Background(), "tcp", addr)
	is.NoErr(err)
	defer conn.Close()
	trace := &Trace{Until: clock.Boot{}.Now().Add(time.Minute)}
	trace.SetConn(conn)
	_, err = conn.Write([]byte("x"))
	is.NoErr(err)
	<-gone
	_, err = conn.Write([]byte("x"))
	is.True(errors.Is(err, syscall.EPIPE))
	body, err := io.ReadAll(conn)
	is.NoErr(err)
	is.Equal(string(body), "whole")
}

// The reset of a connection with unread bytes stays a reset, however often its error is asked for.
func TestResetBehindBytesIsLost(t *testing.T) {
	is := is.New(t)
	gone := make(chan struct{})
	addr := listen(t, func(conn net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "part")
		time.Sleep(20 * time.Millisecond) // the bytes arrive first
		reset(conn)
		close(gone)
	})
	var continuity Continuity
	conn, err := WatchedDialer(clock.Boot{}, &continuity, false)(context.Background(), "tcp", addr)
	is.NoErr(err)
	defer conn.Close()
	trace := &Trace{Until: clock.Boot{}.Now().Add(time.Minute)}
	trace.SetConn(conn)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	<-gone
	for range 3 {
		_, err = conn.Write([]byte("x"))
		is.True(err != nil)
		conn.(*guardedConn).closedByServer()
	}
	body, err := io.ReadAll(conn)
	is.Equal(string(body), "part")
	is.True(errors.Is(err, syscall.ECONNRESET))
	_, err = conn.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))
}
