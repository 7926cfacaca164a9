// Package admit controls admission of requests to one backend server. It limits
// the number of concurrent requests to the server's capacity, orders waiting
// requests fairly over teams, and refuses requests that cannot meet their
// deadline.
//
// Queue and Ramp are pure state machines: each call passes the current time,
// there are no goroutines, and neither type is safe for concurrent use.
package admit

import (
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/pace"
	"github.com/sesamemoor/sesamemoor/core/view"
)

// Options are the fixed inputs of a Queue.
type Options struct {
	MaxQueue int  // maximum number of waiting requests over all teams
	Fair     bool // fair queueing over teams; otherwise FIFO
	Ramp     bool // slow start of a cold backend server; otherwise all slots at once
}

// Ticket is one request to the backend server. The caller sets the exported
// fields; the unexported fields belong to the Queue.
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

// Refusal is a ticket that the queue rejected without running it.
type Refusal struct {
	Ticket     *Ticket
	Kind       outcome.Kind  // a kind whose answer is outcome.NotRun
	RetryAfter time.Duration // advised retry delay; 0 for none
}

// Result classifies the end of a run.
type Result uint8

// Results of a run.
const (
	Answered Result = iota // the duration of the run counts as a service time sample
	Shed                   // the backend server refused the request because of overload
	Failed                 // no answer; the run is not counted as a sample
)

// Queue admits requests to one backend server.
//
// Invariants: Dispatch starts a ticket only while fewer than Limit run. After
// Dispatch, a ticket waits only if Limit tickets run, the queue backs off after
// a shed, the server's rate has no room, or the server is unresponsive. A ticket leaves the queue exactly once,
// by Dispatch, a Refusal or Cancel.
type Queue struct {
	opts          Options
	ramp          *Ramp
	order         order
	running       int
	seq           uint64
	lastHeartbeat clock.Instant // last heartbeat of the server; zero before the first
	limit         pace.Limit    // rate that the server names
	returns       pace.Returns  // of callers that were refused for that rate
}

// heartbeatTimeout is the time without a heartbeat after which a server gets no
// further requests. A server announces itself every 400 ms, so an announcement is
// then half an interval overdue. A request sent to a frozen server blocks its shard
// until the request expires, also for the next owner after a takeover.
const heartbeatTimeout = 600 * time.Millisecond

// RecordHeartbeat records a heartbeat of the server: an announcement or an answer.
func (q *Queue) RecordHeartbeat(now clock.Instant) { q.lastHeartbeat = now }

// Unresponsive reports whether the server is unresponsive: the last heartbeat is older
// than heartbeatTimeout. It is false before the first heartbeat.
func (q *Queue) Unresponsive(now clock.Instant) bool {
	return q.lastHeartbeat != 0 && now.Sub(q.lastHeartbeat) > heartbeatTimeout
}

// ObserveLimit applies a response of the server, see pace.Limit.Observe.
func (q *Queue) ObserveLimit(now, sent clock.Instant, perS float64, named bool) (changed bool) {
	return q.limit.Observe(now, sent, perS, named)
}

// LearnLimit applies a limit that another daemon passed on, see pace.Limit.Learn.
func (q *Queue) LearnLimit(now clock.Instant, perS float64) (changed bool) {
	return q.limit.Learn(now, perS)
}

// Restart starts anew with a server that this process has not sent requests to.
func (q *Queue) Restart(now clock.Instant) {
	q.limit = pace.Limit{}
	q.limit.AwaitResponse(now)
}

// LimitPerS returns the limit that the server names, in requests per second, or 0.
func (q *Queue) LimitPerS() float64 { return q.limit.PerS() }

// SlotTime returns the time for which a run occupies a slot, see pace.Limit.SlotTime.
func (q *Queue) SlotTime(took time.Duration) time.Duration {
	return q.limit.SlotTime(took, q.ramp.slots)
}

// StartDelay returns the time until Dispatch may start a ticket again: after a shed, or
// when the server's limit has room. It is 0 if neither holds tickets back.
func (q *Queue) StartDelay(now clock.Instant) time.Duration {
	return max(q.Backoff(now), q.limit.Delay(now, q.running))
}

// New returns a queue for a backend server with no slots. Nothing runs before
// SetSlots is called.
func New(opts Options) *Queue {
	return &Queue{opts: opts, ramp: newRamp(opts.Ramp), order: newOrder(opts.Fair)}
}

// SetSlots sets the number of requests that the backend server can run at once.
func (q *Queue) SetSlots(now clock.Instant, slots int) { q.ramp.setSlots(now, slots) }

