package backend

import (
	"context"
	"slices"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/daemon/backendconn"
)

// remainder is what a process of the server may still do with the keys of a shard although no
// exchange with it shows it: run a request without an answer, or hold the keys after another boot
// announced itself.
type remainder struct {
	process *backendconn.Process
	until   clock.Instant // end of the hold, with which runs end
	// outlasts means that the end of the process cannot be seen to end it: this daemon had closed the
	// connection of the run.
	outlasts bool
}

func (r remainder) ended(now clock.Instant) bool {
	return now >= r.until || !r.outlasts && r.process.Ended()
}

// recordRunEnd records a run that may go on although its exchange is over. A server ends it with the
// hold under which it began: a renewal does not lengthen it.
func (e *executor) recordRunEnd(ctx context.Context, r *run, kind outcome.Kind) {
	end, process := backendconn.RunEndOf(ctx, kind)
	if end == backendconn.RunOver || process == nil || r.shard == (view.ShardID{}) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	until := e.holds.ExpiredBy(r.shard, r.token)
	if r.server != e.server {
		until = r.server.heldUntil // its account ended with its boot
	}
	e.addRemainder(r.shard, remainder{process: process, until: until, outlasts: end == backendconn.RunAbandoned})
}

// addRemainder adds a remainder of a shard, in place of those that have ended. The caller holds the
// lock.
func (e *executor) addRemainder(id view.ShardID, r remainder) {
	now := e.clock.Now()
	kept := slices.DeleteFunc(e.remainders[id], func(old remainder) bool {
		return old.ended(now) || old.process == r.process && old.outlasts == r.outlasts && old.until <= r.until
	})
	e.remainders[id] = append(kept, r)
}

// dropRemainders removes those of a process that has released the shard. The caller holds the lock.
func (e *executor) dropRemainders(id view.ShardID, process *backendconn.Process) {
	e.remainders[id] = slices.DeleteFunc(e.remainders[id], func(r remainder) bool { return r.process == process })
}

// remaindersEnded reports whether nothing remains of a shard. The caller holds the lock.
func (e *executor) remaindersEnded(id view.ShardID) bool {
	now := e.clock.Now()
	for _, r := range e.remainders[id] {
		if !r.ended(now) {
			return false
		}
	}
	delete(e.remainders, id)
	return true
}
