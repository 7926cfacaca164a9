package kernel

import (
	"context"
	"sync"
)

// Tickets ties answers that come as effects of the control state to the
// goroutines that wait for them. The zero value is ready for use.
type Tickets[T any] struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan T
}

// Ask issues a ticket, passes it to post and waits for the answer. It returns
// false when ctx ends first.
func (t *Tickets[T]) Ask(ctx context.Context, post func(ticket uint64)) (T, bool) {
	answer := make(chan T, 1)
	ticket := t.issue(answer)
	post(ticket)
	select {
	case a := <-answer:
		return a, true
	case <-ctx.Done():
		t.take(ticket)
		var none T
		return none, false
	}
}

// Answer hands the answer to whoever waits for the ticket. It does not block.
func (t *Tickets[T]) Answer(ticket uint64, a T) {
	if answer, ok := t.take(ticket); ok {
		answer <- a
	}
}

func (t *Tickets[T]) issue(answer chan T) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting == nil {
		t.waiting = map[uint64]chan T{}
	}
	t.last++
	t.waiting[t.last] = answer
	return t.last
}

func (t *Tickets[T]) take(ticket uint64) (chan T, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	answer, ok := t.waiting[ticket]
	delete(t.waiting, ticket)
	return answer, ok
}
