package gateway

import (
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/bucket"
	"github.com/sesamemoor/sesamemoor/core/clock"
)

const (
	// keeperPatience is the longest wait for a token while a keeper answers: a
	// question to another data centre and back, twice.
	keeperPatience = 60 * time.Millisecond
	// awayPatience is the same while none did lately.
	awayPatience = 2 * time.Millisecond
	// awayTime is the time for which a keeper that did not answer is not waited
	// for.
	awayTime = 300 * time.Millisecond
)

// keeperless holds this daemon's shares of the teams' rates for the time in which
// no keeper answers. It is safe for concurrent use.
type keeperless struct {
	mu    sync.Mutex
	teams map[string]*keeperlessTeam
}

type keeperlessTeam struct {
	share bucket.Share
	away  clock.Instant // when the keeper last did not answer
}

func newKeeperless() *keeperless { return &keeperless{teams: map[string]*keeperlessTeam{}} }

// patience returns how long a request waits for the team's keeper.
func (k *keeperless) patience(now clock.Instant, team string) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t, ok := k.teams[team]; ok && now.Sub(t.away) < awayTime {
		return awayPatience
	}
	return keeperPatience
}

// take notes that the keeper did not answer, and takes a token of the share.
func (k *keeperless) take(now clock.Instant, team string, rate float64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	t, ok := k.teams[team]
	if !ok {
		t = &keeperlessTeam{}
		k.teams[team] = t
	}
	t.away = now
	return t.share.Take(now, rate)
}
