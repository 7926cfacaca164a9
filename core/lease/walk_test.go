package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// rules are the safety rules of the protocol; a walk with one left out must
// find a lease that is held after its lapse.
type rules struct {
	margin, abstain, refuse, waitUnknown, freshSeals, breakForGood, firstDeadline, firstPromise bool
}

var allRules = rules{true, true, true, true, true, true, true, true}

// walkFaults are the odds of faults per step of a millisecond.
type walkFaults struct {
	drift                       float64
	lose, late                  float64 // per message
	restart, pause, cut, newAsk float64 // per step
	ackless                     float64 // odds that a walk starts without acknowledgements for a while
	forget                      bool    // partitions about as long as seals are remembered
}

// lateBy is the longest delay of a late message.
const lateBy = 3 * time.Second

// walkHost is a host with its own clock rate and pauses.
type walkHost struct {
	rate   float64
	base   time.Duration
	paused time.Duration
	cut    time.Duration // its link to the holder is cut until then
}

type leaseWalk struct {
	rng       *rand.Rand
	rules     rules
	faults    walkFaults
	params    Params
	now       time.Duration
	queue     map[time.Duration][]func()
	hosts     [5]walkHost // three witnesses, the holder, the asker
	witnesses [3]*Witness
	holder    *Holder
	sealer    *Sealer
	lapsed    time.Duration
	lostAcks  time.Duration
}

const (
	holderHost = 3
	askerHost  = 4
	walkInc    = 9
	walkTick   = 10 * time.Millisecond
)

var walkNames = []string{"w0", "w1", "w2"}

func newLeaseWalk(seed uint64, r rules, f walkFaults) *leaseWalk {
	w := &leaseWalk{
		rng: rand.New(rand.NewPCG(seed, 1)), rules: r, faults: f, queue: map[time.Duration][]func(){},
		params: Params{Term: 1200 * time.Millisecond, Renew: 400 * time.Millisecond, Drift: max(0.01, f.drift)},
	}
	if !r.margin {
		w.params.Drift = 0
	}
	for i := range w.hosts {
		w.hosts[i] = walkHost{rate: 1 + f.drift*(2*w.rng.Float64()-1), base: time.Duration(1+w.rng.IntN(99)) * time.Hour}
	}
	for i := range w.witnesses {
		w.witnesses[i] = NewWitness(w.params, w.clock(i)-clock.Instant(time.Hour))
	}
	w.newHolder()
	if w.rng.Float64() < f.ackless {
		w.lostAcks = time.Duration(w.rng.Int64N(int64(4 * time.Second)))
	}
	return w
}

func (w *leaseWalk) newHolder() {
	sent := w.clock(holderHost)
	if !w.rules.firstDeadline {
		sent = sent.Add(time.Hour)
	}
	w.holder = NewHolder(w.params, sent, walkNames)
}

func (w *leaseWalk) clock(host int) clock.Instant {
	h := &w.hosts[host]
	return clock.Instant(h.base + time.Duration(float64(w.now)*h.rate))
}

func (w *leaseWalk) chance(p float64) bool { return w.rng.Float64() < p }

func (w *leaseWalk) upTo(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d))) }

// send runs deliver after the message's travel, once its receiver runs.
func (w *leaseWalk) send(to int, deliver func()) {
	if w.chance(w.faults.lose) {
		return
	}
	after := walkTick
	if w.chance(w.faults.late) {
		after += w.upTo(lateBy)
	}
	w.at(after, to, deliver)
	if w.chance(w.faults.late) {
		w.at(after+w.upTo(lateBy), to, deliver)
	}
}

func (w *leaseWalk) at(after time.Duration, to int, deliver func()) {
	due := (w.now + after).Truncate(walkTick)
	w.queue[due] = append(w.queue[due], func() {
		if left := w.hosts[to].paused - w.now; left > 0 {
			w.at(left+walkTick, to, deliver)
			return
		}
		deliver()
	})
}

func (w *leaseWalk) renew() {
	w.mend()
	for _, r := range w.holder.Tick(w.clock(holderHost)) {
		i := int(r.Witness[1] - '0')
		if w.hosts[i].cut > w.now {
			continue
		}
		w.send(i, func() { w.renewal(i, r) })
	}
}

func (w *leaseWalk) renewal(i int, r Renewal) {
	ack, refused := w.witnesses[i].Renew(w.clock(i), walkInc, r.Joining && w.rules.firstPromise)
	if refused && !w.rules.refuse {
		ack = true
	}
	if !ack || w.now < w.lostAcks || w.hosts[i].cut > w.now {
		return
	}
	w.send(holderHost, func() {
		w.mend()
		w.holder.Ack(w.clock(holderHost), r.Witness, r.Seq)
	})
}

// mend lets a holder whose lease ended go on, if that rule is left out.
func (w *leaseWalk) mend() {
	now := w.clock(holderHost)
	if w.rules.breakForGood || w.holder.deadline > now {
		return
	}
	w.holder.broken = false
	w.holder.deadline = 0
	w.holder.joinSent = now.Add(time.Hour)
}

func (w *leaseWalk) ask() {
	if w.sealer == nil {
		return
	}
	for _, r := range w.sealer.Tick(w.clock(askerHost)) {
		sealer := w.sealer
		i := int(r.Witness[1] - '0')
		w.send(i, func() {
			state, wait := w.seal(i)
			w.send(askerHost, func() { sealer.Answer(w.clock(askerHost), r.Witness, r.Seq, state, wait) })
		})
	}
	if w.lapsed == 0 && w.sealer.Lapsed(w.clock(askerHost)) {
		w.lapsed = w.now
	}
}

