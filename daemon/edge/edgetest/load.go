package edgetest

import (
	"sync"
	"time"
)

// Load is the load of many callers, and collects what became of their requests.
type Load struct {
	// Next returns the n-th request of a caller, with an id of its own.
	Next    func(n int) Request
	Timeout time.Duration // of a request
	// IdleConns is the number of connections of Idle; 0 means defaultIdleConns.
	IdleConns int

	callers sync.WaitGroup
	quit    chan struct{}
	mu      sync.Mutex
	closeAt time.Duration // shortest time from a SIGTERM until an idle connection was closed; 0: not known yet
	results []Result
}

const (
	// defaultIdleConns is the number of connections to a daemon that are idle when it stops.
	defaultIdleConns = 600
	// idleConnectors is the number of them that are made at the same time.
	idleConnectors = 8
	// idleSpread is the time in which they are used again, around the moment at which the
	// daemon closes idle connections.
	idleSpread = 20 * time.Millisecond
)

// NewLoad returns a load that has not started.
func NewLoad(next func(n int) Request, timeout time.Duration) *Load {
	return &Load{Next: next, Timeout: timeout, quit: make(chan struct{})}
}

// Callers are callers of one kind.
type Callers struct {
	Addr      string
	Count     int
	Pause     time.Duration       // between an answer and the next request
	Pipelined int                 // requests in one write; 0 means 1
	Next      func(n int) Request // nil means that of the load
}

// Start starts callers.
func (l *Load) Start(callers Callers) {
	next, pipelined := callers.Next, max(1, callers.Pipelined)
	if next == nil {
		next = l.Next
	}
	for range callers.Count {
		l.callers.Go(func() {
			c := &KeptCaller{Addr: callers.Addr, Timeout: l.Timeout}
			defer c.Close()
			for n := 0; ; n += pipelined {
				var requests []Request
				for i := range pipelined {
					requests = append(requests, next(n+i))
				}
				l.record(c.Send(requests...))
				select {
				case <-l.quit:
					return
				case <-time.After(callers.Pause):
				}
			}
		})
	}
}

// Send sends requests on a connection of their own and records what became of them.
func (l *Load) Send(addr string, requests ...Request) {
	c := &KeptCaller{Addr: addr, Timeout: l.Timeout}
	defer c.Close()
	l.record(c.Send(requests...))
}

// Stop stops the callers and returns all results.
func (l *Load) Stop() []Result {
	close(l.quit)
	l.callers.Wait()
	return l.results
}

func (l *Load) record(results []Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, results...)
}

// Idle returns callers of an address with idle connections that had an answer each.
func (l *Load) Idle(addr string) []*KeptCaller {
	count := l.IdleConns
	if count == 0 {
		count = defaultIdleConns
	}
	idle := make([]*KeptCaller, count)
	var wg sync.WaitGroup
	for first := range idleConnectors {
		wg.Go(func() {
			for n := first; n < count; n += idleConnectors {
				idle[n] = &KeptCaller{Addr: addr, Timeout: l.Timeout}
				l.record(idle[n].Send(l.Next(n)))
			}
		})
	}
	wg.Wait()
	return idle
}

// UseIdle sends a request on each of the idle connections of a daemon that was told to stop
// at signalled when it is about to close them. The first of them finds out when that is, for
// the next stop; if no stop is known yet, the requests are sent when the first has ended. UseIdle
// returns when the connections have ended, or after timeout.
func (l *Load) UseIdle(idle []*KeptCaller, signalled time.Time, timeout time.Duration) {
	l.mu.Lock()
	closeAt := l.closeAt
	l.mu.Unlock()
	expected := signalled.Add(closeAt)
	firstEnded := make(chan struct{})
	var wg sync.WaitGroup
	for n, c := range idle[1:] {
		wg.Go(func() {
			defer c.Close()
			if closeAt > 0 {
				time.Sleep(time.Until(expected.Add(idleSpread * time.Duration(n-len(idle)/2) / time.Duration(len(idle)))))
			} else {
				<-firstEnded
			}
			l.record(c.Send(l.Next(n)))
		})
	}
	if idle[0].Connect() == nil && idle[0].AwaitEnd(timeout) {
		after := time.Since(signalled)
		l.mu.Lock()
		if l.closeAt == 0 || after < l.closeAt {
			l.closeAt = after
		}
		l.mu.Unlock()
	}
	close(firstEnded)
	wg.Wait()
}
