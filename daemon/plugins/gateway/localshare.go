package gateway

import (
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/bucket"
	"github.com/sesamemoor/sesamemoor/core/clock"
)

const (
	// maxKeeperWait is the longest wait for a token while the keeper responds: two
	// round trips to another data centre.
	maxKeeperWait = 60 * time.Millisecond
	// maxFailingKeeperWait is the longest wait for a token during keeperBackoff.
	maxFailingKeeperWait = 2 * time.Millisecond
	// keeperBackoff is the time after a failure of the keeper for which requests
	// wait no longer than maxFailingKeeperWait.
	keeperBackoff = 300 * time.Millisecond
)

// localShares holds this daemon's shares of the teams' rates, used while the keeper
// is unavailable. It is safe for concurrent use.
type localShares struct {
	mu    sync.Mutex
	teams map[string]*localShare
}

type localShare struct {
	share       bucket.Share
	lastFailure clock.Instant // when the keeper last was unavailable
}

func newLocalShares() *localShares { return &localShares{teams: map[string]*localShare{}} }

// keeperTimeout returns the longest wait of a request for the team's keeper.
func (l *localShares) keeperTimeout(now clock.Instant, team string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t, ok := l.teams[team]; ok && now.Sub(t.lastFailure) < keeperBackoff {
		return maxFailingKeeperWait
	}
	return maxKeeperWait
}

// take records that the keeper was unavailable, and takes a token from the team's
// share of rate tokens per second. It reports whether there was one.
func (l *localShares) take(now clock.Instant, team string, rate float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.teams[team]
	if !ok {
		t = &localShare{}
		l.teams[team] = t
	}
	t.lastFailure = now
	return t.share.Take(now, rate)
}
