package edge

import (
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/sesamemoor/sesamemoor/core/callermemory"
)

const (
	// maxPipelined bounds the requests of one connection that are in progress. Further
	// ones are not served until an earlier one is answered.
	maxPipelined = 16
	// maxUnreadBytes bounds the bytes that were read from a connection and not yet given to
	// lanes, and those of a lane that its server has not read yet.
	maxUnreadBytes = 64 << 10
	// maxHeadBytes bounds the head of a request if its server has no bound.
	maxHeadBytes = http.DefaultMaxHeaderBytes
	// readChunkBytes is the size of one read from a connection.
	readChunkBytes = 4 << 10
	// closePollInterval is the interval at which a connection is looked at of which no more
	// is read although bytes wait.
	closePollInterval = 100 * time.Millisecond
	// stopReadTimeout bounds, while the daemon stops, the time for the rest of a head and
	// the time without a byte of a body.
	stopReadTimeout = time.Second
	// lingerTime is the time between the end of an answer and the close of a connection of
	// which not all was read: the close could overtake the answer.
	lingerTime = 500 * time.Millisecond
)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// pipeline is one connection of a caller. net/http reads the next request of a connection
// only after the answer to the one before, and closes a connection without a look at what it
// has read. So a pipeline reads the connection, and splits it into lanes: each lane is a
// net.Conn that carries one request at a time to a server. The requests of several lanes run
// side by side, and their answers are written in the order of the requests.
//
// Invariant: a connection is closed for want of requests only if no byte of an unanswered
// one was read. For that the reader is first made to leave its read, and what it brings is
// served.
type pipeline struct {
	conn   net.Conn
	config pipelineConfig
	serve  func(*lane)     // gives a new lane to the server
	onEnd  func(*pipeline) // called once the connection is closed

	mu      sync.Mutex
	changed *sync.Cond // any of what follows
	lanes   []*lane    // open lanes
	order   []*lane    // lanes with a request, in the order of the requests
	begun   int        // requests given to lanes
	writing bool       // advance writes
	closed  bool
	stopped time.Time // when a stop began; zero before

	framing    *framing
	feeding    *lane  // lane of the request that is being received
	tail       *lane  // lane of the last request: to it belong all bytes that follow
	tailWhole  bool   // its request is complete
	tailNext   bool   // its server went on to a further request, whose end is not known
	tailWaits  bool   // its server waits for bytes
	lastAnswer *lane  // its answer is the last one, and no more is read
	pending    []byte // read, and not yet given to a lane

	halfClosed bool // no more is written

	memory       *callermemory.Connection
	reads        *callermemory.Charge // bytes that were read and not yet taken by servers
	forced       bool                 // closed for what others need
	unread       bool                 // closed since its caller did not read an answer in time
	readsOver    bool                 // they have no room, and no more is read
	readsCharged int64                // bytes of reads
	writeSince   time.Time            // when the write in progress last made progress; zero if there is none

	arrivals   []arrival // of the pending bytes
	readBytes  int64     // read from the connection
	givenBytes int64     // of them, given to lanes
	doneBytes  int64     // of them, of answered requests
	lastRead   time.Time

	readerWakes  *sync.Cond // the reader may have to go on
	inRead       bool
	watching     bool // the reader does not read, and only watches
	interrupted  bool // the read deadline has passed on purpose
	interrupts   int  // callers that want the reader to stay out of its read
	readDeadline time.Time
	readErr      error // why no more is read
	callerLeft   bool
	timeout      endReason // set if a request was not complete in time
}

// pipelineConfig is common to the connections of a listener.
type pipelineConfig struct {
	requests int // of one connection that are in progress
	maxHead  int // bytes of a head that the server accepts
	log      connLog
	memory   *callermemory.Account

	connections int // open ones of the listener; 0 means any number
	stall       time.Duration
	relieve     func(stall time.Duration) bool // closes a connection that holds much and does not read
	evicted     func()                         // called when a connection ends for what its caller did
}

// arrival is the time at which the bytes up to an offset of the connection were read.
type arrival struct {
	end int64
	at  time.Time
}

func newPipeline(conn net.Conn, config pipelineConfig, serve func(*lane), onEnd func(*pipeline)) *pipeline {
	p := &pipeline{conn: conn, config: config, serve: serve, onEnd: onEnd, framing: newFraming(config.maxHead), memory: config.memory.Connection()}
	p.reads = p.memory.NewCharge()
	p.changed, p.readerWakes = sync.NewCond(&p.mu), sync.NewCond(&p.mu)
	return p
}

// start gives the first lane to the server and reads the connection until it ends.
func (p *pipeline) start() {
	p.mu.Lock()
	p.newLane()
	p.mu.Unlock()
	go p.receive()
}

