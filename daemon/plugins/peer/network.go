// Package peer carries numbered frames between daemons over yamux sessions:
// one long-lived stream for each peer and direction, with coalesced writes.
package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

func init() {
	kernel.Register(kernel.Plugin{ID: "sesamemoor.peer", Module: module})
}

func module() fx.Option {
	return fx.Options(
		fx.Provide(
			newNetwork,
			func(n *network) kernel.Peers { return n },
			newReleases,
			kernel.AsEffectHandler(func(r *releases) *releases { return r }),
			kernel.AsFrameHandler(func(r *releases) *releases { return r }),
		),
		fx.Invoke(startServer),
	)
}

const (
	dialTimeout = 500 * time.Millisecond
	keepAlive   = 500 * time.Millisecond
	// stallTimeout ends a session that does not answer keep-alives or take
	// bytes.
	stallTimeout = 1 * time.Second
)

func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.KeepAliveInterval = keepAlive
	cfg.ConnectionWriteTimeout = stallTimeout
	cfg.MaxStreamWindowSize = 4 << 20
	cfg.LogOutput = io.Discard
	return cfg
}

// network calls peers over one link to each.
type network struct {
	log    *zap.Logger
	dialer net.Dialer
	mu     sync.Mutex
	dial   map[string]*dialing
}

// dialing is the link to one address, or the attempt to make it.
type dialing struct {
	ready chan struct{}
	link  *link
	err   error
}

// newNetwork dials from the IP number of the daemon's own peer address.
func newNetwork(set settings.Daemon, log *zap.Logger) (*network, error) {
	host, _, err := net.SplitHostPort(set.PeerAddr)
	if err != nil {
		return nil, fmt.Errorf("peer: address: %w", err)
	}
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	return &network{log: log.Named("peer"), dialer: dialer, dial: map[string]*dialing{}}, nil
}

// Call implements kernel.Peers.
func (n *network) Call(ctx context.Context, addr string, frame *wire.Frame) (*wire.Frame, error) {
	l, err := n.link(ctx, addr)
	if err != nil {
		return nil, outcome.New(outcome.OwnerUnreachable, "%s: %v", addr, err)
	}
	return l.call(ctx, frame)
}

func (n *network) link(ctx context.Context, addr string) (*link, error) {
	n.mu.Lock()
	d, ok := n.dial[addr]
	if !ok || d.dead() {
		d = &dialing{ready: make(chan struct{})}
		n.dial[addr] = d
		go n.connect(addr, d)
	}
	n.mu.Unlock()
	select {
	case <-d.ready:
		return d.link, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dead reports whether the attempt failed or its link ended.
func (d *dialing) dead() bool {
	select {
	case <-d.ready:
		return d.err != nil || !d.link.alive()
	default:
		return false
	}
}

func (n *network) connect(addr string, d *dialing) {
	defer close(d.ready)
	conn, err := n.dialer.Dial("tcp", addr)
	if err != nil {
		d.err = err
		return
	}
	session, err := yamux.Client(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		d.err = err
		return
	}
	stream, err := session.Open()
	if err != nil {
		_ = session.Close()
		d.err = err
		return
	}
	d.link = newLink(stream, nil)
	go func() {
		select {
		case <-session.CloseChan():
		case <-d.link.closed:
		}
		d.link.close()
		_ = session.Close()
	}()
}

// server answers frames of other daemons.
type server struct {
	listener net.Listener
	handlers []kernel.FrameHandler
	log      *zap.Logger
	ctx      context.Context
	cancel   context.CancelFunc
	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
}

func startServer(lc fx.Lifecycle, set settings.Daemon, group kernel.FrameHandlers, log *zap.Logger) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &server{
		handlers: group.Handlers, log: log.Named("peer"), ctx: ctx, cancel: cancel,
		sessions: map[*yamux.Session]struct{}{},
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			listener, err := net.Listen("tcp", set.PeerAddr)
			if err != nil {
				return fmt.Errorf("peer: %w", err)
			}
			s.listener = listener
			go s.accept()
			return nil
		},
		OnStop: func(context.Context) error { return s.stop() },
	})
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		go s.serve(conn)
	}
}

func (s *server) serve(conn net.Conn) {
	session, err := yamux.Server(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	s.mu.Lock()
	s.sessions[session] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.sessions, session)
		s.mu.Unlock()
		_ = session.Close()
	}()
	for {
		stream, err := session.Accept()
		if err != nil {
			return
		}
		newLink(stream, func(f *wire.Frame) *wire.Frame { return s.handle(conn.RemoteAddr().String(), f) })
	}
}

func (s *server) handle(from string, frame *wire.Frame) *wire.Frame {
	for _, h := range s.handlers {
		if h.Handles(frame) {
			return h.HandleFrame(s.ctx, from, frame)
		}
	}
	if frame.GetCancel() == nil {
		s.log.Warn("frame of unknown kind", zap.String("from", from))
	}
	return nil
}

func (s *server) stop() error {
	s.cancel()
	err := s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for session := range s.sessions {
		_ = session.Close()
	}
	return err
}

var _ kernel.Peers = (*network)(nil)
