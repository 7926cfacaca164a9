package pacing

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/link"
	"github.com/sesamemoor/sesamemoor/core/settings"
)

func newPacer(mbps float64) *Pacer {
	set := settings.Daemon{}
	set.Bounds.LinkMbps = mbps
	return New(set, clock.Boot{}, zap.NewNop())
}

// pair returns both ends of a connection between two addresses, of which near is paced.
func pair(t *testing.T, p *Pacer) (near net.Conn, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}}
	conn, err := dialer.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = accepted.Close(), conn.Close() })
	return p.Caller(accepted), conn.(*net.TCPConn)
}

// Responses to callers share the link with sessions. Written at once, they fill the buffers.
func TestLargeResponseIsPacedAndSmallOnesAreNot(t *testing.T) {
	is := is.New(t)
	p := newPacer(8)
	near, far := pair(t, p)
	go func() { _, _ = io.Copy(io.Discard, far) }()
	const size = 300_000                         // 0.35 s at the paced rate
	for _, step := range []int{size, 16 << 10} { // in one write, or in several
		began := time.Now()
		near.(*Conn).Expect(3, size)
		for left := size; left > 0; left -= step {
			n, err := near.Write(make([]byte, min(left, step)))
			is.NoErr(err)
			is.Equal(n, min(left, step))
		}
		is.True(time.Since(began) > 200*time.Millisecond)
		backlog, _ := p.Backlog()
		is.Equal(backlog, time.Duration(0))
	}
	began := time.Now()
	for range 200 {
		_, err := near.Write(make([]byte, 1000))
		is.NoErr(err)
	}
	is.True(time.Since(began) < 200*time.Millisecond) // 0.23 s at the paced rate
}

// A caller that reads nothing must keep neither the link nor, once its connection is closed, its
// writer.
func TestUnreadResponseDelaysNoOther(t *testing.T) {
	is := is.New(t)
	p := newPacer(100)
	near, far := pair(t, p)
	_ = far.SetReadBuffer(4 << 10)
	_ = near.(*Conn).SetWriteBuffer(64 << 10)
	ended := make(chan error, 1)
	go func() {
		_, err := near.Write(make([]byte, 20<<20))
		ended <- err
	}()
	time.Sleep(300 * time.Millisecond)
	backlog, _ := p.Backlog()
	is.Equal(backlog, time.Duration(0)) // although most of it is not written
	other, reader := pair(t, p)
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	began := time.Now()
	_, err := other.Write(make([]byte, 200_000))
	is.NoErr(err)
	is.True(time.Since(began) < 500*time.Millisecond)
	time.Sleep(2 * sampleInterval)
	p.mu.Lock()
	mbps := p.link.Mbps()
	p.mu.Unlock()
	is.Equal(mbps, 100.0) // it tells nothing about the link
	is.NoErr(near.Close())
	is.True(<-ended != nil)
	is.Equal(len(p.offered), 0)

	// A write that begins as the connection is closed must leave no transfer, which would be
	// granted pieces and keep the sampling goroutine for good.
	near.(*Conn).Expect(3, 1<<20)
	_, err = near.Write(make([]byte, 1<<20))
	is.True(err != nil)
	is.Equal(len(p.offered), 0)
}

// A connection within the instance, and one over a fast link, must be left as they are.
func TestConnectionsThatAreNotPaced(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	is.Equal(newPacer(10).Caller(conn), conn)
	for _, p := range []*Pacer{nil, newPacer(0), newPacer(1000)} {
		near, _ := pair(t, p)
		_, paced := near.(*Conn)
		is.True(!paced)
		if p != nil {
			p.Promise(1, 3, 1e9, 0)
			is.Equal(p.Predict(2, 7, 3, 1e9, 0, nil), link.Prediction{Idle: 7, Expected: 7, Safe: 7})
		}
		p.CountSmall(1 << 20)
		size, _ := p.Expected("route", true)
		is.Equal(size, 0.0)
		backlog, kbps := p.Backlog()
		is.True(backlog == 0 && kbps == 0)
	}
}

// A link that is slower than its setting must be found out from the connections' buffers. The
// kernel sends at a rate set for the socket in its place.
func TestRateOfASlowLinkIsMeasured(t *testing.T) {
	is := is.New(t)
	const slowBytes = 2 << 20 // a second: 16.8 Mbit/s
	p := newPacer(100)
	near, far := pair(t, p)
	go func() { _, _ = io.Copy(io.Discard, far) }()
	tcp := near.(*Conn).TCPConn
	raw, err := tcp.SyscallConn()
	is.NoErr(err)
	var setErr error
	is.NoErr(raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_MAX_PACING_RATE, slowBytes)
	}))
	is.NoErr(setErr)
	wrote, stop := p.Track(tcp) // the callers alone do not lower the rate
	defer stop()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		_, err := near.Write(make([]byte, 4*link.Large))
		is.NoErr(err)
		wrote()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t.Logf("%.1f Mbit/s", p.link.Mbps())
	is.True(p.link.Mbps() < 50)
}
