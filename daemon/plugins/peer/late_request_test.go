package peer

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

const (
	lateTimeout = 4 * time.Second // of a request, when it was sent
	heldUp      = time.Second     // between its sending and its arrival
)

// lateRequest is a request that arrives heldUp after it was sent.
func lateRequest(id uint64, body string) *wire.Frame {
	f := request(body, true)
	f.Id, f.Tag = id, id
	f.GetRequest().TimeoutMs = uint64(lateTimeout.Milliseconds())
	f.DeadlineUs = microseconds(clock.Boot{}.Now().Add(lateTimeout - heldUp))
	return f
}

func cancelOf(id uint64) *wire.Frame {
	return &wire.Frame{Id: id, Body: &wire.Frame_Cancel{Cancel: &wire.Cancel{}}}
}

// dialRaw opens a link to a server and exchanges hellos.
func dialRaw(t *testing.T, s *server) (net.Conn, *frameReader) {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	is.NoErr(err)
	mux, err := yamux.Client(conn, yamuxConfig())
	is.NoErr(err)
	t.Cleanup(func() { _ = mux.Close() })
	stream, err := mux.Open()
	is.NoErr(err)
	is.NoErr(stream.SetReadDeadline(time.Now().Add(10 * time.Second)))
	_, err = stream.Write(encoded(t, hello(protocolVersion)))
	is.NoErr(err)
	r := newFrameReader(stream)
	_, _, err = r.next()
	is.NoErr(err)
	return stream, r
}

// readAnswers answers pings until it has read the responses to all requests, and returns
// their kinds by frame id.
func readAnswers(t *testing.T, stream net.Conn, r *frameReader, requests int) map[uint64]outcome.Kind {
	t.Helper()
	kinds := map[uint64]outcome.Kind{}
	for len(kinds) < requests {
		f, _, err := r.next()
		if err != nil {
			t.Fatalf("%d of %d requests answered: %v", len(kinds), requests, err)
		}
		if f.GetPing() != nil {
			_, _ = stream.Write(encoded(t, &wire.Frame{Id: f.GetId(), Tag: f.GetTag(), Body: &wire.Frame_Pong{Pong: &wire.Pong{}}}))
			continue
		}
		kinds[f.GetId()] = outcome.Kind(f.GetResponse().GetKind())
	}
	return kinds
}

// A link was held up for a second, and a request whose caller had left began a millisecond
// before the message that ends it was read.
func TestLateRequestBeginsAlthoughItsCancelHasArrived(t *testing.T) {
	for _, pairs := range []int{1, 20, 200} {
		for _, wanted := range []int{0, pairs} {
			t.Run(fmt.Sprintf("%d cancelled, %d wanted", pairs, wanted), func(t *testing.T) {
				is := is.New(t)
				var cancelled, served atomic.Int64
				s, _ := startTestServer(t, handlerFunc(func(_ context.Context, req *wire.Request) *wire.Response {
					if string(req.GetBody()) == "cancelled" {
						cancelled.Add(1)
					} else {
						served.Add(1)
					}
					return &wire.Response{Kind: uint32(outcome.OK)}
				}))
				stream, r := dialRaw(t, s)
				var frames []*wire.Frame
				for i := range uint64(pairs) {
					frames = append(frames, lateRequest(2*i+1, "cancelled"))
					if wanted > 0 {
						frames = append(frames, lateRequest(2*i+2, "wanted"))
					}
					frames = append(frames, cancelOf(2*i+1))
				}
				_, err := stream.Write(encoded(t, frames...))
				is.NoErr(err)
				kinds := readAnswers(t, stream, r, pairs+wanted)
				if n := cancelled.Load(); n > 0 {
					t.Errorf("%d of %d cancelled requests began", n, pairs)
				}
				is.Equal(served.Load(), int64(wanted))
				for id, kind := range kinds {
					if id%2 == 1 && kind != outcome.CancelledNotRun {
						t.Fatalf("cancelled request %d ended as %v", id, kind)
					}
				}
			})
		}
	}
}

