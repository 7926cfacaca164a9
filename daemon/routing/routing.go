// Package routing is what the callers' side knows of owners beyond the view: that
// the placement may have changed, owners learned from answers, and which
// suspicions were reported lately.
package routing

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

// Changes tells waiting requests that the placement may have changed. One
// goroutine watches the view for all of them, and only while some wait.
type Changes struct {
	control kernel.Control
	mu      sync.Mutex
	waiters int
	signal  chan struct{}
}

// NewChanges returns a watch of the control state's views.
func NewChanges(c kernel.Control) *Changes {
	return &Changes{control: c, signal: make(chan struct{})}
}

// Wait returns a channel that is closed at the next change. done must be
// called when the caller waits no more.
func (c *Changes) Wait() (changed <-chan struct{}, done func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiters++
	if c.waiters == 1 {
		go c.poll(c.control.View())
	}
	return c.signal, c.leave
}

func (c *Changes) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiters--
}

// Notify wakes all waiting requests.
func (c *Changes) Notify() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.signal)
	c.signal = make(chan struct{})
}

// poll wakes the waiting requests at each new view, until none waits.
func (c *Changes) poll(seen *view.View) {
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
			c.Notify()
		}
	}
}

// Learned holds owners that answered under a newer generation than the
// view shows, for example while the log is down after a takeover.
type Learned struct {
	mu    sync.Mutex
	shard map[view.ShardID]learnedOwner
}

type learnedOwner struct {
	generation uint64
	member     *view.Member
}

// NewLearned returns an empty table.
func NewLearned() *Learned {
	return &Learned{shard: map[view.ShardID]learnedOwner{}}
}

// Note stores the owner of a shard that answered under generation.
func (l *Learned) Note(id view.ShardID, generation uint64, m *view.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shard[id].generation < generation {
		l.shard[id] = learnedOwner{generation: generation, member: m}
	}
}

// Apply returns the shard with the learned owner if it is newer, and forgets
// it otherwise.
func (l *Learned) Apply(id view.ShardID, shard view.Shard) view.Shard {
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

// SuspicionLimit keeps failing requests from flooding the control state.
type SuspicionLimit struct {
	clock clock.Clock
	mu    sync.Mutex
	last  map[uint64]clock.Instant // by incarnation
}

// NewSuspicionLimit returns a limit with nothing reported yet.
func NewSuspicionLimit(clk clock.Clock) *SuspicionLimit {
	return &SuspicionLimit{clock: clk, last: map[uint64]clock.Instant{}}
}

// Allow reports whether a report about the incarnation is due.
func (s *SuspicionLimit) Allow(incarnation uint64) bool {
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
