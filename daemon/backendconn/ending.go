package backendconn

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// BodyEnd tells how the body of an answer ended.
type BodyEnd string

// The ends of bodies.
const (
	BodyEndLength BodyEnd = "length" // where its length or its last chunk says, or it has none
	BodyEndClose  BodyEnd = "close"  // with the server's close
	BodyEndReset  BodyEnd = "reset"  // with a reset of the connection
	BodyEndCut    BodyEnd = "cut"    // otherwise
)

// bodyEndOf returns how the body of an answer ended whose read returned err.
func bodyEndOf(resp *http.Response, err error) BodyEnd {
	switch {
	case errors.Is(err, syscall.ECONNRESET):
		return BodyEndReset
	case err != nil && !errors.Is(err, io.EOF):
		return BodyEndCut
	case framingOf(resp) == FramingClose:
		return BodyEndClose
	}
	return BodyEndLength
}

// EndObserver tells what saw the end of a connection before its reader.
type EndObserver string

// The observers. The kernel reports an error of a socket once, to the first that asks.
const (
	EndSeenByLook  EndObserver = "look"  // a look at the socket, see closedByServer
	EndSeenByWrite EndObserver = "write" // a write
)

// ending is what is known of the end of a connection. The kernel reports the error of a socket
// once, and an end of file after that. So whatever else than the reader may be told of the error
// records it for the reader.
type ending struct {
	errMu    sync.RWMutex // held for reading by what may consume the error, until it is recorded
	consumed atomic.Pointer[consumedError]
}

// consumedError is an error of a socket that something other than its reader was told.
type consumedError struct {
	by  EndObserver
	err error
}

// recordConsumed records an error of the socket that a look or a write got.
func (c *guardedConn) recordConsumed(by EndObserver, err error) {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return
	}
	switch errno {
	case syscall.EAGAIN, syscall.EINTR:
	case syscall.EPIPE: // the server had closed the connection, or the error was taken before
	default:
		c.consumed.CompareAndSwap(nil, &consumedError{by, err})
	}
}

// endError returns the reason of an end of file: io.EOF if the server has closed the connection.
func (c *guardedConn) endError() error {
	if !c.hungUp() { // no error was reported, and a write may be waiting for the server
		return io.EOF
	}
	c.errMu.Lock()
	defer c.errMu.Unlock()
	if end := c.consumed.Load(); end != nil {
		return end.err
	}
	return io.EOF
}

// hungUp reports whether the connection has ended in both directions, so that no write waits.
func (c *guardedConn) hungUp() bool {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true // closed by this daemon
	}
	isUp := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd)}}
		for {
			_, err := unix.Poll(fds, 0)
			if !errors.Is(err, unix.EINTR) {
				break
			}
		}
		isUp = fds[0].Revents&unix.POLLHUP == 0
	})
	return err != nil || !isUp
}

// endSeenBy returns what saw an error of the request's connection before its reader, or "".
func (t *Trace) endSeenBy() EndObserver {
	if c := t.conn.Load(); c != nil {
		if end := c.consumed.Load(); end != nil {
			return end.by
		}
	}
	return ""
}
