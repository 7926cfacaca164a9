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

	"github.com/sesamemoor/sesamemoor/core/callermemory"
	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
	"github.com/sesamemoor/sesamemoor/daemon/pacing"
)

const (
	// maxLinks bounds the links that one session opens in its lifetime.
	maxLinks = 4
	// maxRunning bounds the running frames of one link. A frame is running from its
	// receipt until its answer is written or the link ends.
	maxRunning = 4096
	// maxReplies bounds the refusals and pongs of one link that wait to be written.
	maxReplies = 4096
	// maxRunningBytes bounds the total size of all running frames of this daemon, as does
	// runningShare of the process's memory, if that is limited.
	maxRunningBytes = 128 << 20
	runningShare    = 1.0 / 8
	// lingerTimeout bounds each of the two waits of a stop: for the peers to close
	// their sessions and, after this server has closed the sending halves of the
	// remaining ones, for these to end.
	lingerTimeout = 2 * time.Second
	// lastAnswerTime is the time before the end of a stop at which the requests that are
	// still running are cancelled, so that they are answered before the process ends.
	lastAnswerTime = 100 * time.Millisecond
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 10 * time.Millisecond
)

// server answers frames from other daemons.
type server struct {
	addr         string
	hello        *wire.Hello
	clock        clock.Clock
	config       *view.Freshness // of this daemon
	metrics      *instruments
	handlers     []kernel.FrameHandler
	log          *zap.Logger
	pacer        *pacing.Pacer // of the network link; set before start
	ctx          context.Context
	cancel       context.CancelFunc
	listener     net.Listener
	runningBytes atomic.Int64 // total size of running frames
	runningLimit int64
	memory       *callermemory.Account
	requests     sync.WaitGroup

	mu       sync.Mutex
	stopping bool
	sessions map[*yamux.Session]*sessionConn
	links    map[*serverLink]bool // links whose handshake is done
}

func newServer(set settings.Daemon, clk clock.Clock, config *view.Freshness, m *instruments, group kernel.FrameHandlers, log *zap.Logger) *server {
	ctx, cancel := context.WithCancel(context.Background())
	return &server{
		addr:     set.PeerAddr,
		hello:    &wire.Hello{Slot: set.Slot, DataCentre: set.DataCentre, ProtocolVersion: protocolVersion},
		clock:    clk,
		config:   config,
		metrics:  m,
		handlers: group.Handlers,
		log:      log.Named("peer"),
		ctx:      ctx,
		cancel:   cancel,

		runningLimit: runningLimit(set.Bounds.MemoryMB),
		sessions:     map[*yamux.Session]*sessionConn{},
		links:        map[*serverLink]bool{},
	}
}

// runningLimit returns the bound on running frames of a process with a memory limit in MB; 0
// means no limit.
func runningLimit(memoryMB int64) int64 {
	if memoryMB <= 0 {
		return maxRunningBytes
	}
	return min(maxRunningBytes, int64(runningShare*float64(memoryMB)*(1<<20)))
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
			time.Sleep(acceptRetryDelay)
			continue
		}
		go s.serve(conn)
	}
}

// serve runs the session of an accepted connection until it ends.
func (s *server) serve(conn net.Conn) {
	guarded := newSessionConn(conn)
	mux, err := yamux.Server(guarded, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	defer shutDown(mux, guarded)
	if !s.addSession(mux, guarded) {
		return
	}
	defer s.removeSession(mux)
	from := conn.RemoteAddr().String()
	pacer, wrote, stop := trackBulk(s.pacer, conn)
	defer stop()
	for links := 0; ; links++ {
		stream, err := mux.Accept()
		if err != nil {
			return
		}
		if links == maxLinks {
			s.reportMalformed(from, outcome.New(outcome.Malformed, "session opened more than %d links", maxLinks))
			return
		}
		l := newServerLink(s, stream, from)
		l.bulk.pacer, l.bulk.wrote = pacer, wrote
		go l.run()
	}
}

// addSession registers a session. It returns false while the server stops.
func (s *server) addSession(mux *yamux.Session, conn *sessionConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.sessions[mux] = conn
	return true
}

func (s *server) removeSession(mux *yamux.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, mux)
}

// reportMalformed counts and logs a protocol error that ends a link. Other
// errors are ignored.
func (s *server) reportMalformed(from string, err error) {
	if outcome.KindOf(err) != outcome.Malformed {
		return
	}
	s.metrics.countMalformed()
	s.log.Warn("link closed", zap.Stringer("kind", outcome.Malformed), zap.String("from", from), zap.Error(err))
}

// begin counts a frame as running. It fails with outcome.Draining while this
// daemon is stopping, and with outcome.Overloaded at maxRunningBytes.
func (s *server) begin(frame *wire.Frame, size int) *outcome.Err {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return outcome.New(outcome.Draining, "daemon is stopping")
	}
	if s.runningBytes.Load()+int64(size) > s.runningLimit {
		return outcome.New(outcome.Overloaded, "running frames would exceed %d bytes", s.runningLimit)
	}
	s.runningBytes.Add(int64(size))
	if frame.GetRequest() != nil {
		s.requests.Add(1)
	}
	return nil
}

// finish reverts begin.
func (s *server) finish(frame *wire.Frame, size int) {
	s.runningBytes.Add(-int64(size))
	if frame.GetRequest() != nil {
		s.requests.Done()
	}
}

// handle returns the answer to a frame, or nil if there is none.
func (s *server) handle(ctx context.Context, from string, frame *wire.Frame) *wire.Frame {
	for _, h := range s.handlers {
		if h.Handles(frame) {
			return h.HandleFrame(ctx, from, frame)
		}
	}
	s.log.Warn("no handler for frame", zap.String("from", from))
	return nil
}

// stop refuses new frames, sends leave notices, waits for running requests until
// ctx ends, cancels them shortly before that, waits for the peers to close their sessions, and closes the remaining
// ones. After the end of ctx it may take another two lingerTimeouts.
func (s *server) stop(ctx context.Context) error {
	err := s.listener.Close()
	s.sendLeaveNotice()
	if end, ok := ctx.Deadline(); ok {
		defer time.AfterFunc(time.Until(end)-lastAnswerTime, s.cancel).Stop()
	}
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

// endSessions first closes the sending half of each session, so that a TCP reset
// does not destroy answers in flight. It closes the sessions that are left after
// lingerTimeout.
func (s *server) endSessions() {
	s.mu.Lock()
	remaining := maps.Clone(s.sessions)
	s.mu.Unlock()
	linger := time.After(lingerTimeout)
	for mux, conn := range remaining {
		if tcp, ok := conn.Conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		defer shutDown(mux, conn)
	}
	for mux := range remaining {
		select {
		case <-mux.CloseChan():
		case <-linger:
			return
		}
	}
}
