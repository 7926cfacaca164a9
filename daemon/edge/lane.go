package edge

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"
)

// lane carries one request at a time and its answer. All fields below p are guarded by
// p.mu.
type lane struct {
	p            *pipeline
	unread       []byte // received and not yet read by the server
	answer       []byte // written before it is this lane's turn
	deadline     time.Time
	timer        *time.Timer
	busy         bool // has a request whose answer is not written
	done         bool // the server has given the whole answer
	closing      bool // the answer is the last of the connection
	closed       bool
	received     time.Time          // when the first bytes of the request were read
	requestBytes int64              // read of the request
	number       int                // of the request on its connection, from 1
	surplus      bool               // another lane waits for the next request, and this one ends
	cancel       context.CancelFunc // ends the contexts of the lane's requests
}

// fed reports whether the server of the lane has got bytes of a request.
func (l *lane) fed() bool {
	l.p.mu.Lock()
	defer l.p.mu.Unlock()
	return l.busy
}

// idle reports whether the lane waits for a request.
func (l *lane) idle() bool { return !l.busy && !l.closed && !l.surplus }

// answered records that the server has given the whole answer to a lane's request and
// waits for the next one.
func (l *lane) answered() {
	p := l.p
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.busy {
		l.done = true
		p.advance()
	}
}

// Read returns bytes of the lane's request.
func (l *lane) Read(b []byte) (int, error) {
	p := l.p
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(l.unread) == 0 {
		switch {
		case l.closed:
			return 0, net.ErrClosed
		case l.surplus:
			l.closed = true
			return 0, io.EOF
		case p.readErr != nil:
			return 0, p.readErr
		case !l.deadline.IsZero() && !time.Now().Before(l.deadline):
			return 0, os.ErrDeadlineExceeded
		}
		p.changed.Wait()
	}
	n := copy(b, l.unread)
	l.unread = l.unread[n:]
	if len(l.unread) == 0 {
		l.unread = nil
	}
	p.changed.Broadcast()
	return n, nil
}

// Write writes a part of the answer, or keeps it until the answers before it are written.
func (l *lane) Write(b []byte) (int, error) {
	p := l.p
	p.mu.Lock()
	if p.closed || l.closed {
		p.mu.Unlock()
		return 0, net.ErrClosed
	}
	if len(p.order) > 0 && p.order[0] != l {
		l.answer = append(l.answer, b...)
		p.mu.Unlock()
		return len(b), nil
	}
	p.mu.Unlock() // nobody else writes while it is this lane's turn
	return p.conn.Write(b)
}

// CloseWrite makes the answer the last one of the connection.
func (l *lane) CloseWrite() error {
	p := l.p
	p.mu.Lock()
	defer p.mu.Unlock()
	l.closing = true
	p.advance()
	return nil
}

// Close closes the lane. It closes the connection if the lane's answer is the last one, or
// if no other lane is open.
func (l *lane) Close() error {
	p := l.p
	p.mu.Lock()
	defer p.mu.Unlock()
	l.stopTimer()
	if l.cancel != nil {
		l.cancel()
	}
	p.remove(l)
	if l.busy || len(p.lanes) == 0 {
		p.advance()
	}
	if len(p.lanes) == 0 {
		switch {
		case p.receiveErr != nil:
			p.end(endCallerClosed)
		case p.stopping:
			p.end(endStop)
		default:
			p.end(endIdle)
		}
	}
	p.changed.Broadcast()
	return nil
}

// withCancel returns a context that ends when the caller has closed its connection, however
// many bytes stand before its close.
func (l *lane) withCancel(ctx context.Context) context.Context {
	l.p.mu.Lock()
	defer l.p.mu.Unlock()
	ctx, l.cancel = context.WithCancel(ctx)
	if l.p.receiveErr != nil || l.p.closed {
		l.cancel()
	}
	return ctx
}

func (l *lane) stopTimer() {
	if l.timer != nil {
		l.timer.Stop()
		l.timer = nil
	}
}

// SetReadDeadline implements net.Conn for the lane alone.
func (l *lane) SetReadDeadline(t time.Time) error {
	p := l.p
	p.mu.Lock()
	defer p.mu.Unlock()
	l.stopTimer()
	l.deadline = t
	if !t.IsZero() {
		l.timer = time.AfterFunc(time.Until(t), func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.changed.Broadcast()
		})
	}
	p.changed.Broadcast()
	return nil
}

// SetWriteDeadline implements net.Conn. It is the connection's while it is this lane's turn;
// an answer that is kept until then is written within WriteTimeout.
func (l *lane) SetWriteDeadline(t time.Time) error {
	p := l.p
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.order) > 0 && p.order[0] != l {
		return nil
	}
	return p.conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (l *lane) SetDeadline(t time.Time) error {
	return errors.Join(l.SetReadDeadline(t), l.SetWriteDeadline(t))
}

// LocalAddr implements net.Conn.
func (l *lane) LocalAddr() net.Addr { return l.p.conn.LocalAddr() }

// RemoteAddr implements net.Conn.
func (l *lane) RemoteAddr() net.Addr { return l.p.conn.RemoteAddr() }

// laneKey is the context key of a request's lane.
type laneKey struct{}

// AwaitTurn waits until all earlier requests of the request's connection are answered. A
// request that must not run twice has to wait: if an earlier answer closes the connection,
// its caller takes it for unread and sends it again. It returns the error of ctx if that
// ends first.
func AwaitTurn(ctx context.Context) error {
	l, ok := ctx.Value(laneKey{}).(*lane)
	if !ok {
		return nil
	}
	p := l.p
	stop := context.AfterFunc(ctx, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.changed.Broadcast()
	})
	defer stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.order) > 0 && p.order[0] != l {
		if err := ctx.Err(); err != nil {
			return err
		}
		if p.closed {
			return net.ErrClosed
		}
		p.changed.Wait()
	}
	return nil
}

// ReceivedAt returns the time at which the first bytes of the request were read from its
// connection, or now if that is not known.
func ReceivedAt(ctx context.Context) time.Time {
	l, ok := ctx.Value(laneKey{}).(*lane)
	if !ok {
		return time.Now()
	}
	l.p.mu.Lock()
	defer l.p.mu.Unlock()
	if l.received.IsZero() {
		return time.Now()
	}
	return l.received
}

// Followed reports whether further requests of the same connection stand behind this one.
// An answer that closes the connection would leave them without one.
func Followed(ctx context.Context) bool {
	l, ok := ctx.Value(laneKey{}).(*lane)
	if !ok {
		return false
	}
	l.p.mu.Lock()
	defer l.p.mu.Unlock()
	return l.p.reading || len(l.p.order) > 0 && l.p.order[len(l.p.order)-1] != l
}

var _ net.Conn = (*lane)(nil)
