package peer

import (
	"sync"

	"github.com/sesamemoor/sesamemoor/core/wire"
)

// callState tells how far the frame of a call has come. Only a frame that
// never reached callWritten provably did not reach the peer.
type callState uint8

const (
	callQueued    callState = iota // waits for the writer
	callBuffered                   // in the writer's buffer
	callWritten                    // handed to the connection, in part or whole
	callWithdrawn                  // never to be handed to the connection
)

// call is a frame that waits for its answer.
type call struct {
	tag  uint64
	done chan *wire.Frame // receives one frame, or is closed when the link ends

	mu    sync.Mutex
	state callState
}

func newCall(tag uint64) *call {
	return &call{tag: tag, done: make(chan *wire.Frame, 1)}
}

// advance moves the call to the next state on its way out. It returns false if
// the call was withdrawn.
func (c *call) advance(to callState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == callWithdrawn {
		return false
	}
	c.state = to
	return true
}

// withdraw gives the call up if it has not come further than limit, and
// reports whether it did. After true, no byte of the frame is ever sent.
func (c *call) withdraw(limit callState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state > limit && c.state != callWithdrawn {
		return false
	}
	c.state = callWithdrawn
	return true
}
