package backendconn

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// The transport sends a call again on another connection if the first one ends without an
// answer. A call that was written on the first and refused on the second counted as unsent,
// although the server may execute it.
func TestCallThatWasWrittenBeforeCountsAsUnsent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
	}()
	var continuity Continuity
	dial := WatchedDialer(clock.Boot{}, &continuity, true)
	open := func() net.Conn {
		conn, err := dial(context.Background(), "tcp", listener.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	trace := &Trace{Until: clock.Boot{}.Now().Add(time.Minute)}
	first := open()
	trace.SetConn(first)
	_, err = first.Write([]byte("x"))
	is.NoErr(err)
	continuity.Lost(clock.Boot{}.Now())
	second := open()
	trace.SetConn(second)
	_, err = second.Write([]byte("x"))
	is.Equal(err, ErrOtherProcess)
	is.True(trace.Wrote())
}
