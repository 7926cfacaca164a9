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
func (c *TokenCache) Arrive(now clock.Instant, w *Waiter) (Verdict, time.Duration) {
	c.countArrival(now)
	if len(c.waiting) == 0 && c.take(now) {
		c.unreported++
		return Taken, 0
	}
	w.arrivedAt = now
	if wait := c.refuseUntil.Sub(now); wait > 0 && !c.mayWait(now, w, wait) {
		return Refused, max(wait, c.nextTokenAt.Sub(now))
	}
	if len(c.waiting) >= maxWaiters {
		return Refused, demandWindow
	}
	c.unreported++
	c.waiting = append(c.waiting, w)
	return Waiting, 0
}

// mayWait reports whether w may wait for the next token. One request at a time may
// wait up to maxTokenWait since its arrival; during the recovery from a keeper's
// empty start, all may.
func (c *TokenCache) mayWait(now clock.Instant, w *Waiter, wait time.Duration) bool {
	if now < c.recoverUntil {
		return true
	}
	return len(c.waiting) == 0 && now.Sub(w.arrivedAt)+wait <= maxTokenWait
}

// Exhausted returns the time to the next token and whether the keeper's latest grant
// reported too few tokens. If it reports false, requests wait for a response.
func (c *TokenCache) Exhausted(now clock.Instant) (time.Duration, bool) {
	return max(c.nextTokenAt.Sub(now), minWait), c.exhausted
}

// NextRequestAt returns the time from which on NextRequest may return a slice request for
// the waiting requests, or zero if none wait or a slice request is in flight.
func (c *TokenCache) NextRequestAt() clock.Instant {
	if c.pending != nil || len(c.waiting) == 0 {
		return 0
	}
	return max(c.refuseUntil, 1)
}

// Cancel removes w from the waiting requests. A token requested for w goes to another
// request.
func (c *TokenCache) Cancel(w *Waiter) {
	w.cancelled = true
	c.waiting = slices.DeleteFunc(c.waiting, func(o *Waiter) bool { return o == w })
}

// take uses one unexpired token and reports whether there was one.
func (c *TokenCache) take(now clock.Instant) bool {
	c.expire(now)
	if len(c.slices) == 0 {
		return false
	}
	c.slices[0].tokens--
	if c.slices[0].tokens == 0 {
		c.slices = c.slices[1:]
	}
	return true
}

func (c *TokenCache) expire(now clock.Instant) {
	c.slices = slices.DeleteFunc(c.slices, func(sl tokenSlice) bool { return now >= sl.until })
}

// Available returns the number of unexpired tokens at now.
func (c *TokenCache) Available(now clock.Instant) int {
	c.expire(now)
	total := 0
	for _, sl := range c.slices {
		total += sl.tokens
	}
	return total
}

// Idle reports whether the cache can be dropped without loss of state.
func (c *TokenCache) Idle(now clock.Instant) bool {
	return c.pending == nil && len(c.waiting) == 0 && c.Available(now) == 0 &&
		now >= c.refuseUntil && now.Sub(c.windowStart) > 10*demandWindow
}

// countArrival counts a request in the current window of the demand estimate.
func (c *TokenCache) countArrival(now clock.Instant) {
	c.advanceWindow(now)
	c.arrivals++
}

func (c *TokenCache) advanceWindow(now clock.Instant) {
	since := now.Sub(c.windowStart)
	switch {
	case since < demandWindow:
		return
	case since < 2*demandWindow:
		c.demand = c.arrivals / demandWindow.Seconds()
	default:
		c.demand = 0
	}
	c.arrivals = 0
	c.windowStart = now
}

// prefetchTarget returns the number of tokens to prefetch: the demand within half of
// a prefetched slice's lifetime, or zero below minPrefetch.
func (c *TokenCache) prefetchTarget(now clock.Instant) int {
	c.advanceWindow(now)
	tokens := c.demand * c.prefetchLifetime.Seconds() / 2
	if tokens < minPrefetch {
		return 0
	}
	return int(tokens)
}

// NextRequest returns the slice request to send now, or nil if none is needed, one is in
// flight, or the wait reported by the keeper has not elapsed.
func (c *TokenCache) NextRequest(now clock.Instant) *TokenRequest {
	if c.pending != nil || now < c.refuseUntil {
		return nil
	}
	extra := c.prefetchTarget(now)
	needPrefetch := extra > 0 && now >= c.prefetchFrom && c.Available(now) < extra/2
	if len(c.waiting) == 0 && !needPrefetch {
		return nil
	}
	q := &TokenRequest{Need: len(c.waiting), Extra: extra, Arrived: c.unreported, Demand: c.demand, Sent: now, waiters: c.waiting}
	c.waiting = nil
	c.pending = q
	return q
}

// ApplyGrant applies the keeper's response to q. It returns the requests that got a token
// and those that are refused until the returned duration has elapsed. The tokens of a
// response that arrives after the lifetime of its slice are lost.
func (c *TokenCache) ApplyGrant(now clock.Instant, q *TokenRequest, g Grant) (taken, refused []*Waiter, next time.Duration) {
	if q != c.pending {
		return nil, nil, 0
	}
	c.pending = nil
	c.unreported -= q.Arrived
	c.prefetchLifetime = g.PrefetchLifetime
	until := q.Sent.Add(g.Lifetime)
	late := now >= until
	if !late && g.Tokens > 0 {
		c.slices = append(c.slices, tokenSlice{tokens: int(g.Tokens), until: until})
		slices.SortFunc(c.slices, func(a, b tokenSlice) int { return int(a.until - b.until) })
	}
	c.exhausted = g.RetryAfter > 0
	if c.exhausted {
		c.refuseUntil = now.Add(g.RetryAfter)
		c.nextTokenAt = now.Add(max(g.NextToken, g.RetryAfter))
	}
	c.recoverUntil = now.Add(g.Recover)
	if int(g.Tokens) <= q.Need { // the keeper has no surplus
		c.prefetchFrom = now.Add(max(g.PrefetchLifetime, minLifetime))
	}
	waiters := append(slices.Clone(q.waiters), c.waiting...)
	c.waiting = nil
	for i, w := range waiters {
		switch {
		case w.cancelled:
		case c.take(now):
			taken = append(taken, w)
		case late && g.Tokens > 0 || !c.exhausted:
			c.waiting = append(c.waiting, waiters[i:]...)
			c.removeCancelled()
			return taken, refused, max(g.NextToken, g.RetryAfter)
		case c.mayWait(now, w, g.RetryAfter):
			c.waiting = append(c.waiting, w)
		default:
			refused = append(refused, w)
		}
	}
	return taken, refused, max(g.NextToken, g.RetryAfter)
}

// Fail records that q got no response. Its requests return to the head of the queue.
func (c *TokenCache) Fail(q *TokenRequest) {
	if q != c.pending {
		return
	}
	c.pending = nil
	c.exhausted = false
	c.prefetchFrom = q.Sent.Add(minLifetime)
	c.waiting = append(q.waiters, c.waiting...)
	c.removeCancelled()
}

func (c *TokenCache) removeCancelled() {
	c.waiting = slices.DeleteFunc(c.waiting, func(w *Waiter) bool { return w.cancelled })
}
