package peer

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

const (
	// maxLinks bounds the links of one session.
	maxLinks = 4
	// maxRunning bounds the frames that one link has running.
	maxRunning = 4096
	// maxRunningBytes bounds the bytes of all frames running at this daemon.
	maxRunningBytes = 128 << 20
	// lingerTimeout bounds the wait for peers to close sessions that ended.
	lingerTimeout = 2 * time.Second
	// acceptPause is the pause after a failed accept.
	acceptPause = 10 * time.Millisecond
)

// server answers frames of other daemons.
type server struct {
	addr     string
	hello    *wire.Hello
	clock    clock.Clock
	metrics  *instruments
	handlers []kernel.FrameHandler
	log      *zap.Logger
	ctx      context.Context
	cancel   context.CancelFunc
	listener net.Listener
	bytes    atomic.Int64 // of frames running
	requests sync.WaitGroup

	mu       sync.Mutex
	stopping bool
	sessions map[*yamux.Session]net.Conn
	links    map[*serverLink]bool // after their hello
}

func newServer(set settings.Daemon, clk clock.Clock, m *instruments, group kernel.FrameHandlers, log *zap.Logger) *server {
	ctx, cancel := context.WithCancel(context.Background())
	return &server{
		addr:     set.PeerAddr,
		hello:    &wire.Hello{Slot: set.Slot, DataCentre: set.DataCentre, ProtocolVersion: protocolVersion},
		clock:    clk,
		metrics:  m,
		handlers: group.Handlers,
		log:      log.Named("peer"),
		ctx:      ctx,
		cancel:   cancel,
		sessions: map[*yamux.Session]net.Conn{},
		links:    map[*serverLink]bool{},
	}
}

func startServer(lc fx.Lifecycle, s *server) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return s.start() },
		OnStop:  s.stop,
	})
}

func (s *server) start() error {
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	s.listener = listener
	go s.accept()
	return nil
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		go s.serve(conn)
	}
}

func (s *server) serve(conn net.Conn) {
	mux, err := yamux.Server(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	defer mux.Close()
	if !s.enter(mux, conn) {
		return
	}
	defer s.exit(mux)
	from := conn.RemoteAddr().String()
	for links := 0; ; links++ {
		stream, err := mux.Accept()
		if err != nil {
			return
		}
		if links == maxLinks {
			s.closed(from, outcome.New(outcome.Malformed, "more than %d links", maxLinks))
			return
		}
		go newServerLink(s, stream, from).run()
	}
}

func (s *server) enter(mux *yamux.Session, conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.sessions[mux] = conn
	return true
}

func (s *server) exit(mux *yamux.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, mux)
}

// closed logs the end of a link that broke the protocol.
func (s *server) closed(from string, err error) {
	if outcome.Of(err) != outcome.Malformed {
		return
	}
	s.metrics.broken()
	s.log.Warn("link closed", zap.Stringer("kind", outcome.Malformed), zap.String("from", from), zap.Error(err))
}

// begin counts a frame as running. It refuses while this daemon is stopping or
// has no room.
func (s *server) begin(frame *wire.Frame, size int) *outcome.Err {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return outcome.New(outcome.Draining, "daemon is stopping")
	}
	if s.bytes.Load()+int64(size) > maxRunningBytes {
		return outcome.New(outcome.Overloaded, "frames of more than %d bytes are running", maxRunningBytes)
	}
	s.bytes.Add(int64(size))
	if frame.GetRequest() != nil {
		s.requests.Add(1)
	}
	return nil
}

func (s *server) finish(frame *wire.Frame, size int) {
	s.bytes.Add(-int64(size))
	if frame.GetRequest() != nil {
		s.requests.Done()
	}
}

// handle returns the answer to a frame, or nil if it needs none.
func (s *server) handle(ctx context.Context, from string, frame *wire.Frame) *wire.Frame {
	for _, h := range s.handlers {
		if h.Handles(frame) {
			return h.HandleFrame(ctx, from, frame)
		}
	}
	s.log.Warn("frame of unknown kind", zap.String("from", from))
	return nil
}

// stop tells all peers that it takes no new frames, lets running requests
// answer until ctx ends, waits for the peers to close their sessions, and closes
// what is left.
func (s *server) stop(ctx context.Context) error {
	err := s.listener.Close()
	s.sayGoodbye()
	idle := make(chan struct{})
	go func() {
		s.requests.Wait()
		close(idle)
	}()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	s.awaitPeers()
	s.cancel()
	s.endSessions()
	return err
}

// endSessions ends the sending half of each session first, so that answers on
// their way are not destroyed by a reset, and closes what is left after
// lingerTimeout.
func (s *server) endSessions() {
	s.mu.Lock()
	ending := maps.Clone(s.sessions)
	s.mu.Unlock()
	linger := time.After(lingerTimeout)
	for mux, conn := range ending {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		defer mux.Close()
	}
	for mux := range ending {
		select {
		case <-mux.CloseChan():
		case <-linger:
			return
		}
	}
}
