package edge

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/fx"
	"go.uber.org/fx/fxtest"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

const (
	keptConns = 40
	// stopRounds is the number of stops of each variant.
	stopRounds = 10
)

// listeners are the ways to listen that the plug-ins use.
var listeners = map[string]func(fx.Lifecycle, *http.Server, string, string, *zap.Logger){
	"plain":     Listen,
	"pipelined": ListenPipelined,
}

// serveUntilStopped serves srv on a loopback address and returns it with a function that
// stops it.
func serveUntilStopped(t *testing.T, listen func(fx.Lifecycle, *http.Server, string, string, *zap.Logger), srv *http.Server) (addr string, stop func(context.Context) error) {
	t.Helper()
	addr = freeAddr(t)
	lc := fxtest.NewLifecycle(t)
	listen(lc, srv, "test", addr, zap.NewNop())
	lc.RequireStart()
	return addr, lc.Stop
}

// keptConn is a caller's connection on which requests have been answered.
type keptConn struct {
	*caller
	acknowledged uint64 // bytes that the peer's kernel had confirmed by then
}

// fate is what became of a request on a kept connection.
type fate int

const (
	answered fate = iota
	unread        // the connection was reset or closed before the request came
	lost          // it was read, and the connection ended without an answer
)

// dialKept returns connections with one answered request each.
func dialKept(t *testing.T, addr string, n int) []*keptConn {
	t.Helper()
	conns := make([]*keptConn, n)
	for i := range conns {
		c := dialCaller(t, addr)
		c.send(get("/first"))
		if _, err := c.answer(); err != nil {
			t.Fatal(err)
		}
		conns[i] = &keptConn{caller: c, acknowledged: acknowledged(t, c.Conn)}
	}
	return conns
}

// acknowledged returns the number of bytes that the kernel of the peer has confirmed. Those
// that come to a closed socket are not confirmed, and a socket that is closed with bytes that
// were not read is reset.
func acknowledged(t *testing.T, conn net.Conn) uint64 {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var acked uint64
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			t.Error(err)
			return
		}
		acked = info.Bytes_acked
	})
	if err != nil {
		t.Error(err)
	}
	return acked
}

// request sends a request in pieces, with a pause between them, and returns its fate.
func (c *keptConn) request(pause time.Duration, pieces ...string) fate {
	for i, piece := range pieces {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, err := io.WriteString(c, piece); err != nil {
			return unread
		}
	}
	return c.fate(len(pieces[0]))
}

// fate returns what became of a request that was sent, of which begin bytes were sent first.
func (c *keptConn) fate(begin int) fate {
	_, err := c.answer()
	switch {
	case err == nil:
		return answered
	case errors.Is(err, syscall.ECONNRESET) || acknowledged(c.t, c.Conn) < c.acknowledged+uint64(begin):
		return unread
	default:
		return lost
	}
}

// fates counts what became of requests.
type fates [lost + 1]atomic.Int64

func (f *fates) check(t *testing.T) {
	t.Helper()
	t.Logf("%d answered, %d not read, %d read and closed", f[answered].Load(), f[unread].Load(), f[lost].Load())
	if n := f[lost].Load(); n != 0 {
		t.Errorf("%d requests were read and got no answer", n)
	}
}

// keepBusy occupies all processors until idle is called.
func keepBusy() (idle func()) {
	var stopped atomic.Bool
	var wg sync.WaitGroup
	for range 4 * runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for !stopped.Load() {
				for n := 0; n < 1000; n++ { // a short loop without a call
				}
				runtime.Gosched()
			}
		})
	}
	return func() { stopped.Store(true); wg.Wait() }
}

// A stop closed kept connections whose next request it had read.
func TestStopAnswersEveryRequestOnKeptConnections(t *testing.T) {
	whole := get("/second")
	for variant, pieces := range map[string][]string{
		"whole": {whole}, "in two pieces": {whole[:12], whole[12:]}, "beside busy goroutines": {whole},
	} {
		for name, listen := range listeners {
			t.Run(name+"/"+variant, func(t *testing.T) {
				var count fates
				for range stopRounds {
					handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
					addr, stop := serveUntilStopped(t, listen, &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second})
					conns := dialKept(t, addr, keptConns)
					idle := func() {}
					if variant == "beside busy goroutines" {
						idle = keepBusy()
					}
					var wg sync.WaitGroup
					begin := make(chan struct{})
					for _, c := range conns {
						wg.Go(func() {
							<-begin
							count[c.request(2*time.Millisecond, pieces...)].Add(1)
							_ = c.Close()
						})
					}
					wg.Go(func() {
						<-begin
						if err := stop(t.Context()); err != nil {
							t.Error(err)
						}
					})
					close(begin)
					wg.Wait()
					idle()
				}
				count.check(t)
			})
		}
	}
}