// MarkCold marks the backend server as cold and restarts the ramp.
func (q *Queue) MarkCold(now clock.Instant) { q.ramp.markCold(now) }

// Limit returns the maximum number of tickets that may run at once.
func (q *Queue) Limit() int { return q.ramp.limit }

// Slots returns the number of slots of the backend server.
func (q *Queue) Slots() int { return q.ramp.slots }

// Cold reports whether the backend server is treated as cold.
func (q *Queue) Cold() bool { return q.ramp.cold }

// Running returns the number of running tickets.
func (q *Queue) Running() int { return q.running }

// Backoff returns the remaining backoff after a shed, or zero if there is none.
// Dispatch starts nothing until the backoff is over.
func (q *Queue) Backoff(now clock.Instant) time.Duration { return q.ramp.backoffLeft(now) }

// Waiting returns the number of waiting tickets.
func (q *Queue) Waiting() int { return q.order.len() }

// Submit adds a ticket to the queue, or refuses it if it cannot meet its
// deadline. A full fair queue refuses the newest ticket of the team with the
// longest queue, possibly t itself; a full FIFO queue refuses t.
func (q *Queue) Submit(now clock.Instant, t *Ticket) []Refusal {
	if q.tooLate(now, t) {
		return []Refusal{{Ticket: t, Kind: outcome.DeadlineNotRun}}
	}
	if start := q.limit.Next(now, q.order.ahead(t.Team)); start > now && q.tooLate(start, t) {
		return []Refusal{{t, outcome.Overloaded, q.returns.Next(now, start, q.limit.PerS())}}
	}
	q.seq++
	t.seq = q.seq
	t.state = waiting
	q.order.push(t)
	if q.order.len() <= q.opts.MaxQueue {
		return nil
	}
	dropped := q.order.dropLongest()
	dropped.state = idle
	return []Refusal{{Ticket: dropped, Kind: outcome.Overloaded}}
}

// Dispatch starts waiting tickets up to the limit and the server's rate, and none during
// a backoff or
// while the backend server is unresponsive. It refuses tickets that it reaches
// and that can no longer meet their deadline.
func (q *Queue) Dispatch(now clock.Instant) (started []*Ticket, refused []Refusal) {
	if q.ramp.backoffLeft(now) > 0 || q.Unresponsive(now) {
		return nil, nil
	}
	for q.running < q.ramp.limit && q.limit.Delay(now, q.running) == 0 {
		t := q.order.pop()
		if t == nil {
			break
		}
		if q.tooLate(now, t) {
			t.state = idle
			refused = append(refused, Refusal{Ticket: t, Kind: outcome.DeadlineNotRun})
			continue
		}
		t.state = running
		t.began = now
		q.running++
		q.limit.Take(now)
		started = append(started, t)
	}
	return started, refused
}

// tooLate reports whether the time until t's deadline is over or shorter than the
// minimum that a request is expected to take.
func (q *Queue) tooLate(now clock.Instant, t *Ticket) bool {
	need := q.ramp.minExpected(now)
	return now >= t.Deadline || t.Deadline.Sub(now) < need
}

// Done ends the run of a started ticket. Any result but Failed counts as a
// heartbeat. Done has no effect if t is not running.
func (q *Queue) Done(now clock.Instant, t *Ticket, result Result) {
	if t.state != running {
		return
	}
	t.state = idle
	q.running--
	if result != Failed {
		q.RecordHeartbeat(now)
	}
	switch result {
	case Answered:
		q.ramp.answered(now, now.Sub(t.began))
	case Shed:
		q.ramp.shed(now, q.running)
	}
}

// Cancel removes a waiting ticket from the queue. It returns false if the ticket
// is not waiting.
func (q *Queue) Cancel(t *Ticket) bool {
	if t.state != waiting {
		return false
	}
	t.state = idle
	q.order.remove(t)
	return true
}

// RefuseLost refuses, with outcome.NotOwner, the waiting tickets whose shard is
// no longer held according to lost.
func (q *Queue) RefuseLost(lost func(view.ShardID) bool) []Refusal {
	var refused []Refusal
	for _, t := range q.order.filter(func(t *Ticket) bool { return !lost(t.Shard) }) {
		t.state = idle
		refused = append(refused, Refusal{Ticket: t, Kind: outcome.NotOwner})
	}
	return refused
}

// ServiceTime returns the moving average of recent service times, or zero
// before the first sample.
func (q *Queue) ServiceTime() time.Duration { return q.ramp.mean }
