package edge

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

const (
	// maxPipelined bounds the requests of one connection that are in progress. Further
	// ones are not read until an earlier one is answered.
	maxPipelined = 16
	// maxUnreadBytes bounds the bytes that were read from a connection and not yet split
	// into requests, and those of a lane that its server has not read yet.
	maxUnreadBytes = 64 << 10
	// readChunkBytes is the size of one read from a connection.
	readChunkBytes = 4 << 10
	// maxHeadBytes bounds the head of a request that is examined. The server of the request
	// answers a longer one.
	maxHeadBytes = 1 << 20
)

// pipelineListener accepts connections on which callers may send further requests before
// the first is answered. net/http reads the next request of a connection only after the
// answer to the one before. So each connection is split into lanes: each lane is a
// net.Conn that carries one request at a time, the requests of several lanes run side by
// side, and their answers are written in the order of the requests.
//
// Only requests whose end is known from their head are split. A request with a chunked
// body or an unusual head, and all that follows it, stays on one lane.
type pipelineListener struct {
	net.Listener
	lanes  chan net.Conn
	closed chan struct{}
	once   sync.Once

	mu       sync.Mutex
	open     map[*pipeline]bool
	stopping bool
	log      connLog
}

func newPipelineListener(l net.Listener, log connLog) *pipelineListener {
	p := &pipelineListener{Listener: l, log: log, lanes: make(chan net.Conn), closed: make(chan struct{}), open: map[*pipeline]bool{}}
	go p.acceptConns()
	return p
}

func (l *pipelineListener) acceptConns() {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				_ = l.Close()
				return
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		p := newPipeline(conn, l.serve, l.log)
		if first := p.newLane(); l.add(p) && l.serve(first) {
			go func() {
				defer l.remove(p)
				p.read()
			}()
		} else {
			l.remove(p)
			_ = conn.Close()
		}
	}
}

func (l *pipelineListener) add(p *pipeline) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[p] = true
	return !l.stopping
}

func (l *pipelineListener) remove(p *pipeline) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, p)
}

// stop stops reading requests from the connections: what was not read counts as not read
// for the callers. Requests of which a byte was read are read to their end.
func (l *pipelineListener) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = true
	for p := range l.open {
		p.stop()
	}
}

// acceptRetryDelay is the delay after a failed accept, for example for lack of
// descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// serve hands a lane to the server. It reports false if the listener is closed.
func (l *pipelineListener) serve(lane *lane) bool {
	select {
	case l.lanes <- lane:
		return true
	case <-l.closed:
		return false
	}
}

// Accept returns the next lane.
func (l *pipelineListener) Accept() (net.Conn, error) {
	select {
	case lane := <-l.lanes:
		return lane, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close stops accepting connections. Further requests of open connections that would
// need a new lane wait for one.
func (l *pipelineListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// pipeline is one connection.
type pipeline struct {
	conn  net.Conn
	serve func(*lane) bool
	log   connLog

	mu       sync.Mutex
	reading  bool // a part of a request was read, and the rest was not
	stopping bool
	changed  *sync.Cond
	lanes    []*lane // open lanes
	order    []*lane // lanes with a request, in the order of the requests
	begun    int     // requests given to lanes
	readErr  error   // why no more bytes come for the lanes
	closed   bool

	inbound    *sync.Cond // the fields below change
	chunks     []chunk    // read from the connection and not yet split into requests
	chunkBytes int
	needed     bool  // read waits for a chunk
	received   bool  // no more chunks come
	receiveErr error // why, unless the connection stops
	lastRead   time.Time
	unanswered int64 // bytes read of requests without an answer
}

// chunk is the result of one read from a connection.
type chunk struct {
	data []byte
	at   time.Time
}

func newPipeline(conn net.Conn, serve func(*lane) bool, log connLog) *pipeline {
	p := &pipeline{conn: conn, serve: serve, log: log}
	p.changed, p.inbound = sync.NewCond(&p.mu), sync.NewCond(&p.mu)
	return p
}

// receive reads from the connection ahead of read, so that its end is noticed while lanes
// for further requests or room in a lane are missing.
func (p *pipeline) receive() {
	buf := make([]byte, readChunkBytes)
	for p.mayReceive() {
		n, err := p.conn.Read(buf)
		p.add(chunk{data: bytes.Clone(buf[:n]), at: time.Now()}, err)
	}
	p.awaitClose()
}

// closePollInterval is the interval at which the connections of a stopping daemon are looked
// at.
const closePollInterval = 100 * time.Millisecond

// awaitClose waits until the caller or this daemon closes a connection of which no more is
// read. What is read counts as taken for its caller, so that it only looks.
func (p *pipeline) awaitClose() {
	for !p.ended() {
		if peerClosed(p.conn) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.cancelRequests()
			return
		}
		time.Sleep(closePollInterval)
	}
}

func (p *pipeline) ended() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed || p.receiveErr != nil
}

// mayReceive waits until a chunk may be read. It reports false if no more are. While the
// connection stops, only the rest of a request is read.
func (p *pipeline) mayReceive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for !p.closed && !p.received && (p.chunkBytes >= maxUnreadBytes || p.stopping && !p.needed) {
		p.inbound.Wait()
	}
	if p.stopping && !p.reading {
		p.received = true
	}
	p.inbound.Broadcast()
	return !p.closed && !p.received
}

