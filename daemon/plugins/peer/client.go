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
	"github.com/sesamemoor/sesamemoor/core/wire"
)

const (
	// beatInterval is the period in which links with waiting calls are checked.
	beatInterval = 100 * time.Millisecond
	// pingMisses, doubtMisses and silentMisses are numbers of successive checks
	// without a byte from the peer after which it is pinged, the other sessions
	// are pinged, and it is given up. Checks are counted, not time, so that a
	// pause of this process condemns no peer.
	pingMisses   = 1
	doubtMisses  = 3
	silentMisses = 6
	// probeTimeout bounds the ping that tests a session without calls.
	probeTimeout = 2 * time.Second
	// quietLimit is the time without bytes from the peer after which a request
	// that must not run twice is sent only once the peer answered a ping.
	quietLimit = 400 * time.Millisecond
	// confirmTimeout bounds the wait for the answer to a ping.
	confirmTimeout = 300 * time.Millisecond
	// syncInterval is the period in which the peer's clock is read again.
	syncInterval = 10 * time.Second
	// syncTrip is the longest round trip from which the peer's clock is taken.
	syncTrip = 100 * time.Millisecond
)

// errNotSent tells that a link ended before the frame was handed to it.
var errNotSent = outcome.New(outcome.OwnerUnreachable, "link ended before sending")

// clientLink is the calling end of a link.
type clientLink struct {
	*pipe
	clock clock.Clock
	// offset is the peer's clock less this host's, in nanoseconds, never more
	// than the true difference.
	offset    atomic.Int64
	lastHeard atomic.Int64 // instant of the newest frame
	lastUsed  atomic.Int64 // instant of the newest call, pings not counted
	lastSync  clock.Instant
	events    linkEvents

	mu      sync.Mutex
	nextID  uint64
	waiting map[uint64]*call
	leaving bool // the peer takes no more frames

	seen   uint64 // bytes read at the last beat
	misses int
	doubt  atomic.Bool // calls wait, and the peer did not answer a ping
}

// linkEvents are called by a link.
type linkEvents struct {
	crossed func() // before the link ends on an answer to another call
	goodbye func() // when the peer takes no more frames
	drained func() // after a goodbye, when the last call has its answer
	ended   func() // after the link has ended
}

// startClientLink runs the link after its handshake, which read the peer's
// clock.
func startClientLink(p *pipe, r *frameReader, clk clock.Clock, offset int64, events linkEvents) *clientLink {
	l := &clientLink{pipe: p, clock: clk, waiting: map[uint64]*call{}, lastSync: clk.Now(), events: events}
	l.offset.Store(offset)
	l.lastHeard.Store(int64(clk.Now()))
	l.touch()
	go l.writeLoop()
	go func() {
		defer l.events.ended()
		l.readLoop(r)
	}()
	return l
}

func (l *clientLink) touch() { l.lastUsed.Store(int64(l.clock.Now())) }

// call sends a frame and waits for its answer. The error tells whether the
// frame was sent: a kind that did not run if provably not.
func (l *clientLink) call(ctx context.Context, frame *wire.Frame) (*wire.Frame, error) {
	c := newCall(rand.Uint64())
	id, ok := l.register(c)
	if !ok {
		return nil, errNotSent
	}
	defer l.unregister(id)
	frame.Id = id
	frame.Tag = c.tag
	frame.DeadlineUs = l.peerDeadline(ctx)
	data, err := encode(frame)
	if err != nil {
		return nil, err
	}
	select {
	case l.out <- outFrame{data: data, call: c}:
	case <-l.closed:
		return nil, errNotSent
	case <-ctx.Done():
		return nil, endedNotRun(ctx)
	}
	select {
	case answer, ok := <-c.done:
		if !ok {
			return nil, lost(c)
		}
		return answer, nil
	case <-ctx.Done():
		return nil, l.giveUp(ctx, c, id)
	}
}

// peerDeadline returns the deadline of ctx on the peer's clock in microseconds.
func (l *clientLink) peerDeadline(ctx context.Context) int64 {
	at, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	onPeer := l.clock.Now().Add(time.Until(at)).Add(time.Duration(l.offset.Load()))
	return max(1, int64(onPeer)/int64(time.Microsecond))
}

func endedNotRun(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return outcome.New(outcome.CancelledNotRun, "cancelled before sending")
	}
	return outcome.New(outcome.DeadlineNotRun, "not sent in time")
}

