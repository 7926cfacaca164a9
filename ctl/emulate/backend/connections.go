package backend

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	readHeaderTimeout = 5 * time.Second
	leaveTimeout      = 3 * time.Second // bounds the drain by the daemon, then the shutdown
)

// connections tracks the server's open connections.
type connections struct {
	opts Options
	// stutter reports whether an answer that was written is to be written again, and when.
	stutter func() (delay time.Duration, ok bool)
	mu      sync.Mutex
	open    map[net.Conn]struct{}
}

func newConnections(opts Options) *connections {
	return &connections{opts: opts, open: map[net.Conn]struct{}{}}
}

func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// resetAll resets all connections.
func (c *connections) resetAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		if sc, ok := conn.(*slowConn); ok {
			resetConn(sc.Conn)
			continue
		}
		resetConn(conn)
	}
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// track records the state of a connection. It is the ConnState callback of an
// http.Server.
func (c *connections) track(conn net.Conn, state http.ConnState) {
	if sc, ok := conn.(*slowConn); ok && state == http.StateIdle {
		if delay, ok := c.stutter(); ok {
			sc.writeAgain(delay)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.open[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	}
}

// limitListener resets connections beyond Options.MaxConns.
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
			resetConn(conn)
			continue
		}
		return &slowConn{Conn: conn, delay: l.conns.opts.ConnectTime}, nil
	}
}

// answerFault is what a server does wrong with an answer.
type answerFault int

const (
	noFault       answerFault = iota
	writtenTwice              // the copy comes before the end of the connection
	cutAndReset               // the connection is reset soon after the last bytes
	cutBeforeCopy             // the whole answer follows
)

const (
	// cutResetDelay is the longest time between the last bytes of an answer and the reset of its
	// connection, copyDelay that between an answer that breaks off and its copy.
	cutResetDelay = 500 * time.Microsecond
	copyDelay     = 5 * time.Millisecond
)

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// maxAnswerBytes bounds the answers that are written again.
const maxAnswerBytes = 64 << 10

// slowConn delays the first read of a connection by Options.ConnectTime. It remembers the answer
// to the newest request.
type slowConn struct {
	net.Conn
	delay time.Duration
	once  sync.Once

	mu     sync.Mutex
	answer []byte
	fault  answerFault // of the answer that is written next
}

// Read implements net.Conn.
func (c *slowConn) Read(p []byte) (int, error) {
	c.once.Do(func() { time.Sleep(c.delay) })
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.answer = nil
		c.mu.Unlock()
	}
	return n, err
}

// Write implements net.Conn.
func (c *slowConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.answer)+len(p) <= maxAnswerBytes {
		c.answer = append(c.answer, p...)
	}
	fault := c.fault
	c.fault = noFault
	switch fault {
	case cutAndReset:
		_, _ = c.Conn.Write(p[:rand.IntN(len(p))])
		time.Sleep(rand.N(cutResetDelay))
		resetConn(c.Conn)
		return 0, net.ErrClosed
	case writtenTwice, cutBeforeCopy:
		first := p
		if fault == cutBeforeCopy {
			head := bytes.Index(p, []byte("\r\n\r\n")) + len("\r\n\r\n")
			first = p[:head+rand.IntN(max(1, len(p)-head))]
		}
		if _, err := c.Conn.Write(first); err != nil {
			return 0, err
		}
		time.Sleep(rand.N(copyDelay))
	}
	return c.Conn.Write(p)
}

// spoilNext gives the answer that is written next a fault.
func (c *slowConn) spoilNext(fault answerFault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = fault
}

// writeAgain writes the answer to the newest request once more after a delay.
func (c *slowConn) writeAgain(delay time.Duration) {
	c.mu.Lock()
	answer := c.answer
	c.mu.Unlock()
	time.AfterFunc(delay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		_, _ = c.Conn.Write(answer)
	})
}

// Serve serves requests until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	return s.httpServer().Serve(s.withConnLimit(listener))
}

func (s *Server) httpServer() *http.Server {
	return &http.Server{
		Handler: s.Handler(), ReadHeaderTimeout: readHeaderTimeout, ConnState: s.conns.track,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
}

func (s *Server) withConnLimit(l net.Listener) net.Listener {
	return &limitListener{Listener: l, conns: s.conns}
}

// Run serves requests and announces the server until ctx ends. It then announces that
// the server leaves, and serves until the daemon has drained it or leaveTimeout has
// passed. The shutdown that follows takes up to another leaveTimeout.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	srv := s.httpServer()
	background, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = s.Announce(background) }()
	go s.SampleLoad(background)
	serveErr := make(chan error, 1)
	go func() { serveErr <- srv.Serve(s.withConnLimit(listener)) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	s.announceLeave()
	shutdownCtx, cancel := context.WithTimeout(background, leaveTimeout)
	defer cancel()
	return srv.Shutdown(shutdownCtx)
}

// announceLeave announces that the server leaves and waits until the daemon has
// drained it or leaveTimeout has passed.
func (s *Server) announceLeave() {
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