// An idle timeout closed connections whose next request it had read.
func TestIdleTimeoutAnswersEveryRequestThatWasRead(t *testing.T) {
	const (
		idle   = 50 * time.Millisecond
		spread = 2 * time.Millisecond // of the requests around the end of the timeout
		rounds = 20
	)
	for name, listen := range listeners {
		t.Run(name, func(t *testing.T) {
			handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
			addr, stop := serveUntilStopped(t, listen, &http.Server{Handler: handler, IdleTimeout: idle})
			defer func() { _ = stop(t.Context()) }()
			var count fates
			for range rounds {
				var wg sync.WaitGroup
				for i := range keptConns {
					wg.Go(func() {
						c := dialKept(t, addr, 1)[0]
						time.Sleep(idle - spread/2 + spread*time.Duration(i)/keptConns)
						count[c.request(0, get("/second"))].Add(1)
						_ = c.Close()
					})
				}
				wg.Wait()
			}
			count.check(t)
		})
	}
}

// An answer closed its connection, and a request that had been read behind it got none.
func TestLastAnswerLeavesNoRequestThatWasRead(t *testing.T) {
	const rounds = 20
	for name, listen := range listeners {
		t.Run(name, func(t *testing.T) {
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/last" && EndAfter(r.Context()) {
					w.Header().Set("Connection", "close")
				}
			})
			addr, stop := serveUntilStopped(t, listen, &http.Server{Handler: handler})
			defer func() { _ = stop(t.Context()) }()
			var count fates
			for range rounds {
				var wg sync.WaitGroup
				begin := make(chan struct{})
				for i, c := range dialKept(t, addr, keptConns) {
					wg.Go(func() {
						<-begin
						c.send(get("/last"))
						time.Sleep(time.Duration(i) * 5 * time.Microsecond)
						_, err := io.WriteString(c, get("/second"))
						if _, firstErr := c.answer(); firstErr != nil {
							t.Error(firstErr)
							return
						}
						if err != nil {
							count[unread].Add(1)
							return
						}
						c.acknowledged += uint64(len(get("/last")))
						count[c.fate(len(get("/second")))].Add(1)
						_ = c.Close()
					})
				}
				close(begin)
				wg.Wait()
			}
			count.check(t)
		})
	}
}

// stopLimit bounds the stop of a listener whose callers are idle or have sent a part of a
// request: far less than the grace time, which other plug-ins need, too.
const stopLimit = 2 * time.Second

// A caller that had sent half a head delayed the stop by the time to send a head.
func TestHalfAHeadDoesNotDelayStop(t *testing.T) {
	for name, listen := range listeners {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			srv := &http.Server{Handler: &gate{}, ReadHeaderTimeout: 8 * time.Second, IdleTimeout: time.Minute}
			addr, stop := serveUntilStopped(t, listen, srv)
			c := dialCaller(t, addr)
			c.send(get("/1") + "GET /2 HTTP/1.1\r\nHo") // both are read at once
			_, err := c.answer()
			is.NoErr(err)
			begin := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
			defer cancel()
			is.NoErr(stop(ctx))
			is.True(time.Since(begin) < stopLimit)
		})
	}
}

// The end of the time for a half head ended the request before it, which was running.
func TestHalfAHeadDoesNotEndRunningRequests(t *testing.T) {
	for name, listen := range listeners {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := &gate{release: make(chan struct{})}
			addr, stop := serveUntilStopped(t, listen, &http.Server{Handler: g, ReadHeaderTimeout: 8 * time.Second})
			c := dialCaller(t, addr)
			c.send(get("/1wait") + "GET /2 HTTP/1.1\r\nHo") // both are read at once
			eventually(t, "the first runs", func() bool { return g.running.Load() == 1 })
			stopped := make(chan error, 1)
			go func() { stopped <- stop(context.Background()) }()
			<-time.After(stopReadTimeout + stopReadTimeout/2)
			is.Equal(g.ended.Load(), int64(0))
			close(g.release)
			got, err := c.answer()
			is.NoErr(err)
			is.Equal(got, "/1wait")
			is.NoErr(<-stopped)
		})
	}
}