// newLane opens a lane. The caller holds the lock.
func (p *pipeline) newLane() *lane {
	l := &lane{p: p}
	p.lanes = append(p.lanes, l)
	p.serve(l)
	return l
}

// readChunks are the buffers of readers. Callers that come back at once after each close would
// leave many to the collector.
var readChunks = sync.Pool{New: func() any {
	chunk := make([]byte, readChunkBytes)
	return &chunk
}}

// readerStep is what the reader of a connection does next.
type readerStep int

const (
	stepRead  readerStep = iota
	stepWatch            // only look whether the caller closes the connection
	stepEnd
)

func (p *pipeline) receive() {
	chunk := readChunks.Get().(*[]byte)
	defer readChunks.Put(chunk)
	buf := *chunk
	for {
		switch p.nextStep() {
		case stepRead:
			n, err := p.conn.Read(buf)
			p.received(buf[:n], err)
		case stepWatch:
			p.watch()
		case stepEnd:
			return
		}
	}
}

// nextStep waits until the reader may go on.
func (p *pipeline) nextStep() readerStep {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		stopping := !p.stopped.IsZero()
		if stopping && p.drained() {
			p.end(endStop)
		}
		switch {
		case p.closed || p.callerLeft:
			return stepEnd
		case p.interrupts > 0:
			p.readerWakes.Wait()
		case len(p.pending) >= maxUnreadBytes || stopping && len(p.pending) > 0 || p.memory.Full() && p.feeding == nil && len(p.order) > 0:
			p.awaitRoom()
		case p.readsOver:
			p.awaitRoom()
			p.chargeReads()
		case p.lastAnswer != nil || p.tailWhole || p.readErr != nil || stopping && p.feeding == nil:
			p.enterRead(time.Time{})
			p.watching = true
			return stepWatch
		default:
			p.enterRead(p.readLimit())
			p.watching = false
			return stepRead
		}
	}
}

// awaitRoom waits until pending bytes may have been given to lanes, and looks now and then
// whether the caller closes the connection. The caller holds the lock.
func (p *pipeline) awaitRoom() {
	due := false
	timer := time.AfterFunc(closePollInterval, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		due = true
		p.readerWakes.Broadcast()
	})
	p.readerWakes.Wait()
	timer.Stop()
	if due && !p.closed && peerClosed(p.conn) {
		p.endReading(net.ErrClosed)
	}
}

// enterRead records that the reader reads. The caller holds the lock.
func (p *pipeline) enterRead(deadline time.Time) {
	if p.interrupted || !deadline.Equal(p.readDeadline) {
		_ = p.conn.SetReadDeadline(deadline)
	}
	p.inRead, p.interrupted, p.readDeadline = true, false, deadline
}

// readLimit returns the time until which a request that is received must go on while the
// daemon stops, or zero. The caller holds the lock.
func (p *pipeline) readLimit() time.Time {
	if p.stopped.IsZero() || p.feeding == nil || p.framing.part == partRest {
		return time.Time{}
	}
	if p.framing.part != partHead {
		return time.Now().Add(stopReadTimeout)
	}
	from := p.stopped
	if p.feeding.begun.After(from) {
		from = p.feeding.begun
	}
	return from.Add(stopReadTimeout)
}

// received takes the result of a read from the connection.
func (p *pipeline) received(data []byte, err error) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inRead = false
	if len(data) > 0 {
		p.lastRead = now
		p.readBytes += int64(len(data))
		p.arrivals = append(p.arrivals, arrival{p.readBytes, now})
		if len(p.pending) == 0 {
			p.pending = append(p.pending, data[p.split(data, maxUnreadBytes):]...)
		} else {
			p.pending = append(p.pending, data...)
			p.dispatch(maxUnreadBytes)
		}
		if len(p.pending) == 0 {
			p.arrivals = p.arrivals[:0]
		}
	}
	switch {
	case err == nil:
	case !errors.Is(err, os.ErrDeadlineExceeded):
		p.endReading(err)
	case !p.readDeadline.IsZero() && !now.Before(p.readDeadline):
		p.readErr, p.timeout = err, endStop
	}
	p.chargeReads()
	p.changed.Broadcast()
}

// endReading records that the caller has closed the connection, or that it cannot be read.
// The caller holds the lock.
func (p *pipeline) endReading(err error) {
	p.readErr, p.callerLeft = err, true
	for _, l := range p.lanes {
		if l.cancel != nil {
			l.cancel()
		}
	}
	p.changed.Broadcast()
}

