package lease

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// The reference models keep complete histories and compute each answer from them.

var testParams = Params{Term: 1200 * time.Millisecond, Renew: 400 * time.Millisecond, Drift: 0.02}

// advance moves the time by a random step that is short, about a term, or much
// longer than a term.
func advance(t *rapid.T, now clock.Instant) clock.Instant {
	ms := rapid.OneOf(rapid.IntRange(0, 150), rapid.IntRange(1000, 1400), rapid.IntRange(3000, 30000))
	return now.Add(time.Duration(ms.Draw(t, "ms")) * time.Millisecond)
}

// refHolder is the reference model of Holder.
type refHolder struct {
	joinSent clock.Instant
	sent     map[Renewal]clock.Instant
	acks     []refAck
}

type refAck struct {
	at      clock.Instant
	renewal Renewal
}

// deadline replays all acknowledgements and returns the deadline at now.
func (h *refHolder) deadline(now clock.Instant) (until clock.Instant, broken bool) {
	limit := h.joinSent.Add(testParams.firstLeaseTimeout())
	newest := map[string]clock.Instant{}
	for _, a := range h.acks {
		if a.at >= limit {
			return 0, true
		}
		newest[a.renewal.Witness] = max(newest[a.renewal.Witness], h.sent[a.renewal])
		for _, at := range newest {
			count := 0
			for _, other := range newest {
				if other >= at {
					count++
				}
			}
			if count >= 2 && at.Add(testParams.holderTerm(testParams.Term)) > until {
				until = at.Add(testParams.holderTerm(testParams.Term))
				limit = until
			}
		}
	}
	if now >= limit {
		return 0, true
	}
	return until, false
}

func TestHolderMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Instant(time.Hour)
		holder := NewHolder(testParams, now, []string{"a", "b", "c"}, testParams.Term)
		ref := &refHolder{joinSent: now, sent: map[Renewal]clock.Instant{}}
		var recent []Renewal
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) {
				now = advance(t, now)
				for _, r := range holder.Tick(now) {
					r.Joining = false
					ref.sent[r] = now
					recent = append(recent, r)
				}
				recent = recent[max(0, len(recent)-12):]
			},
			"ack": func(t *rapid.T) {
				if len(recent) == 0 {
					t.Skip("no renewal sent yet")
				}
				r := rapid.SampledFrom(recent).Draw(t, "renewal")
				now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "delay")) * time.Millisecond)
				holder.Ack(now, r.Witness, r.Seq, testParams.Term)
				ref.acks = append(ref.acks, refAck{at: now, renewal: r})
			},
			"": func(t *rapid.T) {
				until, broken := ref.deadline(now)
				if holder.Lost(now) != broken || holder.Deadline(now) != until {
					t.Fatalf("got deadline %v, broken %v; want %v, %v", holder.Deadline(now), holder.Lost(now), until, broken)
				}
			},
		})
	})
}

// refWitness is the reference model of Witness for one incarnation.
type refWitness struct {
	started clock.Instant
	events  []refEvent
}

type refEvent struct {
	at     clock.Instant
	until  clock.Instant // end of the promise or of the waiting period
	sealed bool          // answered a seal request with Sealed
	pruned bool          // Expired discarded old state
}

// replay returns the state that results from the events since the state was last
// discarded.
func (w *refWitness) replay() (known, sealed bool, until clock.Instant) {
	var discardTime clock.Instant
	for _, e := range w.events {
		switch {
		case e.pruned && known && e.at >= discardTime:
			known, sealed = false, false
		case e.pruned:
		case e.sealed:
			sealed = true
			discardTime = e.at.Add(retentionTerms * testParams.Term)
		default:
			known = true
			until = e.until
			discardTime = until.Add(retentionTerms * testParams.Term)
		}
	}
	return known, sealed, until
}

func (w *refWitness) renew(now clock.Instant, joining bool) (ack, refused bool) {
	_, sealed, _ := w.replay()
	if sealed || now < w.started.Add(testParams.abstention()) {
		return false, sealed
	}
	until := now.Add(testParams.Term)
	if joining {
		until = now.Add(testParams.firstPromise())
	}
	w.events = append(w.events, refEvent{at: now, until: until})
	return true, false
}