func TestStopWithIdleConnectionsIsPrompt(t *testing.T) {
	for name, listen := range listeners {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			srv := &http.Server{Handler: &gate{}, ReadHeaderTimeout: 8 * time.Second, IdleTimeout: time.Minute}
			addr, stop := serveUntilStopped(t, listen, srv)
			dialKept(t, addr, keptConns)
			dialCaller(t, addr) // sends nothing
			begin := time.Now()
			is.NoErr(stop(t.Context()))
			is.True(time.Since(begin) < 500*time.Millisecond)
		})
	}
}

// A request whose head was half read at a stop is read to its end and answered.
func TestStopReadsTheRestOfAHead(t *testing.T) {
	for name, listen := range listeners {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			srv := &http.Server{Handler: &gate{}, ReadHeaderTimeout: 8 * time.Second}
			addr, stop := serveUntilStopped(t, listen, srv)
			c := dialCaller(t, addr)
			head := get("/2")
			c.send(get("/1") + head[:9]) // both are read at once
			_, err := c.answer()
			is.NoErr(err)
			stopped := make(chan error, 1)
			var stopping sync.WaitGroup
			stopping.Go(func() { stopped <- stop(context.Background()) })
			defer stopping.Wait()
			eventually(t, "the daemon stops", func() bool {
				conn, err := net.Dial("tcp", addr)
				if err == nil {
					_ = conn.Close()
				}
				return err != nil
			})
			c.send(head[9:])
			resp, err := http.ReadResponse(c.r, nil)
			is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(body), "/2")
			is.True(resp.Close) // the caller is told
			_, err = c.r.ReadByte()
			is.Equal(err, io.EOF)
			is.NoErr(<-stopped)
		})
	}
}

// folded has a folded header: its end is not known to the pipeline, and its server keeps the
// connection.
const folded = "GET /1 HTTP/1.1\r\nHost: a\r\nX-Note: a\r\n b\r\n\r\n"

func TestConnectionGoesOnBehindARequestWithoutAKnownEnd(t *testing.T) {
	for name, listen := range listeners {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr, stop := serveUntilStopped(t, listen, &http.Server{Handler: &gate{}, IdleTimeout: time.Second})
			idle, kept := dialCaller(t, addr), dialCaller(t, addr)
			for _, c := range []*caller{idle, kept} {
				c.send(folded + get("/2"))
				for _, want := range []string{"/1", "/2"} {
					got, err := c.answer()
					is.NoErr(err)
					is.Equal(got, want)
				}
				c.send(get("/3"))
				got, err := c.answer()
				is.NoErr(err)
				is.Equal(got, "/3")
			}
			_, err := idle.answer() // nothing is sent
			is.Equal(err, io.ErrUnexpectedEOF)
			late := dialCaller(t, addr)
			late.send(folded)
			_, err = late.answer()
			is.NoErr(err)
			begin := time.Now()
			is.NoErr(stop(t.Context()))
			is.True(time.Since(begin) < stopReadTimeout/2)
		})
	}
}

func TestStopAwaitsARequestBehindOneWithoutAKnownEnd(t *testing.T) {
	for name, listen := range listeners {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := &gate{release: make(chan struct{})}
			addr, stop := serveUntilStopped(t, listen, &http.Server{Handler: g})
			c := dialCaller(t, addr)
			c.send(folded + get("/2wait")) // both are read at once
			eventually(t, "the second runs", func() bool { return g.running.Load() == 1 })
			var stopping sync.WaitGroup
			stopping.Go(func() { _ = stop(context.Background()) })
			defer stopping.Wait()
			eventually(t, "the daemon stops", func() bool {
				conn, err := net.Dial("tcp", addr)
				if err == nil {
					_ = conn.Close()
				}
				return err != nil
			})
			<-time.After(50 * time.Millisecond) // nothing is to happen
			close(g.release)
			for _, want := range []string{"/1", "/2wait"} {
				got, err := c.answer()
				is.NoErr(err)
				is.Equal(got, want)
			}
		})
	}
}
