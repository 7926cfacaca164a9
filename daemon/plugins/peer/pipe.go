package peer

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// writeQueue is the number of frames that wait for the writer of a link.
	writeQueue = 64
	// writeTimeout ends a link whose peer takes no bytes.
	writeTimeout = 2 * time.Second
	// coalesceBytes is the size up to which queued frames are written at once.
	coalesceBytes = 64 << 10
	// writeChunk is the largest single write in bytes, so that the links of a
	// session take turns.
	writeChunk = 32 << 10
)

var errWithdrawn = errors.New("link ended before writing")

// outFrame is an encoded frame on its way to the writer.
type outFrame struct {
	data *[]byte
	call *call  // nil for frames that expect no answer
	sent func() // if not nil, called once after the frame was written
}

// pipe writes frames to a stream and counts the bytes that it reads.
type pipe struct {
	conn   net.Conn
	out    chan outFrame
	closed chan struct{}
	once   sync.Once
	heard  atomic.Uint64 // bytes read
	buf    []byte        // of the batch being written, from the pool
	calls  []*call
	sent   []func()
}

func newPipe(conn net.Conn) *pipe {
	return &pipe{conn: conn, out: make(chan outFrame, writeQueue), closed: make(chan struct{})}
}

// Read implements io.Reader.
func (p *pipe) Read(b []byte) (int, error) {
	n, err := p.conn.Read(b)
	p.heard.Add(uint64(n))
	return n, err
}

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

// offer queues a frame unless the queue is full.
func (p *pipe) offer(f outFrame) bool {
	select {
	case p.out <- f:
		return true
	default:
		return false
	}
}

// writeLoop writes queued frames until the link ends.
func (p *pipe) writeLoop() {
	defer p.shut()
	for {
		select {
		case <-p.closed:
			return
		case f := <-p.out:
			if err := p.writeBatch(f); err != nil {
				return
			}
		}
	}
}

// writeBatch writes f together with the frames queued behind it.
func (p *pipe) writeBatch(f outFrame) error {
	buf := buffers.Get().(*[]byte)
	defer func() {
		*buf, p.buf = p.buf, nil
		recycle(buf)
	}()
	p.buf = (*buf)[:0]
	p.calls = p.calls[:0]
	p.sent = p.sent[:0]
	for {
		p.add(f)
		if len(p.buf) >= coalesceBytes {
			return p.flush()
		}
		select {
		case f = <-p.out:
		default:
			return p.flush()
		}
	}
}

func (p *pipe) add(f outFrame) {
	defer recycle(f.data)
	if f.call != nil {
		if !f.call.advance(callBuffered) {
			return
		}
		p.calls = append(p.calls, f.call)
	}
	if f.sent != nil {
		p.sent = append(p.sent, f.sent)
	}
	p.buf = append(p.buf, *f.data...)
}

// flush marks the buffered calls as written before their first byte leaves.
func (p *pipe) flush() error {
	for _, c := range p.calls {
		if !c.advance(callWritten) {
			return errWithdrawn
		}
	}
	clear(p.calls)
	for rest := p.buf; len(rest) > 0; {
		chunk := rest[:min(len(rest), writeChunk)]
		if err := p.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := p.conn.Write(chunk); err != nil {
			return err
		}
		rest = rest[len(chunk):]
	}
	for _, sent := range p.sent {
		sent()
	}
	return nil
}