// watch waits until the caller closes the connection, or the reader is interrupted. What is
// read counts as taken for its caller, so that it only looks.
func (p *pipeline) watch() {
	closed, waiting := awaitReadable(p.conn)
	p.mu.Lock()
	p.inRead = false
	p.changed.Broadcast()
	interrupted := p.interrupted
	p.mu.Unlock()
	if waiting && !interrupted {
		time.Sleep(closePollInterval)
	}
	if closed || peerClosed(p.conn) {
		p.mu.Lock()
		p.endReading(net.ErrClosed)
		p.mu.Unlock()
	}
}

// awaitReadable waits until a connection can be read, and reports whether its peer has
// closed it or bytes wait.
func awaitReadable(conn net.Conn) (closed, waiting bool) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return false, true
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true, false
	}
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) {
			return false
		}
		closed, waiting = n <= 0, n > 0
		return true
	})
	return closed || err != nil && !errors.Is(err, os.ErrDeadlineExceeded), waiting
}

// interrupt makes the reader leave its read. The caller holds the lock.
func (p *pipeline) interrupt() {
	if p.inRead && !p.interrupted {
		p.interrupted = true
		_ = p.conn.SetReadDeadline(longAgo)
	}
}

// settle waits until the reader is out of its read: all that was read is known then, until
// the lock is given up. The caller holds the lock, which is released meanwhile.
func (p *pipeline) settle() {
	p.interrupts++
	for p.inRead && !p.closed {
		p.interrupt()
		p.changed.Wait()
	}
	p.interrupts--
	p.readerWakes.Broadcast()
}

// dispatch gives pending bytes to lanes, of which each holds little more than limit bytes.
// The caller holds the lock.
func (p *pipeline) dispatch(limit int) {
	if n := p.split(p.pending, limit); n > 0 {
		p.pending = p.pending[:copy(p.pending, p.pending[n:])]
	}
	if len(p.pending) == 0 && cap(p.pending) > readChunkBytes {
		p.pending = nil
	}
	p.readerWakes.Broadcast()
}

// split gives bytes to the lanes of their requests and returns how many it gave. The caller
// holds the lock.
func (p *pipeline) split(data []byte, limit int) int {
	n := 0
	for n < len(data) && !p.closed {
		if p.feeding == nil {
			if p.feeding = p.laneForRequest(); p.feeding == nil {
				break
			}
			p.begin(p.feeding)
		}
		l := p.feeding
		if len(l.unread) > limit || l.state == laneClosed {
			break
		}
		used, whole := p.framing.scan(data[n:])
		l.receive(data[n : n+used])
		n += used
		p.givenBytes += int64(used)
		l.end = p.givenBytes
		if p.framing.last() {
			if p.tail = l; l.state == laneIdle {
				l.state = laneBusy
			}
			p.tailWhole = (whole || p.framing.refused) && !p.tailNext
			l.whole = p.tailWhole
		} else if whole {
			l.whole = true
			p.feeding = nil
		}
	}
	if n > 0 {
		p.changed.Broadcast()
	}
	return n
}

// laneForRequest returns the lane of the next request, or nil if there is none for now. The
// caller holds the lock.
func (p *pipeline) laneForRequest() *lane {
	if len(p.order) > 0 && p.memory.Full() {
		return nil
	}
	if i := slices.IndexFunc(p.lanes, (*lane).idle); i >= 0 {
		return p.lanes[i]
	}
	if n := len(p.order); n >= p.config.requests || n > 0 && p.order[n-1].state >= laneClosing {
		return nil
	}
	return p.newLane()
}

// begin gives a lane the request whose first byte comes next. The caller holds the lock.
func (p *pipeline) begin(l *lane) {
	l.state, l.whole, l.wrote, l.given, l.taken = laneBusy, false, false, 0, 0
	past := 0
	for past < len(p.arrivals)-1 && p.arrivals[past].end <= p.givenBytes {
		past++
	}
	p.arrivals = slices.Delete(p.arrivals, 0, past)
	l.received = p.arrivals[0].at
	l.charge.Release()
	l.charge = p.memory.NewCharge()
	p.begun++
	l.number = p.begun
	if !p.stopped.IsZero() {
		l.begun = time.Now()
	}
	p.order = append(p.order, l)
}

// drained reports whether no byte of an unanswered request was read, provided that the
// reader is not in its read. The caller holds the lock.
func (p *pipeline) drained() bool {
	if p.inRead || len(p.pending) > 0 {
		return false
	}
	return len(p.order) == 0 || len(p.order) == 1 && p.order[0] == p.tail && p.tail.state == laneIdle && p.tailWaits
}

// stop ends the connection once all that was read is answered.
func (p *pipeline) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = time.Now()
	p.interrupt()
	p.readerWakes.Broadcast()
}

// abort closes the connection at once.
func (p *pipeline) abort() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end(endGraceOver)
}

