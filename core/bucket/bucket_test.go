package bucket

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// referenceBucket is the reference model: a single bucket without network delay.
type referenceBucket struct {
	tokens float64
	at     time.Duration
}

// withinLimit takes n tokens and reports whether the total stays within rate·t + burst.
func (b *referenceBucket) withinLimit(now time.Duration, rate, burst, n float64) bool {
	b.tokens = min(burst, b.tokens+rate*(now-b.at).Seconds())
	b.at = now
	b.tokens -= n
	return b.tokens > -1e-6
}

const clockDrift = 0.02

// hostClock is the clock of a daemon's host, with a rate error.
type hostClock struct{ rate float64 }

func (h hostClock) at(now time.Duration) clock.Instant {
	return clock.Instant(float64(now+time.Hour) * h.rate)
}

// message is a keeper's response in flight.
type message struct {
	cache int
	req   *TokenRequest
	grant Grant
}

func TestGrantedTokensNeverExceedRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{
			Rate:  float64(rapid.IntRange(1, 200).Draw(t, "rate")),
			Burst: float64(rapid.IntRange(1, 300).Draw(t, "burst")),
		}
		strict := limit.Burst >= limit.bound() // the tokens used are bounded too
		drawHost := func() hostClock { return hostClock{rapid.Float64Range(1-clockDrift, 1+clockDrift).Draw(t, "clock")} }
		var now time.Duration
		granted, used := &referenceBucket{tokens: limit.Burst}, &referenceBucket{tokens: limit.Burst}
		keeperHost := drawHost()
		keeper := NewFull(keeperHost.at(now))
		keeper.Set(keeperHost.at(now), limit)
		type limiter struct {
			hostClock
			cache *TokenCache
		}
		var limiters []limiter
		for range 3 {
			limiters = append(limiters, limiter{drawHost(), &TokenCache{}})
		}
		var inFlight []message
		// use checks n tokens that a cache uses now.
		use := func(t *rapid.T, n int) {
			if strict && !used.withinLimit(now, limit.Rate*(1+clockDrift), limit.Burst, float64(n)) {
				t.Fatalf("%v tokens used beyond rate·t + burst", -used.tokens)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				l := rapid.SampledFrom(limiters).Draw(t, "limiter")
				for range rapid.IntRange(1, 50).Draw(t, "requests") {
					if v, _ := l.cache.Arrive(l.at(now), &Waiter{}); v == Taken {
						use(t, 1)
					}
				}
			},
			"ask": func(t *rapid.T) { // the keeper grants a slice; the response is in flight
				i := rapid.IntRange(0, 2).Draw(t, "limiter")
				q := limiters[i].cache.NextRequest(limiters[i].at(now))
				if q == nil {
					t.Skip()
				}
				g := keeper.Take(keeperHost.at(now), limit, float64(q.Need), float64(q.Extra))
				if !granted.withinLimit(now, limit.Rate*(1+clockDrift), limit.Burst, g.Tokens) {
					t.Fatalf("%v tokens granted beyond rate·t + burst", -granted.tokens)
				}
				inFlight = append(inFlight, message{i, q, g})
			},
			"deliver": func(t *rapid.T) { // delivers, loses or duplicates a response
				if len(inFlight) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "message")
				m := inFlight[i]
				l := limiters[m.cache]
				switch rapid.SampledFrom([]string{"once", "twice", "lost"}).Draw(t, "fate") {
				case "once":
					inFlight = append(inFlight[:i:i], inFlight[i+1:]...)
				case "lost":
					inFlight = append(inFlight[:i:i], inFlight[i+1:]...)
					l.cache.Fail(m.req)
					return
				}
				taken, _, _ := l.cache.ApplyGrant(l.at(now), m.req, m.grant)
				use(t, len(taken))
			},
			"keeper lost": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "gap")) * time.Millisecond
				keeperHost = drawHost()
				keeper = NewEmpty(keeperHost.at(now))
				keeper.Set(keeperHost.at(now), limit)
			},
			"keeper releases": func(t *rapid.T) {
				level := keeper.Level(keeperHost.at(now))
				now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "transit")) * time.Millisecond
				if rapid.Bool().Draw(t, "taken back") {
					return
				}
				keeperHost = drawHost()
				keeper = NewAtLevel(keeperHost.at(now), level)
				keeper.Set(keeperHost.at(now), limit)
			},
			"change": func(t *rapid.T) {
				strict = false
				granted.withinLimit(now, limit.Rate*(1+clockDrift), limit.Burst, 0)
				limit.Rate = float64(rapid.IntRange(1, 200).Draw(t, "rate"))
				limit.Burst = float64(rapid.IntRange(1, 300).Draw(t, "burst"))
				keeper.Set(keeperHost.at(now), limit)
				granted.tokens = min(granted.tokens, limit.Burst)
			},
			"sleep": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond
			},
		})
	})
}

