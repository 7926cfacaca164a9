// Package edgetest has callers that leave, for tests of the packages that serve callers.
package edgetest

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// waitTimeout bounds the wait for an event of a test.
const waitTimeout = 10 * time.Second

// Listener is a loopback listener that accepts no connection until Open is called.
type Listener struct {
	net.Listener
	opened chan struct{}
}

// NewListener returns a listener whose connections wait in the kernel.
func NewListener(t *testing.T) *Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return &Listener{Listener: l, opened: make(chan struct{})}
}

// Open makes the listener accept connections.
func (l *Listener) Open() { close(l.opened) }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	<-l.opened
	return l.Listener.Accept()
}

// SendAndLeave sends each text on a connection of its own and closes that. It returns once
// the kernel of the peer knows of all closes.
func SendAndLeave(t *testing.T, addr string, texts ...string) {
	t.Helper()
	conns := make([]net.Conn, len(texts))
	for i, text := range texts {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
		conns[i] = conn
	}
	for _, conn := range conns {
		closeWrite(t, conn)
	}
	for _, conn := range conns {
		awaitClosed(t, conn)
	}
}

// Leave closes the caller's half of a connection and returns once the kernel of the peer
// knows. The peer can still write, and does not learn of the close from that.
func Leave(t *testing.T, conn net.Conn) {
	t.Helper()
	closeWrite(t, conn)
	awaitClosed(t, conn)
}

func closeWrite(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
}

func awaitClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(waitTimeout); !closeConfirmed(t, raw); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the close is not confirmed within %v", waitTimeout)
		}
	}
}

// tcpFinWait2 to tcpClose are the states of a closed connection whose peer has confirmed
// the close or has closed, too.
const (
	tcpFinWait2 = 5
	tcpClose    = 7
)

func closeConfirmed(t *testing.T, raw syscall.RawConn) bool {
	t.Helper()
	confirmed := false
	err := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		confirmed = err == nil && info.State >= tcpFinWait2 && info.State <= tcpClose
	})
	if err != nil {
		t.Fatal(err)
	}
	return confirmed
}
