package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"

	"go.uber.org/fx"
)

// Listen lets srv serve at addr while the application runs. On stop it takes no
// further connections, closes those on which nothing was asked yet, and waits for
// the requests in progress until the stop's deadline. name is for errors.
func Listen(lc fx.Lifecycle, srv *http.Server, name, addr string) {
	fresh := &freshConns{conns: map[net.Conn]bool{}}
	srv.ConnState = fresh.track
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			listener, err := net.Listen("tcp", addr)
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			go func() { _ = srv.Serve(listener) }() // ends with the listener
			return nil
		},
		OnStop: func(ctx context.Context) error {
			fresh.close()
			err := srv.Shutdown(ctx)
			if errors.Is(err, context.DeadlineExceeded) {
				return srv.Close()
			}
			return err
		},
	})
}

// freshConns are the connections that have not sent a byte yet. http.Server.Shutdown
// waits five seconds for one of them to ask something; a caller whose host is cut
// off never does.
type freshConns struct {
	mu       sync.Mutex
	conns    map[net.Conn]bool
	stopping bool
}

func (f *freshConns) track(conn net.Conn, state http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state != http.StateNew {
		delete(f.conns, conn)
		return
	}
	if f.stopping {
		_ = conn.Close()
		return
	}
	f.conns[conn] = true
}

// close closes the fresh connections, those that come later too.
func (f *freshConns) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopping = true
	for conn := range f.conns {
		_ = conn.Close()
	}
}
