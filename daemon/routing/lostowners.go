package routing

import (
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/retry"
)

// LostOwners is shared by the requests that wait for shards whose owners they cannot
// reach. It spaces their attempts, so that few of them probe for all, and tells them what
// the attempts of others have found. It is safe for concurrent use.
type LostOwners struct {
	mu     sync.Mutex
	owners map[uint64]*lostOwner // by incarnation
}

// lostOwner is what is known of an owner since an attempt at it got no response, or since
// one of its standbys served a shard of it.
type lostOwner struct {
	unreachable bool
	probes      int                      // since it became unreachable
	nextProbe   clock.Instant            // earliest time of the next one
	answered    clock.Instant            // when it was last found reachable again
	succeeded   clock.Instant            // when a standby was last found to have a shard of it
	successors  map[uint64]clock.Instant // the same by incarnation of the standby
}

// NewLostOwners returns an empty table.
func NewLostOwners() *LostOwners { return &LostOwners{owners: map[uint64]*lostOwner{}} }

// find returns the entry of an owner and creates it if needed. The caller holds the lock.
func (l *LostOwners) find(owner uint64) *lostOwner {
	o, ok := l.owners[owner]
	if !ok {
		if len(l.owners) >= maxTrackedDaemons {
			clear(l.owners)
		}
		o = &lostOwner{successors: map[uint64]clock.Instant{}}
		l.owners[owner] = o
	}
	return o
}

// RecordUnreachable records that an attempt at the owner got no response.
func (l *LostOwners) RecordUnreachable(owner uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.find(owner).unreachable = true
}

// RecordResponse records a response of the owner. It returns true if the owner was
// unreachable before.
func (l *LostOwners) RecordResponse(now clock.Instant, owner uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, ok := l.owners[owner]
	if !ok || !o.unreachable {
		return false
	}
	o.unreachable, o.probes, o.nextProbe = false, 0, 0
	o.answered = now
	return true
}

// RecordSuccessor records that a standby served a shard of the owner, ahead of the view.
func (l *LostOwners) RecordSuccessor(now clock.Instant, owner, standby uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.find(owner)
	o.succeeded = now
	o.successors[standby] = now
}

// AnsweredSince reports whether the owner became reachable after t.
func (l *LostOwners) AnsweredSince(t clock.Instant, owner uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, ok := l.owners[owner]
	return ok && o.answered > t
}

// SucceededSince reports whether the standby, and whether any standby, was found after t
// to have a shard of the owner.
func (l *LostOwners) SucceededSince(t clock.Instant, owner, standby uint64) (byStandby, byAny bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, ok := l.owners[owner]
	if !ok {
		return false, false
	}
	return o.successors[standby] > t, o.succeeded > t
}

// standbyProbes is the number of probes of the standby for each one of the owner.
const standbyProbes = 3

// Probe is called by a request that waits for the unreachable owner before each attempt.
// It returns whether the attempt is to go to the standby, or the time until the next
// attempt if it must not be made now.
func (l *LostOwners) Probe(now clock.Instant, owner uint64) (toStandby bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.find(owner)
	if now < o.nextProbe {
		return false, o.nextProbe.Sub(now)
	}
	o.probes++
	o.nextProbe = now.Add(retry.Backoff(o.probes))
	return o.probes%(standbyProbes+1) != 0, 0
}