// advance writes the answers whose turn has come. Of several lanes that wait for a request
// then, one remains. The caller holds the lock, which is released during writes.
func (p *pipeline) advance() {
	for len(p.order) > 0 && !p.writing && !p.closed {
		l := p.order[0]
		if len(l.answer) > 0 {
			if !p.writeKept(l) {
				p.end(endWriteError)
			}
			continue
		}
		switch l.state {
		case laneClosed:
			p.endBehind(l)
			return
		case laneClosing:
			p.lastAnswer, p.halfClosed = l, true
			p.interrupt()
			if c, ok := p.conn.(interface{ CloseWrite() error }); ok {
				_ = c.CloseWrite()
			}
			return
		case laneAnswered:
			p.order = slices.Delete(p.order, 0, 1)
			p.doneBytes = l.end
			l.charge.Release()
			if p.lastAnswer == l {
				p.end(endLastAnswer)
				return
			}
			l.state = laneIdle
			if slices.ContainsFunc(p.lanes, func(other *lane) bool { return other != l && other.idle() }) {
				l.state = laneSurplus
			}
			l.restartTimeout()
			p.dispatch(maxUnreadBytes)
			if len(p.order) > 0 {
				_ = p.conn.SetWriteDeadline(p.order[0].writeDeadline)
			}
			p.changed.Broadcast()
		default:
			return
		}
	}
	if !p.stopped.IsZero() && !p.closed {
		if p.drained() {
			p.end(endStop)
		} else if len(p.order) == 0 {
			p.interrupt()
		}
	}
	p.readerWakes.Broadcast()
}

// writeKept writes what a lane has answered before its turn. The caller holds the lock.
func (p *pipeline) writeKept(l *lane) bool {
	answer := l.answer
	l.answer = nil
	p.writing = true
	p.mu.Unlock()
	_ = p.conn.SetWriteDeadline(time.Now().Add(WriteTimeout))
	err := p.write(l, answer)
	p.mu.Lock()
	p.writing = false
	if l.state != laneBusy {
		l.charge.Set(int64(cap(l.answer)))
	}
	_ = p.conn.SetWriteDeadline(l.writeDeadline)
	return err == nil
}

// endBehind ends the connection behind the last answer. The caller holds the lock.
func (p *pipeline) endBehind(l *lane) {
	reason := endLastAnswer
	switch {
	case !l.whole && p.timeout != "":
		reason = p.timeout
	case !l.wrote && p.callerLeft:
		reason = endCallerClosed
	case !l.wrote:
		reason = endNoAnswer
	}
	if l.wrote {
		p.order = slices.Delete(p.order, 0, 1)
		p.doneBytes = l.end
	}
	if c, ok := p.conn.(interface{ CloseWrite() error }); ok && l.wrote && !l.whole && !p.callerLeft && !p.halfClosed {
		_ = c.CloseWrite()
		p.shut(reason)
		time.AfterFunc(lingerTime, p.close)
		return
	}
	p.end(reason)
}

// end closes the connection and all its lanes. The caller holds the lock.
func (p *pipeline) end(reason endReason) {
	if !p.closed {
		p.shut(reason)
		p.close()
	}
}

// shut ends all lanes. The caller holds the lock.
func (p *pipeline) shut(reason endReason) {
	p.closed = true
	p.forced = reason == endMemory || reason == endCrowded
	p.unread = reason == endWriteError
	if (p.forced || p.framing.refused) && p.config.evicted != nil {
		p.config.evicted()
	}
	p.config.log.ended(p.connEnd(reason))
	for _, l := range p.lanes {
		if l.cancel != nil {
			l.cancel()
		}
	}
	p.chargeReads()
	p.interrupt()
	p.changed.Broadcast()
	p.readerWakes.Broadcast()
}

// connEnd describes the end of the connection. The caller holds the lock.
func (p *pipeline) connEnd(reason endReason) connEnd {
	e := connEnd{
		caller: p.conn.RemoteAddr(), reason: reason, stopping: !p.stopped.IsZero(), lastRead: p.lastRead,
		bytes: p.readBytes - p.doneBytes, unanswered: len(p.order),
	}
	for _, l := range p.order {
		e.unwritten += l.given - l.taken
	}
	if len(p.order) > 0 && p.order[0].state != laneIdle {
		e.request, e.answerTaken = p.order[0].number, p.order[0].taken
	}
	return e
}

func (p *pipeline) close() {
	if c, ok := p.conn.(interface{ SetLinger(sec int) error }); ok && (p.forced || p.unread) {
		_ = c.SetLinger(0) // else the kernel keeps what the caller does not read
	}
	_ = p.conn.Close()
	p.reads.Release()
	p.memory.Close(p.forced)
	p.onEnd(p)
}
