package owner

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/control"
)

// runTime is the deadline of the request whose end is awaited. Until then its server may run it.
const runTime = 700 * time.Millisecond

// startRun returns an executor whose server runs a request until the test ends, and the time at which
// the run was sent at the latest. The server says in an earlier answer whether it leaves.
func startRun(t *testing.T, leaving bool) (b *testOwner, server *rawServer, leave func(), started time.Time) {
	t.Helper()
	running, end := make(chan struct{}, 1), make(chan struct{})
	server = newRawServer(t, func(n int64, r *http.Request) string {
		if n == 1 && leaving {
			return "HTTP/1.1 200 OK\r\n" + headerLeaving + ": 1\r\nContent-Length: 2\r\n\r\nok"
		}
		if n == 1 {
			return okResponse
		}
		running <- struct{}{}
		<-end
		return okResponse
	})
	t.Cleanup(func() { close(end) })
	b = newTestOwner(t, server.addr, nil)
	b.report(server.addr, false)
	b.hold(2, nil)
	b.Execute(context.Background(), request("", ""))
	if leaving {
		<-b.control.events // control.BackendLeaving
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	done := make(chan struct{})
	started = time.Now()
	go func() {
		defer close(done)
		req := request("", "")
		req.TimeoutMs = uint64(runTime.Milliseconds())
		b.Execute(ctx, req)
	}()
	await(t, running, "run")
	return b, server, func() { cancel(); <-done }, started
}

// quiesceTime returns when the shard counts as quiesced, from started on.
func quiesceTime(t *testing.T, b *testOwner, started time.Time) time.Duration {
	t.Helper()
	b.HandleEffect(control.Quiesce{Shard: shard, Token: 2})
	awaitQuiesced(t, b.control)
	return time.Since(started)
}

// A request whose caller had left counted as ended with its connection, and its shard was released
// while the server worked on it.
func TestRunOfACallerThatLeftCountsAsEnded(t *testing.T) {
	is := is.New(t)
	b, _, leave, started := startRun(t, false)
	leave()
	is.True(quiesceTime(t, b, started) >= runTime)
}

// A leaving server that closed its listener and its connections, and went on with its runs, counted
// as crashed.
func TestLeavingServerThatRefusesConnectionsCountsAsEnded(t *testing.T) {
	is := is.New(t)
	b, server, _, started := startRun(t, true)
	server.stop()
	is.True(quiesceTime(t, b, started) >= runTime)
}

// The release of a shard must not wait for the runs of a server that is known to have crashed.
func TestCrashEndsRuns(t *testing.T) {
	is := is.New(t)
	b, server, _, started := startRun(t, false)
	server.stop()
	took := quiesceTime(t, b, started)
	t.Logf("%d ms", took.Milliseconds())
	is.True(took < runTime)
}

// A process that crashed while a request was written to it was not known to have ended its run, since
// the write failed before the end of the connection was read. Its shard waited for the lease.
func TestCrashDuringAWriteEndsTheRun(t *testing.T) {
	for range 20 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 1024))
			_ = l.Close()
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}()
		b := newTestOwner(t, l.Addr().String(), nil)
		b.report(l.Addr().String(), false)
		b.hold(2, nil)
		started := time.Now()
		resp := b.Execute(context.Background(), request("", strings.Repeat("x", 4<<20)))
		if took := quiesceTime(t, b, started); took >= runTime {
			t.Fatalf("the shard was released after %v; outcome %v", took, kindOf(resp))
		}
	}
}
