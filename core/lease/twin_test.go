package lease

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// The twins keep whole histories and work out each answer from them.

var twinParams = Params{Term: 1200 * time.Millisecond, Renew: 400 * time.Millisecond, Drift: 0.02}

// pass draws a step of time: mostly short, at times about a term or far longer.
func pass(t *rapid.T, now clock.Instant) clock.Instant {
	ms := rapid.OneOf(rapid.IntRange(0, 150), rapid.IntRange(1000, 1400), rapid.IntRange(3000, 30000))
	return now.Add(time.Duration(ms.Draw(t, "ms")) * time.Millisecond)
}

// twinHolder is the naive holder.
type twinHolder struct {
	joinSent clock.Instant
	sent     map[Renewal]clock.Instant
	acks     []twinAck
}

type twinAck struct {
	at   clock.Instant
	what Renewal
}

// deadline replays all acknowledgements up to now.
func (h *twinHolder) deadline(now clock.Instant) (until clock.Instant, broken bool) {
	limit := h.joinSent.Add(twinParams.firstLease())
	newest := map[string]clock.Instant{}
	for _, a := range h.acks {
		if a.at >= limit {
			return 0, true
		}
		newest[a.what.Witness] = max(newest[a.what.Witness], h.sent[a.what])
		for _, at := range newest {
			count := 0
			for _, other := range newest {
				if other >= at {
					count++
				}
			}
			if count >= 2 && at.Add(twinParams.holderTerm()) > until {
				until = at.Add(twinParams.holderTerm())
				limit = until
			}
		}
	}
	if now >= limit {
		return 0, true
	}
	return until, false
}

func TestHolderIsLikeItsTwin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Instant(time.Hour)
		real := NewHolder(twinParams, now, []string{"a", "b", "c"})
		twin := &twinHolder{joinSent: now, sent: map[Renewal]clock.Instant{}}
		var recent []Renewal
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) {
				now = pass(t, now)
				for _, r := range real.Tick(now) {
					r.Joining = false
					twin.sent[r] = now
					recent = append(recent, r)
				}
				recent = recent[max(0, len(recent)-12):]
			},
			"ack": func(t *rapid.T) {
				if len(recent) == 0 {
					t.Skip("nothing sent")
				}
				r := rapid.SampledFrom(recent).Draw(t, "renewal")
				now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "delay")) * time.Millisecond)
				real.Ack(now, r.Witness, r.Seq)
				twin.acks = append(twin.acks, twinAck{at: now, what: r})
			},
			"": func(t *rapid.T) {
				until, broken := twin.deadline(now)
				if real.Broken(now) != broken || real.Deadline(now) != until {
					t.Fatalf("real %v %v, twin %v %v", real.Deadline(now), real.Broken(now), until, broken)
				}
			},
		})
	})
}

// twinWitness is the naive witness of one incarnation.
type twinWitness struct {
	started clock.Instant
	events  []twinEvent
}

type twinEvent struct {
	at     clock.Instant
	until  clock.Instant // end of the promise, for acknowledgements and first sights
	sealed bool          // answered a seal request with Sealed
	pruned bool          // old traces were removed
}

// memory returns what the events since the last forgetting amount to.
func (w *twinWitness) memory() (known, sealed bool, until clock.Instant) {
	var keep clock.Instant
	for _, e := range w.events {
		switch {
		case e.pruned && known && e.at >= keep:
			known, sealed = false, false
		case e.pruned:
		case e.sealed:
			sealed = true
			keep = e.at.Add(forgetTerms * twinParams.Term)
		default:
			known = true
			until = e.until
			keep = until.Add(forgetTerms * twinParams.Term)
		}
	}
	return known, sealed, until
}

func (w *twinWitness) renew(now clock.Instant, joining bool) (ack, refused bool) {
	_, sealed, _ := w.memory()
	if sealed || now < w.started.Add(twinParams.abstention()) {
		return false, sealed
	}
	until := now.Add(twinParams.Term)
	if joining {
		until = now.Add(twinParams.firstPromise())
	}
	w.events = append(w.events, twinEvent{at: now, until: until})
	return true, false
}

