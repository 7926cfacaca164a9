package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

const (
	// checkInterval is the period of the health checks of all links.
	checkInterval = 100 * time.Millisecond
	// A miss is a check of a link that has waiting calls but received no byte from
	// the peer since the last check. After pingMisses successive misses the link is
	// pinged, after probeMisses all sessions are probed, and after
	// unresponsiveMisses the session is closed. Checks are counted instead of time,
	// so that a pause of this process does not make its peers look unresponsive.
	pingMisses         = 1
	probeMisses        = 3
	unresponsiveMisses = 6
	// probeTimeout bounds a ping that probes a session or reads the peer's clock.
	probeTimeout = 2 * time.Second
	// staleAfter is the time since the last frame from the peer after which a
	// request that must not run twice is sent only once the peer answered a ping.
	staleAfter = 400 * time.Millisecond
	// confirmTimeout bounds the ping before a request.
	confirmTimeout = 300 * time.Millisecond
	// syncInterval is the interval at which the peer's clock is read on a link in use.
	syncInterval = 10 * time.Second
	// maxSyncRoundTrip is the longest round trip whose clock reading is used.
	maxSyncRoundTrip = 100 * time.Millisecond
)

// errNotSent means that the frame was not sent: its link ended, could not be
// opened, or its peer did not answer a ping.
var errNotSent = outcome.New(outcome.OwnerUnreachable, "link ended before the frame was sent")

// clientLink is the calling end of a link.
type clientLink struct {
	*pipe
	clock  clock.Clock
	config *view.Freshness // of this daemon
	// offset is the peer's clock minus this host's, in nanoseconds, never more
	// than the true difference.
	offset       atomic.Int64
	lastReceived atomic.Int64 // time of the last frame from the peer
	lastUsed     atomic.Int64 // time of the last call other than a ping
	lastSync     clock.Instant
	events       linkEvents

	mu       sync.Mutex
	nextID   uint64
	waiting  map[uint64]*call
	draining bool // the peer accepts no more frames

	// beside is another link of the session, over which the peer is pinged: on a link for large
	// frames a ping waits until one is written, which may take seconds. Nil for other links.
	beside *clientLink

	lastBytesRead  uint64 // at the last check, of beside, too
	misses         int
	pingUnanswered atomic.Bool // calls wait, and probeMisses was reached
}

// linkEvents are the callbacks of a link.
type linkEvents struct {
	lost        func(*wire.Request, partialFrame, error) // when a call ends with the link
	mismatch    func()                                   // before the link ends because the tag of an answer is wrong
	leaveNotice func()                                   // when the peer sent a leave notice
	drained     func()                                   // when the link is draining and no call waits
	ended       func()                                   // after the link has ended
}

// startClientLink starts a link after its handshake. offset is that of the
// peer's clock, see clientLink.
func startClientLink(p *pipe, r *frameReader, clk clock.Clock, config *view.Freshness, offset int64, events linkEvents) *clientLink {
	l := &clientLink{pipe: p, clock: clk, config: config, waiting: map[uint64]*call{}, lastSync: clk.Now(), events: events}
	l.offset.Store(offset)
	l.lastReceived.Store(int64(clk.Now()))
	l.touch()
	go l.writeLoop()
	go func() {
		defer l.events.ended()
		l.readLoop(r)
	}()
	return l
}

func (l *clientLink) touch() { l.lastUsed.Store(int64(l.clock.Now())) }

