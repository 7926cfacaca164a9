// Package routing supports the plug-ins that accept callers' requests with state
// beyond the view: notification of placement changes, owners learned from
// responses, and a rate limit on suspicions about daemons. All types are safe for
// concurrent use.
package routing

import (
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

// pollInterval is the interval at which the view is checked while requests wait
// for a placement change.
const pollInterval = 5 * time.Millisecond

// PlacementWatch notifies waiting requests that the placement may have changed. One
// goroutine polls the view for all of them, only while at least one waits.
type PlacementWatch struct {
	control kernel.Control
	mu      sync.Mutex
	waiters int
	signal  chan struct{}
}

// NewPlacementWatch returns a PlacementWatch that watches the views of c.
func NewPlacementWatch(c kernel.Control) *PlacementWatch {
	return &PlacementWatch{control: c, signal: make(chan struct{})}
}

// Wait returns a channel that is closed at the next change. The waiter must call
// done once when it stops waiting.
func (w *PlacementWatch) Wait() (changed <-chan struct{}, done func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiters++
	if w.waiters == 1 {
		go w.poll(w.control.View())
	}
	return w.signal, w.removeWaiter
}

func (w *PlacementWatch) removeWaiter() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiters--
}

// Notify wakes all waiting requests.
func (w *PlacementWatch) Notify() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.signal)
	w.signal = make(chan struct{})
}

// poll wakes the waiting requests at each new view and returns when none waits.
func (w *PlacementWatch) poll(seen *view.View) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for range ticker.C {
		w.mu.Lock()
		idle := w.waiters == 0
		w.mu.Unlock()
		if idle {
			return
		}
		if v := w.control.View(); v != seen {
			seen = v
			w.Notify()
		}
	}
}

// LearnedOwners holds owners that responded under a newer generation than that in the
// view, for example after a takeover while the log is down.
type LearnedOwners struct {
	mu    sync.Mutex
	shard map[view.ShardID]learnedOwner
}

type learnedOwner struct {
	generation uint64
	member     *view.Member
}

// NewLearnedOwners returns an empty table.
func NewLearnedOwners() *LearnedOwners {
	return &LearnedOwners{shard: map[view.ShardID]learnedOwner{}}
}

// Record stores m as owner of the shard if generation is newer than the stored one, and
// reports whether it is.
func (l *LearnedOwners) Record(id view.ShardID, generation uint64, m *view.Member) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shard[id].generation >= generation {
		return false
	}
	l.shard[id] = learnedOwner{generation: generation, member: m}
	return true
}

// Apply returns the shard with the learned owner, and the owner in the view as
// its standby, if the learned generation is newer. Otherwise it drops the learned
// owner and returns the shard unchanged.
func (l *LearnedOwners) Apply(id view.ShardID, shard view.Shard) view.Shard {
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
	// minSuspicionInterval is the least time between two suspicions of one daemon.
	minSuspicionInterval = 100 * time.Millisecond
	// maxTrackedDaemons is the number of daemons at which the table is cleared.
	maxTrackedDaemons = 1024
)

// SuspicionLimit limits the rate of suspicions about each daemon, so that failing
// requests do not flood the control state.
type SuspicionLimit struct {
	clock clock.Clock
	mu    sync.Mutex
	last  map[uint64]clock.Instant // by incarnation
}

// NewSuspicionLimit returns a limit that allows a first suspicion of each daemon.
func NewSuspicionLimit(clk clock.Clock) *SuspicionLimit {
	return &SuspicionLimit{clock: clk, last: map[uint64]clock.Instant{}}
}

// Allow reports whether a suspicion of the incarnation may be posted now, and
// counts it as posted if so.
func (s *SuspicionLimit) Allow(incarnation uint64) bool {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if last, ok := s.last[incarnation]; ok && now.Sub(last) < minSuspicionInterval {
		return false
	}
	if len(s.last) >= maxTrackedDaemons {
		clear(s.last)
	}
	s.last[incarnation] = now
	return true
}