func TestLowerRateCountsAtOnce(t *testing.T) {
	is := is.New(t)
	b := NewEmpty(0)
	at := func(s int) clock.Instant { return clock.Instant(s) * clock.Instant(time.Second) }
	b.Take(at(1), Limit{Rate: 100, Burst: 1000}, 0, 0)
	is.Equal(math.Round(b.tokens), 48.0) // nothing accrues until the previous keeper's slices have expired
	g := b.Take(at(2), Limit{Rate: 10, Burst: 1000}, 1000, 0)
	is.Equal(g.Tokens, 57.0)
	is.Equal(g.RetryAfter.Round(time.Millisecond), 50*time.Millisecond)
}

func TestSmallBurstGrantsSingleTokens(t *testing.T) {
	is := is.New(t)
	b := NewFull(0)
	limit := Limit{Rate: 50, Burst: 1}
	is.Equal(b.Take(0, limit, 1, 0).Tokens, 1.0)
	is.Equal(b.Take(0, limit, 1, 0).Tokens, 0.0)
	is.Equal(b.Take(clock.Instant(21*time.Millisecond), limit, 5, 5).Tokens, 1.0)
}

func TestLateGrantIsDiscarded(t *testing.T) {
	is := is.New(t)
	s := &TokenCache{}
	w := &Waiter{}
	v, _ := s.Arrive(1, w)
	is.Equal(v, Waiting)
	q := s.NextRequest(1)
	is.Equal(q.Need, 1)
	is.Equal(s.NextRequest(1), nil) // one slice request in flight at a time
	late := clock.Instant(1).Add(100 * time.Millisecond)
	taken, refused, _ := s.ApplyGrant(late, q, Grant{Tokens: 1, Lifetime: 100 * time.Millisecond})
	is.Equal(len(taken)+len(refused), 0)
	is.Equal(s.NextRequest(late).Need, 1) // requested again
	is.Equal(s.Available(late), 0)
}

func TestFailedSliceRequestKeepsRequestsWaiting(t *testing.T) {
	is := is.New(t)
	s := &TokenCache{}
	first, gone, second := &Waiter{}, &Waiter{}, &Waiter{}
	s.Arrive(1, first)
	s.Arrive(1, gone)
	q := s.NextRequest(1)
	s.Arrive(2, second)
	s.Cancel(gone)
	s.Fail(q)
	q = s.NextRequest(3)
	is.Equal(q.waiters, []*Waiter{first, second})
	_, short := s.Exhausted(3)
	is.True(!short) // they wait for a response
	taken, refused, wait := s.ApplyGrant(4, q, Grant{Tokens: 1, Lifetime: time.Second, RetryAfter: time.Second})
	is.Equal(taken, []*Waiter{first})
	is.Equal(refused, []*Waiter{second})
	is.Equal(wait, time.Second)
	v, _ := s.Arrive(5, &Waiter{})
	is.Equal(v, Refused) // the keeper has no token before the wait elapses
}

// TestOutageKeepsWaitingForAnEmptyKeeper checks that a request waits through the loss
// of a keeper and then for the first token of the next keeper.
func TestOutageKeepsWaitingForAnEmptyKeeper(t *testing.T) {
	is := is.New(t)
	s := &TokenCache{}
	w := &Waiter{}
	s.Arrive(1, w)
	s.Fail(s.NextRequest(1))
	now := clock.Instant(2 * time.Second)
	taken, refused, _ := s.ApplyGrant(now, s.NextRequest(now), Grant{Lifetime: minLifetime, RetryAfter: time.Second, Recover: recoveryPeriod})
	is.Equal(len(taken)+len(refused), 0)
	left, short := s.Exhausted(now)
	is.True(short && left == time.Second)
	is.Equal(s.NextRequest(now), nil)
	is.Equal(s.NextRequestAt(), now.Add(time.Second))
	q := s.NextRequest(s.NextRequestAt())
	taken, _, _ = s.ApplyGrant(q.Sent, q, Grant{Tokens: 1, Lifetime: minLifetime})
	is.Equal(taken, []*Waiter{w})
}

