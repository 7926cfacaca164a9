package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

// lossBound is the time within which a key must be served again after a loss.
const lossBound = 2 * time.Second

// handlerFunc answers requests in tests.
type handlerFunc func(ctx context.Context, req *wire.Request) *wire.Response

func (handlerFunc) Handles(f *wire.Frame) bool { return f.GetRequest() != nil }

func (h handlerFunc) HandleFrame(ctx context.Context, _ string, f *wire.Frame) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Response{Response: h(ctx, f.GetRequest())}}
}

// echo answers with the request's body and counts runs.
func echo(runs *atomic.Int64) handlerFunc {
	return func(_ context.Context, req *wire.Request) *wire.Response {
		runs.Add(1)
		return &wire.Response{Kind: uint32(outcome.OK), Body: req.GetBody()}
	}
}

// offsetClock is the boot clock with a movable offset.
type offsetClock struct{ ahead atomic.Int64 }

func (c *offsetClock) Now() clock.Instant {
	return clock.Boot{}.Now().Add(time.Duration(c.ahead.Load()))
}

func instrumentsForTest(t testing.TB) *instruments {
	t.Helper()
	i, err := newInstruments(&kernel.Metrics{Meter: noop.Meter{}})
	if err != nil {
		t.Fatal(err)
	}
	return i
}

// startTestServer runs a server on loopback and returns it with its log.
func startTestServer(t testing.TB, h kernel.FrameHandler) (*server, *observer.ObservedLogs) {
	t.Helper()
	core, logs := observer.New(zap.WarnLevel)
	set := settings.Daemon{Slot: "server", PeerAddr: "127.0.0.1:0"}
	s := newServer(set, clock.Boot{}, instrumentsForTest(t), kernel.FrameHandlers{Handlers: []kernel.FrameHandler{h}}, zap.New(core))
	if err := s.start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.stop(ctx)
	})
	return s, logs
}

// startTestNetwork returns a network that runs its checks.
func startTestNetwork(t testing.TB, clk clock.Clock) *network {
	t.Helper()
	n, err := newNetwork(settings.Daemon{Slot: "client", PeerAddr: "127.0.0.1:0"}, clk, instrumentsForTest(t), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	go n.watch()
	t.Cleanup(func() {
		close(n.stop)
		n.closeAll()
	})
	return n
}

// proxy passes bytes between a client and a server and can harm them.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	conns    []*proxied
	limit    int64         // bytes to the server after which new connections are cut; 0 means none
	delay    time.Duration // of bytes to the server
}

// proxied is one connection through the proxy.
type proxied struct {
	client, server net.Conn
	swallow        atomic.Bool // bytes vanish in both directions
}

func startProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: listener, target: target}
	go p.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		p.each(func(c *proxied) { c.close() })
	})
	return p
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		c := &proxied{client: client, server: server}
		p.mu.Lock()
		p.conns = append(p.conns, c)
		p.mu.Unlock()
		go p.pass(c, client, server, true)
		go p.pass(c, server, client, false)
	}
}

func (p *proxy) pass(c *proxied, from, to net.Conn, up bool) {
	defer c.close()
	buf := make([]byte, 32<<10)
	var passed int64
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		p.mu.Lock()
		delay, limit := p.delay, p.limit
		p.mu.Unlock()
		if up && delay > 0 {
			time.Sleep(delay)
		}
		if c.swallow.Load() {
			continue
		}
		cut := up && limit > 0 && passed+int64(n) >= limit
		if cut {
			n = int(max(0, limit-passed))
		}
		if _, err := to.Write(buf[:n]); err != nil || cut {
			return
		}
		passed += int64(n)
	}
}

func (p *proxy) each(f func(*proxied)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		f(c)
	}
}

func (p *proxy) set(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

func (c *proxied) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

func request(body string, idempotent bool) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Request{Request: &wire.Request{Body: []byte(body), Idempotent: idempotent}}}
}

func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestEachCallGetsItsOwnAnswer(t *testing.T) {
	is := is.New(t)
	var gate sync.WaitGroup
	const calls = 64
	gate.Add(calls) // all requests are held, then answered in any order
	s, _ := startTestServer(t, handlerFunc(func(_ context.Context, req *wire.Request) *wire.Response {
		gate.Done()
		gate.Wait()
		return &wire.Response{Body: req.GetBody()}
	}))
	n := startTestNetwork(t, clock.Boot{})
	errs := make(chan error, calls)
	for i := range calls {
		go func() {
			want := fmt.Sprintf("body %d", i)
			answer, err := n.Call(context.Background(), s.listener.Addr().String(), request(want, false))
			if got := string(answer.GetResponse().GetBody()); err == nil && got != want {
				err = fmt.Errorf("got %q, want %q", got, want)
			}
			errs <- err
		}()
	}
	for range calls {
		is.NoErr(<-errs)
	}
}

func TestSilentConnectionFailsItsCalls(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	s, _ := startTestServer(t, echo(&runs))
	p := startProxy(t, s.listener.Addr().String())
	n := startTestNetwork(t, clock.Boot{})
	_, err := n.Call(within(t, lossBound), p.addr(), request("a", true))
	is.NoErr(err)
	p.each(func(c *proxied) { c.swallow.Store(true) })
	began := time.Now()
	_, err = n.Call(within(t, 10*time.Second), p.addr(), request("b", true))
	is.Equal(outcome.Of(err), outcome.ConnectionLost)
	is.True(time.Since(began) < lossBound)
	_, err = n.Call(within(t, lossBound), p.addr(), request("c", true))
	is.NoErr(err) // on a new connection
	is.Equal(runs.Load(), int64(2))
}

