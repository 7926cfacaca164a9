package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// rules are the safety rules of the protocol. A simulation with one of
// them disabled must find a lease that is held after it lapsed.
type rules struct {
	margin, abstain, refuse, waitUnknown, freshSeals, lossIsFinal, firstDeadline, firstPromise bool
}

var allRules = rules{true, true, true, true, true, true, true, true}

// faultRates are the probabilities of faults in a simulation.
type faultRates struct {
	drift                          float64
	loss, late                     float64 // per message
	restart, pause, cut, newSealer float64 // per step of simTick
	ackOutage                      float64 // probability that acknowledgements are lost at the start of the simulation
	longCuts                       bool    // cuts last about as long as a witness retains seals
}

// maxExtraDelay bounds the additional delay of a late message.
const maxExtraDelay = 3 * time.Second

// simHost is a simulated host with its own clock rate and pauses.
type simHost struct {
	rate        float64
	base        time.Duration
	pausedUntil time.Duration
	cut         time.Duration // end of the cut of its link to the holder
}

type leaseSimulation struct {
	rng           *rand.Rand
	rules         rules
	faults        faultRates
	params        Params
	now           time.Duration
	queue         map[time.Duration][]func()
	hosts         [5]simHost // three witnesses, the holder, the sealer
	witnesses     [3]*Witness
	holder        *Holder
	sealer        *Sealer
	lapsedAt      time.Duration
	acksLostUntil time.Duration
}

const (
	holderHost     = 3
	sealerHost     = 4
	simIncarnation = 9
	simTick        = 10 * time.Millisecond
)

var simWitnesses = []string{"w0", "w1", "w2"}

func newLeaseSimulation(seed uint64, r rules, f faultRates) *leaseSimulation {
	w := &leaseSimulation{
		rng: rand.New(rand.NewPCG(seed, 1)), rules: r, faults: f, queue: map[time.Duration][]func(){},
		params: Params{Term: 1200 * time.Millisecond, Renew: 400 * time.Millisecond, Drift: max(0.01, f.drift)},
	}
	if !r.margin {
		w.params.Drift = 0
	}
	for i := range w.hosts {
		w.hosts[i] = simHost{rate: 1 + f.drift*(2*w.rng.Float64()-1), base: time.Duration(1+w.rng.IntN(99)) * time.Hour}
	}
	for i := range w.witnesses {
		w.witnesses[i] = NewWitness(w.params, w.clock(i)-clock.Instant(time.Hour))
	}
	w.newHolder()
	if w.rng.Float64() < f.ackOutage {
		w.acksLostUntil = time.Duration(w.rng.Int64N(int64(4 * time.Second)))
	}
	return w
}

func (w *leaseSimulation) newHolder() {
	sent := w.clock(holderHost)
	if !w.rules.firstDeadline {
		sent = sent.Add(time.Hour)
	}
	w.holder = NewHolder(w.params, sent, simWitnesses)
}

func (w *leaseSimulation) clock(host int) clock.Instant {
	h := &w.hosts[host]
	return clock.Instant(h.base + time.Duration(float64(w.now)*h.rate))
}

func (w *leaseSimulation) chance(p float64) bool { return w.rng.Float64() < p }

func (w *leaseSimulation) upTo(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d)))
}

// send delivers a message to a host after its delay, or drops it. Late messages
// may be delivered a second time.
func (w *leaseSimulation) send(to int, deliver func()) {
	if w.chance(w.faults.loss) {
		return
	}
	after := simTick
	if w.chance(w.faults.late) {
		after += w.upTo(maxExtraDelay)
	}
	w.schedule(after, to, deliver)
	if w.chance(w.faults.late) {
		w.schedule(after+w.upTo(maxExtraDelay), to, deliver)
	}
}