// add records the result of a read from the connection.
func (p *pipeline) add(c chunk, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(c.data) > 0 {
		p.chunks = append(p.chunks, c)
		p.chunkBytes += len(c.data)
		p.unanswered += int64(len(c.data))
		p.lastRead = c.at
		p.reading = true
	}
	switch {
	case err == nil:
	case p.stopping && errors.Is(err, os.ErrDeadlineExceeded):
		_ = p.conn.SetReadDeadline(time.Time{}) // mayReceive decides whether more is read
	default:
		p.received, p.receiveErr = true, err
		p.cancelRequests()
	}
	p.inbound.Broadcast()
}

// cancelRequests ends the contexts of all requests of the connection, and of those that
// are still to begin. The caller holds the lock.
func (p *pipeline) cancelRequests() {
	for _, l := range p.lanes {
		if l.cancel != nil {
			l.cancel()
		}
	}
}

// next returns the next chunk. It reports false if there is none.
func (p *pipeline) next() (chunk, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.needed = true
	p.inbound.Broadcast()
	for len(p.chunks) == 0 && !p.received && !p.closed {
		p.inbound.Wait()
	}
	p.needed = false
	if len(p.chunks) == 0 || p.closed {
		if p.receiveErr != nil {
			p.endReading(p.receiveErr)
		}
		return chunk{}, false
	}
	c := p.chunks[0]
	p.chunks = p.chunks[1:]
	p.chunkBytes -= len(c.data)
	p.inbound.Broadcast()
	return c, true
}

func (p *pipeline) newLane() *lane {
	l := &lane{p: p}
	p.mu.Lock()
	p.lanes = append(p.lanes, l)
	p.mu.Unlock()
	return l
}

// read splits the connection into requests until it ends.
func (p *pipeline) read() {
	go p.receive()
	var pending []byte // of the chunks, and not yet given to a lane
	var lastRead time.Time
	more := func() bool {
		c, ok := p.next()
		if ok {
			lastRead = c.at
			pending = append(pending, c.data...)
		}
		return ok
	}
	for {
		if len(pending) == 0 {
			p.betweenRequests()
			if !more() {
				return
			}
		}
		l := p.laneForRequest(lastRead)
		if l == nil {
			return
		}
		head, fed := 0, 0
		for {
			head = headBytes(pending)
			if head > 0 || len(pending) > maxHeadBytes {
				break
			}
			if !p.feed(l, pending[fed:]) {
				return
			}
			fed = len(pending)
			if !more() {
				return
			}
		}
		body, known := bodyBytes(pending[:head])
		if !known {
			if !p.feed(l, pending[fed:]) {
				return
			}
			p.feedAll(l)
			return
		}
		end := int64(head) + body
		for end > int64(len(pending)) {
			if !p.feed(l, pending[fed:]) {
				return
			}
			end -= int64(len(pending))
			pending, fed = pending[:0], 0
			if !more() {
				return
			}
		}
		if !p.feed(l, pending[fed:end]) {
			return
		}
		pending = pending[:copy(pending, pending[end:])]
	}
}

// betweenRequests records that all requests of which a part was read are complete.
func (p *pipeline) betweenRequests() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reading = len(p.chunks) > 0
	if p.stopping && !p.reading {
		_ = p.conn.SetReadDeadline(time.Now())
	}
}

// stop ends the reading of the connection, unless a part of a request was read.
func (p *pipeline) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = true
	if !p.reading {
		_ = p.conn.SetReadDeadline(time.Now())
	}
	p.inbound.Broadcast()
}

