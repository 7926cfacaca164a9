package peer

import (
	"net"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// benchSessions is the number of sessions whose memory is measured.
const benchSessions = 200

// meteredConn counts the bytes that it writes.
type meteredConn struct {
	net.Conn
	written *atomic.Int64
}

func (c meteredConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// openSessions opens sessions with a server in this process and returns them.
func openSessions(b *testing.B, n int, written *atomic.Int64) []*session {
	var runs atomic.Int64
	srv, _ := startTestServer(b, echo(&runs))
	hello := &wire.Hello{Slot: "client", ProtocolVersion: protocolVersion}
	list := make([]*session, 0, n)
	for range n {
		conn, err := net.Dial("tcp", srv.listener.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		s, err := openSession(meteredConn{conn, written}, hello, clock.Boot{}, func() {}, func(*session) {})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(s.close)
		list = append(list, s)
	}
	return list
}

// usedMemory returns the live heap and the stacks in bytes.
func usedMemory() (heap, stacks int64) {
	runtime.GC()
	runtime.GC() // what the first one left to finalisers
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc), int64(m.StackInuse)
}

// BenchmarkSessionMemory measures what a session holds at both its ends, after
// one request of 512 bytes on it.
func BenchmarkSessionMemory(b *testing.B) {
	var written atomic.Int64
	body := string(make([]byte, 512))
	for b.Loop() {
		goroutines := runtime.NumGoroutine()
		heap, stacks := usedMemory()
		list := openSessions(b, benchSessions, &written)
		for _, s := range list {
			if _, err := s.traffic.call(b.Context(), request(body, true)); err != nil {
				b.Fatal(err)
			}
		}
		heapAfter, stacksAfter := usedMemory()
		b.ReportMetric(float64(heapAfter-heap)/benchSessions, "heap-B/session")
		b.ReportMetric(float64(stacksAfter-stacks)/benchSessions, "stack-B/session")
		b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/benchSessions, "goroutines/session")
		runtime.KeepAlive(list)
	}
}

// BenchmarkBeat checks the sessions of a daemon once, per session.
func BenchmarkBeat(b *testing.B) {
	n := startTestNetwork(b, clock.Boot{})
	var written atomic.Int64
	for i, s := range openSessions(b, benchSessions, &written) {
		ready := make(chan struct{})
		close(ready)
		n.mu.Lock()
		n.peers[strconv.Itoa(i)] = &remote{dial: &dialing{ready: ready, session: s}}
		n.mu.Unlock()
	}
	for b.Loop() {
		n.beat()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/benchSessions, "ns/session")
}

// sessionBytes lets sessions live for a while and returns the bytes that the
// calling end of one wrote in a second, without TCP headers.
func sessionBytes(b *testing.B, use func(*session)) {
	const sessions = 20
	var written atomic.Int64
	list := openSessions(b, sessions, &written)
	began, at := written.Load(), time.Now()
	for b.Loop() {
		for _, s := range list {
			use(s)
			s.beat(s.clock.Now())
		}
		time.Sleep(beatInterval)
	}
	b.ReportMetric(float64(written.Load()-began)/sessions/time.Since(at).Seconds(), "B/session/s")
}

// BenchmarkIdleSession measures a session without calls.
func BenchmarkIdleSession(b *testing.B) { sessionBytes(b, func(*session) {}) }

// BenchmarkSessionInUse measures a session that was used in each interval of
// clock readings, less the calls themselves.
func BenchmarkSessionInUse(b *testing.B) { sessionBytes(b, func(s *session) { s.traffic.touch() }) }
