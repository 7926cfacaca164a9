// Package bucket implements the token bucket of a team: Bucket at the daemon
// that keeps it, Stock at each daemon where the team's requests enter.
//
// Both are pure state machines, take the current instant of their own host
// with each call and are not safe for concurrent use.
package bucket

import (
	"math"
	"slices"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// Terms are a team's limits.
type Terms struct {
	Rate  float64 // tokens per second
	Burst float64 // tokens
}

const (
	// maxLife and minLife bound the time for which a slice may be used after
	// it was asked for.
	maxLife = 500 * time.Millisecond
	minLife = 50 * time.Millisecond
	// lifeShare is the part of the burst that is in slices at full rate.
	lifeShare = 0.1
	// clockMargin is the part by which the keeper counts a slice's life
	// longer, for clocks that differ in rate.
	clockMargin = 0.05
	// maxWait bounds the time for which a daemon refuses a team's requests
	// without asking the keeper again, and so the time until a raised rate
	// counts.
	maxWait = time.Second
	// minWait bounds the questions about one token.
	minWait = time.Millisecond
	// never bounds the time to the next token that a refusal names.
	never = time.Hour
	// recovery is the time after a keeper's empty start in which requests wait
	// for tokens instead of being refused.
	recovery = 5 * time.Second
	// longestGap is the time without a keeper for which a team's requests count
	// as within its rate when the next one starts empty.
	longestGap = 2 * time.Second
)

// Life returns the time for which a slice with tokens asked for ahead may be
// used, counted from the sending of its request on the clock of the daemon
// that asked. Tokens that requests wait for get the shortest life.
func (t Terms) Life() time.Duration {
	if t.Rate <= 0 {
		return minLife
	}
	life := time.Duration(lifeShare * t.Burst / t.Rate * float64(time.Second))
	return min(max(life, minLife), maxLife)
}

// bound returns the most tokens in the bucket and in slices together. It is
// the burst, unless that is less than what flows within the shortest life:
// then the rate could not be reached.
func (t Terms) bound() float64 {
	return max(t.Burst, 1+t.Rate*minLife.Seconds())
}

// lent is a number of tokens that may be used until an instant.
type lent struct {
	tokens float64
	until  clock.Instant
}

// Bucket is the token bucket of a team at its keeper. Terms may change between
// calls: the lower ones count for the time between two calls.
//
// Invariants, on the keepers' clocks: the tokens handed out in any interval, by
// a Bucket and those that started empty or with its level after it, never pass rate·t + burst.
// Nor do the tokens used, however late in the lives of their slices: the bucket
// does not fill while bucket and slices together hold the burst. A burst below
// Terms.bound is passed by the difference.
type Bucket struct {
	tokens float64
	at     clock.Instant
	terms  Terms  // of the last call
	lent   []lent // by ascending expiry
	full   bool   // starts with the burst of the first call's terms
	moved  bool   // starts with the level of another keeper's bucket

	recovered clock.Instant // end of the recovery after an empty start
	// due is the most that a bucket which was never lost would hold, judged by
	// the requests that arrived.
	due float64
}

// NewEmpty returns a bucket without tokens at now. A new keeper starts empty:
// the one before it may have handed out everything up to now.
func NewEmpty(now clock.Instant) *Bucket {
	return &Bucket{at: now, recovered: now.Add(recovery)}
}

// NewFull returns a full bucket, for a team of which no token can have been
// handed out before.
func NewFull(now clock.Instant) *Bucket { return &Bucket{at: now, full: true} }

// Grant is the answer of a bucket.
type Grant struct {
	Tokens float64       // whole tokens
	Life   time.Duration // time for which they may be used, see Terms.Life
	Ahead  time.Duration // the life of tokens asked for ahead
	Next   time.Duration // until the next token, if fewer than needed were granted
	Wait   time.Duration // until the keeper is to be asked again: Next, but bounded
	// Recover is the time for which requests are to wait for tokens instead
	// of being refused, after an empty start.
	Recover time.Duration
}

// Set tells the terms in force. A bucket is set up by its first call of Set or
// Take, which must come before any change of the terms.
func (b *Bucket) Set(now clock.Instant, terms Terms) { b.refill(now, terms) }

// Arrived takes note of n requests that ask for tokens for the first time.
func (b *Bucket) Arrived(now clock.Instant, terms Terms, n float64) {
	b.refill(now, terms)
	b.due = max(0, b.due-n)
}

// recovery returns the time for which requests are to wait for tokens: none for
// a team that is over its rate, which waiting would not help.
func (b *Bucket) recovery(now clock.Instant) time.Duration {
	if b.due < 1 {
		return 0
	}
	return max(0, b.recovered.Sub(now))
}

// Take hands out need tokens, or as many as there are, and up to extra more as
// long as half of the burst stays in the bucket.
func (b *Bucket) Take(now clock.Instant, terms Terms, need, extra float64) Grant {
	b.refill(now, terms)
	n := math.Floor(min(b.tokens, need))
	spare := math.Floor(min(extra, b.tokens-n-terms.Burst/2))
	life := minLife
	if n == need && spare > 0 {
		n += spare
		life = terms.Life()
	}
	n = max(n, 0)
	b.lend(n, life)
	g := Grant{Tokens: n, Life: life, Ahead: terms.Life()}
	if n < need {
		g.Next = b.untilNext()
		g.Wait = min(g.Next, maxWait)
		g.Recover = b.recovery(now)
	}
	return g
}

// lend moves tokens from the bucket to a slice. When there are many slices,
// those of nearly the same expiry are counted as one that ends with the later.
func (b *Bucket) lend(n float64, life time.Duration) {
	if n == 0 {
		return
	}
	b.tokens -= n
	until := b.at.Add(keeperLife(life))
	i := len(b.lent)
	for i > 0 && b.lent[i-1].until > until {
		i--
	}
	if len(b.lent) >= maxLent && i > 0 && until.Sub(b.lent[i-1].until) < minLife/10 {
		b.lent[i-1] = lent{b.lent[i-1].tokens + n, until}
		return
	}
	b.lent = slices.Insert(b.lent, i, lent{n, until})
}

// maxLent is the number of slices from which on some are counted as one.
const maxLent = 64

// keeperLife returns a slice's life as the keeper counts it.
func keeperLife(life time.Duration) time.Duration {
	return time.Duration(float64(life) * (1 + clockMargin))
}

// refill adds the tokens of the time since the last call, slice by slice of
// those that ended meanwhile.
func (b *Bucket) refill(now clock.Instant, terms Terms) {
	b.start(terms)
	rate := min(b.terms.Rate, terms.Rate)
	for len(b.lent) > 0 && b.lent[0].until <= now {
		b.flow(b.lent[0].until, rate)
		b.lent = b.lent[1:]
	}
	b.flow(now, rate)
	b.terms = terms
	b.cap()
}

// start sets up the bucket by the terms of its first call. The tokens that
// went out from an earlier keeper may still be used for a slice's life.
func (b *Bucket) start(terms Terms) {
	if b.terms != (Terms{}) {
		return
	}
	b.terms = terms
	switch {
	case b.full:
		b.tokens = terms.Burst
		return
	case b.moved:
		return
	}
	b.lent = []lent{{terms.Burst, b.at.Add(keeperLife(terms.Life()))}}
	b.due = terms.mostDue()
}

// mostDue returns the tokens that can have become due while there was no keeper.
func (t Terms) mostDue() float64 { return t.Burst + t.Rate*longestGap.Seconds() }

// flow adds tokens up to an instant.
func (b *Bucket) flow(until clock.Instant, rate float64) {
	if until <= b.at {
		return
	}
	tokens := rate * until.Sub(b.at).Seconds()
	b.tokens += tokens
	b.due = min(b.due+tokens, b.terms.mostDue())
	b.at = until
	b.cap()
}

func (b *Bucket) cap() { b.tokens = max(0, min(b.tokens, b.room())) }

// room returns the most tokens that the bucket may hold beside the slices.
func (b *Bucket) room() float64 {
	out := 0.0
	for _, l := range b.lent {
		out += l.tokens
	}
	return min(b.terms.Burst, b.terms.bound()-out)
}

// untilNext returns the time until the bucket holds a whole token more. It
// lets time pass on a copy, slice by slice.
func (b *Bucket) untilNext() time.Duration {
	if b.terms.Rate <= 0 {
		return never
	}
	c := *b
	want := math.Floor(c.tokens) + 1
	for len(c.lent) > 0 && (c.room() < want || c.reaches(want) > c.lent[0].until) {
		c.flow(c.lent[0].until, c.terms.Rate)
		c.lent = c.lent[1:]
	}
	return min(max(c.reaches(want).Sub(b.at), minWait), never)
}

// reaches returns the instant at which the bucket holds want tokens if nothing
// caps it.
func (b *Bucket) reaches(want float64) clock.Instant {
	seconds := min((want-b.tokens)/b.terms.Rate, never.Seconds())
	return b.at.Add(time.Duration(seconds * float64(time.Second)))
}
