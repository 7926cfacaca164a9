package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// session is a connection to a peer with its links. The link for control
// messages is opened by the first one: a daemon sends requests to all peers of
// its region, but control messages to few.
type session struct {
	mux       *yamux.Session
	hello     *wire.Hello
	onCrossed func()
	onLeaving func(*session)
	traffic   *clientLink                // callers' requests
	control   atomic.Pointer[clientLink] // everything else; nil until used
	opening   sync.Mutex                 // held while the control link is opened
	probing   atomic.Bool
	leaving   atomic.Bool // the peer takes no more frames
	clock     clock.Clock
}

// openSession makes the traffic link of a fresh connection. It closes the
// connection when it fails.
func openSession(conn net.Conn, hello *wire.Hello, clk clock.Clock, onCrossed func(), onLeaving func(*session)) (*session, error) {
	mux, err := yamux.Client(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("peer: session: %w", err)
	}
	s := &session{mux: mux, hello: hello, clock: clk, onCrossed: onCrossed, onLeaving: onLeaving}
	if s.traffic, err = s.openLink(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// openLink opens a stream and exchanges hellos on it.
func (s *session) openLink() (*clientLink, error) {
	stream, err := s.mux.Open()
	if err != nil {
		return nil, fmt.Errorf("peer: stream: %w", err)
	}
	l, err := s.greet(stream)
	if err != nil {
		_ = stream.Close()
	}
	return l, err
}

func (s *session) greet(stream net.Conn) (*clientLink, error) {
	p := newPipe(stream)
	data, err := encode(&wire.Frame{Body: &wire.Frame_Hello{Hello: s.hello}})
	if err != nil {
		return nil, err
	}
	defer recycle(data)
	if err := stream.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return nil, fmt.Errorf("peer: stream: %w", err)
	}
	if _, err := stream.Write(*data); err != nil {
		return nil, fmt.Errorf("peer: hello: %w", err)
	}
	r := newFrameReader(p)
	frame, _, err := r.next()
	if err != nil {
		return nil, fmt.Errorf("peer: hello: %w", err)
	}
	now := s.clock.Now()
	if err := checkHello(frame); err != nil {
		return nil, err
	}
	if err := stream.SetDeadline(time.Time{}); err != nil {
		return nil, fmt.Errorf("peer: stream: %w", err)
	}
	return startClientLink(p, r, s.clock, clockOffset(frame.GetHello().GetClockUs(), now), s.events()), nil
}

func (s *session) events() linkEvents {
	return linkEvents{crossed: s.onCrossed, goodbye: s.leave, drained: s.close, ended: s.close}
}

// leave takes in that the peer is stopping: no more calls go out, and the
// session ends once the last request has its answer. Control messages are not
// waited for.
func (s *session) leave() {
	if s.leaving.Swap(true) {
		return
	}
	s.onLeaving(s)
	s.traffic.leave()
}

// usable reports whether calls can go out.
func (s *session) usable() bool { return !s.leaving.Load() && s.alive() }

// checkHello checks the first frame of a link.
func checkHello(frame *wire.Frame) error {
	hello := frame.GetHello()
	if hello == nil {
		return outcome.New(outcome.Malformed, "first frame is not a hello")
	}
	if v := hello.GetProtocolVersion(); v != protocolVersion {
		return outcome.New(outcome.Malformed, "protocol version %d instead of %d", v, protocolVersion)
	}
	return nil
}

// link returns the link on which the frame travels. An error tells that the
// frame was not sent.
func (s *session) link(frame *wire.Frame) (*clientLink, error) {
	if frame.GetRequest() != nil {
		return s.traffic, nil
	}
	return s.controlLink()
}

// controlLink returns the link for control messages, and opens it if need be.
func (s *session) controlLink() (*clientLink, error) {
	if l := s.control.Load(); l != nil {
		return l, nil
	}
	s.opening.Lock()
	defer s.opening.Unlock()
	if l := s.control.Load(); l != nil {
		return l, nil
	}
	l, err := s.openLink()
	if err != nil {
		return nil, errNotSent
	}
	s.control.Store(l)
	return l, nil
}

// links returns the links that are open.
func (s *session) links() []*clientLink {
	if l := s.control.Load(); l != nil {
		return []*clientLink{s.traffic, l}
	}
	return []*clientLink{s.traffic}
}

// close ends the connection; the end of one link does, too. The links end by themselves once their readers
// have delivered the answers that arrived before.
func (s *session) close() { _ = s.mux.Close() }

func (s *session) alive() bool {
	if s.mux.IsClosed() {
		return false
	}
	for _, l := range s.links() {
		if !l.alive() {
			return false
		}
	}
	return true
}

// idle reports whether nothing was called for idleTimeout and nothing waits.
func (s *session) idle(now clock.Instant) bool {
	for _, l := range s.links() {
		if now.Sub(clock.Instant(l.lastUsed.Load())) <= idleTimeout || l.waits() > 0 {
			return false
		}
	}
	return true
}

// beat checks the links once and returns the worst of them.
func (s *session) beat(now clock.Instant) health {
	worst := healthy
	for _, l := range s.links() {
		l.syncClock(now)
		worst = max(worst, l.beat())
	}
	return worst
}

// probe pings the peer, so that beat notices if it is silent.
func (s *session) probe() {
	if !s.probing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.probing.Store(false)
		s.traffic.confirm(context.Background(), probeTimeout)
	}()
}