// One silent session has the others tested: they are gone before they are used.
func TestSilentSessionHasOthersProbed(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	n := startTestNetwork(t, clock.Boot{})
	var proxies []*proxy
	for range 3 {
		s, _ := startTestServer(t, echo(&runs))
		p := startProxy(t, s.listener.Addr().String())
		_, err := n.Call(within(t, lossBound), p.addr(), request("a", true))
		is.NoErr(err)
		proxies = append(proxies, p)
	}
	for _, p := range proxies {
		p.each(func(c *proxied) { c.swallow.Store(true) })
	}
	_, err := n.Call(within(t, 10*time.Second), proxies[0].addr(), request("b", true))
	is.Equal(outcome.Of(err), outcome.ConnectionLost)
	deadline := time.Now().Add(lossBound)
	for len(n.sessions(n.clock.Now())) > 0 {
		is.True(time.Now().Before(deadline))
		time.Sleep(time.Millisecond)
	}
}

func TestQuietLinkIsConfirmedBeforeOneTimeRequest(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	s, _ := startTestServer(t, echo(&runs))
	p := startProxy(t, s.listener.Addr().String())
	clk := new(offsetClock)
	n := startTestNetwork(t, clk)
	_, err := n.Call(within(t, lossBound), p.addr(), request("a", false))
	is.NoErr(err)
	p.each(func(c *proxied) { c.swallow.Store(true) })
	clk.ahead.Store(int64(2 * quietLimit))
	answer, err := n.Call(within(t, lossBound), p.addr(), request("b", false))
	is.NoErr(err)
	is.Equal(string(answer.GetResponse().GetBody()), "b")
	is.Equal(runs.Load(), int64(2))
}

// Cuts the connection after each number of bytes: a call that fails with a
// kind that did not run must not have run.
func TestCutConnectionIsReportedTruthfully(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	s, _ := startTestServer(t, echo(&runs))
	kinds := map[outcome.Kind]int{}
	for limit := int64(1); limit < 400; limit += 7 {
		p := startProxy(t, s.listener.Addr().String())
		p.limit = limit
		n := startTestNetwork(t, clock.Boot{})
		before := runs.Load()
		_, err := n.Call(within(t, lossBound), p.addr(), request("some body of a request", false))
		kinds[outcome.Of(err)]++
		if err != nil && outcome.Of(err).Answer().Ran == outcome.NotRun {
			is.Equal(runs.Load(), before)
		}
	}
	is.True(kinds[outcome.OwnerUnreachable] > 0) // cut before the request
	is.True(kinds[outcome.ConnectionLost] > 0)   // cut within the request or its answer
}

func TestLateFrameDoesNotRun(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	s, _ := startTestServer(t, echo(&runs))
	p := startProxy(t, s.listener.Addr().String())
	n := startTestNetwork(t, clock.Boot{})
	_, err := n.Call(within(t, lossBound), p.addr(), request("a", true))
	is.NoErr(err)
	p.set(func() { p.delay = 300 * time.Millisecond })
	_, err = n.Call(within(t, 100*time.Millisecond), p.addr(), request("late", true))
	is.Equal(outcome.Of(err), outcome.DeadlineMaybeRan)
	p.set(func() { p.delay = 0 })
	_, err = n.Call(within(t, 2*lossBound), p.addr(), request("b", true)) // behind the late frame on the same link
	is.NoErr(err)
	is.Equal(runs.Load(), int64(2))
}

func TestCancelReachesTheHandler(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{})
	cancelled := make(chan error, 1)
	s, _ := startTestServer(t, handlerFunc(func(ctx context.Context, _ *wire.Request) *wire.Response {
		close(started)
		<-ctx.Done()
		cancelled <- ctx.Err()
		return &wire.Response{}
	}))
	n := startTestNetwork(t, clock.Boot{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := n.Call(ctx, s.listener.Addr().String(), request("a", true))
		done <- err
	}()
	<-started
	cancel()
	is.Equal(outcome.Of(<-done), outcome.CancelledMaybeRan)
	select {
	case err := <-cancelled:
		is.True(errors.Is(err, context.Canceled))
	case <-time.After(lossBound):
		t.Fatal("the handler's context did not end")
	}
}

func TestStopLetsRunningRequestsAnswer(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	s, _ := startTestServer(t, handlerFunc(func(_ context.Context, req *wire.Request) *wire.Response {
		close(started)
		<-release
		return &wire.Response{Body: req.GetBody()}
	}))
	n := startTestNetwork(t, clock.Boot{})
	type result struct {
		answer *wire.Frame
		err    error
	}
	addr := s.listener.Addr().String()
	done := make(chan result, 1)
	go func() {
		answer, err := n.Call(context.Background(), addr, request("a", false))
		done <- result{answer, err}
	}()
	<-started
	stopped := make(chan error, 1)
	go func() { stopped <- s.stop(within(t, 10*time.Second)) }()
	for s.begin(request("b", false), 0) == nil { // until stopping
		s.finish(request("b", false), 0)
		time.Sleep(time.Millisecond)
	}
	answer, err := n.Call(within(t, lossBound), addr, request("b", false))
	is.NoErr(err)
	is.Equal(outcome.Kind(answer.GetResponse().GetKind()), outcome.Draining)
	close(release)
	first := <-done
	is.NoErr(first.err)
	is.Equal(string(first.answer.GetResponse().GetBody()), "a")
	is.NoErr(<-stopped)
}
