package backend

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/hold"
	"github.com/sesamemoor/sesamemoor/core/protocol"
)

// supervisor keeps the listening socket of a backend server while its process restarts, as
// with socket activation: connections wait for the next boot.
type supervisor struct {
	net.Listener
	mu      sync.Mutex
	conns   []net.Conn
	boots   chan net.Conn // connections for the present boot
	crashed atomic.Bool   // connections wait
	waiting []net.Conn
}

func supervise(t *testing.T) *supervisor {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &supervisor{Listener: l, boots: make(chan net.Conn, 100)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				close(s.boots)
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			if s.crashed.Load() {
				s.waiting = append(s.waiting, c)
			} else {
				s.boots <- c
			}
			s.mu.Unlock()
		}
	}()
	return s
}

// listenFor makes a server use the supervisor's socket.
func (s *supervisor) listenFor(srv *httptest.Server) {
	_ = srv.Listener.Close()
	srv.Listener = s
}

// Accept implements net.Listener.
func (s *supervisor) Accept() (net.Conn, error) {
	c, ok := <-s.boots
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

// crash resets all connections. Later ones wait for restart.
func (s *supervisor) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashed.Store(true)
	for _, c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	s.conns = nil
}

func (s *supervisor) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashed.Store(false)
	for _, c := range s.waiting {
		s.boots <- c
	}
}

// A server that was back behind the same listening socket was granted the keys of the boot
// that had crashed, under its generations, until it announced itself.
func TestNextBootGetsTheGrantsOfTheOneBefore(t *testing.T) {
	is := is.New(t)
	s := supervise(t)
	var second atomic.Bool
	var grants atomic.Int64 // to the second boot
	e, f := startWith(t, func(srv *httptest.Server) {
		s.listenFor(srv)
		next := srv.Config.Handler
		srv.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if second.Load() && strings.HasPrefix(r.URL.Path, "/grant/") {
				grants.Add(1)
			}
			next.ServeHTTP(w, r)
		})
	})
	time.Sleep(2 * continuityTime) // all connections are older than that
	s.crash()
	time.Sleep(50 * time.Millisecond)
	second.Store(true)
	s.restart()
	time.Sleep(time.Second) // grants are renewed meanwhile
	is.Equal(grants.Load(), int64(0))
	is.True(announce(e, protocol.Announcement{ID: "i-2", Service: "front", Addr: f.addr, Slots: 4, Sequence: 1, BootTime: 2}))
	is.Equal(e.server.id, "i-2")
}

// A grant that was prepared for a boot, and whose connection was opened after the next one had
// announced itself, reached that one.
func TestGrantForABootReachesTheNextOne(t *testing.T) {
	is := is.New(t)
	var grants atomic.Int64
	e, f := startWith(t, func(srv *httptest.Server) {
		next := srv.Config.Handler
		srv.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/grant/999/") {
				grants.Add(1)
			}
			next.ServeHTTP(w, r)
		})
	})
	send := func(s *server) error {
		keys := protocol.KeyRange{First: 999, Last: 999, Token: 1}
		return e.client.sendGrant(t.Context(), s, keys, hold.Grant{Hold: time.Second}, clock.Boot{}.Now().Add(time.Second))
	}
	first := e.server
	is.NoErr(send(first))
	is.True(announce(e, protocol.Announcement{ID: "i-2", Service: "front", Addr: f.addr, Slots: 4, Sequence: 1, BootTime: 2}))
	is.True(errors.Is(send(first), errUnsent))
	is.Equal(grants.Load(), int64(1))
	is.NoErr(send(e.server))
	is.Equal(grants.Load(), int64(2))
}

// A server that only resets some connections stays granted.
func TestResetConnectionsEndGrants(t *testing.T) {
	is := is.New(t)
	s := supervise(t)
	e, f := startWith(t, s.listenFor)
	time.Sleep(2 * continuityTime)
	s.mu.Lock()
	for _, c := range s.conns[:1] {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	s.mu.Unlock()
	sequence := uint64(1)
	for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if sequence++; sequence%8 == 0 {
			is.True(announce(e, protocol.Announcement{ID: "i-1", Service: "front", Addr: f.addr, Slots: 4, Sequence: sequence, BootTime: 1}))
		}
		f.mu.Lock()
		for key, end := range f.holdEnds {
			if time.Now().After(end) {
				f.mu.Unlock() // the server's Close waits for handlers that need it
				t.Fatalf("keys from %d are not held any more", key)
			}
		}
		f.mu.Unlock()
	}
}

// A server that closes idle connections quickly needs new ones for each renewal of its grants.
func TestIdleTimeoutEndsGrants(t *testing.T) {
	_, f := startWith(t, func(srv *httptest.Server) { srv.Config.IdleTimeout = 20 * time.Millisecond })
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) { // without an announcement
		f.mu.Lock()
		for key, end := range f.holdEnds {
			if time.Now().After(end) {
				f.mu.Unlock() // the server's Close waits for handlers that need it
				t.Fatalf("keys from %d are not held any more", key)
			}
		}
		f.mu.Unlock()
	}
}

// continuityTime is the age from which on a connection certainly leads to the process that
// answered on another one.
const continuityTime = 100 * time.Millisecond