// The caller of a call had left before the call; the frame was sent all the same.
func TestFrameOfACallerThatHasLeftIsSent(t *testing.T) {
	is := is.New(t)
	here, there := net.Pipe()
	defer there.Close()
	l := startClientLink(newPipe(here), newFrameReader(here), clock.Boot{}, nil, 0, linkEvents{lost: ignoreLost, ended: func() {}})
	defer l.shut()
	left, leave := context.WithCancel(t.Context())
	leave()
	const calls = 2000
	called := make(chan struct{})
	go func() {
		defer close(called)
		for range calls {
			_, _ = l.call(left, request("left", true))
		}
		_, _ = l.call(within(t, lossBound), request("last", true))
	}()
	r := newFrameReader(there)
	is.NoErr(there.SetReadDeadline(time.Now().Add(lossBound)))
	sent := 0
	for {
		frame, _, err := r.next()
		is.NoErr(err)
		if string(frame.GetRequest().GetBody()) == "last" {
			break
		}
		if frame.GetRequest() != nil {
			sent++
		}
	}
	_ = there.Close()
	<-called
	if sent > 0 {
		t.Errorf("%d of %d frames were sent", sent, calls)
	}
}

// The caller left while its frame was queued; the writer came first and sent the frame.
func TestQueuedFrameOfACallerThatHasLeftIsSent(t *testing.T) {
	is := is.New(t)
	here, there := net.Pipe()
	defer there.Close()
	p := newPipe(here)
	left, leave := context.WithCancel(t.Context())
	c := newCall(left, 1)
	queue := func(f *wire.Frame, c *call) {
		data, err := encode(f)
		is.NoErr(err)
		is.True(p.offer(outFrame{data: data, call: c}))
	}
	queue(request("left", true), c)
	queue(request("wanted", true), newCall(t.Context(), 2))
	leave()
	go p.writeLoop()
	defer p.shut()
	is.NoErr(there.SetReadDeadline(time.Now().Add(lossBound)))
	frame, _, err := newFrameReader(there).next()
	is.NoErr(err)
	is.Equal(string(frame.GetRequest().GetBody()), "wanted")
	is.True(c.withdraw(callQueued)) // provably not sent
}

// The answer to a ping tells the peer that it has read all cancel frames: it must not overtake
// one that waits in the queue of the link.
func TestPongOvertakesACancelFrame(t *testing.T) {
	is := is.New(t)
	for room := range 3 { // in the queue
		for range 20 {
			here, there := net.Pipe()
			p := newPipe(here)
			queue := func(put func(outFrame), f *wire.Frame) {
				data, err := encode(f)
				is.NoErr(err)
				put(outFrame{data: data})
			}
			for range writeQueue - room {
				queue(func(f outFrame) { is.True(p.offer(f)) }, request("b", true))
			}
			queue(p.post, cancelOf(1))
			queue(p.post, &wire.Frame{Tag: 7, Body: &wire.Frame_Pong{Pong: &wire.Pong{}}})
			go p.writeLoop()
			is.NoErr(there.SetReadDeadline(time.Now().Add(lossBound)))
			r := newFrameReader(there)
			frame, _, err := r.next()
			for err == nil && frame.GetCancel() == nil {
				is.True(frame.GetPong() == nil) // the cancel frame comes first
				frame, _, err = r.next()
			}
			is.NoErr(err)
			p.shut()
			_ = there.Close()
		}
	}
}

// A late request waits for the peer's answer to a ping, which the peer must give.
func TestPingOfTheAnsweringEndIsNotAnswered(t *testing.T) {
	is := is.New(t)
	here, there := net.Pipe()
	defer there.Close()
	l := startClientLink(newPipe(here), newFrameReader(here), clock.Boot{}, nil, 0, linkEvents{lost: ignoreLost, ended: func() {}})
	defer l.shut()
	is.NoErr(there.SetDeadline(time.Now().Add(lossBound)))
	_, err := there.Write(encoded(t, &wire.Frame{Tag: 7, Body: &wire.Frame_Ping{Ping: &wire.Ping{}}}))
	is.NoErr(err)
	frame, _, err := newFrameReader(there).next()
	is.NoErr(err)
	is.True(frame.GetPong() != nil)
	is.Equal(frame.GetTag(), uint64(7))
}

