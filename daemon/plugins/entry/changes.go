package entry

import (
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

// pollInterval is the period in which the view is compared while requests wait
// for a change of placement.
const pollInterval = 5 * time.Millisecond

// changes tells waiting requests that the placement may have changed. One
// goroutine watches the view for all of them, and only while some wait.
type changes struct {
	control kernel.Control
	mu      sync.Mutex
	waiters int
	signal  chan struct{}
}

func newChanges(c kernel.Control) *changes {
	return &changes{control: c, signal: make(chan struct{})}
}

// wait returns a channel that is closed at the next change. done must be
// called when the caller waits no more.
func (c *changes) wait() (changed <-chan struct{}, done func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiters++
	if c.waiters == 1 {
		go c.poll(c.control.View())
	}
	return c.signal, c.leave
}

func (c *changes) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiters--
}

// notify wakes all waiting requests.
func (c *changes) notify() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.signal)
	c.signal = make(chan struct{})
}

// poll wakes the waiting requests at each new view, until none waits.
func (c *changes) poll(seen *view.View) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for range ticker.C {
		c.mu.Lock()
		idle := c.waiters == 0
		c.mu.Unlock()
		if idle {
			return
		}
		if v := c.control.View(); v != seen {
			seen = v
			c.notify()
		}
	}
}

// learnedOwners holds owners that answered under a newer generation than the
// view shows, for example while the log is down after a takeover.
type learnedOwners struct {
	mu    sync.Mutex
	shard map[view.ShardID]learnedOwner
}

type learnedOwner struct {
	generation uint64
	member     *view.Member
}

func newLearnedOwners() *learnedOwners {
	return &learnedOwners{shard: map[view.ShardID]learnedOwner{}}
}

// note stores the owner of a shard that answered under generation.
func (l *learnedOwners) note(id view.ShardID, generation uint64, m *view.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shard[id].generation < generation {
		l.shard[id] = learnedOwner{generation: generation, member: m}
	}
}

// apply returns the shard with the learned owner if it is newer, and forgets
// it otherwise.
func (l *learnedOwners) apply(id view.ShardID, shard view.Shard) view.Shard {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.shard[id]
	if !ok {
		return shard
	}
	if known.generation <= shard.Generation {
		delete(l.shard, id)
		return shard
	}
	return view.Shard{Owner: known.member, Standby: shard.Owner, Generation: known.generation}
}

const (
	// suspicionPause is the least time between two reports about a daemon.
	suspicionPause = 100 * time.Millisecond
	// maxSuspected bounds the daemons remembered.
	maxSuspected = 1024
)

// suspicionLimit keeps failing requests from flooding the control state.
type suspicionLimit struct {
	clock clock.Clock
	mu    sync.Mutex
	last  map[uint64]clock.Instant // by incarnation
}

func newSuspicionLimit(clk clock.Clock) *suspicionLimit {
	return &suspicionLimit{clock: clk, last: map[uint64]clock.Instant{}}
}

// allow reports whether a report about the incarnation is due.
func (s *suspicionLimit) allow(incarnation uint64) bool {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if last, ok := s.last[incarnation]; ok && now.Sub(last) < suspicionPause {
		return false
	}
	if len(s.last) >= maxSuspected {
		clear(s.last)
	}
	s.last[incarnation] = now
	return true
}
