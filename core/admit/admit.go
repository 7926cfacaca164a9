// Package admit decides when requests may run on one backend server: exactly
// as many at once as it bears, in a fair order over teams, within deadlines.
//
// Queue and Ramp are pure state machines: they take the current instant with
// each call, keep no goroutines and are not safe for concurrent use.
package admit

import (
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
)

// Options are the fixed inputs of a Queue.
type Options struct {
	MaxQueue int  // requests that wait, all teams together
	Fair     bool // fair order over teams; otherwise first in, first out
	Ramp     bool // slow start of a cold backend server; otherwise full load at once
}

// Ticket is one request on its way to the backend server.
//
// Owner of the fields below the first group is the Queue.
type Ticket struct {
	Team     string
	Shard    view.ShardID
	Deadline clock.Instant

	state state
	seq   uint64
	began clock.Instant
}

type state uint8

const (
	idle state = iota
	waiting
	running
)

// Refusal is a waiting ticket that left the queue without running.
type Refusal struct {
	Ticket *Ticket
	Kind   outcome.Kind // a kind that says "not run"
}

// Result is what the end of a run tells about the backend server.
type Result uint8

// Results of a run.
const (
	Answered Result = iota // the service time counts as a sample
	Shed                   // the backend server refused for overload
	Failed                 // no answer; says nothing about the service time
)

// Queue admits requests to one backend server.
//
// Invariants: at most Limit tickets run; no ticket waits while fewer than
// Limit run, after Dispatch, unless the server rests or is silent; a ticket
// leaves the queue exactly once, by Dispatch, a Refusal or Cancel.
type Queue struct {
	opts    Options
	ramp    *Ramp
	order   order
	running int
	seq     uint64
	heard   clock.Instant // newest sign of life of the server; zero before the first
}

// silenceLimit is the time without a sign of life after which a server gets no
// further requests: an announcement is half its period late. Requests sent to a
// server that has frozen block their shards until they expire, also for the
// owner that takes over.
const silenceLimit = 600 * time.Millisecond

// Heard notes a sign of life of the server.
func (q *Queue) Heard(now clock.Instant) { q.heard = now }

// Silent reports whether the server has given no sign of life for so long that
// nothing is sent to it.
func (q *Queue) Silent(now clock.Instant) bool {
	return q.heard != 0 && now.Sub(q.heard) > silenceLimit
}

// New returns a queue for a backend server that is not known yet; nothing
// runs before SetSlots.
func New(opts Options) *Queue {
	return &Queue{opts: opts, ramp: newRamp(opts.Ramp), order: newOrder(opts.Fair)}
}

// SetSlots sets the number of requests that the backend server runs at once.
func (q *Queue) SetSlots(now clock.Instant, slots int) { q.ramp.setSlots(now, slots) }

// TurnCold starts the ramp anew.
func (q *Queue) TurnCold(now clock.Instant) { q.ramp.turnCold(now) }

// Limit returns the number of tickets that may run at once.
func (q *Queue) Limit() int { return q.ramp.limit }

// Slots returns the number of slots of the backend server.
func (q *Queue) Slots() int { return q.ramp.slots }

// Cold reports whether the backend server is taken to be cold.
func (q *Queue) Cold() bool { return q.ramp.cold }

// Running returns the number of tickets that run.
func (q *Queue) Running() int { return q.running }

// Resting returns the time after which Dispatch is due again because the
// backend server rests after a shed, zero if it does not rest.
func (q *Queue) Resting(now clock.Instant) time.Duration { return q.ramp.resting(now) }

// Waiting returns the number of tickets that wait.
func (q *Queue) Waiting() int { return q.order.len() }

// Submit adds a ticket to the queue. A full queue makes room by refusing the
// newest ticket of the team with the longest queue, which may be t itself.
func (q *Queue) Submit(now clock.Instant, t *Ticket) []Refusal {
	if q.tooLate(now, t) {
		return []Refusal{{t, outcome.DeadlineNotRun}}
	}
	q.seq++
	t.seq = q.seq
	t.state = waiting
	q.order.push(t)
	if q.order.len() <= q.opts.MaxQueue {
		return nil
	}
	victim := q.order.dropLongest()
	victim.state = idle
	return []Refusal{{victim, outcome.Overloaded}}
}

// Dispatch starts as many waiting tickets as the limit allows, none while the
// backend server rests or is silent. Tickets whose deadline cannot be met are refused on the
// way.
func (q *Queue) Dispatch(now clock.Instant) (started []*Ticket, refused []Refusal) {
	if q.ramp.resting(now) > 0 || q.Silent(now) {
		return nil, nil
	}
	for q.running < q.ramp.limit {
		t := q.order.pop()
		if t == nil {
			break
		}
		if q.tooLate(now, t) {
			t.state = idle
			refused = append(refused, Refusal{t, outcome.DeadlineNotRun})
			continue
		}
		t.state = running
		t.began = now
		q.running++
		started = append(started, t)
	}
	return started, refused
}

// tooLate reports whether too little time is left to run t.
func (q *Queue) tooLate(now clock.Instant, t *Ticket) bool {
	need := q.ramp.expected(now)
	return now >= t.Deadline || t.Deadline.Sub(now) < need
}

// Done ends the run of a started ticket.
func (q *Queue) Done(now clock.Instant, t *Ticket, result Result) {
	if t.state != running {
		return
	}
	t.state = idle
	q.running--
	if result != Failed {
		q.Heard(now)
	}
	switch result {
	case Answered:
		q.ramp.answered(now, now.Sub(t.began))
	case Shed:
		q.ramp.shed(now, q.running)
	}
}

// Cancel takes a waiting ticket out of the queue. It reports false when the
// ticket does not wait any more.
func (q *Queue) Cancel(t *Ticket) bool {
	if t.state != waiting {
		return false
	}
	t.state = idle
	q.order.remove(t)
	return true
}

// Withdraw refuses the waiting tickets for which lost reports that their shard
// is not held any more.
func (q *Queue) Withdraw(lost func(view.ShardID) bool) []Refusal {
	var refused []Refusal
	for _, t := range q.order.filter(func(t *Ticket) bool { return !lost(t.Shard) }) {
		t.state = idle
		refused = append(refused, Refusal{t, outcome.NotOwner})
	}
	return refused
}

// ServiceTime returns the mean service time of late, zero before the first
// sample.
func (q *Queue) ServiceTime() time.Duration { return q.ramp.mean }
