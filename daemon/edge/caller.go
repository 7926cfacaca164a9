package edge

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/sesamemoor/sesamemoor/core/outcome"
)

// ErrCallerLeft refuses a request whose caller has left.
var ErrCallerLeft = outcome.New(outcome.CancelledNotRun, "the caller has closed its connection")

// connKey is the context key of a request's connection, if it has no lane.
type connKey struct{}

// WithConn returns a context for the requests of conn. It is the ConnContext of servers
// whose handlers call CallerLeft.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	if l, ok := conn.(*lane); ok {
		return context.WithValue(l.withCancel(ctx), laneKey{}, l)
	}
	return context.WithValue(context.WithValue(ctx, connKey{}, conn), countKey{}, new(atomic.Int64))
}

// CallerLeft reports whether the caller of a request is known to have closed its
// connection. It looks at the socket itself: what was received while this process had no
// processor time may not have been read yet.
func CallerLeft(ctx context.Context) bool {
	if errors.Is(ctx.Err(), context.Canceled) {
		return true
	}
	if l, ok := ctx.Value(laneKey{}).(*lane); ok {
		return peerClosed(l.p.conn)
	}
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	return peerClosed(conn)
}

// peerClosed reports whether the peer has closed a connection, behind bytes that were not
// read yet, too. It does not block. If it cannot be known, it is not reported.
func peerClosed(conn net.Conn) bool {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err == nil && closed
}
