package link

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

const tick = time.Millisecond

// wire is the true link behind a Link: a queue of bytes that drains at its rate.
type wire struct {
	rate   float64 // bytes per second
	queued float64
	sent   float64 // bytes that have left it
}

func (w *wire) drain(d time.Duration) {
	n := min(w.queued, w.rate*d.Seconds())
	w.queued -= n
	w.sent += n
}

// play lets a Link carry what load offers in each millisecond, on a wire of the given rate.
// It returns the longest time for which a byte that is written last waits on the wire, from the
// time settle on.
func play(l *Link, w *wire, length, settle time.Duration, load func(now clock.Instant)) (longest time.Duration) {
	for now := clock.Instant(time.Second); now < clock.Instant(time.Second+length); now = now.Add(tick) {
		load(now)
		for {
			t, piece, _ := l.Grant(now)
			if t == nil {
				break
			}
			w.queued += float64(piece)
			if l.Await(t); t.Left() == 0 {
				l.Drop(t)
			}
		}
		w.drain(tick)
		if now > clock.Instant(time.Second+settle) {
			longest = max(longest, seconds(w.queued/w.rate))
		}
		if now%clock.Instant(100*time.Millisecond) == 0 {
			s := Sample{Outstanding: int64(w.queued), Active: 2}
			if w.queued >= CongestedBytes {
				s.Congested = 2
			}
			l.Observe(now, s)
		}
	}
	return longest
}

// overload offers 1.3 times the rate of a link as bulk, and small messages of a fifth of it.
func overload(l *Link, w *wire, rate float64) func(clock.Instant) {
	rng := rand.New(rand.NewPCG(1, 1))
	return func(now clock.Instant) {
		if rng.Float64() < 1.3*rate*tick.Seconds()/90e3 && len(l.transfers) < 50 {
			l.Await(l.Offer(now, 2, 30_000+rng.IntN(120_000)))
		}
		if rng.Float64() < 0.2*rate*tick.Seconds()/1500 {
			l.CountSmall(now, 1500)
			w.queued += 1500
		}
	}
}

// Bulk that fills the buffers of a link delays small messages by hundreds of milliseconds. Paced,
// it leaves the time of a piece and a few small messages.
func TestSmallMessagesDoNotWaitBehindBulk(t *testing.T) {
	is := is.New(t)
	l, w := New(10), &wire{rate: 10e6 / 8}
	longest := play(l, w, 20*time.Second, 0, overload(l, w, w.rate))
	is.True(longest < 20*time.Millisecond)
	is.True(w.sent > 0.8*paceShare*w.rate*20) // the link is used
	is.Equal(l.Mbps(), 10.0)                  // and its rate is not in doubt
}

// A link that is slower than its setting, or becomes so, fills its buffers until its rate is
// known: within two seconds, and back once it is as fast as the setting.
func TestRateFollowsASlowerLink(t *testing.T) {
	is := is.New(t)
	l, w := New(10), &wire{rate: 5e6 / 8}
	load := overload(l, w, 10e6/8)
	play(l, w, 2*time.Second, 0, load)
	is.True(l.Mbps() > 4 && l.Mbps() < 6.5)
	longest := play(l, w, 20*time.Second, 8*time.Second, load)
	is.True(longest < 150*time.Millisecond)
	w.rate = 10e6 / 8
	play(l, w, 30*time.Second, 0, load)
	is.True(l.Mbps() > 9)
}

// A connection whose caller reads nothing has bytes outstanding for long. It says nothing about
// the link.
func TestUnreadConnectionDoesNotLowerTheRate(t *testing.T) {
	is := is.New(t)
	l := New(10)
	for now := clock.Instant(time.Second); now < clock.Instant(10*time.Second); now = now.Add(100 * time.Millisecond) {
		l.CountSmall(now, 1000)
		l.Observe(now, Sample{Outstanding: 500_000, Active: 3, Congested: 1})
	}
	is.Equal(l.Mbps(), 10.0)
}

// A transfer of a low rank must neither starve nor, once begun, stop for so long that its peer
// takes the session for dead.
func TestNoRankStarves(t *testing.T) {
	is := is.New(t)
	l, w := New(10), &wire{rate: 10e6 / 8}
	low := l.Offer(clock.Instant(time.Second), 9, 100_000)
	l.Await(low)
	var last clock.Instant
	var longest time.Duration
	left := low.Left()
	play(l, w, 4*time.Second, 0, func(now clock.Instant) {
		for len(l.transfers) < 20 {
			l.Await(l.Offer(now, 1, 90_000))
		}
		if low.Left() < left {
			if last > 0 && left > 0 {
				longest = max(longest, now.Sub(last))
			}
			left, last = low.Left(), now
		}
	})
	is.Equal(low.Left(), 0)
	is.True(longest > 0 && longest < 300*time.Millisecond)
}

func TestSizesOfRoutes(t *testing.T) {
	is := is.New(t)
	s := NewSizes()
	size, _, large := s.Expected("a", true)
	is.True(size == bulkSize && large)
	for range minSizes {
		s.Record("small", 2000)
		s.Record("learned", 60_000)
	}
	size, spread, large := s.Expected("small", false)
	is.True(size == 2000 && spread == 0 && !large)
	size, _, large = s.Expected("learned", false)
	is.True(size == 60_000 && large)
	size, _, large = s.Expected("unknown", false)
	is.True(size > 2000 && size < 60_000 && !large) // the mean of all routes
}
