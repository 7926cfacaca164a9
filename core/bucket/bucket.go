// Package bucket implements the distributed token bucket of a team: Bucket at its
// keeper, TokenCache at each daemon that accepts the team's requests. A keeper grants
// tokens in slices; each slice expires after a lifetime.
//
// Both are pure state machines. Each call receives the current time of the local
// host's clock. Neither is safe for concurrent use.
package bucket

import (
	"math"
	"slices"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// Limit is the rate and the burst of a team.
type Limit struct {
	Rate  float64 // tokens per second
	Burst float64 // tokens
}

const (
	// maxLifetime and minLifetime bound the lifetime of a slice, counted from its
	// request.
	maxLifetime = 500 * time.Millisecond
	minLifetime = 50 * time.Millisecond
	// sliceBurstFraction is the fraction of the burst that is outstanding in slices
	// at full rate.
	sliceBurstFraction = 0.1
	// clockMargin is the fraction that the keeper adds to the lifetime of a slice,
	// because clocks differ in rate.
	clockMargin = 0.05
	// maxWait bounds the time for which a daemon refuses a team's requests
	// without a new slice request, and so the delay until a raised rate takes
	// effect.
	maxWait = time.Second
	// minWait is the minimum time until the next slice request. It bounds the number
	// of slice requests for one token.
	minWait = time.Millisecond
	// maxNextToken bounds the time to the next token that a refusal reports.
	maxNextToken = time.Hour
	// recoveryPeriod is the time after a keeper's empty start during which requests
	// wait for tokens instead of being refused.
	recoveryPeriod = 5 * time.Second
	// maxKeeperGap is the time without a keeper for which tokens count as due to
	// the team when the next keeper starts empty.
	maxKeeperGap = 2 * time.Second
)

// Lifetime returns the lifetime of a slice with prefetched tokens, counted from the
// sending of its request on the clock of the requesting daemon. A slice without
// prefetched tokens has the shortest lifetime.
func (t Limit) Lifetime() time.Duration {
	if t.Rate <= 0 {
		return minLifetime
	}
	lifetime := time.Duration(sliceBurstFraction * t.Burst / t.Rate * float64(time.Second))
	return min(max(lifetime, minLifetime), maxLifetime)
}

// bound returns the maximum number of tokens in the bucket and in slices together.
// It is the burst, or one token more than accrues within the shortest lifetime if
// that is greater: with a smaller bound, the rate could not be reached.
func (t Limit) bound() float64 {
	return max(t.Burst, 1+t.Rate*minLifetime.Seconds())
}

// outstanding is the tokens of a granted slice and its expiry at the keeper.
type outstanding struct {
	tokens float64
	until  clock.Instant
}

// Bucket is the token bucket of a team at its keeper. The limit may change between
// calls: the lower rate and burst apply to the time between two calls.
//
// Invariants, on the keepers' clocks: the tokens granted in any interval t, by a
// Bucket and by its successors that started empty or at its level, never exceed
// rate·t + burst. Nor do the tokens used, however late in the lifetime of their
// slices: the bucket does not fill while bucket and slices together hold the burst.
// If the burst is below Limit.bound, the tokens used may exceed it by the difference.
type Bucket struct {
	tokens      float64
	at          clock.Instant
	limit       Limit         // of the last call
	outstanding []outstanding // by ascending expiry
	full        bool          // starts with the burst of the first call's limit
	moved       bool          // starts with the level of another keeper's bucket

	recoveryEnd clock.Instant // end of the recovery period after an empty start
	// dueTokens is the upper bound on the level of a bucket that was never lost,
	// computed from the requests that arrived.
	dueTokens float64
}

// NewEmpty returns a bucket without tokens at now. A new keeper starts empty,
// because the previous one may have granted all tokens up to now.
func NewEmpty(now clock.Instant) *Bucket {
	return &Bucket{at: now, recoveryEnd: now.Add(recoveryPeriod)}
}

// NewFull returns a full bucket, for a team that cannot have been granted a token
// before.
func NewFull(now clock.Instant) *Bucket { return &Bucket{at: now, full: true} }

// Grant is the keeper's response to a slice request.
type Grant struct {
	Tokens           float64       // whole tokens
	Lifetime         time.Duration // lifetime of the tokens, see Limit.Lifetime
	PrefetchLifetime time.Duration // lifetime of prefetched tokens
	NextToken        time.Duration // until the next token, if fewer than needed were granted
	RetryAfter       time.Duration // until the next slice request: NextToken, at most maxWait
	// Recover is the time for which requests wait for tokens instead of being
	// refused, after an empty start.
	Recover time.Duration
}

// Set sets the limit in force. The first call of Set, Arrived or Take initializes the
// bucket and must precede any change of the limit.
func (b *Bucket) Set(now clock.Instant, limit Limit) { b.refill(now, limit) }

// Arrived records n requests that need a token for the first time.
func (b *Bucket) Arrived(now clock.Instant, limit Limit, n float64) {
	b.refill(now, limit)
	b.dueTokens = max(0, b.dueTokens-n)
}

// recoveryLeft returns the time for which requests wait for tokens after an empty
// start. It is zero for a team over its rate, because waiting would not help it.
func (b *Bucket) recoveryLeft(now clock.Instant) time.Duration {
	if b.dueTokens < 1 {
		return 0
	}
	return max(0, b.recoveryEnd.Sub(now))
}

// Take grants need whole tokens, or as many as are available, and up to extra more
// as long as half of the burst remains in the bucket.
func (b *Bucket) Take(now clock.Instant, limit Limit, need, extra float64) Grant {
	b.refill(now, limit)
	n := math.Floor(min(b.tokens, need))
	surplus := math.Floor(min(extra, b.tokens-n-limit.Burst/2))
	lifetime := minLifetime
	if n == need && surplus > 0 {
		n += surplus
		lifetime = limit.Lifetime()
	}
	n = max(n, 0)
	b.issue(n, lifetime)
	g := Grant{Tokens: n, Lifetime: lifetime, PrefetchLifetime: limit.Lifetime()}
	if n < need {
		g.NextToken = b.untilNext()
		g.RetryAfter = min(g.NextToken, maxWait)
		g.Recover = b.recoveryLeft(now)
	}
	return g
}

// issue moves tokens from the bucket to a slice. With maxOutstanding slices or more, it
// merges slices whose expiry is less than minLifetime/10 apart; the later expiry
// applies.
func (b *Bucket) issue(n float64, lifetime time.Duration) {
	if n == 0 {
		return
	}
	b.tokens -= n
	until := b.at.Add(keeperLifetime(lifetime))
	i := len(b.outstanding)
	for i > 0 && b.outstanding[i-1].until > until {
		i--
	}
	if len(b.outstanding) >= maxOutstanding && i > 0 && until.Sub(b.outstanding[i-1].until) < minLifetime/10 {
		b.outstanding[i-1] = outstanding{b.outstanding[i-1].tokens + n, until}
		return
	}
	b.outstanding = slices.Insert(b.outstanding, i, outstanding{n, until})
}

// maxOutstanding is the number of slices at or above which issue merges slices.
const maxOutstanding = 64

// keeperLifetime returns the lifetime of a slice on the keeper's clock, extended by
// clockMargin.
func keeperLifetime(lifetime time.Duration) time.Duration {
	return time.Duration(float64(lifetime) * (1 + clockMargin))
}

// refill accrues the tokens since the last call, in intervals between the expiries
// of slices.
func (b *Bucket) refill(now clock.Instant, limit Limit) {
	b.initialize(limit)
	rate := min(b.limit.Rate, limit.Rate)
	for len(b.outstanding) > 0 && b.outstanding[0].until <= now {
		b.accrue(b.outstanding[0].until, rate)
		b.outstanding = b.outstanding[1:]
	}
	b.accrue(now, rate)
	b.limit = limit
	b.cap()
}

// initialize sets up the bucket with the limit of its first call. After an empty
// start, the tokens that the previous keeper granted stay usable for the lifetime of
// a slice.
func (b *Bucket) initialize(limit Limit) {
	if b.limit != (Limit{}) {
		return
	}
	b.limit = limit
	switch {
	case b.full:
		b.tokens = limit.Burst
		return
	case b.moved:
		return
	}
	b.outstanding = []outstanding{{limit.Burst, b.at.Add(keeperLifetime(limit.Lifetime()))}}
	b.dueTokens = limit.maxDueTokens()
}

// maxDueTokens returns the maximum number of tokens that become due while there is
// no keeper.
func (t Limit) maxDueTokens() float64 { return t.Burst + t.Rate*maxKeeperGap.Seconds() }

// accrue adds the tokens from b.at until the given time.
func (b *Bucket) accrue(until clock.Instant, rate float64) {
	if until <= b.at {
		return
	}
	tokens := rate * until.Sub(b.at).Seconds()
	b.tokens += tokens
	b.dueTokens = min(b.dueTokens+tokens, b.limit.maxDueTokens())
	b.at = until
	b.cap()
}

func (b *Bucket) cap() { b.tokens = max(0, min(b.tokens, b.room())) }

// room returns the maximum number of tokens in the bucket given the outstanding
// slices.
func (b *Bucket) room() float64 {
	issued := 0.0
	for _, l := range b.outstanding {
		issued += l.tokens
	}
	return min(b.limit.Burst, b.limit.bound()-issued)
}

// untilNext returns the time until the bucket holds one more whole token, from
// minWait to maxNextToken. It advances a copy of the bucket from expiry to expiry.
func (b *Bucket) untilNext() time.Duration {
	if b.limit.Rate <= 0 {
		return maxNextToken
	}
	c := *b
	want := math.Floor(c.tokens) + 1
	for len(c.outstanding) > 0 && (c.room() < want || c.reachedAt(want) > c.outstanding[0].until) {
		c.accrue(c.outstanding[0].until, c.limit.Rate)
		c.outstanding = c.outstanding[1:]
	}
	return min(max(c.reachedAt(want).Sub(b.at), minWait), maxNextToken)
}

// reachedAt returns the time at which the bucket holds want tokens if its level is
// not capped.
func (b *Bucket) reachedAt(want float64) clock.Instant {
	seconds := min((want-b.tokens)/b.limit.Rate, maxNextToken.Seconds())
	return b.at.Add(time.Duration(seconds * float64(time.Second)))
}
