package kernel

import (
	"context"
	"sync"
)

// PendingReplies correlates replies that arrive as effects of the control state with the
// goroutines that wait for them. The zero value is ready for use.
type PendingReplies[T any] struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan T
}

// Await allocates a ticket, passes it to post and waits for the reply. It returns
// false if ctx ends first.
func (p *PendingReplies[T]) Await(ctx context.Context, post func(ticket uint64)) (T, bool) {
	reply := make(chan T, 1)
	ticket := p.issue(reply)
	post(ticket)
	select {
	case value := <-reply:
		return value, true
	case <-ctx.Done():
		p.remove(ticket)
		var zero T
		return zero, false
	}
}

// Answer delivers the reply to the goroutine that waits for the ticket, if any. It
// does not block.
func (p *PendingReplies[T]) Answer(ticket uint64, value T) {
	if reply, ok := p.remove(ticket); ok {
		reply <- value
	}
}

func (p *PendingReplies[T]) issue(reply chan T) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting == nil {
		p.waiting = map[uint64]chan T{}
	}
	p.last++
	p.waiting[p.last] = reply
	return p.last
}

func (p *PendingReplies[T]) remove(ticket uint64) (chan T, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply, ok := p.waiting[ticket]
	delete(p.waiting, ticket)
	return reply, ok
}
