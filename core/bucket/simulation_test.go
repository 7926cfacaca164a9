package bucket

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// simulation is a randomized simulation of a keeper and three caches, compared with
// the reference bucket. Demand comes in bursts, responses are delayed, lost or
// duplicated, keepers are lost, and clocks differ in rate.
type simulation struct {
	rand         *rand.Rand
	now          time.Duration
	limit        Limit
	keeper       *Bucket
	clocks       [4]hostClock // of the caches and the keeper
	caches       [3]*TokenCache
	responses    []delayedGrant
	granted      referenceBucket
	used         referenceBucket
	excessTokens float64 // tokens granted or used beyond rate·t + burst
}

type delayedGrant struct {
	due   time.Duration
	cache int
	q     *TokenRequest
	g     Grant
	lost  bool
}

func newSimulation(seed uint64) *simulation {
	w := &simulation{rand: rand.New(rand.NewPCG(seed, seed))}
	w.limit.Rate = 1 + 100*w.rand.Float64()
	w.limit.Burst = 1 + w.limit.Rate*(minLifetime.Seconds()+w.rand.Float64())
	for i := range w.clocks {
		w.clocks[i] = hostClock{1 - clockDrift + 2*clockDrift*w.rand.Float64()}
	}
	for i := range w.caches {
		w.caches[i] = &TokenCache{}
	}
	w.keeper = NewFull(w.keeperNow())
	w.keeper.Set(w.keeperNow(), w.limit)
	w.granted.tokens = w.limit.Burst
	w.used.tokens = w.limit.Burst
	return w
}

func (w *simulation) keeperNow() clock.Instant { return w.clocks[3].at(w.now) }

func (w *simulation) count(g *referenceBucket, n float64) {
	if !g.withinLimit(w.now, w.limit.Rate*(1+clockDrift), w.limit.Burst, n) {
		w.excessTokens = max(w.excessTokens, -g.tokens)
	}
}

// runDemand sends requests to one random cache for up to 400 steps.
func (w *simulation) runDemand() {
	i := w.rand.IntN(len(w.caches))
	demand := 3 * w.limit.Rate * w.rand.Float64()
	for range w.rand.IntN(400) {
		w.step()
		for w.rand.Float64() < demand*stepTime.Seconds() {
			demand *= 1 - w.rand.Float64()/100
			if v, _ := w.caches[i].Arrive(w.clocks[i].at(w.now), &Waiter{}); v == Taken {
				w.count(&w.used, 1)
			}
		}
		w.ask(i)
	}
}

const stepTime = 5 * time.Millisecond

// step advances time by stepTime and delivers the responses that are due.
func (w *simulation) step() {
	w.now += stepTime
	var later []delayedGrant
	for _, f := range w.responses {
		if f.due > w.now {
			later = append(later, f)
			continue
		}
		s := w.caches[f.cache]
		if f.lost {
			s.Fail(f.q)
			continue
		}
		taken, _, _ := s.ApplyGrant(w.clocks[f.cache].at(w.now), f.q, f.g)
		w.count(&w.used, float64(len(taken)))
		if w.rand.IntN(4) == 0 {
			f.due += time.Duration(w.rand.IntN(200)) * time.Millisecond
			later = append(later, f)
		}
	}
	w.responses = later
}

func (w *simulation) ask(i int) {
	q := w.caches[i].NextRequest(w.clocks[i].at(w.now))
	if q == nil {
		return
	}
	g := w.keeper.Take(w.keeperNow(), w.limit, float64(q.Need), float64(q.Extra))
	w.count(&w.granted, g.Tokens)
	delay := time.Duration(w.rand.IntN(10)) * time.Millisecond
	if w.rand.IntN(10) == 0 {
		delay = time.Duration(w.rand.IntN(600)) * time.Millisecond
	}
	w.responses = append(w.responses, delayedGrant{w.now + delay, i, q, g, w.rand.IntN(20) == 0})
}

// pause advances time without demand.
func (w *simulation) pause() {
	for range w.rand.IntN(200) {
		w.step()
	}
}

// replaceKeeper simulates the loss or freeze of the keeper and the empty start of the
// next one.
func (w *simulation) replaceKeeper() {
	w.clocks[3] = hostClock{1 - clockDrift + 2*clockDrift*w.rand.Float64()}
	w.keeper = NewEmpty(w.keeperNow())
	w.keeper.Set(w.keeperNow(), w.limit)
}

// releaseKeeper hands off the keeper's level to the next keeper. No tokens are granted
// while the message is in flight. In one case of three the release is abandoned, and
// the same keeper continues.
func (w *simulation) releaseKeeper() {
	level := w.keeper.Level(w.keeperNow())
	for range w.rand.IntN(100) {
		w.step()
	}
	if w.rand.IntN(3) == 0 {
		return
	}
	w.clocks[3] = hostClock{1 - clockDrift + 2*clockDrift*w.rand.Float64()}
	w.keeper = NewAtLevel(w.keeperNow(), level)
	w.keeper.Set(w.keeperNow(), w.limit)
}

func TestSimulationStaysWithinRateAndBurst(t *testing.T) {
	for seed := range uint64(200) {
		w := newSimulation(seed)
		for range 40 {
			w.runDemand()
			if w.rand.IntN(3) == 0 {
				w.pause()
			}
			if w.rand.IntN(4) == 0 {
				w.replaceKeeper()
			}
			if w.rand.IntN(4) == 0 {
				w.releaseKeeper()
			}
		}
		if w.excessTokens > 0 {
			t.Fatalf("seed %d: %v tokens beyond rate %v and burst %v", seed, w.excessTokens, w.limit.Rate, w.limit.Burst)
		}
	}
}
