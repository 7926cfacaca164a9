package entry

import (
	"sync"

	"github.com/sesamemoor/sesamemoor/core/outcome"
)

// inflightLimiter limits the requests in flight at this daemon. One team gets at
// most half of the capacity, so that a team with heavy load leaves capacity for the
// others.
type inflightLimiter struct {
	mu       sync.Mutex
	capacity int
	total    int
	teams    map[string]int
}

func newInflightLimiter(capacity int) *inflightLimiter {
	return &inflightLimiter{capacity: capacity, teams: map[string]int{}}
}

// acquire admits a request of the team or returns an error of kind Overloaded.
// The caller must call release once for every nil error.
func (l *inflightLimiter) acquire(team string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.total >= l.capacity {
		return outcome.New(outcome.Overloaded, "%d requests in flight at this daemon", l.total)
	}
	if l.teams[team] >= max(1, l.capacity/2) {
		return outcome.New(outcome.Overloaded, "%d requests of team %s in flight at this daemon", l.teams[team], team)
	}
	l.total++
	l.teams[team]++
	return nil
}

func (l *inflightLimiter) release(team string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total--
	l.teams[team]--
	if l.teams[team] == 0 {
		delete(l.teams, team)
	}
}
