package edge

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// acceptRetryDelay is the delay after a failed accept, for example for lack of
// descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// pipelineListener accepts connections and returns their lanes.
type pipelineListener struct {
	net.Listener
	config pipelineConfig
	relief relief

	lastEvicted atomic.Int64 // Unix time in nanoseconds at which a connection was last ended for what its caller did

	mu       sync.Mutex // no lock of a pipeline is taken under it
	changed  *sync.Cond
	open     map[*pipeline]bool
	lanes    []net.Conn // not yet accepted
	stopping bool
	closed   bool
	drained  chan struct{} // closed once the listener stops and no connection is open
}

func newPipelineListener(l net.Listener, config pipelineConfig) *pipelineListener {
	p := &pipelineListener{Listener: l, config: config, open: map[*pipeline]bool{}, drained: make(chan struct{})}
	p.changed = sync.NewCond(&p.mu)
	p.config.relieve = p.relieve
	p.config.evicted = func() { p.lastEvicted.Store(time.Now().UnixNano()) }
	go p.acceptConns()
	return p
}

func (l *pipelineListener) acceptConns() {
	for {
		l.pace()
		conn, err := l.Listener.Accept()
		switch {
		case err == nil && !l.admit():
			l.config.memory.CountRefusedConnection()
			l.config.log.refused(conn.RemoteAddr(), l.config.connections)
			_ = conn.Close()
		case err == nil:
			p := newPipeline(conn, l.config, l.serve, l.remove)
			if !l.add(p) {
				p.close()
				return
			}
			p.start()
		case errors.Is(err, net.ErrClosed):
			return
		default:
			time.Sleep(acceptRetryDelay)
		}
	}
}

func (l *pipelineListener) add(p *pipeline) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping || l.closed {
		return false
	}
	l.open[p] = true
	return true
}

func (l *pipelineListener) remove(p *pipeline) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[p] {
		delete(l.open, p)
		l.checkDrained()
	}
}

// checkDrained is called with the lock held, once for each change of open while the
// listener stops.
func (l *pipelineListener) checkDrained() {
	if l.stopping && len(l.open) == 0 {
		close(l.drained)
	}
}

// pipelines returns the open connections.
func (l *pipelineListener) pipelines() []*pipeline {
	l.mu.Lock()
	defer l.mu.Unlock()
	open := make([]*pipeline, 0, len(l.open))
	for p := range l.open {
		open = append(open, p)
	}
	return open
}

// stop accepts no more connections and ends those that are open: each once all that was
// read from it is answered. What was not read counts as not read for the callers.
func (l *pipelineListener) stop() {
	l.mu.Lock()
	if l.stopping {
		l.mu.Unlock()
		return
	}
	l.stopping = true
	l.checkDrained()
	l.mu.Unlock()
	_ = l.Listener.Close()
	for _, p := range l.pipelines() {
		p.stop()
	}
}

// abort closes the connections that are still open.
func (l *pipelineListener) abort() {
	for _, p := range l.pipelines() {
		p.abort()
	}
}

// serve hands a lane to the server.
func (l *pipelineListener) serve(lane *lane) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lanes = append(l.lanes, lane)
	l.changed.Signal()
}

// Accept returns the next lane. It goes on after stop: a request that was read may need one.
func (l *pipelineListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.lanes) == 0 && !l.closed {
		l.changed.Wait()
	}
	if l.closed {
		return nil, net.ErrClosed
	}
	lane := l.lanes[0]
	l.lanes[0] = nil
	l.lanes = l.lanes[1:]
	return lane, nil
}

// Close accepts no more connections and lanes.
func (l *pipelineListener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.changed.Broadcast()
	l.mu.Unlock()
	if err := l.Listener.Close(); !errors.Is(err, net.ErrClosed) { // else by stop
		return err
	}
	return nil
}
