package peer

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// session is a connection to a peer with its two links.
type session struct {
	mux     *yamux.Session
	traffic *clientLink // callers' requests
	control *clientLink // everything else
	probing atomic.Bool
	clock   clock.Clock
}

// openSession makes the links of a fresh connection. It closes the connection
// when it fails.
func openSession(conn net.Conn, hello *wire.Hello, clk clock.Clock, onCrossed func()) (*session, error) {
	mux, err := yamux.Client(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("peer: session: %w", err)
	}
	s := &session{mux: mux, clock: clk}
	if s.traffic, err = s.openLink(hello, onCrossed); err == nil {
		s.control, err = s.openLink(hello, onCrossed)
	}
	if err != nil {
		s.close()
		return nil, err
	}
	go s.watch()
	return s, nil
}

// openLink opens a stream and exchanges hellos on it.
func (s *session) openLink(hello *wire.Hello, onCrossed func()) (*clientLink, error) {
	stream, err := s.mux.Open()
	if err != nil {
		return nil, fmt.Errorf("peer: stream: %w", err)
	}
	p := newPipe(stream)
	data, err := encode(&wire.Frame{Body: &wire.Frame_Hello{Hello: hello}})
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
	return startClientLink(p, r, s.clock, clockOffset(frame.GetHello().GetClockUs(), now), onCrossed), nil
}

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

// link returns the link on which the frame travels.
func (s *session) link(frame *wire.Frame) *clientLink {
	if frame.GetRequest() != nil {
		return s.traffic
	}
	return s.control
}

// watch closes the whole session when one part of it ends.
func (s *session) watch() {
	select {
	case <-s.mux.CloseChan():
	case <-s.traffic.closed:
	case <-s.control.closed:
	}
	s.close()
}

// close ends the connection. The links end by themselves once their readers
// have delivered the answers that arrived before.
func (s *session) close() { _ = s.mux.Close() }

func (s *session) alive() bool { return s.traffic.alive() && s.control.alive() }

// idle reports whether nothing was called for idleTimeout and nothing waits.
func (s *session) idle(now clock.Instant) bool {
	used := max(s.traffic.lastUsed.Load(), s.control.lastUsed.Load())
	return now.Sub(clock.Instant(used)) > idleTimeout && s.traffic.waits()+s.control.waits() == 0
}

// beat checks both links once and returns the worse of them.
func (s *session) beat() health {
	s.syncClock()
	return max(s.traffic.beat(), s.control.beat())
}

// probe pings the peer, so that beat notices if it is silent.
func (s *session) probe() {
	if !s.probing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.probing.Store(false)
		s.control.confirm(context.Background(), probeTimeout)
	}()
}

// syncClock reads the peer's clock again on the links that are in use.
func (s *session) syncClock() {
	now := s.clock.Now()
	for _, l := range []*clientLink{s.traffic, s.control} {
		if now.Sub(l.lastSync) < syncInterval || now.Sub(clock.Instant(l.lastUsed.Load())) > syncInterval {
			continue
		}
		l.lastSync = now
		go l.confirm(context.Background(), probeTimeout)
	}
}
