package control

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/lease"
)

// mutation breaks one safety rule.
type mutation struct {
	name  string
	odds  func(*chances) // makes the faults likelier that the rule is for
	apply func(*world)
	walks int // within which the walk must go red
}

// brokenWitness is a witness role with a rule left out.
type brokenWitness struct {
	witnessRole
	known       map[uint64]bool
	sealUnknown bool // seals an incarnation that it does not know at once
	ackSealed   bool // acknowledges renewals of sealed incarnations
	shortFirst  bool // promises a joining incarnation one term only
}

func (b *brokenWitness) Renew(now clock.Instant, inc uint64, joining bool) (bool, bool) {
	b.known[inc] = true
	ack, refused := b.witnessRole.Renew(now, inc, joining && !b.shortFirst)
	if b.ackSealed && refused {
		return true, false
	}
	return ack, refused
}

func (b *brokenWitness) Seal(now clock.Instant, inc uint64) (lease.SealState, time.Duration) {
	if b.sealUnknown && !b.known[inc] {
		return lease.Sealed, 0
	}
	return b.witnessRole.Seal(now, inc)
}

func breakWitness(b brokenWitness) func(*world) {
	return func(w *world) {
		w.prepare = func(s *State) {
			broken := b
			broken.witnessRole = s.witness
			broken.known = map[uint64]bool{}
			s.witness = &broken
		}
	}
}

// mendingHolder goes on with a lease after it was broken.
type mendingHolder struct {
	params    lease.Params
	witnesses []string
	seq       uint64
	sent      map[uint64]clock.Instant
	acked     map[string]clock.Instant
	next      clock.Instant
	joinSent  clock.Instant
	won       bool
}

func (h *mendingHolder) Tick(now clock.Instant) []lease.Renewal {
	if now < h.next {
		return nil
	}
	h.next = now.Add(h.params.Renew)
	var list []lease.Renewal
	h.seq++
	h.sent[h.seq] = now
	for _, w := range h.witnesses {
		list = append(list, lease.Renewal{Witness: w, Seq: h.seq, Joining: !h.won})
	}
	return list
}

func (h *mendingHolder) Ack(now clock.Instant, witness string, seq uint64) {
	h.acked[witness] = max(h.acked[witness], h.sent[seq])
	h.won = h.won || h.Deadline(now) > now
}

func (h *mendingHolder) Refuse(string)    {}
func (h *mendingHolder) Silent() []string { return nil }

func (h *mendingHolder) Deadline(clock.Instant) clock.Instant {
	a, b, c := h.acked[h.witnesses[0]], h.acked[h.witnesses[1%len(h.witnesses)]], h.acked[h.witnesses[len(h.witnesses)-1]]
	second := max(min(a, b), min(max(a, b), c))
	if second == 0 {
		return 0
	}
	term := float64(h.params.Term) * (1 - h.params.Drift) / (1 + h.params.Drift)
	return second.Add(time.Duration(term))
}

func (h *mendingHolder) Broken(now clock.Instant) bool {
	return now > max(h.Deadline(now), h.joinSent).Add(8*h.params.Term)
}

func mendHolders(s *State) {
	s.newHolder = func(p lease.Params, sent clock.Instant, witnesses []string) leaseHolder {
		return &mendingHolder{
			params: p, witnesses: witnesses, joinSent: sent,
			sent: map[uint64]clock.Instant{}, acked: map[string]clock.Instant{},
		}
	}
}

// manyRestarts makes restarts, pauses and partitions frequent.
func manyRestarts(o *chances) {
	o.Restart *= 12
	o.Partition *= 3
	o.Pause *= 2
}

// manyMoves makes data centres come and go, so that shards move.
func manyMoves(o *chances) { o.Patch *= 10 }

// slowMoves makes moves frequent and records late.
func slowMoves(o *chances) {
	o.Patch *= 20
	o.AppendLate = 0.4
	o.BackendFlap *= 4
}