// TestOverRateAfterAnOutageIsRefused has requests wait while one slice request gets no
// response. The keeper that answers the next one has no tokens left but did not start
// empty, so all waiting requests are refused.
func TestOverRateAfterAnOutageIsRefused(t *testing.T) {
	is := is.New(t)
	s := &TokenCache{}
	first, second, third := &Waiter{}, &Waiter{}, &Waiter{}
	s.Arrive(1, first)
	s.Fail(s.NextRequest(1))
	s.Arrive(2, second)
	q := s.NextRequest(3)
	s.Arrive(4, third) // while the slice request is in flight
	taken, refused, wait := s.ApplyGrant(5, q, Grant{Lifetime: minLifetime, RetryAfter: maxTokenWait * 2})
	is.Equal(len(taken), 0)
	is.Equal(refused, []*Waiter{first, second, third})
	is.Equal(wait, maxTokenWait*2)
}

// TestTokenAvailableAfterWait checks that a slice request after the reported wait gets a
// token.
func TestTokenAvailableAfterWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{
			Rate:  float64(rapid.IntRange(1, 200).Draw(t, "rate")),
			Burst: float64(rapid.IntRange(1, 300).Draw(t, "burst")),
		}
		b := NewEmpty(0)
		now := clock.Instant(0)
		for range rapid.IntRange(1, 10).Draw(t, "questions") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			b.Take(now, limit, float64(rapid.IntRange(0, 300).Draw(t, "need")), 0)
		}
		g := b.Take(now, limit, 1000, 0)
		if g.RetryAfter == 0 || g.RetryAfter < maxWait && b.Take(now.Add(g.RetryAfter+time.Microsecond), limit, 1, 0).Tokens != 1 {
			t.Fatalf("no token after %v", g.RetryAfter)
		}
	})
}

// TestMovedBucketCountsOutstandingSlices checks that the outstanding slices of the
// previous keeper keep the bucket from filling until they expire.
func TestMovedBucketCountsOutstandingSlices(t *testing.T) {
	is := is.New(t)
	limit := Limit{Rate: 100, Burst: 100}
	ms := func(n int) clock.Instant { return clock.Instant(time.Duration(n) * time.Millisecond) }
	b := NewFull(0)
	is.Equal(b.Take(0, limit, 0, 40).Tokens, 40.0)
	next := NewAtLevel(ms(10), b.Level(ms(10)))
	is.Equal(next.Take(ms(100), limit, 100, 0).Tokens, 60.0)
	again := NewAtLevel(ms(10), b.Level(ms(10)))
	again.Set(ms(10), limit)
	is.Equal(again.Take(ms(310), limit, 100, 0).Tokens, 80.0) // accrues at the rate once the slices have expired
}

// TestRecoveryIsForTeamsWithinTheirRate checks that, after an empty start, the keeper
// lets requests wait only while a bucket that was never lost could have admitted them.
func TestRecoveryIsForTeamsWithinTheirRate(t *testing.T) {
	is := is.New(t)
	limit := Limit{Rate: 10, Burst: 20}
	ms := func(n int) clock.Instant { return clock.Instant(time.Duration(n) * time.Millisecond) }
	b := NewEmpty(0)
	b.Arrived(ms(0), limit, 39)
	is.Equal(b.Take(ms(0), limit, 39, 0).Recover, recoveryPeriod)
	b.Arrived(ms(1), limit, 100)
	is.Equal(b.Take(ms(1), limit, 100, 0).Recover, time.Duration(0))
	is.Equal(b.Take(ms(1000), limit, 100, 0).Recover, recoveryPeriod-time.Second) // within its rate again
	is.Equal(b.Take(ms(6000), limit, 100, 0).Recover, time.Duration(0))
}

func TestNextTokenOfAVerySlowTeamIsBounded(t *testing.T) {
	is := is.New(t)
	b := NewFull(0)
	g := b.Take(0, Limit{Rate: 1e-12, Burst: 1}, 5, 0)
	is.Equal(g.NextToken, maxNextToken)
	is.Equal(g.RetryAfter, maxWait)
}
