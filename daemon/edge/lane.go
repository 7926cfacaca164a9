package edge

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"os"
	"slices"
	"time"

	"github.com/sesamemoor/sesamemoor/core/callermemory"
)

// laneState is the state of a lane.
type laneState int

const (
	laneIdle     laneState = iota // waits for a request
	laneBusy                      // has a request without a whole answer
	laneAnswered                  // has the whole answer, and waits until it is written
	laneSurplus                   // another lane is idle, and this one is to end
	laneClosing                   // has the whole answer, the last one of the connection
	laneClosed                    // its server has closed it
)

// lane carries one request at a time and its answer. All fields below p are guarded by
// p.mu, other than the writer.
type lane struct {
	p        *pipeline
	state    laneState
	whole    bool      // the request is complete
	wrote    bool      // a part of the answer is written or kept
	number   int       // of the request on its connection, from 1
	received time.Time // when the first bytes of the request were read
	begun    time.Time // when the lane got them, if the daemon was stopping
	end      int64     // offset of the end of the request, as far as it was received
	unread   []byte    // received and not yet read by the server
	buffer   []byte    // reused for unread
	answer   []byte    // written before it is this lane's turn
	given    int64     // bytes of the answer that the server has written
	taken    int64     // of them, taken by the connection

	writeDeadline time.Time // of the answer
	deadline      time.Time // of reads
	patience      time.Duration
	timer         *time.Timer
	cancel        context.CancelFunc // ends the contexts of the lane's requests

	charge *callermemory.Charge // of the request; nil before the first one
	writer answerWriter         // of the request in progress
}

// idle reports whether the lane waits for a request.
func (l *lane) idle() bool { return l.state == laneIdle }

// receives reports whether bytes may come for the lane.
func (l *lane) receives() bool { return l.state == laneIdle || l == l.p.feeding && !l.whole }

// answered records that the server has given the whole answer to a lane's request and
// waits for the next one.
func (l *lane) answered() {
	p := l.p
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case l.state != laneBusy:
	case l == p.tail:
		l.state = laneIdle
		l.given, l.taken = 0, 0
		l.charge.Release()
		p.tailWhole, p.tailNext = false, true
		p.doneBytes = l.end
		p.interrupt()
	default:
		l.state = laneAnswered
		l.charge.SetRequest(0)
		l.charge.Set(int64(cap(l.answer)))
		p.advance()
	}
}

// receive adds bytes of the lane's request. The caller holds the lock.
func (l *lane) receive(data []byte) {
	if len(l.unread) > 0 {
		l.unread = append(l.unread, data...)
		return
	}
	l.unread = append(l.buffer[:0], data...)
	if cap(l.unread) <= readChunkBytes {
		l.buffer = l.unread
	}
}

// Read returns bytes of the lane's request.
func (l *lane) Read(b []byte) (int, error) {
	p := l.p
	p.mu.Lock()
	defer p.mu.Unlock()
	settled := false // since the deadline
	for len(l.unread) == 0 {
		if l == p.tail {
			// net/http reads a single byte while a request runs, which it may have read ahead.
			p.tailWaits = l.state == laneIdle && len(b) > 1
		}
		switch {
		case p.closed || l.state == laneClosed:
			return 0, net.ErrClosed
		case l.state == laneSurplus:
			l.state = laneClosed
			return 0, io.EOF
		case l.state == laneAnswered: // waits for its turn
		case p.readErr != nil && len(p.pending) == 0 && (p.callerLeft || l.receives()):
			return 0, p.readErr
		case p.lastAnswer != nil && l == p.feeding && !l.whole:
			return 0, io.ErrUnexpectedEOF
		case !l.deadline.IsZero() && !time.Now().Before(l.deadline):
			if l.receives() && !settled {
				p.settle()
				settled = true
				continue
			}
			l.expire()
			return 0, os.ErrDeadlineExceeded
		}
		settled = false
		if l == p.tail && p.tailWaits && !p.stopped.IsZero() {
			p.interrupt()
		}
		p.changed.Wait()
	}
	n := copy(b, l.unread)
	if l.unread = l.unread[n:]; len(l.unread) == 0 {
		l.unread = nil // else an idle connection keeps the rest of a buffer that grew
	}
	if l == p.tail {
		p.tailWaits = false
	}
	if l == p.feeding && len(p.pending) > 0 {
		p.dispatch(maxUnreadBytes)
	}
	if p.readsOver {
		p.readerWakes.Broadcast()
	}
	p.chargeReads()
	return n, nil
}

// expire records that no request, or not all of it, has come in time. The caller holds the
// lock, and the reader is not in its read.
func (l *lane) expire() {
	p := l.p
	switch {
	case l.state == laneIdle && p.drained():
		p.end(endIdle)
	case l.state == laneIdle && l != p.tail:
		l.state = laneClosed
	case l == p.feeding && !l.whole && l != p.tail:
		p.timeout = endIdle
	}
}

// Write writes a part of the answer, or keeps it until the answers before it are written.
func (l *lane) Write(b []byte) (int, error) {
	p := l.p
	p.mu.Lock()
	if p.closed || l.state == laneClosed || l.cutHead() {
		p.mu.Unlock()
		return 0, net.ErrClosed
	}
	l.wrote = true
	l.given += int64(len(b))
	if p.writing || len(p.order) > 0 && p.order[0] != l {
		l.answer = append(l.answer, b...)
		p.mu.Unlock()
		return len(b), nil
	}
	before := l.taken
	p.mu.Unlock() // nobody else writes while it is this lane's turn
	err := p.write(l, b)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.end(endWriteError)
	}
	return int(l.taken - before), err
}

