package backend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	readHeaderTimeout = 5 * time.Second
	leaveTimeout      = 3 * time.Second // for the daemon to drain a leaving server
)

// connections holds the server's open connections within their limit.
type connections struct {
	opts Options
	mu   sync.Mutex
	open map[net.Conn]struct{}
}

func newConnections(opts Options) *connections {
	return &connections{opts: opts, open: map[net.Conn]struct{}{}}
}

func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// dropAll resets all connections.
func (c *connections) dropAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		if slow, ok := conn.(*slowConn); ok {
			reset(slow.Conn)
			continue
		}
		reset(conn)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// track follows the state of a connection; it is an http.Server's ConnState.
func (c *connections) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.open[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	}
}

// limitListener closes connections beyond the limit.
type limitListener struct {
	net.Listener
	conns *connections
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if limit := l.conns.opts.MaxConns; limit > 0 && l.conns.count() >= limit {
			reset(conn)
			continue
		}
		return &slowConn{Conn: conn, delay: l.conns.opts.ConnectTime}, nil
	}
}

// slowConn delays the first read by the time that a new connection takes.
type slowConn struct {
	net.Conn
	delay time.Duration
	once  sync.Once
}

// Read implements net.Conn.
func (c *slowConn) Read(p []byte) (int, error) {
	c.once.Do(func() { time.Sleep(c.delay) })
	return c.Conn.Read(p)
}

// Serve answers on the listener until it is closed.
func (s *Server) Serve(listener net.Listener) error { return s.httpServer().Serve(s.limited(listener)) }

func (s *Server) httpServer() *http.Server {
	return &http.Server{Handler: s.Handler(), ReadHeaderTimeout: readHeaderTimeout, ConnState: s.conns.track}
}

func (s *Server) limited(l net.Listener) net.Listener {
	return &limitListener{Listener: l, conns: s.conns}
}

// Run serves and announces until ctx ends, then leaves: it announces that it
// stops and goes on until the daemon has drained it or leaveTimeout passed.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	srv := s.httpServer()
	background, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = s.Announce(background) }()
	go s.Sample(background)
	served := make(chan error, 1)
	go func() { served <- srv.Serve(s.limited(listener)) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	s.leave()
	shutdown, cancel := context.WithTimeout(background, leaveTimeout)
	defer cancel()
	return srv.Shutdown(shutdown)
}

func (s *Server) leave() {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	f.Leaving = true
	s.SetFaults(f)
	select {
	case <-s.Drained():
	case <-time.After(leaveTimeout):
	}
}
