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
func (t *PendingReplies[T]) Await(ctx context.Context, post func(ticket uint64)) (T, bool) {
	reply := make(chan T, 1)
	ticket := t.issue(reply)
	post(ticket)
	select {
	case value := <-reply:
		return value, true
	case <-ctx.Done():
		t.remove(ticket)
		var zero T
		return zero, false
	}
}

// Answer delivers the reply to the goroutine that waits for the ticket, if any. It
// does not block.
func (t *PendingReplies[T]) Answer(ticket uint64, value T) {
	if reply, ok := t.remove(ticket); ok {
		reply <- value
	}
}

func (t *PendingReplies[T]) issue(reply chan T) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting == nil {
		t.waiting = map[uint64]chan T{}
	}
	t.last++
	t.waiting[t.last] = reply
	return t.last
}

func (t *PendingReplies[T]) remove(ticket uint64) (chan T, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reply, ok := t.waiting[ticket]
	delete(t.waiting, ticket)
	return reply, ok
}