func (w *leaseWalk) seal(i int) (SealState, time.Duration) {
	witness := w.witnesses[i]
	if _, known := witness.promises[walkInc]; !known && !w.rules.waitUnknown {
		witness.promises[walkInc] = &promise{}
	}
	return witness.Seal(w.clock(i), walkInc)
}

func (w *leaseWalk) disturb() {
	if w.chance(w.faults.restart) {
		i := w.rng.IntN(len(w.witnesses))
		started := w.clock(i)
		if !w.rules.abstain {
			started -= clock.Instant(time.Hour)
		}
		w.witnesses[i] = NewWitness(w.params, started)
	}
	if w.chance(w.faults.pause) {
		h := &w.hosts[w.rng.IntN(len(w.hosts))]
		h.paused = w.now + w.upTo(3*time.Second)
	}
	if w.chance(w.faults.cut) {
		length := w.upTo(4 * time.Second)
		if w.faults.forget {
			length += forgetTerms * w.params.Term
		}
		w.hosts[w.rng.IntN(len(w.witnesses))].cut = w.now + length
	}
	if w.sealer == nil || w.chance(w.faults.newAsk) {
		p := w.params
		if !w.rules.freshSeals {
			p.Term *= 50
		}
		w.sealer = NewSealer(p, walkNames)
	}
}

// run walks for length of virtual time. It returns an error when the lease is
// held at or after its lapse.
func (w *leaseWalk) run(length time.Duration) error {
	for ; w.now < length; w.now += walkTick {
		due := w.queue[w.now]
		delete(w.queue, w.now)
		for _, deliver := range due {
			deliver()
		}
		w.disturb()
		if w.hosts[holderHost].paused <= w.now {
			w.renew()
		}
		if w.hosts[askerHost].paused <= w.now {
			w.ask()
		}
		if w.lapsed != 0 && w.holder.deadline > w.clock(holderHost) && !w.holder.broken {
			return fmt.Errorf("lapsed at %v, held at %v", w.lapsed, w.now)
		}
		if w.over() {
			return nil
		}
	}
	return nil
}

// over reports whether the lease can never be held again.
func (w *leaseWalk) over() bool {
	return w.rules.breakForGood && w.hosts[holderHost].paused <= w.now && w.holder.Broken(w.clock(holderHost))
}

// usualFaults is a mix of faults without emphasis.
var usualFaults = walkFaults{drift: 0.02, lose: 0.15, late: 0.05, restart: 0.004, pause: 0.004, cut: 0.004, newAsk: 0.003, ackless: 0.3}

func TestNoLeaseIsHeldAfterItsLapse(t *testing.T) {
	f := usualFaults
	for seed := range uint64(3000) {
		f.forget = seed%3 == 0
		if err := newLeaseWalk(seed, allRules, f).run(90 * time.Second); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

func TestEachRuleIsNeeded(t *testing.T) {
	stormy := usualFaults
	stormy.restart = 0.02
	stormy.ackless = 0.8
	skewed := usualFaults
	skewed.drift = 0.15
	// Cuts and restarts that a lease outlives.
	mild := walkFaults{drift: 0.01, lose: 0.05, restart: 0.002, cut: 0.004}
	tests := []struct {
		name   string
		faults walkFaults
		drop   func(*rules)
		first  uint64 // seed to start from
	}{
		{"drift margin", skewed, func(r *rules) { r.margin = false }, 0},
		{"abstain after start", stormy, func(r *rules) { r.abstain = false }, 0},
		{"refuse after a seal", usualFaults, func(r *rules) { r.refuse = false }, 0},
		{"unknown incarnations wait", stormy, func(r *rules) { r.waitUnknown = false }, 0},
		{"seals no older than a term", mild, func(r *rules) { r.freshSeals = false }, 0},
		{"a broken lease is never mended", usualFaults, func(r *rules) { r.breakForGood = false }, 0},
		{"deadline of the first lease", stormy, func(r *rules) { r.firstDeadline = false }, 15_550},
		{"longer promise to a joining incarnation", stormy, func(r *rules) { r.firstPromise = false }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := allRules
			tt.drop(&r)
			for seed := tt.first; seed < tt.first+20_000; seed++ {
				err := newLeaseWalk(seed, r, tt.faults).run(90 * time.Second)
				if err == nil {
					continue
				}
				t.Logf("seed %d: %v", seed, err)
				if err := newLeaseWalk(seed, allRules, tt.faults).run(90 * time.Second); err != nil {
					t.Fatalf("with all rules: seed %d: %v", seed, err)
				}
				return
			}
			t.Fatal("no counterexample without the rule")
		})
	}
}

// TestSealOutlivesItsAnswer: an asker counts a seal for a term after its
// request, so the witness must not forget it before, however old the promise.
func TestSealOutlivesItsAnswer(t *testing.T) {
	is := is.New(t)
	for _, broken := range []bool{false, true} {
		p := Params{Term: time.Second, Renew: time.Second / 3, Drift: 0.01}
		w := NewWitness(p, 1)
		now := clock.Instant(time.Hour)
		w.Renew(now, walkInc, false)
		now = now.Add(p.Term + forgetTerms*p.Term - time.Millisecond)
		state, _ := w.Seal(now, walkInc)
		is.Equal(state, Sealed)
		if broken {
			seen := w.promises[walkInc]
			seen.forget = seen.until.Add(forgetTerms * p.Term)
		}
		now = now.Add(p.Term / 2)
		w.Expired(now)
		ack, refused := w.Renew(now, walkInc, false)
		is.Equal(ack, broken)
		is.Equal(refused, !broken)
	}
}
