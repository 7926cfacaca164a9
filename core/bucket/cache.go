package bucket

import (
	"slices"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

const (
	// demandWindow is the time over which demand is averaged.
	demandWindow = 500 * time.Millisecond
	// minPrefetch is the prefetch target, in tokens, below which nothing is
	// prefetched.
	minPrefetch = 2
	// maxWaiters is the maximum number of a team's requests that wait for tokens
	// at one daemon.
	maxWaiters = 4096
	// maxTokenWait is the maximum time for which a single request waits for the
	// next token instead of being refused.
	maxTokenWait = 100 * time.Millisecond
)

// Waiter is a request that waits for a token.
type Waiter struct {
	// Data is opaque to this package.
	Data      any
	arrivedAt clock.Instant
	cancelled bool
}

// tokenSlice holds the unused tokens of a granted slice and their expiry.
type tokenSlice struct {
	tokens int
	until  clock.Instant
}

// TokenCache holds one team's tokens at a daemon that accepts its requests. It requests
// tokens from the keeper on demand, with one request in flight at a time.
//
// Invariant: a token is used at most once, and before the lifetime of its slice,
// counted from the sending of its request, has elapsed.
type TokenCache struct {
	slices           []tokenSlice // by ascending expiry
	waiting          []*Waiter
	pending          *TokenRequest
	prefetchLifetime time.Duration // lifetime of prefetched tokens

	unreported  int     // requests that arrived and were not reported to the keeper
	demand      float64 // tokens per second in the last complete window
	windowStart clock.Instant
	arrivals    float64 // in the current window

	refuseUntil  clock.Instant // no slice request is sent before this time
	nextTokenAt  clock.Instant // time of the keeper's next token, from its latest grant
	exhausted    bool          // the latest grant reported too few tokens
	prefetchFrom clock.Instant // nothing is prefetched before this time
	recoverUntil clock.Instant // requests wait until then instead of being refused (keeper recovery)
}

// TokenRequest is a slice request to the keeper that is in flight.
type TokenRequest struct {
	Need    int     // tokens for the waiting requests
	Extra   int     // tokens to prefetch
	Arrived int     // requests that arrived since the last answered slice request
	Demand  float64 // tokens per second
	Sent    clock.Instant

	waiters []*Waiter
}

// Verdict is the immediate result of a request for a token.
type Verdict uint8

// Verdicts of Arrive.
const (
	Taken Verdict = iota
	Refused
	Waiting
)

// Arrive takes a token for a request. With Refused, the duration is the time after
// which to retry. With Waiting, w is queued for a token.
func (s *TokenCache) Arrive(now clock.Instant, w *Waiter) (Verdict, time.Duration) {
	s.countArrival(now)
	if len(s.waiting) == 0 && s.take(now) {
		s.unreported++
		return Taken, 0
	}
	w.arrivedAt = now
	if wait := s.refuseUntil.Sub(now); wait > 0 && !s.mayWait(now, w, wait) {
		return Refused, max(wait, s.nextTokenAt.Sub(now))
	}
	if len(s.waiting) >= maxWaiters {
		return Refused, demandWindow
	}
	s.unreported++
	s.waiting = append(s.waiting, w)
	return Waiting, 0
}

// mayWait reports whether w may wait for the next token. One request at a time may
// wait up to maxTokenWait since its arrival; during the recovery from a keeper's
// empty start, all may.
func (s *TokenCache) mayWait(now clock.Instant, w *Waiter, wait time.Duration) bool {
	if now < s.recoverUntil {
		return true
	}
	return len(s.waiting) == 0 && now.Sub(w.arrivedAt)+wait <= maxTokenWait
}

// Exhausted returns the time to the next token and whether the keeper's latest grant
// reported too few tokens. If it reports false, requests wait for a response.
func (s *TokenCache) Exhausted(now clock.Instant) (time.Duration, bool) {
	return max(s.nextTokenAt.Sub(now), minWait), s.exhausted
}

// NextRequestAt returns the time from which on NextRequest may return a slice request for
// the waiting requests, or zero if none wait or a slice request is in flight.
func (s *TokenCache) NextRequestAt() clock.Instant {
	if s.pending != nil || len(s.waiting) == 0 {
		return 0
	}
	return max(s.refuseUntil, 1)
}

// Cancel removes w from the waiting requests. A token requested for w goes to another
// request.
func (s *TokenCache) Cancel(w *Waiter) {
	w.cancelled = true
	s.waiting = slices.DeleteFunc(s.waiting, func(o *Waiter) bool { return o == w })
}

// take uses one unexpired token and reports whether there was one.
func (s *TokenCache) take(now clock.Instant) bool {
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

func (s *TokenCache) expire(now clock.Instant) {
	s.slices = slices.DeleteFunc(s.slices, func(sl tokenSlice) bool { return now >= sl.until })
}

// Available returns the number of unexpired tokens at now.
func (s *TokenCache) Available(now clock.Instant) int {
	s.expire(now)
	total := 0
	for _, sl := range s.slices {
		total += sl.tokens
	}
	return total
}

// Idle reports whether the cache can be dropped without loss of state.
func (s *TokenCache) Idle(now clock.Instant) bool {
	return s.pending == nil && len(s.waiting) == 0 && s.Available(now) == 0 &&
		now >= s.refuseUntil && now.Sub(s.windowStart) > 10*demandWindow
}

// countArrival counts a request in the current window of the demand estimate.
func (s *TokenCache) countArrival(now clock.Instant) {
	s.advanceWindow(now)
	s.arrivals++
}

func (s *TokenCache) advanceWindow(now clock.Instant) {
	since := now.Sub(s.windowStart)
	switch {
	case since < demandWindow:
		return
	case since < 2*demandWindow:
		s.demand = s.arrivals / demandWindow.Seconds()
	default:
		s.demand = 0
	}
	s.arrivals = 0
	s.windowStart = now
}

// prefetchTarget returns the number of tokens to prefetch: the demand within half of
// a prefetched slice's lifetime, or zero below minPrefetch.
func (s *TokenCache) prefetchTarget(now clock.Instant) int {
	s.advanceWindow(now)
	tokens := s.demand * s.prefetchLifetime.Seconds() / 2
	if tokens < minPrefetch {
		return 0
	}
	return int(tokens)
}

// NextRequest returns the slice request to send now, or nil if none is needed, one is in
// flight, or the wait reported by the keeper has not elapsed.
func (s *TokenCache) NextRequest(now clock.Instant) *TokenRequest {
	if s.pending != nil || now < s.refuseUntil {
		return nil
	}
	extra := s.prefetchTarget(now)
	needPrefetch := extra > 0 && now >= s.prefetchFrom && s.Available(now) < extra/2
	if len(s.waiting) == 0 && !needPrefetch {
		return nil
	}
	q := &TokenRequest{Need: len(s.waiting), Extra: extra, Arrived: s.unreported, Demand: s.demand, Sent: now, waiters: s.waiting}
	s.waiting = nil
	s.pending = q
	return q
}

// ApplyGrant applies the keeper's response to q. It returns the requests that got a token
// and those that are refused until the returned duration has elapsed. The tokens of a
// response that arrives after the lifetime of its slice are lost.
func (s *TokenCache) ApplyGrant(now clock.Instant, q *TokenRequest, g Grant) (taken, refused []*Waiter, next time.Duration) {
	if q != s.pending {
		return nil, nil, 0
	}
	s.pending = nil
	s.unreported -= q.Arrived
	s.prefetchLifetime = g.PrefetchLifetime
	until := q.Sent.Add(g.Lifetime)
	late := now >= until
	if !late && g.Tokens > 0 {
		s.slices = append(s.slices, tokenSlice{tokens: int(g.Tokens), until: until})
		slices.SortFunc(s.slices, func(a, b tokenSlice) int { return int(a.until - b.until) })
	}
	s.exhausted = g.RetryAfter > 0
	if s.exhausted {
		s.refuseUntil = now.Add(g.RetryAfter)
		s.nextTokenAt = now.Add(max(g.NextToken, g.RetryAfter))
	}
	s.recoverUntil = now.Add(g.Recover)
	if int(g.Tokens) <= q.Need { // the keeper has no surplus
		s.prefetchFrom = now.Add(max(g.PrefetchLifetime, minLifetime))
	}
	waiters := append(slices.Clone(q.waiters), s.waiting...)
	s.waiting = nil
	for i, w := range waiters {
		switch {
		case w.cancelled:
		case s.take(now):
			taken = append(taken, w)
		case late && g.Tokens > 0 || !s.exhausted:
			s.waiting = append(s.waiting, waiters[i:]...)
			s.removeCancelled()
			return taken, refused, max(g.NextToken, g.RetryAfter)
		case s.mayWait(now, w, g.RetryAfter):
			s.waiting = append(s.waiting, w)
		default:
			refused = append(refused, w)
		}
	}
	return taken, refused, max(g.NextToken, g.RetryAfter)
}

// Fail records that q got no response. Its requests return to the head of the queue.
func (s *TokenCache) Fail(q *TokenRequest) {
	if q != s.pending {
		return
	}
	s.pending = nil
	s.exhausted = false
	s.prefetchFrom = q.Sent.Add(minLifetime)
	s.waiting = append(q.waiters, s.waiting...)
	s.removeCancelled()
}

func (s *TokenCache) removeCancelled() {
	s.waiting = slices.DeleteFunc(s.waiting, func(w *Waiter) bool { return w.cancelled })
}
