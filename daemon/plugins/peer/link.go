package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

const (
	// maxFrameBytes bounds one frame.
	maxFrameBytes = 10 << 20
	// writeQueue is the number of frames that wait for the writer of a link.
	writeQueue = 1024
	// writeTimeout ends a link whose peer takes no bytes.
	writeTimeout = 2 * time.Second
	// writeBuffer is the size in bytes up to which frames are coalesced.
	writeBuffer = 64 << 10
)

// outFrame is a frame on its way to the writer.
type outFrame struct {
	frame *wire.Frame
	// withdrawn is checked before writing: a frame whose caller gave up
	// before it was written is never sent.
	call *call
}

// call is a frame that waits for its answer.
type call struct {
	answer chan *wire.Frame // receives one frame, or is closed when the link ends
	mu     sync.Mutex
	state  callState
}

type callState uint8

const (
	callQueued callState = iota
	callWritten
	callWithdrawn
)

// beginWrite marks the call as written. It returns false if it was withdrawn.
func (c *call) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == callWithdrawn {
		return false
	}
	c.state = callWritten
	return true
}

// withdraw marks the call as given up and reports whether it was never written.
func (c *call) withdraw() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == callWritten {
		return false
	}
	c.state = callWithdrawn
	return true
}

// link is one long-lived stream to a peer that carries many numbered frames.
type link struct {
	conn    net.Conn
	out     chan outFrame
	handle  func(*wire.Frame) *wire.Frame // answers incoming frames; may be nil
	closed  chan struct{}
	once    sync.Once
	mu      sync.Mutex
	nextID  uint64
	waiting map[uint64]*call
}

func newLink(conn net.Conn, handle func(*wire.Frame) *wire.Frame) *link {
	l := &link{
		conn:    conn,
		out:     make(chan outFrame, writeQueue),
		handle:  handle,
		closed:  make(chan struct{}),
		waiting: map[uint64]*call{},
	}
	go l.writeLoop()
	go l.readLoop()
	return l
}

// close ends the link; calls that wait get no answer.
func (l *link) close() {
	l.once.Do(func() {
		close(l.closed)
		_ = l.conn.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		for id, c := range l.waiting {
			delete(l.waiting, id)
			close(c.answer)
		}
	})
}

func (l *link) alive() bool {
	select {
	case <-l.closed:
		return false
	default:
		return true
	}
}

// call sends a frame and waits for its answer. The error tells whether the
// frame was sent: OwnerUnreachable if provably not, ConnectionLost otherwise.
func (l *link) call(ctx context.Context, frame *wire.Frame) (*wire.Frame, error) {
	c := &call{answer: make(chan *wire.Frame, 1)}
	id, ok := l.register(c)
	if !ok {
		return nil, outcome.New(outcome.OwnerUnreachable, "link closed")
	}
	defer l.unregister(id)
	frame.Id = id
	select {
	case l.out <- outFrame{frame: frame, call: c}:
	case <-l.closed:
		return nil, outcome.New(outcome.OwnerUnreachable, "link closed before sending")
	case <-ctx.Done():
		return nil, outcome.New(outcome.DeadlineNotRun, "not sent in time")
	}
	select {
	case answer, ok := <-c.answer:
		if !ok {
			return nil, l.lost(c)
		}
		return answer, nil
	case <-ctx.Done():
		return nil, l.gaveUp(c, id)
	}
}

func (l *link) lost(c *call) error {
	if c.withdraw() {
		return outcome.New(outcome.OwnerUnreachable, "link lost before sending")
	}
	return outcome.New(outcome.ConnectionLost, "link lost before the answer")
}

func (l *link) gaveUp(c *call, id uint64) error {
	if c.withdraw() {
		return outcome.New(outcome.DeadlineNotRun, "not sent in time")
	}
	cancel := &wire.Frame{Id: id, Body: &wire.Frame_Cancel{Cancel: &wire.Cancel{}}}
	select {
	case l.out <- outFrame{frame: cancel}:
	default:
	}
	return outcome.New(outcome.DeadlineMaybeRan, "no answer in time")
}

func (l *link) register(c *call) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.alive() {
		return 0, false
	}
	l.nextID++
	l.waiting[l.nextID] = c
	return l.nextID, true
}

func (l *link) unregister(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
}

func (l *link) writeLoop() {
	defer l.close()
	w := bufio.NewWriterSize(l.conn, writeBuffer)
	for {
		select {
		case <-l.closed:
			return
		case f := <-l.out:
			if err := l.writeBatch(w, f); err != nil {
				return
			}
		}
	}
}

// writeBatch writes f and every frame queued behind it, then flushes once.
func (l *link) writeBatch(w *bufio.Writer, f outFrame) error {
	if err := l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	for {
		if f.call == nil || f.call.beginWrite() {
			if err := writeFrame(w, f.frame); err != nil {
				return err
			}
		}
		select {
		case f = <-l.out:
		default:
			return w.Flush()
		}
	}
}

func (l *link) readLoop() {
	defer l.close()
	r := bufio.NewReaderSize(l.conn, writeBuffer)
	for {
		frame, err := readFrame(r)
		if err != nil {
			return
		}
		if l.deliver(frame) {
			continue
		}
		if l.handle == nil {
			return
		}
		go l.answer(frame)
	}
}

// deliver hands an answer to its call. It reports false for a frame that is
// not an answer.
func (l *link) deliver(frame *wire.Frame) bool {
	if l.handle != nil {
		return false
	}
	l.mu.Lock()
	c, ok := l.waiting[frame.GetId()]
	delete(l.waiting, frame.GetId())
	l.mu.Unlock()
	if ok {
		c.answer <- frame
	}
	return true
}

func (l *link) answer(frame *wire.Frame) {
	answer := l.handle(frame)
	if answer == nil {
		return
	}
	answer.Id = frame.GetId()
	select {
	case l.out <- outFrame{frame: answer}:
	case <-l.closed:
	}
}

func writeFrame(w io.Writer, frame *wire.Frame) error {
	data, err := proto.Marshal(frame)
	if err != nil {
		return fmt.Errorf("peer: encode frame: %w", err)
	}
	var size [4]byte
	binary.BigEndian.PutUint32(size[:], uint32(len(data)))
	if _, err := w.Write(size[:]); err != nil {
		return err
	}
	_, err = w.Write(data)
	return err
}

// readFrame reads one frame. It returns an outcome.Malformed error for a frame
// that is too long or not decodable.
func readFrame(r io.Reader) (*wire.Frame, error) {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > maxFrameBytes {
		return nil, outcome.New(outcome.Malformed, "frame of %d bytes exceeds %d", n, maxFrameBytes)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, err
	}
	frame := new(wire.Frame)
	if err := proto.Unmarshal(data, frame); err != nil {
		return nil, outcome.New(outcome.Malformed, "frame: %v", err)
	}
	return frame, nil
}
