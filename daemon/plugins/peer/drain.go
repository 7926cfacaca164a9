package peer

import (
	"time"

	"github.com/sesamemoor/sesamemoor/core/wire"
)

// A server that stops sends a leave notice on each link: a Cancel frame with
// id 0, which no call has. The calling end sends no more frames, waits for the
// answers to its requests, and closes the session. Requests that arrive after the
// notice was sent are refused as draining, so that the calling end can send them to
// another daemon.

func newLeaveNotice() *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Cancel{Cancel: &wire.Cancel{}}}
}

func isLeaveNotice(f *wire.Frame) bool { return f.GetId() == 0 && f.GetCancel() != nil }

// addLink adds a link to those that get a leave notice when the server stops.
func (s *server) addLink(l *serverLink) {
	s.mu.Lock()
	s.links[l] = true
	stopping := s.stopping
	s.mu.Unlock()
	if stopping {
		l.sendLeaveNotice()
	}
}

func (s *server) removeLink(l *serverLink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.links, l)
}

// sendLeaveNotice refuses new frames from now on and sends a leave notice on each
// link.
func (s *server) sendLeaveNotice() {
	s.mu.Lock()
	s.stopping = true
	links := make([]*serverLink, 0, len(s.links))
	for l := range s.links {
		links = append(links, l)
	}
	s.mu.Unlock()
	for _, l := range links {
		l.sendLeaveNotice()
	}
}

func (l *serverLink) sendLeaveNotice() { l.reply(&wire.Frame{}, newLeaveNotice()) }

// awaitPeers waits until the peers have closed all sessions, for lingerTimeout
// at most.
func (s *server) awaitPeers() {
	linger := time.After(lingerTimeout)
	for {
		s.mu.Lock()
		var open <-chan struct{}
		for mux := range s.sessions {
			if !mux.IsClosed() {
				open = mux.CloseChan()
				break
			}
		}
		s.mu.Unlock()
		if open == nil {
			return
		}
		select {
		case <-open:
		case <-linger:
			return
		}
	}
}
