package routing

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// maxNotices bounds the number of servers with a notice; a full table is cleared.
const maxNotices = 4096

// Notices holds what backend servers said of themselves in responses that this daemon
// passed on. It sends them along with later requests, so that a daemon that has
// restarted beside such a server knows them. It is safe for concurrent use.
type Notices struct {
	mu       sync.Mutex
	byServer map[string]notice // by name of the server in the view
}

type notice struct {
	notice *wire.ServerNotice
	at     clock.Instant // when it arrived
}

// NewNotices returns an empty table.
func NewNotices() *Notices { return &Notices{byServer: map[string]notice{}} }

// Of returns the notice of a server, for a request that is sent now, or nil.
func (n *Notices) Of(now clock.Instant, server string) *wire.ServerNotice {
	n.mu.Lock()
	defer n.mu.Unlock()
	known, ok := n.byServer[server]
	if !ok {
		return nil
	}
	out := proto.CloneOf(known.notice)
	if out.GetLeaving() {
		out.LeavingMs += uint32(now.Sub(known.at) / time.Millisecond)
	}
	return out
}

// Record stores the notice in a response of a server. A response without one to a request that was
// sent with it says that it holds no more.
func (n *Notices) Record(now clock.Instant, server string, sent *wire.ServerNotice, resp *wire.Response) {
	received := resp.GetLoad().GetNotice()
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case received != nil:
		if len(n.byServer) >= maxNotices {
			clear(n.byServer)
		}
		n.byServer[server] = notice{received, now}
	case sent != nil && outcome.Kind(resp.GetKind()) == outcome.OK:
		delete(n.byServer, server)
	}
}
