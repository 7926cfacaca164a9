package peer

import (
	"time"

	"github.com/sesamemoor/sesamemoor/core/wire"
)

// A server that stops says goodbye on each link: a Cancel frame with id 0, which
// no call has. The caller sends nothing more, waits for the answers to its
// requests, and closes the session. What it sent before it read the goodbye is
// answered as draining, so that no request is lost between the two.

func goodbye() *wire.Frame { return &wire.Frame{Body: &wire.Frame_Cancel{Cancel: &wire.Cancel{}}} }

func isGoodbye(f *wire.Frame) bool { return f.GetId() == 0 && f.GetCancel() != nil }

// enterLink counts a link among those that are told when the server stops.
func (s *server) enterLink(l *serverLink) {
	s.mu.Lock()
	s.links[l] = true
	stopping := s.stopping
	s.mu.Unlock()
	if stopping {
		l.sayGoodbye()
	}
}

func (s *server) exitLink(l *serverLink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.links, l)
}

// sayGoodbye refuses frames from now on and tells all callers.
func (s *server) sayGoodbye() {
	s.mu.Lock()
	s.stopping = true
	links := make([]*serverLink, 0, len(s.links))
	for l := range s.links {
		links = append(links, l)
	}
	s.mu.Unlock()
	for _, l := range links {
		l.sayGoodbye()
	}
}

func (l *serverLink) sayGoodbye() { l.send(&wire.Frame{}, goodbye(), nil) }

// awaitPeers waits until all sessions are closed by their callers, for
// lingerTimeout at most.
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