func (w *refWitness) seal(now clock.Instant) SealState {
	known, sealed, until := w.replay()
	if !known {
		until = now.Add(testParams.firstPromise())
		w.events = append(w.events, refEvent{at: now, until: until})
	}
	if !sealed && now < until {
		return Live
	}
	w.events = append(w.events, refEvent{at: now, sealed: true})
	return Sealed
}

func TestWitnessMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Instant(time.Hour)
		witness := NewWitness(testParams, now)
		ref := &refWitness{started: now}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) { now = advance(t, now) },
			"renew": func(t *rapid.T) {
				joining := rapid.Bool().Draw(t, "joining")
				promised, refused := witness.Renew(now, 1, joining, 0)
				ack := promised > 0
				wantAck, wantRefused := ref.renew(now, joining)
				if ack != wantAck || refused != wantRefused {
					t.Fatalf("renew: got ack %v, refused %v; want %v, %v", ack, refused, wantAck, wantRefused)
				}
			},
			"seal": func(t *rapid.T) {
				state, _ := witness.Seal(now, 1)
				if want := ref.seal(now); state != want {
					t.Fatalf("seal: got %v, want %v", state, want)
				}
			},
			"prune": func(*rapid.T) {
				witness.Expired(now)
				ref.events = append(ref.events, refEvent{at: now, pruned: true})
			},
		})
	})
}

// refSealer is the reference model of Sealer.
type refSealer struct {
	sent    map[Request]clock.Instant
	answers map[Request]SealState // the first answer to each request
}

func (s *refSealer) sealedBy(now clock.Instant) []string {
	var list []string
	for r, state := range s.answers {
		fresh := now.Sub(s.sent[r]) < testParams.holderTerm(testParams.Term)
		if state == Sealed && fresh && !slices.Contains(list, r.Witness) {
			list = append(list, r.Witness)
		}
	}
	slices.Sort(list)
	return list
}

func TestSealerMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Instant(time.Hour)
		sealer := NewSealer(testParams, []string{"a", "b", "c"})
		ref := &refSealer{sent: map[Request]clock.Instant{}, answers: map[Request]SealState{}}
		var recent []Request
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) {
				now = advance(t, now)
				for _, r := range sealer.Tick(now) {
					ref.sent[r] = now
					recent = append(recent, r)
				}
				recent = recent[max(0, len(recent)-20):]
			},
			"answer": func(t *rapid.T) {
				if len(recent) == 0 {
					t.Skip("no seal request sent yet")
				}
				r := rapid.SampledFrom(recent).Draw(t, "request")
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "delay")) * time.Millisecond)
				state := rapid.SampledFrom([]SealState{Live, Sealed}).Draw(t, "state")
				sealer.Answer(now, r.Witness, r.Seq, state, time.Millisecond)
				if _, answered := ref.answers[r]; !answered {
					ref.answers[r] = state
				}
			},
			"": func(t *rapid.T) {
				got := sealer.SealedBy(now)
				if want := ref.sealedBy(now); !slices.Equal(got, want) {
					t.Fatalf("got %v, want %v", got, want)
				}
			},
		})
	})
}

// TestHolderRetriesBeforeExpiry checks that unacknowledged renewals are retried
// faster near the end of the lease, and only at the witnesses that did not
// acknowledge them.
func TestHolderRetriesBeforeExpiry(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	h := NewHolder(testParams, now, []string{"a", "b", "c"}, testParams.Term)
	for _, r := range h.Tick(now) {
		h.Ack(now, r.Witness, r.Seq, testParams.Term)
	}
	counts := map[string]int{}
	for range 24 {
		now = now.Add(50 * time.Millisecond)
		for _, r := range h.Tick(now) {
			counts[r.Witness]++
			if r.Witness == "a" {
				h.Ack(now, r.Witness, r.Seq, testParams.Term)
			}
		}
	}
	is.True(h.Lost(now))
	is.True(counts["a"] <= 3)
	is.True(counts["b"] >= 2*counts["a"])
	is.Equal(counts["b"], counts["c"])
}
