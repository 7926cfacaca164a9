package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// rules are the safety rules of the protocol. With one of them disabled, some
// seed must produce a lease that is held after it lapsed.
type rules struct {
	margin, abstain, refuse, waitUnknown, freshSeals, lossIsFinal, firstDeadline, firstPromise bool
	boundedTerm, promisedTerm                                                                  bool
}

var allRules = rules{true, true, true, true, true, true, true, true, true, true}

// faultRates are the clock drift and the probabilities of faults in a simulation.
type faultRates struct {
	drift                          float64
	loss, late                     float64 // per message
	restart, pause, cut, newSealer float64 // per step of simTick
	ackOutage                      float64 // probability that acknowledgements are lost at the start of the simulation
	longCuts                       bool    // cuts last about as long as a witness retains seals
	longTerm                       bool    // the holder asks for the longest promise that there is
	oldWitness                     bool    // one witness gives promises of one term only and does not say so
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

// leaseSimulation simulates one lease with its holder, its witnesses and a
// sealer, on hosts and links with faults.
type leaseSimulation struct {
	rng           *rand.Rand
	rules         rules
	faults        faultRates
	params        Params
	term          time.Duration // promise that the holder asks for
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
	sim := &leaseSimulation{
		rng: rand.New(rand.NewPCG(seed, 1)), rules: r, faults: f, queue: map[time.Duration][]func(){},
		params: Params{Term: 1200 * time.Millisecond, Renew: 400 * time.Millisecond, Drift: max(0.01, f.drift)},
	}
	if !r.margin {
		sim.params.Drift = 0
	}
	sim.term = sim.params.Term
	if f.longTerm {
		sim.term = MaxTerms * sim.params.Term
		sim.params.MaxTerm = sim.term
	}
	for i := range sim.hosts {
		sim.hosts[i] = simHost{rate: 1 + f.drift*(2*sim.rng.Float64()-1), base: time.Duration(1+sim.rng.IntN(99)) * time.Hour}
	}
	for i := range sim.witnesses {
		sim.witnesses[i] = NewWitness(sim.params, sim.clock(i)-clock.Instant(time.Hour))
	}
	sim.newHolder()
	if sim.rng.Float64() < f.ackOutage {
		sim.acksLostUntil = time.Duration(sim.rng.Int64N(int64(4 * time.Second)))
	}
	return sim
}

func (sim *leaseSimulation) newHolder() {
	sent := sim.clock(holderHost)
	if !sim.rules.firstDeadline {
		sent = sent.Add(time.Hour)
	}
	sim.holder = NewHolder(sim.params, sent, simWitnesses, sim.term)
}

func (sim *leaseSimulation) clock(host int) clock.Instant {
	h := &sim.hosts[host]
	return clock.Instant(h.base + time.Duration(float64(sim.now)*h.rate))
}

func (sim *leaseSimulation) chance(p float64) bool { return sim.rng.Float64() < p }

func (sim *leaseSimulation) upTo(d time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(d)))
}

// send delivers a message to a host after its delay and once the host is not
// paused, or drops it. A message may also be delivered a second time, later.
func (sim *leaseSimulation) send(to int, deliver func()) {
	if sim.chance(sim.faults.loss) {
		return
	}
	after := simTick
	if sim.chance(sim.faults.late) {
		after += sim.upTo(maxExtraDelay)
	}
	sim.schedule(after, to, deliver)
	if sim.chance(sim.faults.late) {
		sim.schedule(after+sim.upTo(maxExtraDelay), to, deliver)
	}
}

func (sim *leaseSimulation) schedule(after time.Duration, to int, deliver func()) {
	due := (sim.now + after).Truncate(simTick)
	sim.queue[due] = append(sim.queue[due], func() {
		if left := sim.hosts[to].pausedUntil - sim.now; left > 0 {
			sim.schedule(left+simTick, to, deliver)
			return
		}
		deliver()
	})
}

