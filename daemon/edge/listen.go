package edge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"

	"go.uber.org/fx"
	"go.uber.org/zap"
)

// Listen serves srv at addr during the lifecycle lc. On stop it accepts no further
// connections, closes those that have not sent a byte yet, and waits for
// requests in progress until the deadline of the stop; then it closes all
// connections. name is the prefix of errors and names the listener in log.
func Listen(lc fx.Lifecycle, srv *http.Server, name, addr string, log *zap.Logger) {
	listen(lc, srv, name, addr, func(l net.Listener) net.Listener { return l })
}

// ListenPipelined is Listen for callers that send further requests on a connection before
// the first is answered: they are served side by side, see AwaitTurn.
func ListenPipelined(lc fx.Lifecycle, srv *http.Server, name, addr string, log *zap.Logger) {
	ends := newConnLog(log, name)
	listen(lc, srv, name, addr, func(l net.Listener) net.Listener { return newPipelineListener(l, ends) })
}

func listen(lc fx.Lifecycle, srv *http.Server, name, addr string, wrap func(net.Listener) net.Listener) {
	unused := &unusedConns{conns: map[net.Conn]bool{}}
	var served net.Listener
	srv.ConnContext = WithConn
	srv.ConnState = func(conn net.Conn, state http.ConnState) {
		if l, ok := conn.(*lane); ok && state == http.StateIdle {
			l.answered()
		}
		unused.track(conn, state)
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			listener, err := net.Listen("tcp", addr)
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			served = wrap(listener)
			go func() { _ = srv.Serve(served) }() // returns when the listener is closed
			return nil
		},
		OnStop: func(ctx context.Context) error {
			if p, ok := served.(*pipelineListener); ok {
				p.stop()
			}
			unused.close()
			err := srv.Shutdown(ctx)
			if errors.Is(err, context.DeadlineExceeded) {
				return srv.Close()
			}
			return err
		},
	})
}

// unusedConns tracks the connections that have not sent a byte yet.
// http.Server.Shutdown waits five seconds for each of them to send a request, and
// a caller whose host is partitioned never does.
type unusedConns struct {
	mu       sync.Mutex
	conns    map[net.Conn]bool
	stopping bool
}

func (u *unusedConns) track(conn net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state != http.StateNew {
		delete(u.conns, conn)
		return
	}
	if l, ok := conn.(*lane); u.stopping && (!ok || !l.fed()) {
		_ = conn.Close()
		return
	}
	u.conns[conn] = true
}

// close closes the unused connections, and makes track close later ones.
func (u *unusedConns) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopping = true
	for conn := range u.conns {
		if l, ok := conn.(*lane); !ok || !l.fed() {
			_ = conn.Close()
		}
	}
}
