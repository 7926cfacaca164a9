package pacing

import (
	"math"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/link"
)

// activeTime is the time since its last piece for which a connection counts as one with bulk.
const activeTime = time.Second

// tracked is a connection whose outstanding bytes are observed.
type tracked struct {
	conn     syscall.Conn
	busy     uint64 // time with data to send, and of it limited by the receiver's window, in microseconds
	limited  uint64
	peer     string       // IP address of the other end
	daemon   bool         // the other end is a daemon, which reads all that comes
	lastBulk atomic.Int64 // time of the last piece
}

// SameHost reports whether a connection stays within the instance and so does not use its link.
func SameHost(conn net.Conn) bool { return hostOf(conn.LocalAddr()) == hostOf(conn.RemoteAddr()) }

func hostOf(addr net.Addr) string {
	tcp, ok := addr.(*net.TCPAddr)
	if !ok {
		return ""
	}
	return tcp.IP.String()
}

// Track observes a connection with a daemon while bulk is written to it. wrote records a piece
// that is written, and stop ends the observation.
func (p *Pacer) Track(conn net.Conn) (wrote, stop func()) { return p.track(conn, true) }

func (p *Pacer) track(conn net.Conn, daemon bool) (wrote, stop func()) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return func() {}, func() {}
	}
	c := &tracked{conn: raw, peer: hostOf(conn.RemoteAddr()), daemon: daemon}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	wrote = func() { c.lastBulk.Store(int64(p.clock.Now())) }
	stop = func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, c)
	}
	return wrote, stop
}

// observe returns the sample of connections, and whether bulk was written to one of them lately.
// A caller that is slow to take its responses tells nothing about the link, so that callers count
// as congested only if several of them are.
func observe(conns []*tracked, now clock.Instant) (s link.Sample, used bool) {
	daemons, callers := 0, map[string]bool{}
	for _, c := range conns {
		last := clock.Instant(c.lastBulk.Load())
		if last == 0 {
			continue
		}
		outstanding, congested := c.outstanding()
		s.Outstanding += int64(outstanding)
		if now.Sub(last) > activeTime && outstanding == 0 {
			c.lastBulk.CompareAndSwap(int64(last), 0)
			continue
		}
		used = true
		s.Active++
		switch {
		case !congested:
		case c.daemon:
			daemons++
		default:
			callers[c.peer] = true
		}
	}
	s.Congested = daemons
	if len(callers) > 1 || daemons > 0 {
		s.Congested += len(callers)
	}
	return s, used
}

// outstanding returns the bytes that were written to the connection and not acknowledged, and
// whether these are many and the receiver has not kept them back for most of the time since the last
// call: the window of a receiver that reads nothing, or slowly, does.
func (c *tracked) outstanding() (bytes int, congested bool) {
	raw, err := c.conn.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		bytes, infoErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		if infoErr == nil {
			info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		}
	})
	if err != nil || infoErr != nil {
		return 0, false
	}
	busy, limited := info.Busy_time-c.busy, info.Rwnd_limited-c.limited
	c.busy, c.limited = info.Busy_time, info.Rwnd_limited
	return bytes, bytes >= link.CongestedBytes && 2*limited < busy
}

// unknownRank is the rank of a response that was not expected: behind those that are not late, and
// with the most urgent late ones, see link.ResponseRank.
const unknownRank = math.MaxUint32 + 1

// Conn is a connection of a caller. Large writes wait for the turn of each of their pieces. It is
// made for one writer at a time.
type Conn struct {
	*net.TCPConn
	p      *Pacer
	wrote  func()
	stop   func()
	once   sync.Once
	closed chan struct{}

	waiting atomic.Bool  // a write waits for its next piece
	granted atomic.Int64 // time from opened to the last piece
	opened  time.Time

	mu       sync.Mutex
	rank     int64     // of the last response that was expected
	transfer *Transfer // of the response in progress; nil if none is expected
	credit   int       // bytes of it that were granted and not written
	ended    bool      // Close was called: there are no more transfers
}

// Caller returns conn, or a Conn if it uses the link. p may be nil.
func (p *Pacer) Caller(conn net.Conn) net.Conn {
	tcp, ok := conn.(*net.TCPConn)
	if !ok || !p.Limited() || SameHost(conn) {
		return conn
	}
	c := &Conn{TCPConn: tcp, p: p, closed: make(chan struct{}), rank: unknownRank, opened: time.Now()}
	c.wrote, c.stop = p.track(tcp, false)
	return c
}

// Expect states the rank and the size of the response that is written next, in any number of
// writes.
func (c *Conn) Expect(rank int64, size int) {
	c.mu.Lock()
	c.rank = rank
	c.mu.Unlock()
	if size >= link.Large {
		c.begin(c.p.Offer(rank, size))
	}
}

// begin makes t the transfer of the response in progress, and ends the one before. t may be nil.
func (c *Conn) begin(t *Transfer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.transfer != nil {
		c.transfer.End()
	}
	c.transfer, c.credit = t, 0
	if c.ended && t != nil {
		t.End()
		c.transfer = nil
	}
}

// Waits reports whether a write waits for the turn of its next piece, and until when one has
// waited last.
func (c *Conn) Waits() (now bool, until time.Time) {
	now = c.waiting.Load() // before the time, which is set first
	return now, c.opened.Add(time.Duration(c.granted.Load()))
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		n, err := c.next(len(b) - written)
		if err != nil {
			return written, err
		}
		k, err := c.TCPConn.Write(b[written : written+n])
		written += k
		if err != nil {
			c.begin(nil)
			return written, err
		}
	}
	return written, nil
}

// next returns how many of n bytes may be written now. It waits for the next piece of a large
// response.
func (c *Conn) next(n int) (int, error) {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	if c.transfer == nil && n >= link.Large {
		c.transfer = c.p.Offer(c.rank, n)
	}
	t, credit := c.transfer, c.credit
	c.mu.Unlock()
	if t == nil {
		c.p.CountSmall(n)
		return n, nil
	}
	if credit == 0 {
		c.waiting.Store(true)
		defer c.waiting.Store(false)
		select {
		case credit = <-t.Await():
			c.granted.Store(int64(time.Since(c.opened)))
			c.wrote()
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	n = min(n, credit)
	c.mu.Lock()
	if c.transfer == t {
		c.credit = credit - n
	}
	c.mu.Unlock()
	if n == credit && t.complete() {
		c.begin(nil)
	}
	return n, nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.stop()
		c.mu.Lock()
		c.ended = true
		c.mu.Unlock()
		c.begin(nil)
	})
	return c.TCPConn.Close()
}
