package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// lossBound is the time within which a key must be served again after a daemon
// is lost.
const lossBound = 2 * time.Second

func TestCallsReceiveMatchingAnswers(t *testing.T) {
	is := is.New(t)
	var allStarted sync.WaitGroup
	const calls = 64
	allStarted.Add(calls) // all requests block, then are answered in any order
	s, _ := startTestServer(t, handlerFunc(func(_ context.Context, req *wire.Request) *wire.Response {
		allStarted.Done()
		allStarted.Wait()
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

func TestUnresponsiveConnectionFailsCalls(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	s, _ := startTestServer(t, echo(&runs))
	p := startProxy(t, s.listener.Addr().String())
	n := startTestNetwork(t, clock.Boot{})
	_, err := n.Call(within(t, lossBound), p.addr(), request("a", true))
	is.NoErr(err)
	p.each(func(c *proxied) { c.discard.Store(true) })
	start := time.Now()
	_, err = n.Call(within(t, 10*time.Second), p.addr(), request("b", true))
	is.Equal(outcome.KindOf(err), outcome.ConnectionLost)
	is.True(time.Since(start) < lossBound)
	_, err = n.Call(within(t, lossBound), p.addr(), request("c", true))
	is.NoErr(err) // on a new connection
	is.Equal(runs.Load(), int64(2))
}

// When one session is unresponsive, the others are probed, so that those broken
// by the same cause are closed before a call uses them.
func TestUnresponsiveSessionTriggersProbes(t *testing.T) {
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
		p.each(func(c *proxied) { c.discard.Store(true) })
	}
	_, err := n.Call(within(t, 10*time.Second), proxies[0].addr(), request("b", true))
	is.Equal(outcome.KindOf(err), outcome.ConnectionLost)
	deadline := time.Now().Add(lossBound)
	for len(n.sessions(n.clock.Now())) > 0 {
		is.True(time.Now().Before(deadline))
		time.Sleep(time.Millisecond)
	}
}

// One unresponsive peer made a daemon ping all others ten times a second. Where many daemons
// had a slow peer, answering pings took all of their processor time, and more peers became
// unresponsive.
func TestUnresponsivePeerFloodsOthersWithPings(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	n := startTestNetwork(t, clock.Boot{})
	const others = 30
	for range others {
		s, _ := startTestServer(t, echo(&runs))
		_, err := n.Call(within(t, lossBound), s.listener.Addr().String(), request("a", true))
		is.NoErr(err)
	}
	s, _ := startTestServer(t, echo(&runs))
	p := startProxy(t, s.listener.Addr().String())
	_, err := n.Call(within(t, lossBound), p.addr(), request("a", true))
	is.NoErr(err)
	time.Sleep(2 * probeSilence) // all links are idle
	received := func() (bytes uint64) {
		for _, s := range n.sessions(n.clock.Now()) {
			bytes += s.traffic.bytesRead.Load()
		}
		return bytes
	}
	before := received()
	p.each(func(c *proxied) { c.discard.Store(true) })
	start := time.Now()
	_, err = n.Call(within(t, 10*time.Second), p.addr(), request("b", true))
	is.Equal(outcome.KindOf(err), outcome.ConnectionLost)
	checks := uint64(time.Since(start)/checkInterval) + 1
	pong := uint64(len(encoded(t, &wire.Frame{Id: 1, Tag: 1 << 63, Body: &wire.Frame_Pong{Pong: &wire.Pong{ClockUs: 1 << 40}}})))
	is.True(received()-before <= checks*maxProbes*pong)
}

func TestStaleLinkIsPingedBeforeNonIdempotentRequest(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	s, _ := startTestServer(t, echo(&runs))
	p := startProxy(t, s.listener.Addr().String())
	clk := new(offsetClock)
	n := startTestNetwork(t, clk)
	_, err := n.Call(within(t, lossBound), p.addr(), request("a", false))
	is.NoErr(err)
	p.each(func(c *proxied) { c.discard.Store(true) })
	clk.offset.Store(int64(2 * staleAfter))
	answer, err := n.Call(within(t, lossBound), p.addr(), request("b", false))
	is.NoErr(err)
	is.Equal(string(answer.GetResponse().GetBody()), "b")
	is.Equal(runs.Load(), int64(2))
}

// A request is not sent on a link whose peer does not answer earlier requests,
// even if it may run twice: it then provably did not run when the link ends, and
// can be sent elsewhere.
func TestLinkWithUnansweredPingIsConfirmedBeforeRequest(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	s, _ := startTestServer(t, echo(&runs))
	p := startProxy(t, s.listener.Addr().String())
	n := startTestNetwork(t, clock.Boot{})
	_, err := n.Call(within(t, lossBound), p.addr(), request("a", true))
	is.NoErr(err)
	p.each(func(c *proxied) { c.discard.Store(true) })
	unanswered := make(chan error, 1)
	go func() {
		_, err := n.Call(within(t, 10*time.Second), p.addr(), request("b", true))
		unanswered <- err
	}()
	awaitUnansweredPing(t, n)
	answer, err := n.Call(within(t, lossBound), p.addr(), request("c", true))
	is.NoErr(err)
	is.Equal(string(answer.GetResponse().GetBody()), "c")
	is.Equal(outcome.KindOf(<-unanswered), outcome.ConnectionLost)
}

// awaitUnansweredPing waits until the ping on some link is unanswered.
func awaitUnansweredPing(t *testing.T, n *network) {
	t.Helper()
	for deadline := time.Now().Add(lossBound); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for _, s := range n.sessions(n.clock.Now()) {
			if s.traffic.pingUnanswered.Load() {
				return
			}
		}
	}
	t.Fatal("no link with an unanswered ping")
}

// Cuts the connection after different numbers of bytes: a call whose outcome says
// that it did not run must not have run.
func TestCutConnectionErrorKind(t *testing.T) {
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
		kinds[outcome.KindOf(err)]++
		if err != nil && outcome.KindOf(err).Answer().Ran == outcome.NotRun {
			is.Equal(runs.Load(), before)
		}
	}
	is.True(kinds[outcome.OwnerUnreachable] > 0) // cut before the request
	is.True(kinds[outcome.ConnectionLost] > 0)   // cut within the request or before its answer
}

func TestExpiredFrameDoesNotRun(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	s, _ := startTestServer(t, echo(&runs))
	p := startProxy(t, s.listener.Addr().String())
	n := startTestNetwork(t, clock.Boot{})
	_, err := n.Call(within(t, lossBound), p.addr(), request("a", true))
	is.NoErr(err)
	p.set(func() { p.delay = 300 * time.Millisecond })
	_, err = n.Call(within(t, 100*time.Millisecond), p.addr(), request("late", true))
	is.Equal(outcome.KindOf(err), outcome.DeadlineMaybeRan)
	p.set(func() { p.delay = 0 })
	_, err = n.Call(within(t, 2*lossBound), p.addr(), request("b", true)) // behind the late frame on the same link
	is.NoErr(err)
	is.Equal(runs.Load(), int64(2))
}

func TestCancelReachesHandler(t *testing.T) {
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
	is.Equal(outcome.KindOf(<-done), outcome.CancelledMaybeRan)
	select {
	case err := <-cancelled:
		is.True(errors.Is(err, context.Canceled))
	case <-time.After(lossBound):
		t.Fatal("the handler's context did not end")
	}
}

// A caller left while the queue of the link to the owner's daemon was full. The message that
// ends its request was dropped, and the server worked on.
func TestCancelIsDroppedWhileTheQueueIsFull(t *testing.T) {
	is := is.New(t)
	here, there := net.Pipe()
	defer there.Close()
	l := startClientLink(newPipe(here), newFrameReader(here), clock.Boot{}, nil, 0, linkEvents{lost: ignoreLost, ended: func() {}})
	defer l.shut()
	r := newFrameReader(there)
	ctx, leave := context.WithCancel(t.Context())
	left := make(chan error, 1)
	go func() {
		_, err := l.call(ctx, request("a", true))
		left <- err
	}()
	first, _, err := r.next()
	is.NoErr(err)
	for len(l.out) < writeQueue { // the batch that is being written may hold any number of them
		go func() { _, _ = l.call(t.Context(), request("b", true)) }()
		time.Sleep(100 * time.Microsecond)
	}
	leave()
	is.Equal(outcome.KindOf(<-left), outcome.CancelledMaybeRan)
	is.NoErr(there.SetReadDeadline(time.Now().Add(lossBound)))
	for {
		frame, _, err := r.next()
		is.NoErr(err)
		if frame.GetCancel() != nil {
			is.Equal(frame.GetId(), first.GetId())
			return
		}
	}
}

func TestStopWaitsForRunningRequests(t *testing.T) {
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
	for s.begin(request("b", false), 0) == nil { // until the server is stopping
		s.finish(request("b", false), 0)
		time.Sleep(time.Millisecond)
	}
	answer, err := callDespiteLeaveNotice(within(t, lossBound), n.sessionTo(addr), request("b", false))
	is.NoErr(err)
	is.Equal(outcome.Kind(answer.GetResponse().GetKind()), outcome.Draining)
	_, err = n.Call(within(t, lossBound), addr, request("b", false))
	is.Equal(outcome.KindOf(err), outcome.OwnerUnreachable)
	close(release)
	first := <-done
	is.NoErr(first.err)
	is.Equal(string(first.answer.GetResponse().GetBody()), "a")
	is.NoErr(<-stopped)
}

// A caller that left while a ping was under way took the requests of others on that session with it.
func TestCallerThatLeavesDuringAPingEndsTheSession(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	s, _ := startTestServer(t, echo(&runs))
	p := startProxy(t, s.listener.Addr().String())
	clk := new(offsetClock)
	n := startTestNetwork(t, clk)
	_, err := n.Call(within(t, lossBound), p.addr(), request("a", true))
	is.NoErr(err)

	resume := p.hold()
	waiting := make(chan error, 1)
	go func() {
		_, err := n.Call(within(t, 10*time.Second), p.addr(), request("b", true))
		waiting <- err
	}()
	clk.offset.Store(int64(2 * staleAfter))
	ctx, cancel := context.WithCancel(t.Context())
	left := make(chan error, 1)
	go func() {
		_, err := n.Call(ctx, p.addr(), request("c", false))
		left <- err
	}()
	session := n.sessions(clk.Now())[p.addr()]
	for session.traffic.waitingCalls() < 2 { // the request and the ping
		runtime.Gosched()
	}
	cancel()
	is.Equal(outcome.KindOf(<-left), outcome.CancelledNotRun)
	resume()
	is.NoErr(<-waiting)
	is.True(session.alive())
}
