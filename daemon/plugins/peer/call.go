package peer

import (
	"context"
	"sync"

	"github.com/sesamemoor/sesamemoor/core/wire"
)

// callState is the progress of a call's frame towards the connection. Only a
// frame that never reached callWritten provably did not reach the peer.
type callState uint8

const (
	callQueued    callState = iota // queued for the writer
	callBuffered                   // in the writer's buffer
	callWritten                    // passed to the connection, in part or completely
	callWithdrawn                  // never passed to the connection
)

// call is a frame whose answer is awaited.
type call struct {
	tag  uint64
	done chan *wire.Frame // receives one frame, or is closed when the link ends
	ctx  context.Context  // nothing is sent after its end
	part partialFrame     // what arrived of the answer, once done is closed

	mu    sync.Mutex
	state callState
}

func newCall(ctx context.Context, tag uint64) *call {
	return &call{tag: tag, done: make(chan *wire.Frame, 1), ctx: ctx}
}

// buffer marks the call as buffered. It returns false if the call was withdrawn
// or its context has ended: the frame must not be sent.
func (c *call) buffer() bool {
	return c.ctx.Err() == nil && c.advance(callBuffered)
}

// advance sets the state of the call. It returns false if the call was
// withdrawn.
func (c *call) advance(to callState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == callWithdrawn {
		return false
	}
	c.state = to
	return true
}

// withdraw withdraws the call unless its state is past limit, and reports
// whether the call is withdrawn. If so, no byte of the frame is ever sent.
func (c *call) withdraw(limit callState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state > limit && c.state != callWithdrawn {
		return false
	}
	c.state = callWithdrawn
	return true
}