// call sends a frame and waits for its answer. The kind of the error means "not
// run" only if the frame provably was not sent.
func (l *clientLink) call(ctx context.Context, frame *wire.Frame) (*wire.Frame, error) {
	if ctx.Err() != nil {
		return nil, notRunError(ctx)
	}
	c := newCall(ctx, rand.Uint64())
	id, ok := l.register(c)
	if !ok {
		return nil, errNotSent
	}
	defer l.unregister(id)
	frame.Id = id
	frame.Tag = c.tag
	frame.DeadlineUs = l.peerDeadline(ctx)
	frame.ConfigNext = l.config.Next()
	data, err := encode(frame)
	if err != nil {
		return nil, err
	}
	if l.bulk.takes(frame, data) {
		if !l.postBulk(rankOf(frame.GetRequest()), outFrame{data: data, call: c}) {
			return nil, errNotSent
		}
	} else {
		select {
		case l.out <- outFrame{data: data, call: c}:
		case <-l.closed:
			return nil, errNotSent
		case <-ctx.Done():
			return nil, notRunError(ctx)
		}
	}
	select {
	case answer, ok := <-c.done:
		if !ok {
			err := linkLostError(c)
			l.events.lost(frame.GetRequest(), c.part, err)
			return nil, err
		}
		return answer, nil
	case <-ctx.Done():
		return nil, l.abandon(ctx, c, id)
	}
}

// peerDeadline returns the deadline of ctx on the peer's clock in microseconds,
// or 0 if ctx has none.
func (l *clientLink) peerDeadline(ctx context.Context) int64 {
	at, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	onPeer := l.clock.Now().Add(time.Until(at)).Add(time.Duration(l.offset.Load()))
	return max(1, int64(onPeer)/int64(time.Microsecond))
}

// notRunError returns the error of a request whose context ended before its frame was
// sent, or before the frame was handled.
func notRunError(ctx context.Context) *outcome.Err {
	if errors.Is(ctx.Err(), context.Canceled) {
		return outcome.New(outcome.CancelledNotRun, "cancelled before the request was passed on")
	}
	return outcome.New(outcome.DeadlineNotRun, "deadline passed before the request was passed on")
}

// linkLostError returns the error of a call whose link ended before the answer.
func linkLostError(c *call) error {
	if c.withdraw(callBuffered) {
		return errNotSent
	}
	return outcome.New(outcome.ConnectionLost, "link lost before the answer")
}

// abandon ends a call whose context ended. It sends a cancel frame to the peer
// if the peer may run the call, also while the queue is full: each call sends one at most.
func (l *clientLink) abandon(ctx context.Context, c *call, id uint64) error {
	if c.withdraw(callQueued) {
		return notRunError(ctx)
	}
	if data, err := encode(&wire.Frame{Id: id, Body: &wire.Frame_Cancel{Cancel: &wire.Cancel{}}}); err == nil {
		l.post(outFrame{data: data})
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return outcome.New(outcome.CancelledMaybeRan, "cancelled after the frame was sent")
	}
	return outcome.New(outcome.DeadlineMaybeRan, "deadline passed before the answer")
}

// register assigns an id to a call that waits for an answer. It returns false
// if the link is draining or ended.
func (l *clientLink) register(c *call) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining || !l.alive() {
		return 0, false
	}
	l.nextID++
	l.waiting[l.nextID] = c
	return l.nextID, true
}

func (l *clientLink) unregister(id uint64) {
	l.mu.Lock()
	delete(l.waiting, id)
	drained := l.draining && len(l.waiting) == 0
	l.mu.Unlock()
	if drained {
		l.events.drained()
	}
}

// drain refuses new calls on the link. Waiting calls still get their answers.
func (l *clientLink) drain() {
	l.mu.Lock()
	l.draining = true
	drained := len(l.waiting) == 0
	l.mu.Unlock()
	if drained {
		l.events.drained()
	}
}

// waitingCalls returns the number of calls that wait for an answer.
func (l *clientLink) waitingCalls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting)
}

func (l *clientLink) readLoop(r *frameReader) {
	defer func() { l.end(r.part) }()
	for {
		frame, _, err := r.next()
		if err != nil {
			return
		}
		now := l.clock.Now()
		l.lastReceived.Store(int64(now))
		l.config.ObservePeer(frame.GetConfigNext(), now)
		if isLeaveNotice(frame) {
			l.events.leaveNotice()
			continue
		}
		if frame.GetPing() != nil {
			l.answerPing(frame)
			continue
		}
		if !l.deliver(frame) {
			l.events.mismatch()
			return
		}
	}
}