func lost(c *call) error {
	if c.withdraw(callBuffered) {
		return errNotSent
	}
	return outcome.New(outcome.ConnectionLost, "link lost before the answer")
}

// giveUp ends a call whose context ended, and tells the peer if it may run it.
func (l *clientLink) giveUp(ctx context.Context, c *call, id uint64) error {
	if c.withdraw(callQueued) {
		return endedNotRun(ctx)
	}
	if data, err := encode(&wire.Frame{Id: id, Body: &wire.Frame_Cancel{Cancel: &wire.Cancel{}}}); err == nil {
		l.offer(outFrame{data: data})
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return outcome.New(outcome.CancelledMaybeRan, "cancelled after sending")
	}
	return outcome.New(outcome.DeadlineMaybeRan, "no answer in time")
}

func (l *clientLink) register(c *call) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaving || !l.alive() {
		return 0, false
	}
	l.nextID++
	l.waiting[l.nextID] = c
	return l.nextID, true
}

func (l *clientLink) unregister(id uint64) {
	l.mu.Lock()
	delete(l.waiting, id)
	drained := l.leaving && len(l.waiting) == 0
	l.mu.Unlock()
	if drained {
		l.events.drained()
	}
}

// leave lets no more calls on the link. Those that wait get their answers.
func (l *clientLink) leave() {
	l.mu.Lock()
	l.leaving = true
	drained := len(l.waiting) == 0
	l.mu.Unlock()
	if drained {
		l.events.drained()
	}
}

func (l *clientLink) waits() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting)
}

func (l *clientLink) readLoop(r *frameReader) {
	defer l.end()
	for {
		frame, _, err := r.next()
		if err != nil {
			return
		}
		l.lastHeard.Store(int64(l.clock.Now()))
		if isGoodbye(frame) {
			l.events.goodbye()
			continue
		}
		if !l.deliver(frame) {
			l.events.crossed()
			return
		}
	}
}

// deliver hands an answer to its call. Answers that nothing waits for are
// dropped. It returns false for the answer to another call.
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

// end closes the link; calls that wait get no answer.
func (l *clientLink) end() {
	l.shut()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, c := range l.waiting {
		delete(l.waiting, id)
		close(c.done)
	}
}

// quiet reports whether nothing came from the peer lately.
func (l *clientLink) quiet() bool {
	return l.clock.Now().Sub(clock.Instant(l.lastHeard.Load())) > quietLimit
}

// confirm pings the peer, reports whether it answered within the timeout, and
// reads its clock.
func (l *clientLink) confirm(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := l.clock.Now()
	answer, err := l.call(ctx, &wire.Frame{Body: &wire.Frame_Ping{Ping: &wire.Ping{}}})
	if err != nil || answer.GetPong() == nil {
		return false
	}
	now := l.clock.Now()
	if now.Sub(sent) <= syncTrip {
		l.offset.Store(clockOffset(answer.GetPong().GetClockUs(), now))
	}
	return true
}

// syncClock reads the peer's clock again on a link that is in use.
func (l *clientLink) syncClock(now clock.Instant) {
	if now.Sub(l.lastSync) < syncInterval || now.Sub(clock.Instant(l.lastUsed.Load())) > syncInterval {
		return
	}
	l.lastSync = now
	go l.confirm(context.Background(), probeTimeout)
}

// clockOffset returns a lower bound of the peer's clock less this host's, in
// nanoseconds, from a reading that arrived at now.
func clockOffset(peerUs int64, now clock.Instant) int64 {
	return peerUs*int64(time.Microsecond) - int64(now)
}

// health is what a check says about a link.
type health uint8

const (
	healthy health = iota
	doubtful
	silent
)

// beat checks a link once. It is called every beatInterval by one goroutine.
func (l *clientLink) beat() health {
	heard := l.heard.Load()
	if l.waits() == 0 || heard != l.seen {
		l.seen = heard
		l.misses = 0
		l.doubt.Store(false)
		return healthy
	}
	l.misses++
	l.doubt.Store(l.misses >= doubtMisses)
	switch {
	case l.misses == pingMisses:
		l.ping()
	case l.misses == doubtMisses:
		return doubtful
	case l.misses >= silentMisses:
		return silent
	}
	return healthy
}

// ping asks the peer for a sign of life.
func (l *clientLink) ping() {
	if data, err := encode(&wire.Frame{Body: &wire.Frame_Ping{Ping: &wire.Ping{}}}); err == nil {
		l.offer(outFrame{data: data})
	}
}