// cutHead reports whether the head of the lane's request did not come in time. net/http
// answers 400 to some of what it has read then, although the request may be proper. The
// caller holds the lock.
func (l *lane) cutHead() bool {
	p := l.p
	return l == p.feeding && p.timeout != "" && p.framing.part == partHead
}

// CloseWrite makes the answer the last one of the connection.
func (l *lane) CloseWrite() error {
	p := l.p
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.state == laneBusy {
		l.state = laneClosing
		if l == p.feeding { // its server reads no more
			p.pending, l.unread, l.buffer = nil, nil, nil
			p.framing.drop()
			p.chargeReads()
		}
		p.advance()
	}
	return nil
}

// Close closes the lane. It closes the connection if the lane's answer is the last one, or
// if no other lane is open.
func (l *lane) Close() error {
	p := l.p
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.timer != nil {
		l.timer.Stop()
	}
	if l.cancel != nil {
		l.cancel()
	}
	l.state = laneClosed
	l.charge.Release()
	p.lanes = slices.DeleteFunc(p.lanes, func(other *lane) bool { return other == l })
	p.advance()
	if len(p.lanes) == 0 {
		if p.callerLeft {
			p.end(endCallerClosed)
		} else {
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
	if l.p.callerLeft || l.p.closed {
		l.cancel()
	}
	return ctx
}

// SetReadDeadline implements net.Conn for the lane alone.
func (l *lane) SetReadDeadline(t time.Time) error {
	p := l.p
	p.mu.Lock()
	defer p.mu.Unlock()
	l.setReadDeadline(t, time.Until(t))
	return nil
}

// setReadDeadline sets a deadline that is patience from now. The caller holds the lock.
func (l *lane) setReadDeadline(t time.Time, patience time.Duration) {
	l.deadline, l.patience = t, patience
	switch {
	case t.IsZero():
		if l.timer != nil {
			l.timer.Stop()
		}
	case patience <= 0:
		l.p.changed.Broadcast()
	case l.timer == nil:
		l.timer = time.AfterFunc(patience, func() {
			l.p.mu.Lock()
			defer l.p.mu.Unlock()
			l.p.changed.Broadcast()
		})
	default:
		l.timer.Reset(patience)
	}
}

// restartTimeout counts the time for the next request from now on. The caller holds the
// lock.
func (l *lane) restartTimeout() {
	if !l.deadline.IsZero() && l.patience > 0 {
		l.setReadDeadline(time.Now().Add(l.patience), l.patience)
	}
}

// SetWriteDeadline implements net.Conn. It is the connection's while it is this lane's turn;
// an answer that is kept until then is written within WriteTimeout.
func (l *lane) SetWriteDeadline(t time.Time) error {
	p := l.p
	p.mu.Lock()
	defer p.mu.Unlock()
	l.writeDeadline = t
	if p.writing || len(p.order) > 0 && p.order[0] != l {
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
	if p.closed {
		return net.ErrClosed
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

// PacedConn is a connection that shares the network link, see pacing.Conn.
type PacedConn interface {
	// Expect states the rank and the size of the response that is written next.
	Expect(rank int64, size int)
	// Waits reports whether a write waits for the link, and until when one has waited last.
	Waits() (now bool, until time.Time)
}

// ExpectAnswer tells the request's connection the rank and the size of the body that is written
// next, if it is its turn and the connection is a PacedConn.
func ExpectAnswer(ctx context.Context, rank int64, size int) {
	l, ok := ctx.Value(laneKey{}).(*lane)
	if !ok {
		return
	}
	p := l.p
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conn.(PacedConn); ok && !p.closed && !p.writing && len(p.order) > 0 && p.order[0] == l {
		c.Expect(rank, size)
	}
}

// EndAfter makes the answer to a request the last one of its connection, of which no more is
// read then. It reports false if bytes of further requests were read: they get answers, and
// this one must not close the connection. The body of the request itself is no longer
// received.
func EndAfter(ctx context.Context) bool {
	l, ok := ctx.Value(laneKey{}).(*lane)
	return !ok || l.endAfter()
}

func (l *lane) endAfter() bool {
	p := l.p
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastAnswer == l || p.closed {
		return true
	}
	if !l.isLast() {
		return false
	}
	p.settle()
	if l == p.feeding {
		p.dispatch(math.MaxInt)
	}
	if !l.isLast() {
		return false
	}
	p.lastAnswer = l
	return true
}

// hasWhole reports whether the lane's request is complete.
func (l *lane) hasWhole() bool {
	l.p.mu.Lock()
	defer l.p.mu.Unlock()
	return l.whole
}

// endsAtStop reports whether the daemon stops and the lane's answer is to be the last one of
// its connection.
func (l *lane) endsAtStop() bool {
	l.p.mu.Lock()
	stops := !l.p.stopped.IsZero() && l.whole
	l.p.mu.Unlock()
	return stops && l.endAfter()
}

// isLast reports whether no byte was read behind the lane's request. The caller holds the
// lock.
func (l *lane) isLast() bool {
	p := l.p
	if len(p.order) == 0 || p.order[len(p.order)-1] != l || p.tail == l && !p.tailWhole {
		return false
	}
	return l == p.feeding || len(p.pending) == 0
}

var _ net.Conn = (*lane)(nil)
