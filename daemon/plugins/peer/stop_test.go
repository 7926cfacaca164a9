package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// results counts the outcomes of calls.
type results struct {
	mu    sync.Mutex
	kinds map[outcome.Kind]int
}

func (r *results) add(answer *wire.Frame, err error) outcome.Kind {
	if err == nil {
		err = refusedAs(answer)
	}
	kind := outcome.OK
	if err != nil {
		kind = outcome.KindOf(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.kinds == nil {
		r.kinds = map[outcome.Kind]int{}
	}
	r.kinds[kind]++
	return kind
}

// unknown returns how many requests ended without an answer and without a refusal.
func (r *results) unknown() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for kind, count := range r.kinds {
		if kind != outcome.OK && kind.Answer().Ran != outcome.NotRun {
			n += count
		}
	}
	return n
}

// holdingServer is a server whose runs end when gate is closed, with answers that fill
// the queue of a link.
func holdingServer(t *testing.T) (s *server, runs *atomic.Int64, gate chan struct{}) {
	runs, gate = new(atomic.Int64), make(chan struct{})
	s, _ = startTestServer(t, handlerFunc(func(context.Context, *wire.Request) *wire.Response {
		runs.Add(1)
		<-gate
		return &wire.Response{Kind: uint32(outcome.OK), Body: make([]byte, 20<<10)}
	}))
	return s, runs, gate
}

const (
	heldRequests = 8 * writeQueue
	lateCallers  = 50 // sent when the held ones are answered
)

// The leave notice and the refusals were dropped while the queue of a link was full of
// answers: requests that were read neither ran nor were refused.
func TestStopRefusesRequestsReadBesideABurstOfAnswers(t *testing.T) {
	is := is.New(t)
	s, runs, gate := holdingServer(t)
	addr := s.listener.Addr().String()
	n := startTestNetwork(t, clock.Boot{})
	var got results
	var calls sync.WaitGroup
	for range heldRequests {
		calls.Go(func() { got.add(n.Call(within(t, lossBound), addr, request("a", false))) })
	}
	eventuallyRun(t, runs, heldRequests)
	begin := make(chan struct{})
	for range lateCallers {
		calls.Go(func() {
			<-begin
			for got.add(n.Call(within(t, lossBound), addr, request("b", false))) == outcome.OK {
			}
		})
	}
	close(gate)
	close(begin)
	start := time.Now()
	is.NoErr(s.stop(within(t, lossBound)))
	is.True(time.Since(start) < lingerTimeout) // the caller has read the leave notice
	calls.Wait()
	is.Equal(got.unknown(), 0)
	is.Equal(got.kinds[outcome.OK], int(runs.Load()))
}

func eventuallyRun(t *testing.T, runs *atomic.Int64, want int64) {
	t.Helper()
	for deadline := time.Now().Add(lossBound); runs.Load() < want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d run", runs.Load(), want)
		}
	}
}

// slowRequest begins a request that runs until gate is closed, on a link whose last frame
// then is older than staleAfter.
func slowRequest(t *testing.T, n *network, addr string, clk *offsetClock, runs *atomic.Int64) <-chan outcome.Kind {
	t.Helper()
	ended := make(chan outcome.Kind, 1)
	go func() { ended <- new(results).add(n.Call(within(t, 2*lossBound), addr, request("slow", false))) }()
	eventuallyRun(t, runs, 1)
	clk.offset.Add(int64(2 * staleAfter))
	return ended
}

// A request whose own time was up before the answer to its ping closed the session, and
// the requests that ran on it lost their answers.
func TestRequestWithoutTimeLeavesTheSessionOpen(t *testing.T) {
	is := is.New(t)
	s, runs, gate := holdingServer(t)
	p := startProxy(t, s.listener.Addr().String())
	clk := new(offsetClock)
	n := startTestNetwork(t, clk)
	slow := slowRequest(t, n, p.addr(), clk, runs)
	resume := p.hold()
	_, err := n.Call(within(t, confirmTimeout/10), p.addr(), request("b", false))
	is.Equal(outcome.KindOf(err), outcome.DeadlineNotRun)
	resume()
	close(gate)
	is.Equal(<-slow, outcome.OK)
	is.Equal(runs.Load(), int64(1))
}

// A request that came to a link just when its peer began to stop closed the session, and
// the requests that ran on it lost their answers.
func TestRequestBesideALeaveNoticeLeavesTheSessionOpen(t *testing.T) {
	is := is.New(t)
	s, runs, gate := holdingServer(t)
	addr := s.listener.Addr().String()
	clk := new(offsetClock)
	n := startTestNetwork(t, clk)
	slow := slowRequest(t, n, addr, clk, runs)
	session := n.sessionTo(addr)
	stopped := make(chan error, 1)
	go func() { stopped <- s.stop(within(t, lossBound)) }()
	for !session.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	clk.offset.Add(int64(2 * staleAfter))
	_, err := n.callOn(within(t, lossBound), addr, session, request("b", false))
	is.Equal(err, errNotSent)
	close(gate)
	is.Equal(<-slow, outcome.OK)
	is.NoErr(<-stopped)
}

// A peer that sends requests and reads no answers must not fill the memory with refusals.
func TestRepliesThatWaitAreBounded(t *testing.T) {
	is := is.New(t)
	s, _ := startTestServer(t, echo(new(atomic.Int64)))
	conn, _ := net.Pipe()
	l := newServerLink(s, conn, "peer") // nothing is written
	for range maxReplies + writeQueue {
		l.reply(request("a", false), newLeaveNotice())
	}
	is.Equal(l.postedFrames(), maxReplies)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.reply(request("a", false), newLeaveNotice()) // waits for room
	}()
	l.shut()
	<-ended
	is.Equal(l.postedFrames(), maxReplies)
}

// A request of another daemon that waited in a queue when the process ended was lost with the
// session, and its caller could not know that it had not run.
func TestRequestsInProgressAtTheEndOfAStopAreRefused(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{})
	s, _ := startTestServer(t, handlerFunc(func(ctx context.Context, _ *wire.Request) *wire.Response {
		close(started)
		<-ctx.Done()
		return &wire.Response{Kind: uint32(outcome.CancelledNotRun)}
	}))
	n := startTestNetwork(t, clock.Boot{})
	ended := make(chan outcome.Kind, 1)
	go func() {
		ended <- new(results).add(n.Call(within(t, 3*lossBound), s.listener.Addr().String(), request("a", false)))
	}()
	<-started
	ctx := within(t, lossBound/4)
	stopped := make(chan error, 1)
	go func() { stopped <- s.stop(ctx) }()
	is.Equal(<-ended, outcome.CancelledNotRun)
	is.NoErr(ctx.Err()) // the process ends with the stop
	is.NoErr(<-stopped)
}
