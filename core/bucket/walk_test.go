package bucket

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// walk is a long random run of a keeper and three stocks beside the single
// global bucket: demand comes in bursts, answers are late, lost or repeated,
// keepers are lost, clocks differ in rate.
type walk struct {
	rand    *rand.Rand
	now     time.Duration
	terms   Terms
	keeper  *Bucket
	clocks  [4]host // of the stocks and the keeper
	stocks  [3]*Stock
	flights []flight
	granted global
	used    global
	over    float64 // tokens handed out or used beyond the limit
}

type flight struct {
	due   time.Duration
	stock int
	q     *Question
	g     Grant
	lost  bool
}

func newWalk(seed uint64) *walk {
	w := &walk{rand: rand.New(rand.NewPCG(seed, seed))}
	w.terms.Rate = 1 + 100*w.rand.Float64()
	w.terms.Burst = 1 + w.terms.Rate*(minLife.Seconds()+w.rand.Float64())
	for i := range w.clocks {
		w.clocks[i] = host{1 - drift + 2*drift*w.rand.Float64()}
	}
	for i := range w.stocks {
		w.stocks[i] = &Stock{}
	}
	w.keeper = NewFull(w.keeperNow())
	w.keeper.Set(w.keeperNow(), w.terms)
	w.granted.tokens = w.terms.Burst
	w.used.tokens = w.terms.Burst
	return w
}

func (w *walk) keeperNow() clock.Instant { return w.clocks[3].at(w.now) }

func (w *walk) count(g *global, n float64) {
	if !g.take(w.now, w.terms.Rate*(1+drift), w.terms.Burst, n) {
		w.over = max(w.over, -g.tokens)
	}
}

// busy has demand at one stock for a while.
func (w *walk) busy() {
	i := w.rand.IntN(len(w.stocks))
	demand := 3 * w.terms.Rate * w.rand.Float64()
	for range w.rand.IntN(400) {
		w.step()
		for w.rand.Float64() < demand*stepTime.Seconds() {
			demand *= 1 - w.rand.Float64()/100
			if v, _ := w.stocks[i].Arrive(w.clocks[i].at(w.now), &Waiter{}); v == Taken {
				w.count(&w.used, 1)
			}
		}
		w.ask(i)
	}
}

const stepTime = 5 * time.Millisecond

// step lets time pass and delivers what is due.
func (w *walk) step() {
	w.now += stepTime
	var later []flight
	for _, f := range w.flights {
		if f.due > w.now {
			later = append(later, f)
			continue
		}
		s := w.stocks[f.stock]
		if f.lost {
			s.Fail(f.q)
			continue
		}
		taken, _, _ := s.Answer(w.clocks[f.stock].at(w.now), f.q, f.g)
		w.count(&w.used, float64(len(taken)))
		if w.rand.IntN(4) == 0 {
			f.due += time.Duration(w.rand.IntN(200)) * time.Millisecond
			later = append(later, f)
		}
	}
	w.flights = later
}

func (w *walk) ask(i int) {
	q := w.stocks[i].Ask(w.clocks[i].at(w.now))
	if q == nil {
		return
	}
	g := w.keeper.Take(w.keeperNow(), w.terms, float64(q.Need), float64(q.Extra))
	w.count(&w.granted, g.Tokens)
	delay := time.Duration(w.rand.IntN(10)) * time.Millisecond
	if w.rand.IntN(10) == 0 {
		delay = time.Duration(w.rand.IntN(600)) * time.Millisecond
	}
	w.flights = append(w.flights, flight{w.now + delay, i, q, g, w.rand.IntN(20) == 0})
}

// pause lets time pass without demand.
func (w *walk) pause() {
	for range w.rand.IntN(200) {
		w.step()
	}
}

// replaceKeeper has the keeper lost or frozen, and another one start.
func (w *walk) replaceKeeper() {
	w.clocks[3] = host{1 - drift + 2*drift*w.rand.Float64()}
	w.keeper = NewEmpty(w.keeperNow())
	w.keeper.Set(w.keeperNow(), w.terms)
}

// releaseKeeper has the keeper hand its level to another one. The message takes
// a while, in which nobody hands out tokens; or it is not sent in the end, and
// the same keeper goes on.
func (w *walk) releaseKeeper() {
	level := w.keeper.Level(w.keeperNow())
	for range w.rand.IntN(100) {
		w.step()
	}
	if w.rand.IntN(3) == 0 {
		return
	}
	w.clocks[3] = host{1 - drift + 2*drift*w.rand.Float64()}
	w.keeper = NewAt(w.keeperNow(), level)
	w.keeper.Set(w.keeperNow(), w.terms)
}

func TestWalkStaysWithinRateAndBurst(t *testing.T) {
	for seed := range uint64(200) {
		w := newWalk(seed)
		for range 40 {
			w.busy()
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
		if w.over > 0 {
			t.Fatalf("seed %d: %v tokens beyond rate %v and burst %v", seed, w.over, w.terms.Rate, w.terms.Burst)
		}
	}
}