// Both ends as they are: the callers leave while the link is held up.
func TestRequestOfACallerThatLeftOnAHeldUpLinkBegins(t *testing.T) {
	is := is.New(t)
	var cancelled atomic.Int64
	s, _ := startTestServer(t, handlerFunc(func(_ context.Context, req *wire.Request) *wire.Response {
		if string(req.GetBody()) == "left" {
			cancelled.Add(1)
		}
		return &wire.Response{Kind: uint32(outcome.OK)}
	}))
	p := startProxy(t, s.listener.Addr().String())
	n := startTestNetwork(t, clock.Boot{})
	ctx := within(t, lateTimeout)
	call := func(ctx context.Context, body string) error {
		f := request(body, true)
		f.GetRequest().TimeoutMs = uint64(lateTimeout.Milliseconds())
		_, err := n.Call(ctx, p.addr(), f)
		return err
	}
	is.NoErr(call(ctx, "first"))
	resume := p.hold()
	leaving, leave := context.WithCancel(ctx)
	const calls = 20
	left, wanted := make(chan error, calls), make(chan error, calls)
	for range calls {
		go func() { left <- call(leaving, "left") }()
		go func() { wanted <- call(ctx, "wanted") }()
	}
	traffic := n.sessionTo(p.addr()).traffic
	for traffic.waitingCalls() < 2*calls || len(traffic.out) > 0 {
		time.Sleep(time.Millisecond)
	}
	leave()
	for range calls {
		<-left
	}
	time.Sleep(2 * maxUnderway) // the link is held up
	resume()
	for range calls {
		is.NoErr(<-wanted)
	}
	is.NoErr(call(ctx, "last"))
	if n := cancelled.Load(); n > 0 {
		t.Errorf("%d of %d requests began", n, calls)
	}
}

// A link was held up again while a late request waited, or its peer has ended: the request
// waits on, and ends with its deadline or its link.
func TestLateRequestBeginsWithoutNewsOfThePresent(t *testing.T) {
	is := is.New(t)
	now := new(manualClock)
	now.at.Store(int64(time.Hour))
	var pings []uint64
	late := lateRequests{clock: now, ping: func(tag uint64) { pings = append(pings, tag) }}
	closed := func(ch <-chan struct{}) bool {
		select {
		case <-ch:
			return true
		default:
			return false
		}
	}
	first := late.present()
	is.Equal(pings, []uint64{1})
	second := late.present() // read after the ping was sent
	late.answered(7)         // to no ping
	is.True(!closed(first))
	now.at.Add(int64(maxUnderway + 1))
	late.answered(1) // held up
	is.True(!closed(first))
	is.Equal(pings, []uint64{1, 2})
	third := late.present()
	late.answered(2)
	is.True(closed(first))
	is.True(closed(second))
	is.True(!closed(third))
	is.Equal(pings, []uint64{1, 2, 3})
	late.answered(3)
	is.True(closed(third))
	late.answered(3)
	is.Equal(len(pings), 3)
}

// manualClock is a clock that the test sets.
type manualClock struct{ at atomic.Int64 }

func (c *manualClock) Now() clock.Instant { return clock.Instant(c.at.Load()) }

// A late request whose peer answers no ping must not outlast its link, which a stop awaits.
func TestLateRequestOutlastsItsLink(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	s, _ := startTestServer(t, echo(&runs))
	stream, r := dialRaw(t, s)
	_, err := stream.Write(encoded(t, lateRequest(1, "a")))
	is.NoErr(err)
	ping, _, err := r.next()
	is.NoErr(err)
	is.True(ping.GetPing() != nil)
	is.NoErr(stream.Close())
	idle := make(chan struct{})
	go func() {
		s.requests.Wait()
		close(idle)
	}()
	select {
	case <-idle:
	case <-time.After(lossBound):
		t.Fatal("the request still runs")
	}
	is.Equal(runs.Load(), int64(0))
	is.Equal(s.runningBytes.Load(), int64(0))
}
