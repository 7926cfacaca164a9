package edge

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/fx/fxtest"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/callermemory"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/edge/edgetest"
)

const longAnswer = 540_000

// longAnswers answers each request within memory. It counts what runs, and holds answers back
// until release is closed.
type longAnswers struct {
	running atomic.Int64
	release chan struct{}
}

func (h *longAnswers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	resp, err := WithinMemory(r.Context(), &wire.Request{Service: "s"}, func(context.Context) (*wire.Response, error) {
		h.running.Add(1)
		<-h.release
		return &wire.Response{Kind: uint32(outcome.OK), Body: make([]byte, longAnswer)}, nil
	})
	if err != nil {
		w.WriteHeader(outcome.KindOf(err).Answer().Status)
		return
	}
	_, _ = w.Write(resp.GetBody())
}

func serveWithin(t *testing.T, handler http.Handler, callers Callers) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	lc := fxtest.NewLifecycle(t)
	callers.Pipelined = true
	ListenCallers(lc, &http.Server{Handler: handler, ReadHeaderTimeout: waitTimeout}, "test", addr, callers, zap.NewNop())
	lc.RequireStart()
	t.Cleanup(lc.RequireStop)
	return addr
}

// recorded returns an account that expects long answers.
func recorded(limits callermemory.Limits) *callermemory.Account {
	a := callermemory.New(limits)
	for range 50 {
		a.NewCharge().RecordAnswer("s ", longAnswer)
	}
	return a
}

func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

// A caller within the limits must not notice the account: 16 long answers run side by side.
func TestPipelinedLongAnswersAreServedSideBySide(t *testing.T) {
	is := is.New(t)
	set := settings.Default()
	set.Bounds.MemoryMB = 284
	memory := recorded(set.CallerMemory())
	h := &longAnswers{release: make(chan struct{})}
	callers := CallersOf(set, memory, true)
	is.True(callers.Connections > 2500)
	c := dialCaller(t, serveWithin(t, h, callers))
	for range maxPipelined {
		c.send(get("/"))
	}
	await(t, "not all requests run", func() bool { return h.running.Load() == maxPipelined })
	close(h.release)
	for range maxPipelined {
		body, err := c.answer()
		is.NoErr(err)
		is.Equal(len(body), longAnswer)
	}
	await(t, "memory is not given back", func() bool { return memory.Total() == 0 })
}

// Bodies that are sent ahead must wait for those before them, and not be refused by the bound of
// their connection.
func TestPipelinedBodiesWaitForRoom(t *testing.T) {
	const size = 1 << 20
	is := is.New(t)
	memory := callermemory.New(callermemory.Limits{Connection: 3 * callermemory.AnswerBytes(size), Entry: 100 << 20, Total: 100 << 20})
	var read atomic.Int64
	addr := serveWithin(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, release, err := ReadBody(w, r, size, NewBodies(0))
		defer release()
		if err != nil {
			w.WriteHeader(outcome.KindOf(err).Answer().Status)
			return
		}
		read.Add(1)
		_ = AwaitTurn(r.Context())
		await(t, "bodies are not read ahead", func() bool { return read.Load() >= 2 })
		_, _ = fmt.Fprint(w, len(body))
	}), Callers{Memory: memory})
	c := dialCaller(t, addr)
	go func() {
		for range maxPipelined {
			_, _ = io.WriteString(c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size)))
		}
	}()
	for range maxPipelined {
		body, err := c.answer()
		is.NoErr(err)
		is.Equal(body, fmt.Sprint(size))
	}
	await(t, "memory is not given back", func() bool { return memory.Total() == 0 })
}

// A request whose answer has no room must be refused before it runs, and be served once a caller
// that reads nothing has been closed.
func TestCallerThatReadsNothingIsClosedForOthers(t *testing.T) {
	is := is.New(t)
	answerBytes := callermemory.AnswerBytes(longAnswer)
	limits := callermemory.Limits{Connection: 4 * answerBytes, Entry: 3 * answerBytes, Total: 4 * answerBytes}
	memory := recorded(limits)
	h := &longAnswers{release: make(chan struct{})}
	close(h.release)
	callers := Callers{Memory: memory, SocketBytes: 8 << 10, Stall: time.Second}
	addr := serveWithin(t, h, callers)
	silent := dialCaller(t, addr)
	silent.send(get("/") + get("/"))
	await(t, "no answer waits", func() bool { return memory.Entry() > answerBytes })

	served := false
	await(t, "request is never served", func() bool {
		other := dialCaller(t, addr)
		other.send(get("/"))
		resp, err := http.ReadResponse(other.r, nil)
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = other.Close()
		if served = resp.StatusCode == http.StatusOK; !served {
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		}
		return memory.ClosedConnections() > 0 && served
	})
	is.Equal(h.running.Load() >= 3, true)
}

