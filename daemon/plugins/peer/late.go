package peer

import (
	"context"
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// Frames of a link are read in order. When a link or this process was held up, a request
// is read together with the cancel frame behind it. So a late request begins only once the
// peer has answered a ping that was sent after the request was read: all cancel frames
// that the peer had sent by then have been read. Requests in time are not delayed.

// maxUnderway is the time since its sending after which a request is late, and the longest
// round trip of a ping whose answer tells the present. It is half of the time within which
// a request of a caller that has left must be stopped.
const maxUnderway = 250 * time.Millisecond

// lateRequests lets the late requests of a link wait for the answer to a ping. One ping is
// under way at a time; the requests that come meanwhile share the next one.
type lateRequests struct {
	clock clock.Clock
	ping  func(tag uint64)

	mu       sync.Mutex
	tag      uint64          // of the last ping
	pingedAt clock.Instant   // 0 if its answer is not awaited
	pinged   []chan struct{} // closed when it is answered
	next     chan struct{}   // closed when the next ping is answered; nil if none is needed
}

// present returns a channel that is closed once the link is read up to the present.
func (l *lateRequests) present() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.next == nil {
		l.next = make(chan struct{})
	}
	present := l.next
	if l.pingedAt == 0 {
		l.sendPing()
	}
	return present
}

// sendPing sends a ping for the requests that wait for one. The caller holds the lock.
func (l *lateRequests) sendPing() {
	if l.next != nil {
		l.pinged = append(l.pinged, l.next)
		l.next = nil
	}
	l.tag++
	l.pingedAt = l.clock.Now()
	l.ping(l.tag)
}

// answered handles the answer to a ping. After a long round trip the requests wait for
// another one, since the link was held up again.
func (l *lateRequests) answered(tag uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pingedAt == 0 || tag != l.tag {
		return
	}
	if l.clock.Now().Sub(l.pingedAt) <= maxUnderway {
		for _, present := range l.pinged {
			close(present)
		}
		l.pinged = nil
	}
	l.pingedAt = 0
	if len(l.pinged) > 0 || l.next != nil {
		l.sendPing()
	}
}

// isLate reports whether a request has been under way for more than maxUnderway. Its
// deadline does not move on the way, while its timeout is as long as it was when it was
// sent.
func (l *serverLink) isLate(frame *wire.Frame) bool {
	req := frame.GetRequest()
	if req == nil || frame.GetDeadlineUs() <= 0 {
		return false
	}
	left := time.Duration(frame.GetDeadlineUs()-l.clockUs()) * time.Microsecond
	return time.Duration(req.GetTimeoutMs())*time.Millisecond-left > maxUnderway
}

// awaitPresent waits, for a late request, until the link is read up to the present or ctx
// ends.
func (l *serverLink) awaitPresent(ctx context.Context, frame *wire.Frame) {
	if !l.isLate(frame) {
		return
	}
	select {
	case <-l.late.present():
	case <-ctx.Done():
	}
}

// pingPeer sends a ping ahead of the queued answers.
func (l *serverLink) pingPeer(tag uint64) {
	if data, err := encode(&wire.Frame{Tag: tag, ConfigNext: l.srv.config.Next(), Body: &wire.Frame_Ping{Ping: &wire.Ping{}}}); err == nil {
		l.post(outFrame{data: data})
	}
}
