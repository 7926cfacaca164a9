package peer

import (
	"net"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

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
		s, err := openSession(meteredConn{conn, written}, hello, clock.Boot{}, nil, zap.NewNop(), func(*session) {})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(s.close)
		list = append(list, s)
	}
	return list
}

// usedMemory returns the sizes of the live heap and of the stacks in bytes.
func usedMemory() (heap, stacks int64) {
	runtime.GC()
	runtime.GC() // frees what finalizers released after the first
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc), int64(m.StackInuse)
}

// BenchmarkSessionMemory measures the memory and goroutines of a session, both
// ends together, after one request of 512 bytes.
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

// BenchmarkCheckSessions measures one check of all sessions of a daemon, per session.
func BenchmarkCheckSessions(b *testing.B) {
	n := startTestNetwork(b, clock.Boot{})
	var written atomic.Int64
	for i, s := range openSessions(b, benchSessions, &written) {
		ready := make(chan struct{})
		close(ready)
		n.mu.Lock()
		n.peers[strconv.Itoa(i)] = &remote{dial: &dialAttempt{ready: ready, session: s}}
		n.mu.Unlock()
	}
	for b.Loop() {
		n.check()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/benchSessions, "ns/session")
}

// sessionBytes keeps sessions open and reports the bytes that the calling end of
// one writes per second, without TCP headers.
func sessionBytes(b *testing.B, use func(*session)) {
	const sessions = 20
	var written atomic.Int64
	list := openSessions(b, sessions, &written)
	before, start := written.Load(), time.Now()
	for b.Loop() {
		for _, s := range list {
			use(s)
			s.check(s.clock.Now())
		}
		time.Sleep(checkInterval)
	}
	b.ReportMetric(float64(written.Load()-before)/sessions/time.Since(start).Seconds(), "B/session/s")
}

// BenchmarkIdleSession measures the traffic of a session without calls.
func BenchmarkIdleSession(b *testing.B) { sessionBytes(b, func(*session) {}) }

// BenchmarkSessionInUse measures the traffic of a session that is used in each
// syncInterval, without that of the calls.
func BenchmarkSessionInUse(b *testing.B) { sessionBytes(b, func(s *session) { s.traffic.touch() }) }