func (sim *leaseSimulation) renew() {
	sim.resumeLostLease()
	for _, r := range sim.holder.Tick(sim.clock(holderHost)) {
		i := int(r.Witness[1] - '0')
		if sim.hosts[i].cut > sim.now {
			continue
		}
		sim.send(i, func() { sim.handleRenewal(i, r) })
	}
}

func (sim *leaseSimulation) handleRenewal(i int, r Renewal) {
	term := r.Term
	oldVersion := sim.faults.oldWitness && i == 0
	if oldVersion {
		term = 0
	}
	promised, refused := sim.witnesses[i].Renew(sim.clock(i), simIncarnation, r.Joining && sim.rules.firstPromise, term)
	if !sim.rules.boundedTerm {
		promised = sim.promiseUnboundedTerm(i, r, refused)
	}
	ack := promised > 0
	if refused && !sim.rules.refuse {
		ack = true
	}
	if oldVersion {
		promised = 0
	}
	if !sim.rules.promisedTerm {
		promised = r.Term
	}
	if !ack || sim.now < sim.acksLostUntil || sim.hosts[i].cut > sim.now {
		return
	}
	sim.send(holderHost, func() {
		sim.resumeLostLease()
		sim.holder.Ack(sim.clock(holderHost), r.Witness, r.Seq, promised)
	})
}

// promiseUnboundedTerm gives a promise that is longer than a restarted witness waits, and
// makes the holder count it.
func (sim *leaseSimulation) promiseUnboundedTerm(i int, r Renewal, refused bool) time.Duration {
	const unbounded = 4 * MaxTerms
	p, known := sim.witnesses[i].promises[simIncarnation]
	if !known || refused || p.sealed {
		return 0
	}
	term := unbounded * sim.params.Term
	if !r.Joining {
		p.extend(max(p.until, sim.clock(i).Add(term)), sim.params)
	}
	sim.holder.term, sim.holder.params.MaxTerm = term, term
	sim.holder.params.Term = term
	return term
}

// resumeLostLease lets a holder continue after its lease ended, if the rule
// lossIsFinal is disabled.
func (sim *leaseSimulation) resumeLostLease() {
	now := sim.clock(holderHost)
	if sim.rules.lossIsFinal || sim.holder.deadline > now {
		return
	}
	sim.holder.lost = false
	sim.holder.deadline = 0
	sim.holder.joinSent = now.Add(time.Hour)
}

func (sim *leaseSimulation) requestSeals() {
	if sim.sealer == nil {
		return
	}
	for _, r := range sim.sealer.Tick(sim.clock(sealerHost)) {
		sealer := sim.sealer
		i := int(r.Witness[1] - '0')
		sim.send(i, func() {
			state, wait := sim.handleSeal(i)
			sim.send(sealerHost, func() { sealer.Answer(sim.clock(sealerHost), r.Witness, r.Seq, state, wait) })
		})
	}
	if sim.lapsedAt == 0 && sim.sealer.Lapsed(sim.clock(sealerHost)) {
		sim.lapsedAt = sim.now
	}
}

func (sim *leaseSimulation) handleSeal(i int) (SealState, time.Duration) {
	witness := sim.witnesses[i]
	if _, known := witness.promises[simIncarnation]; !known && !sim.rules.waitUnknown {
		witness.promises[simIncarnation] = &promise{}
	}
	return witness.Seal(sim.clock(i), simIncarnation)
}

func (sim *leaseSimulation) injectFaults() {
	if sim.chance(sim.faults.restart) {
		i := sim.rng.IntN(len(sim.witnesses))
		started := sim.clock(i)
		if !sim.rules.abstain {
			started -= clock.Instant(time.Hour)
		}
		sim.witnesses[i] = NewWitness(sim.params, started)
	}
	if sim.chance(sim.faults.pause) {
		h := &sim.hosts[sim.rng.IntN(len(sim.hosts))]
		h.pausedUntil = sim.now + sim.upTo(3*time.Second)
	}
	if sim.chance(sim.faults.cut) {
		length := sim.upTo(4 * time.Second)
		if sim.faults.longCuts {
			length += retentionTerms * sim.params.Term
		}
		sim.hosts[sim.rng.IntN(len(sim.witnesses))].cut = sim.now + length
	}
	if sim.sealer == nil || sim.chance(sim.faults.newSealer) {
		p := sim.params
		if !sim.rules.freshSeals {
			p.Term *= 50
		}
		sim.sealer = NewSealer(p, simWitnesses)
	}
}

