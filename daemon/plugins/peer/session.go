package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/link"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/pacing"
)

// session is a connection to a peer with its links. The link for control
// messages is opened with the first of them: a daemon sends requests to all
// peers of its region, but control messages to few. So is the link for large requests and
// responses, which only a daemon with a limited network link opens.
type session struct {
	mux       *yamux.Session
	conn      *sessionConn
	hello     *wire.Hello
	peer      string      // address of the peer
	log       *zap.Logger // lines about single calls, and malformed answers
	onDrain   func(*session)
	traffic   *clientLink                // callers' requests
	control   atomic.Pointer[clientLink] // all other frames; nil until the first
	bulk      atomic.Pointer[clientLink] // requests with large bodies or responses; nil until the first
	pacer     *pacing.Pacer              // of the network link; nil if the connection does not use it
	wrote     func()                     // called for each piece of a large frame
	opening   sync.Mutex                 // locked while a link is opened on first use
	probing   atomic.Bool
	lastProbe clock.Instant // only used by network.check
	draining  atomic.Bool   // the peer accepts no more frames
	clock     clock.Clock
	config    *view.Freshness
}

// openSession opens a session with its traffic link on a new connection. It
// closes the connection if it fails.
func openSession(conn net.Conn, hello *wire.Hello, clk clock.Clock, config *view.Freshness, log *zap.Logger, onDrain func(*session)) (*session, error) {
	return openPacedSession(conn, nil, hello, clk, config, log, onDrain)
}

