package peer

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// writeQueue is the capacity of the queue of a link's writer, in frames.
	writeQueue = 64
	// writeTimeout bounds one write; it ends a link whose peer reads no bytes.
	writeTimeout = 2 * time.Second
	// coalesceBytes is the size at which a batch of queued frames is written without
	// adding further frames.
	coalesceBytes = 64 << 10
	// writeChunk bounds a single write in bytes, so that the links of a session
	// alternate.
	writeChunk = 32 << 10
)

var (
	errWithdrawn  = errors.New("call withdrawn before its frame was written")
	errPipeClosed = errors.New("link closed")
)

// outFrame is an encoded frame for the writer.
type outFrame struct {
	data *[]byte
	call *call  // nil for frames that expect no answer
	sent func() // if not nil, called once after the frame was written
}

// pipe writes frames to a stream and counts the bytes that it reads.
type pipe struct {
	conn      net.Conn
	out       chan outFrame
	closed    chan struct{}
	once      sync.Once
	bytesRead atomic.Uint64
	wake      chan struct{} // capacity 1; wakes writeLoop for posted frames
	buf       []byte        // batch being written, from the pool
	calls     []*call
	sent      []func()

	mu     sync.Mutex
	posted []outFrame

	bulk bulkQueue // large requests and responses, if the link is limited
}

func newPipe(conn net.Conn) *pipe {
	return &pipe{conn: conn, out: make(chan outFrame, writeQueue), closed: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// Read implements io.Reader.
func (p *pipe) Read(b []byte) (int, error) {
	n, err := p.conn.Read(b)
	p.bytesRead.Add(uint64(n))
	return n, err
}

// shut closes the pipe and its stream. It may be called more than once.
func (p *pipe) shut() {
	p.once.Do(func() {
		close(p.closed)
		_ = p.conn.Close()
	})
}

func (p *pipe) alive() bool {
	select {
	case <-p.closed:
		return false
	default:
		return true
	}
}

// offer queues a frame unless the queue is full, and reports whether it did.
func (p *pipe) offer(f outFrame) bool {
	select {
	case p.out <- f:
		return true
	default:
		return false
	}
}

// post queues a frame without waiting, also if the queue is full. Posted frames are
// written in their order, ahead of those in the queue.
func (p *pipe) post(f outFrame) {
	p.mu.Lock()
	p.posted = append(p.posted, f)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// postedFrames returns the number of posted frames that are not written yet.
func (p *pipe) postedFrames() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.posted)
}

// takePosted returns the posted frames that are not written yet.
func (p *pipe) takePosted() []outFrame {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := p.posted
	p.posted = nil
	return taken
}

// writeLoop writes queued frames until the link ends.
func (p *pipe) writeLoop() {
	defer p.bulk.end()
	defer p.shut()
	for {
		next, granted := p.bulk.await()
		select {
		case <-p.closed:
			return
		case f := <-p.out:
			if err := p.writeBatch(f); err != nil {
				return
			}
		case <-p.wake:
			if err := p.writeBatch(p.takePosted()...); err != nil {
				return
			}
		case piece := <-granted:
			if err := p.writeBulk(next, piece); err != nil {
				return
			}
		}
	}
}

// writeBatch writes the frames together with those queued behind them.
func (p *pipe) writeBatch(frames ...outFrame) error {
	buf := buffers.Get().(*[]byte)
	defer func() {
		*buf, p.buf = p.buf, nil
		recycle(buf)
	}()
	p.buf = (*buf)[:0]
	p.calls = p.calls[:0]
	p.sent = p.sent[:0]
	for _, f := range frames {
		p.add(f)
	}
	for len(p.buf) < coalesceBytes {
		select {
		case f := <-p.out:
			p.add(f)
		default:
			return p.flush()
		}
	}
	return p.flush()
}

// add appends a frame to the batch, unless its call was withdrawn or has ended.
func (p *pipe) add(f outFrame) {
	defer recycle(f.data)
	if f.call != nil {
		if !f.call.buffer() {
			return
		}
		p.calls = append(p.calls, f.call)
	}
	if f.sent != nil {
		p.sent = append(p.sent, f.sent)
	}
	p.buf = append(p.buf, *f.data...)
}

// flush writes the batch. It marks the calls as written before the first byte
// is sent. It fails if one of them was withdrawn meanwhile: its frame is in the
// batch and must not be sent.
func (p *pipe) flush() error {
	for _, c := range p.calls {
		if !c.advance(callWritten) {
			return errWithdrawn
		}
	}
	clear(p.calls)
	p.bulk.pacer.CountSmall(len(p.buf))
	for rest := p.buf; len(rest) > 0; {
		chunk := rest[:min(len(rest), writeChunk)]
		if err := p.write(chunk); err != nil {
			return err
		}
		rest = rest[len(chunk):]
	}
	for _, sent := range p.sent {
		sent()
	}
	return nil
}

// write writes bytes within writeTimeout.
func (p *pipe) write(b []byte) error {
	if err := p.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := p.conn.Write(b)
	return err
}
