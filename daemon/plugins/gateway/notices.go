package gateway

import (
	"sync"

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
	byServer map[string]*wire.ServerNotice
}

func newNotices() *notices { return &notices{byServer: map[string]*wire.ServerNotice{}} }

// of returns the notice of a server, or nil.
func (n *notices) of(server string) *wire.ServerNotice {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.byServer[server]
}

// record stores the notice in a response. A response without one to a request that was
// sent with it says that it holds no more.
func (n *notices) record(server string, sent *wire.ServerNotice, resp *wire.Response) {
	received := resp.GetLoad().GetNotice()
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case received != nil:
		if len(n.byServer) >= maxNotices {
			clear(n.byServer)
		}
		n.byServer[received.GetServer()] = received
	case sent != nil && outcome.Kind(resp.GetKind()) == outcome.OK:
		delete(n.byServer, server)
	}
}
