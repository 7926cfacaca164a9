package gateway

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

// notices holds what backend servers said of themselves in responses that this daemon
// passed on. It sends them along with later requests, so that a daemon that has
// restarted beside such a server knows them. It is safe for concurrent use.
type notices struct {
	mu       sync.Mutex
	byServer map[string]notice
}

type notice struct {
	notice *wire.ServerNotice
	at     clock.Instant // when it arrived
}

func newNotices() *notices { return &notices{byServer: map[string]notice{}} }

// of returns the notice of a server, for a request that is sent now, or nil.
func (n *notices) of(now clock.Instant, server string) *wire.ServerNotice {
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

// record stores the notice in a response. A response without one to a request that was
// sent with it says that it holds no more.
func (n *notices) record(now clock.Instant, server string, sent *wire.ServerNotice, resp *wire.Response) {
	received := resp.GetLoad().GetNotice()
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case received != nil:
		if len(n.byServer) >= maxNotices {
			clear(n.byServer)
		}
		n.byServer[received.GetServer()] = notice{received, now}
	case sent != nil && outcome.Kind(resp.GetKind()) == outcome.OK:
		delete(n.byServer, server)
	}
}
