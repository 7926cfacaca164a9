package owner

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
	"github.com/sesamemoor/sesamemoor/daemon/routing"
)

const service = "orders"

// eventTimeout is the time within which awaited events must happen.
const eventTimeout = 5 * time.Second

var shard = view.ShardID{Service: service, Shard: 1}

// fakeControl implements kernel.Control with a view that the test sets.
type fakeControl struct {
	view   atomic.Pointer[view.View]
	events chan control.Event
}

func (c *fakeControl) Post(ev control.Event) { c.events <- ev }
func (c *fakeControl) View() *view.View      { return c.view.Load() }

// testOwner is an executor whose backend server is a raw TCP server.
type testOwner struct {
	*executor
	control *fakeControl
	lease   *view.LeaseCell
}

func newTestOwner(t *testing.T, addr string, change func(*settings.Daemon)) *testOwner {
	t.Helper()
	set := settings.Default()
	if change != nil {
		change(&set)
	}
	c := &fakeControl{events: make(chan control.Event, 100)}
	b := &testOwner{control: c, lease: new(view.LeaseCell)}
	b.lease.Set(clock.Boot{}.Now().Add(time.Hour))
	c.view.Store(&view.View{
		Backend:  &view.Backend{Addr: addr},
		Lease:    b.lease,
		Held:     map[view.ShardID]view.Held{},
		Services: map[string]*view.Service{service: {Base: 8, Shards: make([]view.Shard, 8)}},
	})
	b.executor = newExecutor(c, clock.Boot{}, noLoad{}, noSuspects{}, routing.NewRepeats(set, c, new(startedClock)), set, zap.NewNop())
	return b
}

// startedClock is the boot clock of a daemon that has been running for longer than any
// window: its first reading is an hour old.
type startedClock struct{ started atomic.Bool }

func (c *startedClock) Now() clock.Instant {
	if c.started.CompareAndSwap(false, true) {
		return clock.Boot{}.Now().Add(-time.Hour)
	}
	return clock.Boot{}.Now()
}

// noSuspects refuses no request and records nothing.
type noSuspects struct{}

func (noSuspects) IsQuarantined(uint64) bool                  { return false }
func (noSuspects) RecordCompletion(uint64, string)            {}
func (noSuspects) RecordCrash(uint64, string, string, string) {}

func (o *testOwner) report(addr string, checksFence bool) {
	o.BackendReported(kernel.BackendReport{Addr: addr, Slots: 4, BootID: "boot", ChecksFence: checksFence})
}

// hold makes the executor the owner of the shard under token.
func (o *testOwner) hold(token uint64, marks []*wire.RequestMark) {
	o.HandleEffect(control.TakeOver{Shard: shard, Token: token, Marks: marks})
	o.publish(map[view.ShardID]view.Held{shard: {Token: token}})
}

func (o *testOwner) publish(held map[view.ShardID]view.Held) {
	v := *o.control.View()
	v.Held = held
	o.control.view.Store(&v)
	o.HandleEffect(control.Publish{View: &v})
}

func request(id string, body string) *wire.Request {
	return &wire.Request{
		RequestId: id, CallerId: id != "", Team: "team", Service: service, Shard: shard.Shard,
		Method: http.MethodPost, Path: "/orders", Body: []byte(body), TimeoutMs: uint64(eventTimeout.Milliseconds()),
	}
}

// rawServer writes what respond returns as the response to each request. An
// empty string closes the connection after the whole request was read.
type rawServer struct {
	addr     string
	listener net.Listener
	requests atomic.Int64
	mu       sync.Mutex
	conns    []net.Conn
}

func newRawServer(t *testing.T, respond func(n int64, r *http.Request) string) *rawServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{addr: l.Addr().String(), listener: l}
	t.Cleanup(s.stop)
	go s.accept(respond)
	return s
}

func (s *rawServer) accept(respond func(int64, *http.Request) string) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.mu.Unlock()
		go s.serve(conn, respond)
	}
}

func (s *rawServer) serve(conn net.Conn, respond func(int64, *http.Request) string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		var n int64
		if r.URL.Path != "/sesamemoor/grant" {
			n = s.requests.Add(1)
		}
		text := respond(n, r)
		_, _ = io.Copy(io.Discard, r.Body)
		if _, err := conn.Write([]byte(text)); err != nil || text == "" {
			return
		}
	}
}

// stop closes the listener and all connections, as a crash does.
func (s *rawServer) stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func awaitQuiesced(t *testing.T, c *fakeControl) control.Quiesced {
	t.Helper()
	select {
	case ev := <-c.events:
		q, ok := ev.(control.Quiesced)
		if !ok {
			t.Fatalf("expected control.Quiesced, got %T", ev)
		}
		return q
	case <-time.After(eventTimeout):
		t.Fatal("no Quiesced event was posted")
	}
	return control.Quiesced{}
}

func await(t *testing.T, ch <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-ch:
	case <-time.After(eventTimeout):
		t.Fatalf("no %s", what)
	}
}

// noLoad discards load reports.
type noLoad struct{}

func (noLoad) RecordArrival(view.ShardID, uint64) {}
func (noLoad) RecordServiceTime(time.Duration)    {}
func (noLoad) RecordRunning(uint32)               {}
