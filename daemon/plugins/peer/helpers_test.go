package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

// handlerFunc is a frame handler that answers requests.
type handlerFunc func(ctx context.Context, req *wire.Request) *wire.Response

func (handlerFunc) Handles(f *wire.Frame) bool { return f.GetRequest() != nil }

func (h handlerFunc) HandleFrame(ctx context.Context, _ string, f *wire.Frame) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Response{Response: h(ctx, f.GetRequest())}}
}

// ignoreLost is a linkEvents.lost that does nothing.
func ignoreLost(*wire.Request, partialFrame, error) {}

// echo answers with the request's body and counts runs.
func echo(runs *atomic.Int64) handlerFunc {
	return func(_ context.Context, req *wire.Request) *wire.Response {
		runs.Add(1)
		return &wire.Response{Kind: uint32(outcome.OK), Body: req.GetBody()}
	}
}

// offsetClock is the boot clock plus an adjustable offset.
type offsetClock struct{ offset atomic.Int64 }

func (c *offsetClock) Now() clock.Instant {
	return clock.Boot{}.Now().Add(time.Duration(c.offset.Load()))
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
	s := newServer(set, clock.Boot{}, nil, instrumentsForTest(t), kernel.FrameHandlers{Handlers: []kernel.FrameHandler{h}}, zap.New(core))
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

// startTestNetwork returns a network that checks its sessions.
func startTestNetwork(t testing.TB, clk clock.Clock) *network {
	t.Helper()
	n, err := newNetwork(settings.Daemon{Slot: "client", PeerAddr: "127.0.0.1:0"}, clk, nil, instrumentsForTest(t), zap.NewNop())
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

// proxy forwards bytes between a client and a server. It can delay or discard
// them, or cut the connection.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	conns    []*proxied
	limit    int64         // bytes to the server after which each connection is cut; 0 means never
	delay    time.Duration // of bytes to the server
	held     chan struct{} // if not nil, bytes to the server are kept until it is closed
}

// proxied is one connection through the proxy.
type proxied struct {
	client, server net.Conn
	discard        atomic.Bool // drop the bytes of both directions
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
		delay, limit, held := p.delay, p.limit, p.held
		p.mu.Unlock()
		if up && held != nil {
			<-held
		}
		if up && delay > 0 {
			time.Sleep(delay)
		}
		if c.discard.Load() {
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

// set changes settings of the proxy under its lock.
func (p *proxy) set(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

// hold keeps the bytes to the server until resume is called.
func (p *proxy) hold() (resume func()) {
	held := make(chan struct{})
	p.set(func() { p.held = held })
	return func() {
		p.set(func() { p.held = nil })
		close(held)
	}
}

func (p *proxied) close() {
	_ = p.client.Close()
	_ = p.server.Close()
}

func request(body string, idempotent bool) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Request{Request: &wire.Request{Body: []byte(body), Idempotent: idempotent}}}
}

func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}