func (w *leaseSimulation) schedule(after time.Duration, to int, deliver func()) {
	due := (w.now + after).Truncate(simTick)
	w.queue[due] = append(w.queue[due], func() {
		if left := w.hosts[to].pausedUntil - w.now; left > 0 {
			w.schedule(left+simTick, to, deliver)
			return
		}
		deliver()
	})
}

func (w *leaseSimulation) renew() {
	w.resumeLostLease()
	for _, r := range w.holder.Tick(w.clock(holderHost)) {
		i := int(r.Witness[1] - '0')
		if w.hosts[i].cut > w.now {
			continue
		}
		w.send(i, func() { w.handleRenewal(i, r) })
	}
}

func (w *leaseSimulation) handleRenewal(i int, r Renewal) {
	ack, refused := w.witnesses[i].Renew(w.clock(i), simIncarnation, r.Joining && w.rules.firstPromise)
	if refused && !w.rules.refuse {
		ack = true
	}
	if !ack || w.now < w.acksLostUntil || w.hosts[i].cut > w.now {
		return
	}
	w.send(holderHost, func() {
		w.resumeLostLease()
		w.holder.Ack(w.clock(holderHost), r.Witness, r.Seq)
	})
}

// resumeLostLease lets a holder continue after its lease ended, if the rule
// lossIsFinal is disabled.
func (w *leaseSimulation) resumeLostLease() {
	now := w.clock(holderHost)
	if w.rules.lossIsFinal || w.holder.deadline > now {
		return
	}
	w.holder.lost = false
	w.holder.deadline = 0
	w.holder.joinSent = now.Add(time.Hour)
}

func (w *leaseSimulation) requestSeals() {
	if w.sealer == nil {
		return
	}
	for _, r := range w.sealer.Tick(w.clock(sealerHost)) {
		sealer := w.sealer
		i := int(r.Witness[1] - '0')
		w.send(i, func() {
			state, wait := w.handleSeal(i)
			w.send(sealerHost, func() { sealer.Answer(w.clock(sealerHost), r.Witness, r.Seq, state, wait) })
		})
	}
	if w.lapsedAt == 0 && w.sealer.Lapsed(w.clock(sealerHost)) {
		w.lapsedAt = w.now
	}
}

func (w *leaseSimulation) handleSeal(i int) (SealState, time.Duration) {
	witness := w.witnesses[i]
	if _, known := witness.promises[simIncarnation]; !known && !w.rules.waitUnknown {
		witness.promises[simIncarnation] = &promise{}
	}
	return witness.Seal(w.clock(i), simIncarnation)
}

func (w *leaseSimulation) injectFaults() {
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
		h.pausedUntil = w.now + w.upTo(3*time.Second)
	}
	if w.chance(w.faults.cut) {
		length := w.upTo(4 * time.Second)
		if w.faults.longCuts {
			length += retentionTerms * w.params.Term
		}
		w.hosts[w.rng.IntN(len(w.witnesses))].cut = w.now + length
	}
	if w.sealer == nil || w.chance(w.faults.newSealer) {
		p := w.params
		if !w.rules.freshSeals {
			p.Term *= 50
		}
		w.sealer = NewSealer(p, simWitnesses)
	}
}

// run simulates the given length of virtual time. It returns an error if the
// lease is held at or after its lapse.
func (w *leaseSimulation) run(length time.Duration) error {
	for ; w.now < length; w.now += simTick {
		due := w.queue[w.now]
		delete(w.queue, w.now)
		for _, deliver := range due {
			deliver()
		}
		w.injectFaults()
		if w.hosts[holderHost].pausedUntil <= w.now {
			w.renew()
		}
		if w.hosts[sealerHost].pausedUntil <= w.now {
			w.requestSeals()
		}
		if w.lapsedAt != 0 && w.holder.deadline > w.clock(holderHost) && !w.holder.lost {
			return fmt.Errorf("lapsed at %v, held at %v", w.lapsedAt, w.now)
		}
		if w.finished() {
			return nil
		}
	}
	return nil
}

