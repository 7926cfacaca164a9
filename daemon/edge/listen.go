package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"go.uber.org/fx"
	"go.uber.org/zap"
)

// Listen serves srv at addr during the lifecycle lc. On stop it accepts no further
// connections, answers all requests of which a byte was read and closes each connection
// then, until the deadline of the stop; then it closes all connections. name is the prefix of
// errors and names the listener in log. Handlers must not hijack connections.
func Listen(lc fx.Lifecycle, srv *http.Server, name, addr string, log *zap.Logger) {
	ListenCallers(lc, srv, name, addr, Callers{}, log)
}

// ListenPipelined is Listen for callers that send further requests on a connection before
// the first is answered: they are served side by side, see AwaitTurn.
func ListenPipelined(lc fx.Lifecycle, srv *http.Server, name, addr string, log *zap.Logger) {
	ListenCallers(lc, srv, name, addr, Callers{Pipelined: true}, log)
}

// ListenCallers is Listen within the bounds for callers.
func ListenCallers(lc fx.Lifecycle, srv *http.Server, name, addr string, callers Callers, log *zap.Logger) {
	config := pipelineConfig{
		requests: 1, maxHead: headLimit(srv), log: newConnLog(log, name),
		memory: callers.Memory, connections: callers.Connections, stall: callers.Stall,
	}
	if callers.Pipelined {
		config.requests = maxPipelined
	}
	handleLanes(srv)
	var listener *pipelineListener
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			inner, err := listenCallers(addr, callers.SocketBytes)
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			if callers.Wrap != nil {
				inner = wrappingListener{inner, callers.Wrap}
			}
			listener = newPipelineListener(inner, config)
			go func() { _ = srv.Serve(listener) }() // returns when the listener is closed
			return nil
		},
		OnStop: func(ctx context.Context) error {
			listener.stop()
			select {
			case <-listener.drained:
			case <-ctx.Done():
				listener.abort()
			}
			// It closes connections that it takes for idle, so it runs when none is open.
			err := srv.Shutdown(ctx)
			if errors.Is(err, context.DeadlineExceeded) {
				return srv.Close()
			}
			return err
		},
	})
}

// wrappingListener wraps the connections that it accepts.
type wrappingListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

// Accept implements net.Listener.
func (l wrappingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(conn), nil
}

// headLimit returns the bytes of a head that a server accepts.
func headLimit(srv *http.Server) int {
	const slack = 4 << 10 // that net/http allows beyond its limit
	if srv.MaxHeaderBytes > 0 {
		return srv.MaxHeaderBytes + slack
	}
	return maxHeadBytes + slack
}

// handleLanes makes srv serve the lanes of a pipelineListener.
func handleLanes(srv *http.Server) {
	srv.ConnContext = WithConn
	srv.ConnState = func(conn net.Conn, state http.ConnState) {
		if l, ok := conn.(*lane); ok && state == http.StateIdle {
			l.answered()
		}
	}
	handler := srv.Handler
	if handler == nil {
		handler = http.DefaultServeMux
	}
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l, ok := r.Context().Value(laneKey{}).(*lane)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		l.writer = answerWriter{ResponseWriter: w, lane: l, request: r}
		handler.ServeHTTP(&l.writer, r)
		l.writer.beforeHeader()
		l.writer = answerWriter{} // the connection may be idle for long
	})
}

// answerWriter tells the caller which answer is the last one of its connection while the
// daemon stops, and keeps net/http from closing connections of which more was read.
type answerWriter struct {
	http.ResponseWriter
	lane    *lane
	request *http.Request
	began   bool // the header was written
}

// Unwrap is for http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	if status >= http.StatusOK || status == http.StatusSwitchingProtocols {
		w.beforeHeader()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(b []byte) (int, error) {
	w.beforeHeader()
	return w.ResponseWriter.Write(b)
}

// Flush implements http.Flusher.
func (w *answerWriter) Flush() { _ = w.FlushError() }

// FlushError is for http.ResponseController.
func (w *answerWriter) FlushError() error {
	w.beforeHeader()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

func (w *answerWriter) beforeHeader() {
	if w.began {
		return
	}
	w.began = true
	if w.request.Header["Expect"] != nil && w.lane.hasWhole() {
		// Else net/http closes the connection, under what was read behind the request.
		_, _ = io.Copy(io.Discard, w.request.Body)
	}
	if w.lane.endsAtStop() {
		w.Header().Set("Connection", "close")
	}
}