// openPacedSession is openSession with the pacer of the network link.
func openPacedSession(conn net.Conn, pacer *pacing.Pacer, hello *wire.Hello, clk clock.Clock, config *view.Freshness, log *zap.Logger, onDrain func(*session)) (*session, error) {
	guarded := newSessionConn(conn)
	var wrote func()
	pacer, wrote, guarded.onEnd = trackBulk(pacer, conn)
	mux, err := yamux.Client(guarded, yamuxConfig())
	if err != nil {
		_ = guarded.Close()
		return nil, fmt.Errorf("peer: session: %w", err)
	}
	s := &session{
		mux: mux, conn: guarded, hello: hello, clock: clk, config: config, peer: conn.RemoteAddr().String(), log: log, onDrain: onDrain,
		pacer: pacer, wrote: wrote,
	}
	if s.traffic, err = s.openLink(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// openLink opens a stream and starts a link on it.
func (s *session) openLink() (*clientLink, error) {
	stream, err := s.mux.Open()
	if err != nil {
		return nil, fmt.Errorf("peer: stream: %w", err)
	}
	l, err := s.handshake(stream)
	if err != nil {
		_ = stream.Close()
	}
	return l, err
}

// handshake exchanges hellos on a stream and starts its link.
func (s *session) handshake(stream net.Conn) (*clientLink, error) {
	p := newPipe(stream)
	p.bulk.pacer, p.bulk.wrote = s.pacer, s.wrote
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
	return startClientLink(p, r, s.clock, s.config, clockOffset(frame.GetHello().GetClockUs(), now), s.events()), nil
}

func (s *session) events() linkEvents {
	return linkEvents{lost: s.logLost, mismatch: s.logMismatch, leaveNotice: s.drain, drained: s.drained, ended: s.close}
}

// drained closes the session if no request of its draining links waits for an answer.
func (s *session) drained() {
	for _, l := range s.requestLinks() {
		if l.waitingCalls() > 0 {
			return
		}
	}
	s.close()
}

// requestLinks returns the links for requests that are open.
func (s *session) requestLinks() []*clientLink {
	if l := s.bulk.Load(); l != nil {
		return []*clientLink{s.traffic, l}
	}
	return []*clientLink{s.traffic}
}

// logMismatch logs that a link is closed because the tag of an answer is wrong.
func (s *session) logMismatch() {
	s.log.Warn("link closed", zap.Stringer("kind", outcome.Malformed),
		zap.String("peer", s.peer), zap.String("reason", "tag of the answer does not match the call"))
}

// logLost logs that a link ended before the whole answer to a request had come.
func (s *session) logLost(req *wire.Request, part partialFrame, err error) {
	if req == nil || errors.Is(err, errNotSent) {
		return
	}
	s.log.Warn("answer lost with its link",
		zap.String("request_id", req.GetRequestId()),
		zap.Uint32("attempt", req.GetAttempt()),
		zap.Stringer("outcome", outcome.KindOf(err)),
		zap.String("peer", s.peer),
		zap.Int("frame_bytes", part.length),
		zap.Int("frame_received", part.received),
		zap.String("end", s.conn.endReason()))
}

// drain handles the peer's leave notice: no more calls are sent, and the session
// is closed once the last request has its answer. Answers to control messages
// are not awaited.
func (s *session) drain() {
	if s.draining.Swap(true) {
		return
	}
	s.onDrain(s)
	for _, l := range s.requestLinks() {
		l.drain()
	}
}

// usable reports whether calls can be sent.
func (s *session) usable() bool { return !s.draining.Load() && s.alive() }

// checkHello returns an outcome.Malformed unless the frame is a hello of this
// protocol version.
func checkHello(frame *wire.Frame) error {
	hello := frame.GetHello()
	if hello == nil {
		return outcome.New(outcome.Malformed, "first frame of the link is not a hello")
	}
	if v := hello.GetProtocolVersion(); v != protocolVersion {
		return outcome.New(outcome.Malformed, "protocol version is %d, expected %d", v, protocolVersion)
	}
	return nil
}

// link returns the link for a frame. Its only error is errNotSent.
func (s *session) link(frame *wire.Frame) (*clientLink, error) {
	req := frame.GetRequest()
	switch {
	case req == nil:
		return s.controlLink()
	case s.pacer.Limited() && (req.GetBulk() || len(req.GetBody()) >= link.Large):
		return s.openOnce(&s.bulk)
	default:
		return s.traffic, nil
	}
}

// controlLink returns the link for control messages.
func (s *session) controlLink() (*clientLink, error) { return s.openOnce(&s.control) }

// openOnce returns a link that is opened on first use.
func (s *session) openOnce(at *atomic.Pointer[clientLink]) (*clientLink, error) {
	if l := at.Load(); l != nil {
		return l, nil
	}
	s.opening.Lock()
	defer s.opening.Unlock()
	if l := at.Load(); l != nil {
		return l, nil
	}
	l, err := s.openLink()
	if err != nil {
		s.close() // a peer that does not confirm a link does not answer calls either
		return nil, errNotSent
	}
	if at == &s.bulk {
		l.beside = s.traffic
	}
	at.Store(l)
	if at == &s.bulk && s.draining.Load() {
		l.drain()
	}
	return l, nil
}

// links returns the links opened so far. They may have ended since.
func (s *session) links() []*clientLink {
	links := s.requestLinks()
	if l := s.control.Load(); l != nil {
		links = append(links, l)
	}
	return links
}

// close closes the connection, as does the end of any of its links. Each link
// ends once its reader has delivered the answers that arrived before.
func (s *session) close() { shutDown(s.mux, s.conn) }

// alive reports whether the connection and its links are open.
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

// idle reports whether no call was made for idleTimeout and none waits.
func (s *session) idle(now clock.Instant) bool {
	for _, l := range s.links() {
		if now.Sub(clock.Instant(l.lastUsed.Load())) <= idleTimeout || l.waitingCalls() > 0 {
			return false
		}
	}
	return true
}

// check checks the links once and returns the worst result.
func (s *session) check(now clock.Instant) health {
	worst := healthy
	for _, l := range s.links() {
		l.syncClock(now)
		worst = max(worst, l.check())
	}
	return worst
}

// probe pings the peer, so that check detects an unresponsive peer also on a
// session without calls.
func (s *session) probe(now clock.Instant) {
	s.lastProbe = now
	if !s.probing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.probing.Store(false)
		s.traffic.confirm(context.Background(), probeTimeout)
	}()
}