// answerPing answers a ping of the peer behind all cancel frames posted so far.
func (l *clientLink) answerPing(ping *wire.Frame) {
	pong := &wire.Pong{ClockUs: microseconds(l.clock.Now())}
	if data, err := encode(&wire.Frame{Id: ping.GetId(), Tag: ping.GetTag(), ConfigNext: l.config.Next(), Body: &wire.Frame_Pong{Pong: pong}}); err == nil {
		l.post(outFrame{data: data})
	}
}

// deliver passes an answer to its call. An answer without a waiting call is
// dropped. It returns false if the tag of the answer is not that of the call.
func (l *clientLink) deliver(frame *wire.Frame) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.waiting[frame.GetId()]
	if !ok {
		return true
	}
	if frame.GetTag() != c.tag {
		return false
	}
	delete(l.waiting, frame.GetId())
	c.done <- frame
	return true
}

// end closes the link and fails the waiting calls. part is the frame at which it ended.
func (l *clientLink) end(part partialFrame) {
	l.shut()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, c := range l.waiting {
		if id == part.id {
			c.part = part
		}
		delete(l.waiting, id)
		close(c.done)
	}
}

// pinged returns the link over which the peer is pinged.
func (l *clientLink) pinged() *clientLink {
	if l.beside != nil {
		return l.beside
	}
	return l
}

// stale reports whether the last frame from the peer is older than staleAfter.
func (l *clientLink) stale() bool {
	received := max(l.lastReceived.Load(), l.pinged().lastReceived.Load())
	return l.clock.Now().Sub(clock.Instant(received)) > staleAfter
}

// confirm pings the peer and reports whether it answered within the timeout. It
// updates the clock offset if the round trip took at most maxSyncRoundTrip.
func (l *clientLink) confirm(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := l.clock.Now()
	answer, err := l.call(ctx, &wire.Frame{Body: &wire.Frame_Ping{Ping: &wire.Ping{}}})
	if err != nil || answer.GetPong() == nil {
		return false
	}
	now := l.clock.Now()
	if now.Sub(sent) <= maxSyncRoundTrip {
		l.offset.Store(clockOffset(answer.GetPong().GetClockUs(), now))
	}
	return true
}

// syncClock reads the peer's clock if the last reading is older than
// syncInterval and the link was used within it.
func (l *clientLink) syncClock(now clock.Instant) {
	if now.Sub(l.lastSync) < syncInterval || now.Sub(clock.Instant(l.lastUsed.Load())) > syncInterval {
		return
	}
	l.lastSync = now
	go l.confirm(context.Background(), probeTimeout)
}

// clockOffset returns a lower bound of the peer's clock minus this host's, in
// nanoseconds, from a reading that arrived at now.
func clockOffset(peerUs int64, now clock.Instant) int64 {
	return peerUs*int64(time.Microsecond) - int64(now)
}

// health is the result of a check of a link, in ascending severity.
type health uint8

const (
	healthy      health = iota
	unconfirmed         // the probeMisses-th check in a row without a byte
	unresponsive        // to be closed
)

// check checks the link once. Only one goroutine calls it, every checkInterval:
// lastBytesRead and misses are not locked.
func (l *clientLink) check() health {
	bytesRead := l.bytesRead.Load()
	if l.beside != nil {
		bytesRead += l.beside.bytesRead.Load()
	}
	if l.waitingCalls() == 0 || bytesRead != l.lastBytesRead {
		l.lastBytesRead = bytesRead
		l.misses = 0
		l.pingUnanswered.Store(false)
		return healthy
	}
	l.misses++
	l.pingUnanswered.Store(l.misses >= probeMisses)
	switch {
	case l.misses == pingMisses:
		l.pinged().ping()
	case l.misses == probeMisses:
		return unconfirmed
	case l.misses >= unresponsiveMisses:
		return unresponsive
	}
	return healthy
}

// ping queues a ping whose answer is not awaited; its bytes count in check.
func (l *clientLink) ping() {
	if data, err := encode(&wire.Frame{ConfigNext: l.config.Next(), Body: &wire.Frame_Ping{Ping: &wire.Ping{}}}); err == nil {
		l.offer(outFrame{data: data})
	}
}