func (w *twinWitness) seal(now clock.Instant) SealState {
	known, sealed, until := w.memory()
	if !known {
		until = now.Add(twinParams.firstPromise())
		w.events = append(w.events, twinEvent{at: now, until: until})
	}
	if !sealed && now < until {
		return Live
	}
	w.events = append(w.events, twinEvent{at: now, sealed: true})
	return Sealed
}

func TestWitnessIsLikeItsTwin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Instant(time.Hour)
		real := NewWitness(twinParams, now)
		twin := &twinWitness{started: now}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) { now = pass(t, now) },
			"renew": func(t *rapid.T) {
				joining := rapid.Bool().Draw(t, "joining")
				ack, refused := real.Renew(now, 1, joining)
				twinAck, twinRefused := twin.renew(now, joining)
				if ack != twinAck || refused != twinRefused {
					t.Fatalf("renew: real %v %v, twin %v %v", ack, refused, twinAck, twinRefused)
				}
			},
			"seal": func(t *rapid.T) {
				state, _ := real.Seal(now, 1)
				if want := twin.seal(now); state != want {
					t.Fatalf("seal: real %v, twin %v", state, want)
				}
			},
			"prune": func(*rapid.T) {
				real.Expired(now)
				twin.events = append(twin.events, twinEvent{at: now, pruned: true})
			},
		})
	})
}

// twinSealer is the naive sealer: every request and every answer.
type twinSealer struct {
	sent    map[Request]clock.Instant
	answers map[Request]SealState // the first answer to each request
}

func (s *twinSealer) sealedBy(now clock.Instant) []string {
	var list []string
	for r, state := range s.answers {
		fresh := now.Sub(s.sent[r]) < twinParams.holderTerm()
		if state == Sealed && fresh && !slices.Contains(list, r.Witness) {
			list = append(list, r.Witness)
		}
	}
	slices.Sort(list)
	return list
}

func TestSealerIsLikeItsTwin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Instant(time.Hour)
		real := NewSealer(twinParams, []string{"a", "b", "c"})
		twin := &twinSealer{sent: map[Request]clock.Instant{}, answers: map[Request]SealState{}}
		var recent []Request
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) {
				now = pass(t, now)
				for _, r := range real.Tick(now) {
					twin.sent[r] = now
					recent = append(recent, r)
				}
				recent = recent[max(0, len(recent)-20):]
			},
			"answer": func(t *rapid.T) {
				if len(recent) == 0 {
					t.Skip("nothing asked")
				}
				r := rapid.SampledFrom(recent).Draw(t, "request")
				now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "delay")) * time.Millisecond)
				state := rapid.SampledFrom([]SealState{Live, Sealed}).Draw(t, "state")
				real.Answer(now, r.Witness, r.Seq, state, time.Millisecond)
				if _, answered := twin.answers[r]; !answered {
					twin.answers[r] = state
				}
			},
			"": func(t *rapid.T) {
				got := real.SealedBy(now)
				if want := twin.sealedBy(now); !slices.Equal(got, want) {
					t.Fatalf("real %v, twin %v", got, want)
				}
			},
		})
	})
}

// TestHolderHurriesBeforeItsEnd: renewals that got no answer are repeated
// faster towards the end of the lease, to the silent witnesses only.
func TestHolderHurriesBeforeItsEnd(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	h := NewHolder(twinParams, now, []string{"a", "b", "c"})
	for _, r := range h.Tick(now) {
		h.Ack(now, r.Witness, r.Seq)
	}
	counts := map[string]int{}
	for range 24 {
		now = now.Add(50 * time.Millisecond)
		for _, r := range h.Tick(now) {
			counts[r.Witness]++
			if r.Witness == "a" {
				h.Ack(now, r.Witness, r.Seq)
			}
		}
	}
	is.True(h.Broken(now))
	is.True(counts["a"] <= 3)
	is.True(counts["b"] >= 2*counts["a"])
	is.Equal(counts["b"], counts["c"])
}
