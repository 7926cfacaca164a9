package bucket

import (
	"slices"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

const (
	// demandWindow is the time over which demand is averaged.
	demandWindow = 500 * time.Millisecond
	// minPrefetch is the demand within a slice's life, in tokens, below which
	// nothing is asked for ahead.
	minPrefetch = 2
	// maxWaiters bounds the requests of a team that wait for tokens at one
	// daemon.
	maxWaiters = 4096
	// patience is the time for which one request at a time waits for the next
	// token instead of being refused.
	patience = 100 * time.Millisecond
)

// Waiter is a request that waits for a token.
type Waiter struct {
	// Data is the caller's own.
	Data  any
	since clock.Instant
	gone  bool
}

// slice is a number of tokens that may be used until an instant.
type slice struct {
	tokens int
	until  clock.Instant
}

// Stock is one team's supply of tokens at a daemon where requests enter. It
// asks for tokens by need, one question at a time.
//
// Invariant: a token leaves the stock at most once, and before the life of its
// slice has passed since the question for it was sent.
type Stock struct {
	slices  []slice // by ascending expiry
	waiting []*Waiter
	asked   *Question
	life    time.Duration // of tokens asked for ahead

	fresh    int     // requests that arrived and were not told to the keeper
	demand   float64 // tokens per second of late
	window   clock.Instant
	arrivals float64 // within the window

	refuseUntil clock.Instant // the keeper is not asked before
	nextAt      clock.Instant // of the keeper's next token, as it told last
	short       bool          // what the keeper told last is that it has no token
	aheadFrom   clock.Instant // nothing is asked for ahead before
	recoverTill clock.Instant // requests wait until then instead of being refused
}

// Question is a question to the keeper on its way.
type Question struct {
	Need    int
	Extra   int
	Arrived int     // requests since the last question that was answered
	Demand  float64 // tokens per second
	Sent    clock.Instant

	waiters []*Waiter
}

// Verdict is the immediate answer to a request.
type Verdict uint8

// Verdicts of Arrive.
const (
	Taken Verdict = iota
	Refused
	Waiting
)

// Arrive takes a token for a request. With Refused, the duration tells when to
// come again; with Waiting, the request waits as w.
func (s *Stock) Arrive(now clock.Instant, w *Waiter) (Verdict, time.Duration) {
	s.countArrival(now)
	if len(s.waiting) == 0 && s.take(now) {
		s.fresh++
		return Taken, 0
	}
	w.since = now
	if wait := s.refuseUntil.Sub(now); wait > 0 && !s.patient(now, w, wait) {
		return Refused, max(wait, s.nextAt.Sub(now))
	}
	if len(s.waiting) >= maxWaiters {
		return Refused, demandWindow
	}
	s.fresh++
	s.waiting = append(s.waiting, w)
	return Waiting, 0
}

// patient reports whether w may wait for the next token: one request at a time
// for a short time, all while a keeper recovers from an empty start.
func (s *Stock) patient(now clock.Instant, w *Waiter, wait time.Duration) bool {
	if now < s.recoverTill {
		return true
	}
	return len(s.waiting) == 0 && now.Sub(w.since)+wait <= patience
}

// Short returns the time to the next token, if a keeper's newest answer was
// that it has none. Otherwise requests wait for want of an answer.
func (s *Stock) Short(now clock.Instant) (time.Duration, bool) {
	return max(s.nextAt.Sub(now), minWait), s.short
}

// AskAt returns the instant at which Ask is worth calling again while requests
// wait and no question is on its way; zero if none wait.
func (s *Stock) AskAt() clock.Instant {
	if s.asked != nil || len(s.waiting) == 0 {
		return 0
	}
	return max(s.refuseUntil, 1)
}

// Cancel gives up waiting. A token that comes for w goes to another request.
func (s *Stock) Cancel(w *Waiter) {
	w.gone = true
	s.waiting = slices.DeleteFunc(s.waiting, func(o *Waiter) bool { return o == w })
}

// take uses one token that has not expired.
func (s *Stock) take(now clock.Instant) bool {
	s.expire(now)
	if len(s.slices) == 0 {
		return false
	}
	s.slices[0].tokens--
	if s.slices[0].tokens == 0 {
		s.slices = s.slices[1:]
	}
	return true
}

func (s *Stock) expire(now clock.Instant) {
	s.slices = slices.DeleteFunc(s.slices, func(sl slice) bool { return now >= sl.until })
}

// Held returns the tokens in stock at now.
func (s *Stock) Held(now clock.Instant) int {
	s.expire(now)
	total := 0
	for _, sl := range s.slices {
		total += sl.tokens
	}
	return total
}

// Idle reports whether nothing would be lost if the stock were forgotten.
func (s *Stock) Idle(now clock.Instant) bool {
	return s.asked == nil && len(s.waiting) == 0 && s.Held(now) == 0 &&
		now >= s.refuseUntil && now.Sub(s.window) > 10*demandWindow
}

// countArrival follows the demand: the mean over the last whole window, or
// that of the running window if it is higher.
func (s *Stock) countArrival(now clock.Instant) {
	s.turnWindow(now)
	s.arrivals++
}

func (s *Stock) turnWindow(now clock.Instant) {
	since := now.Sub(s.window)
	switch {
	case since < demandWindow:
		return
	case since < 2*demandWindow:
		s.demand = s.arrivals / demandWindow.Seconds()
	default:
		s.demand = 0
	}
	s.arrivals = 0
	s.window = now
}

// ahead returns the number of tokens worth having in stock.
func (s *Stock) ahead(now clock.Instant) int {
	s.turnWindow(now)
	tokens := s.demand * s.life.Seconds() / 2
	if tokens < minPrefetch {
		return 0
	}
	return int(tokens)
}

// Ask returns the question to send now, or nil if none is due or one is on its
// way.
func (s *Stock) Ask(now clock.Instant) *Question {
	if s.asked != nil || now < s.refuseUntil {
		return nil
	}
	extra := s.ahead(now)
	low := extra > 0 && now >= s.aheadFrom && s.Held(now) < extra/2
	if len(s.waiting) == 0 && !low {
		return nil
	}
	q := &Question{Need: len(s.waiting), Extra: extra, Arrived: s.fresh, Demand: s.demand, Sent: now, waiters: s.waiting}
	s.waiting = nil
	s.asked = q
	return q
}

// Answer takes in the keeper's answer to q and returns the requests that got a
// token and those that are refused until the returned duration has passed. An
// answer after the life of its slice is worth nothing; its tokens are spent.
func (s *Stock) Answer(now clock.Instant, q *Question, g Grant) (taken, refused []*Waiter, next time.Duration) {
	if q != s.asked {
		return nil, nil, 0
	}
	s.asked = nil
	s.fresh -= q.Arrived
	s.life = g.Ahead
	until := q.Sent.Add(g.Life)
	late := now >= until
	if !late && g.Tokens > 0 {
		s.slices = append(s.slices, slice{tokens: int(g.Tokens), until: until})
		slices.SortFunc(s.slices, func(a, b slice) int { return int(a.until - b.until) })
	}
	s.short = g.Wait > 0
	if s.short {
		s.refuseUntil = now.Add(g.Wait)
		s.nextAt = now.Add(max(g.Next, g.Wait))
	}
	s.recoverTill = now.Add(g.Recover)
	if int(g.Tokens) <= q.Need { // nothing to spare for now
		s.aheadFrom = now.Add(max(g.Ahead, minLife))
	}
	waiters := append(slices.Clone(q.waiters), s.waiting...)
	s.waiting = nil
	for i, w := range waiters {
		switch {
		case w.gone:
		case s.take(now):
			taken = append(taken, w)
		case late && g.Tokens > 0 || !s.short:
			s.waiting = append(s.waiting, waiters[i:]...)
			s.dropGone()
			return taken, refused, max(g.Next, g.Wait)
		case s.patient(now, w, g.Wait):
			s.waiting = append(s.waiting, w)
		default:
			refused = append(refused, w)
		}
	}
	return taken, refused, max(g.Next, g.Wait)
}

// Fail tells that q got no answer. Its requests wait again, first in line.
func (s *Stock) Fail(q *Question) {
	if q != s.asked {
		return
	}
	s.asked = nil
	s.short = false
	s.aheadFrom = q.Sent.Add(minLife)
	s.waiting = append(q.waiters, s.waiting...)
	s.dropGone()
}

func (s *Stock) dropGone() {
	s.waiting = slices.DeleteFunc(s.waiting, func(w *Waiter) bool { return w.gone })
}