// feedAll gives all further bytes of the connection to a lane.
func (p *pipeline) feedAll(l *lane) {
	for {
		c, ok := p.next()
		if !ok || !p.feed(l, c.data) {
			return
		}
	}
}

// headBytes returns the length of the head at the start of data, including the empty line
// that ends it, or 0 if that is missing.
func headBytes(data []byte) int {
	for at := 0; ; {
		end := bytes.IndexByte(data[at:], '\n')
		if end < 0 {
			return 0
		}
		line := bytes.TrimSuffix(data[at:at+end], []byte("\r"))
		at += end + 1
		if len(line) == 0 {
			return at
		}
	}
}

// bodyBytes returns the length of the body that follows a head. known is false if it is
// not certain, or if the connection may not be used as usual after the request.
func bodyBytes(head []byte) (length int64, known bool) {
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil || !req.ProtoAtLeast(1, 1) || req.Method == http.MethodConnect || req.Close ||
		req.ContentLength < 0 || len(req.TransferEncoding) > 0 ||
		req.Header.Get("Expect") != "" || req.Header.Get("Upgrade") != "" {
		return 0, false
	}
	return req.ContentLength, true
}

// laneForRequest returns the lane of the next request, which is not answered from then
// on, or nil if the connection has ended. The request's first bytes were read at received.
func (p *pipeline) laneForRequest(received time.Time) *lane {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.closed {
			return nil
		}
		if i := slices.IndexFunc(p.lanes, (*lane).idle); i >= 0 {
			return p.begin(p.lanes[i], received)
		}
		if len(p.order) < maxPipelined && len(p.order) > 0 && !p.order[len(p.order)-1].closing {
			p.mu.Unlock()
			l := p.newLane()
			opened := p.serve(l)
			p.mu.Lock()
			if opened {
				return p.begin(l, received)
			}
			p.remove(l)
		}
		p.changed.Wait()
	}
}

// feed gives bytes to the server of a lane. It reports false if the connection has ended.
func (p *pipeline) feed(l *lane, data []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(l.unread) > maxUnreadBytes && !l.closed && !p.closed {
		p.changed.Wait()
	}
	l.unread = append(l.unread, data...)
	l.requestBytes += int64(len(data))
	p.changed.Broadcast()
	return !p.closed && !l.closed
}

// endReading records that no more bytes come for the lanes. The caller holds the lock.
func (p *pipeline) endReading(err error) {
	p.readErr = err
	p.changed.Broadcast()
}

// advance writes the answers whose turn has come. Of several lanes that wait for a request
// then, one remains. The caller holds the lock.
func (p *pipeline) advance() {
	for len(p.order) > 0 {
		l := p.order[0]
		if len(l.answer) > 0 {
			_ = p.conn.SetWriteDeadline(time.Now().Add(WriteTimeout))
			_, err := p.conn.Write(l.answer)
			l.answer = nil
			if err != nil {
				p.end(endWriteError)
				return
			}
		}
		if l.closed {
			p.unanswered -= l.requestBytes
			p.end(endLastAnswer)
			return
		}
		if l.closing {
			if c, ok := p.conn.(interface{ CloseWrite() error }); ok {
				_ = c.CloseWrite()
			}
			return
		}
		if !l.done {
			return
		}
		p.order = p.order[1:]
		p.unanswered -= l.requestBytes
		l.requestBytes = 0
		l.busy, l.done = false, false
		l.surplus = slices.ContainsFunc(p.lanes, func(other *lane) bool { return other != l && other.idle() })
		p.changed.Broadcast()
	}
}

// begin marks the lane as busy with the next request. The caller holds the lock.
func (p *pipeline) begin(l *lane, received time.Time) *lane {
	l.busy = true
	l.received = received
	p.begun++
	l.number = p.begun
	p.order = append(p.order, l)
	return l
}

// end closes the connection and all its lanes. The caller holds the lock.
func (p *pipeline) end(reason endReason) {
	if p.closed {
		return
	}
	p.closed = true
	p.log.ended(connEnd{reason: reason, stopping: p.stopping, bytes: p.unanswered, unanswered: len(p.order), lastRead: p.lastRead})
	if p.readErr == nil {
		p.readErr = net.ErrClosed
	}
	_ = p.conn.Close()
	p.cancelRequests()
	p.changed.Broadcast()
	p.inbound.Broadcast()
}

// remove forgets a lane. The caller holds the lock.
func (p *pipeline) remove(l *lane) {
	l.closed = true
	p.lanes = slices.DeleteFunc(p.lanes, func(other *lane) bool { return other == l })
}