// pacedConn is a connection whose writes wait for the network link.
type pacedConn struct {
	net.Conn
	waiting atomic.Bool
	turn    atomic.Int64 // Unix time in nanoseconds of the last turn
	turns   chan struct{}
	reset   atomic.Bool // what it has written and the caller has not taken is dropped with it
}

func (c *pacedConn) SetLinger(sec int) error {
	c.reset.Store(sec == 0)
	return nil
}

func (c *pacedConn) Expect(int64, int) {}

func (c *pacedConn) Waits() (now bool, until time.Time) {
	return c.waiting.Load(), time.Unix(0, c.turn.Load())
}

func (c *pacedConn) Write(b []byte) (int, error) {
	c.waiting.Store(true)
	<-c.turns
	c.turn.Store(time.Now().UnixNano())
	c.waiting.Store(false)
	return c.Conn.Write(b)
}

// A connection that waits for the network link was taken for one whose caller reads nothing as soon
// as it got its turn: the time of its wait counted. One whose caller reads nothing must still be ended.
func TestWaitForTheLinkIsNoStall(t *testing.T) {
	for name, reads := range map[string]bool{"link": true, "caller": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const stall = 300 * time.Millisecond
			near, far := net.Pipe() // a write is over once it is read
			defer far.Close()
			conn := &pacedConn{Conn: near, turns: make(chan struct{})}
			l := newPipelineListener(edgetest.NewListener(t), testConfig)
			memory := callermemory.New(callermemory.Limits{Connection: 1 << 20, Entry: 1 << 20, Total: 1 << 20})
			config := testConfig
			config.memory = memory
			p := newPipeline(conn, config, func(*lane) {}, func(*pipeline) {})
			is.True(l.add(p))
			charge := p.memory.NewCharge()
			charge.Set(1 << 10)
			go func() { _ = p.write(&lane{p: p}, make([]byte, 1<<10)) }()
			await(t, "write does not wait", conn.waiting.Load)
			time.Sleep(2 * stall)
			is.True(!l.relieve(stall))
			conn.turns <- struct{}{}
			await(t, "turn is not taken", func() bool { return !conn.waiting.Load() })
			time.Sleep(2 * reliefInterval)
			is.True(!l.relieve(stall)) // has just begun to write
			if reads {
				_, err := io.ReadFull(far, make([]byte, 1<<10))
				is.NoErr(err)
			}
			time.Sleep(2 * stall)
			is.Equal(l.relieve(stall), !reads)
			is.Equal(conn.reset.Load(), !reads) // else the kernel keeps its buffer for 30 s
		})
	}
}

// Heads that are never complete must not take the places of callers that send whole requests,
// and a kept connection that is idle must stay.
func TestUnfinishedHeadLeavesItsPlace(t *testing.T) {
	is := is.New(t)
	h := &longAnswers{release: make(chan struct{})}
	close(h.release)
	memory := callermemory.New(callermemory.Limits{Connection: 1 << 30, Entry: 1 << 30, Total: 1 << 30})
	addr := serveWithin(t, h, Callers{Memory: memory, Connections: 2})
	idle := dialCaller(t, addr)
	idle.send(get("/"))
	_, err := idle.answer()
	is.NoErr(err)
	stuck := dialCaller(t, addr)
	stuck.send("GET / HTTP/1.1\r\nHost: a\r\n")
	await(t, "connections are not open", func() bool { return memory.Connections() == 2 })

	await(t, "no place for a further caller", func() bool { // until the head is old enough
		third := dialCaller(t, addr)
		_, _ = io.WriteString(third, get("/"))
		_, err := third.answer()
		return err == nil
	})
	idle.send(get("/"))
	_, err = idle.answer()
	is.NoErr(err)
	_, err = stuck.answer()
	is.True(err != nil)
}