var mutations = []mutation{
	{name: "consent of the old standby", odds: func(o *chances) { manyMoves(o); o.CutLog *= 5 },
		apply: func(w *world) { w.forge = true }, walks: 200},
	{name: "drift margin", odds: func(o *chances) { o.Drift = 0.15; o.Partition *= 3 },
		apply: func(w *world) { w.params.Drift = 0 }, walks: 200},
	{name: "abstain after start", odds: manyRestarts, walks: 400, apply: func(w *world) {
		w.prepare = func(s *State) {
			s.witness = lease.NewWitness(s.opts.Lease, s.started-clock.Instant(time.Hour))
		}
	}},
	{name: "unknown incarnation waits", odds: manyRestarts,
		apply: breakWitness(brokenWitness{sealUnknown: true}), walks: 400},
	{name: "refusal after a seal", odds: func(o *chances) { o.Partition *= 3 },
		apply: breakWitness(brokenWitness{ackSealed: true}), walks: 400},
	{name: "seals no older than a term", odds: manyRestarts, walks: 400, apply: func(w *world) {
		w.prepare = func(s *State) {
			s.newSealer = func(p lease.Params, witnesses []string) leaseSealer {
				p.Term *= 20
				return lease.NewSealer(p, witnesses)
			}
		}
	}},
	{name: "seals of a majority", walks: 200, apply: func(w *world) {
		w.prepare = func(s *State) {
			s.newSealer = func(p lease.Params, witnesses []string) leaseSealer {
				return lease.NewSealer(p, witnesses[:1])
			}
		}
	}},
	{name: "a broken lease is never mended", odds: manyRestarts, walks: 400,
		apply: func(w *world) { w.prepare = mendHolders }},
	{name: "stop before release", odds: manyMoves, walks: 200,
		apply: func(w *world) { w.keepServing = true }},
	{name: "drain before release", odds: manyMoves, walks: 200,
		apply: func(w *world) { w.noDrain = true }},
	{name: "resume only after the record", odds: manyMoves, walks: 200, apply: func(w *world) {
		w.after = func(_ *world, n *node) {
			for _, r := range n.state.rights {
				if r.releasing && r.released != 0 {
					n.state.abortRelease(r)
					r.released = 0
				}
			}
		}
	}},
	{name: "no takeover after consent", odds: slowMoves, walks: 400, apply: func(w *world) {
		w.after = func(_ *world, n *node) {
			for _, r := range n.state.rights {
				r.consented = 0
			}
		}
	}},
	{name: "a lease cell for each incarnation", walks: 200,
		apply: func(w *world) { w.oneCell = true }},
}

func (m mutation) world(seed uint64) *world {
	odds := roughWeather
	if m.odds != nil {
		m.odds(&odds)
	}
	return newWorld(seed, 5, 3, odds)
}

// TestEachRuleIsNeeded leaves out one rule at a time and expects the walk to
// find two owners; with the rule the same walk must pass.
func TestEachRuleIsNeeded(t *testing.T) {
	for _, m := range mutations {
		t.Run(strings.ReplaceAll(m.name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= uint64(m.walks); seed++ {
				w := m.world(seed)
				m.apply(w)
				err := w.walk(60 * time.Second)
				if err == nil || !isOwnershipError(err) {
					continue
				}
				t.Logf("seed %d: %v", seed, err)
				sound := m.world(seed)
				if err := sound.walk(60 * time.Second); err != nil {
					sound.fail(t, seed, err)
				}
				if os.Getenv("SESAMEMOOR_TRACE") != "" {
					w.fail(t, seed, err)
				}
				return
			}
			t.Fatalf("no counterexample in %d walks without the rule", m.walks)
		})
	}
}

// isOwnershipError tells a second owner or a reused token from a shard that is
// merely not served.
func isOwnershipError(err error) bool {
	return strings.Contains(err.Error(), "two owners") || strings.Contains(err.Error(), "token")
}