// finished reports whether the lease is lost permanently.
func (w *leaseSimulation) finished() bool {
	return w.rules.lossIsFinal && w.hosts[holderHost].pausedUntil <= w.now && w.holder.Broken(w.clock(holderHost))
}

// usualFaults is a mix of all kinds of faults except long cuts.
var usualFaults = faultRates{drift: 0.02, loss: 0.15, late: 0.05, restart: 0.004, pause: 0.004, cut: 0.004, newSealer: 0.003, ackOutage: 0.3}

func TestNoLeaseIsHeldAfterItsLapse(t *testing.T) {
	f := usualFaults
	for seed := range uint64(3000) {
		f.longCuts = seed%3 == 0
		if err := newLeaseSimulation(seed, allRules, f).run(90 * time.Second); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

func TestEachRuleIsNeeded(t *testing.T) {
	frequentRestarts := usualFaults
	frequentRestarts.restart = 0.02
	frequentRestarts.ackOutage = 0.8
	largeDrift := usualFaults
	largeDrift.drift = 0.15
	// The lease survives these cuts and restarts.
	fewFaults := faultRates{drift: 0.01, loss: 0.05, restart: 0.002, cut: 0.004}
	tests := []struct {
		name      string
		faults    faultRates
		disable   func(*rules)
		firstSeed uint64 // first seed to try
	}{
		{"drift margin", largeDrift, func(r *rules) { r.margin = false }, 0},
		{"abstain after start", frequentRestarts, func(r *rules) { r.abstain = false }, 0},
		{"refuse after a seal", usualFaults, func(r *rules) { r.refuse = false }, 0},
		{"unknown incarnations wait", frequentRestarts, func(r *rules) { r.waitUnknown = false }, 0},
		{"seals no older than a term", fewFaults, func(r *rules) { r.freshSeals = false }, 0},
		{"a broken lease is never mended", usualFaults, func(r *rules) { r.lossIsFinal = false }, 0},
		{"deadline of the first lease", frequentRestarts, func(r *rules) { r.firstDeadline = false }, 15_550},
		{"longer promise to a joining incarnation", frequentRestarts, func(r *rules) { r.firstPromise = false }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := allRules
			tt.disable(&r)
			for seed := tt.firstSeed; seed < tt.firstSeed+20_000; seed++ {
				err := newLeaseSimulation(seed, r, tt.faults).run(90 * time.Second)
				if err == nil {
					continue
				}
				t.Logf("seed %d: %v", seed, err)
				if err := newLeaseSimulation(seed, allRules, tt.faults).run(90 * time.Second); err != nil {
					t.Fatalf("all rules enabled: seed %d: %v", seed, err)
				}
				return
			}
			t.Fatal("found no counterexample with the rule disabled")
		})
	}
}

// TestSealOutlivesItsAnswer checks that a witness keeps a seal as long as a
// sealer counts it, which is one term after the request, regardless of the age
// of the promise. With discardEarly, the retention starts at the end of the
// promise, and the witness acknowledges a renewal after its seal.
func TestSealOutlivesItsAnswer(t *testing.T) {
	is := is.New(t)
	for _, discardEarly := range []bool{false, true} {
		p := Params{Term: time.Second, Renew: time.Second / 3, Drift: 0.01}
		w := NewWitness(p, 1)
		now := clock.Instant(time.Hour)
		w.Renew(now, simIncarnation, false)
		now = now.Add(p.Term + retentionTerms*p.Term - time.Millisecond)
		state, _ := w.Seal(now, simIncarnation)
		is.Equal(state, Sealed)
		if discardEarly {
			kept := w.promises[simIncarnation]
			kept.discardAt = kept.until.Add(retentionTerms * p.Term)
		}
		now = now.Add(p.Term / 2)
		w.Expired(now)
		ack, refused := w.Renew(now, simIncarnation, false)
		is.Equal(ack, discardEarly)
		is.Equal(refused, !discardEarly)
	}
}