// run simulates the given length of virtual time. It returns an error if the
// lease is held at or after its lapse.
func (sim *leaseSimulation) run(length time.Duration) error {
	for ; sim.now < length; sim.now += simTick {
		due := sim.queue[sim.now]
		delete(sim.queue, sim.now)
		for _, deliver := range due {
			deliver()
		}
		sim.injectFaults()
		if sim.hosts[holderHost].pausedUntil <= sim.now {
			sim.renew()
		}
		if sim.hosts[sealerHost].pausedUntil <= sim.now {
			sim.requestSeals()
		}
		if sim.lapsedAt != 0 && sim.holder.deadline > sim.clock(holderHost) && !sim.holder.lost {
			return fmt.Errorf("lapsed at %v, held at %v", sim.lapsedAt, sim.now)
		}
		if sim.finished() {
			return nil
		}
	}
	return nil
}

// finished reports whether the lease is lost permanently.
func (sim *leaseSimulation) finished() bool {
	return sim.rules.lossIsFinal && sim.hosts[holderHost].pausedUntil <= sim.now && sim.holder.Lost(sim.clock(holderHost))
}

// usualFaults is a mix of all kinds of faults except long cuts.
var usualFaults = faultRates{drift: 0.02, loss: 0.15, late: 0.05, restart: 0.004, pause: 0.004, cut: 0.004, newSealer: 0.003, ackOutage: 0.3}

func TestNoLeaseIsHeldAfterItsLapse(t *testing.T) {
	f := usualFaults
	for seed := range uint64(3000) {
		f.longCuts = seed%3 == 0
		f.longTerm = seed%2 == 0
		f.oldWitness = seed%4 == 0
		if err := newLeaseSimulation(seed, allRules, f).run(90 * time.Second); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

func TestDisabledRuleBreaksOwnership(t *testing.T) {
	frequentRestarts := usualFaults
	frequentRestarts.restart = 0.02
	frequentRestarts.ackOutage = 0.8
	largeDrift := usualFaults
	largeDrift.drift = 0.15
	// A lease survives these cuts and restarts.
	fewFaults := faultRates{drift: 0.01, loss: 0.05, restart: 0.002, cut: 0.004}
	longTerms := frequentRestarts
	longTerms.longTerm = true
	oldWitness := usualFaults
	oldWitness.longTerm, oldWitness.oldWitness = true, true
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
		{"no promise is longer than a restarted witness waits", longTerms, func(r *rules) { r.boundedTerm = false }, 0},
		{"a lease is as long as the witness promised", oldWitness, func(r *rules) { r.promisedTerm = false }, 0},
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

// TestSealIsKeptForItsValidity checks that a witness keeps a seal as long as a
// sealer counts it, which is one term after the request, regardless of the age
// of the promise. With discardEarly, the retention starts at the end of the
// promise, and the witness acknowledges a renewal after its seal.
func TestSealIsKeptForItsValidity(t *testing.T) {
	is := is.New(t)
	for _, discardEarly := range []bool{false, true} {
		p := Params{Term: time.Second, Renew: time.Second / 3, Drift: 0.01}
		w := NewWitness(p, 1)
		now := clock.Instant(time.Hour)
		w.Renew(now, simIncarnation, false, 0)
		now = now.Add(p.Term + retentionTerms*p.Term - time.Millisecond)
		state, _ := w.Seal(now, simIncarnation)
		is.Equal(state, Sealed)
		if discardEarly {
			kept := w.promises[simIncarnation]
			kept.discardAt = kept.until.Add(retentionTerms * p.Term)
		}
		now = now.Add(p.Term / 2)
		w.Expired(now)
		promised, refused := w.Renew(now, simIncarnation, false, 0)
		is.Equal(promised > 0, discardEarly)
		is.Equal(refused, !discardEarly)
	}
}
