package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

func crash(fingerprint uint64, id string, at clock.Instant) Crash {
	return Crash{Fingerprint: fingerprint, ID: id, At: at}
}

func TestSecondCrashQuarantinesOnlyRepeatedRequest(t *testing.T) {
	is := is.New(t)
	table := New()
	const culprit, bystander, later = 1, 2, 3
	table.RecordCrash(crash(culprit, "a", 1))
	table.RecordCrash(crash(bystander, "a", 1))
	is.True(!table.IsQuarantined(culprit, 2)) // one crash is not enough
	table.RecordCrash(crash(culprit, "a", 3))
	is.True(!table.IsQuarantined(culprit, 4)) // nor the same crash reported twice
	is.True(table.RecordCompletion(bystander))
	table.RecordCrash(crash(culprit, "b", 5))
	table.RecordCrash(crash(later, "b", 5))
	table.RecordCrash(crash(bystander, "b", 5)) // in flight again, after it completed in between
	is.True(table.IsQuarantined(culprit, 6))
	is.True(!table.IsQuarantined(bystander, 6))
	is.True(!table.IsQuarantined(later, 6))
	is.True(!table.RecordCompletion(culprit))
	is.True(!table.IsQuarantined(culprit, clock.Instant(6).Add(quarantineTime)))
}

func TestTableIsBoundedAndKeepsQuarantine(t *testing.T) {
	is := is.New(t)
	table := New()
	table.RecordCrash(crash(1, "a", 1))
	table.RecordCrash(crash(1, "b", 1))
	for fingerprint := uint64(2); fingerprint < 3*maxSuspects; fingerprint++ {
		table.RecordCrash(crash(fingerprint, "c", clock.Instant(fingerprint)))
	}
	is.True(table.Len() <= maxSuspects)
	is.True(table.IsQuarantined(1, 2))
	isNew, _ := table.RecordCrash(Crash{Fingerprint: 5, ID: ""})
	is.True(!isNew)
}

// reference is the reference model of Table: it keeps all events and evaluates them
// on each query.
type reference struct {
	events []Crash // a zero ID marks a completion
}

func (r *reference) refuses(fingerprint uint64, now clock.Instant) bool {
	ids := map[string]bool{}
	var newest clock.Instant
	for _, e := range r.events {
		if e.Fingerprint != fingerprint {
			continue
		}
		if e.ID == "" {
			if len(ids) < crashesToQuarantine {
				clear(ids)
			}
			continue
		}
		if !ids[e.ID] {
			newest = e.At
		}
		ids[e.ID] = true
	}
	return len(ids) >= crashesToQuarantine && now.Sub(newest) <= quarantineTime
}

func TestTableMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, model := New(), new(reference)
		now := clock.Instant(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Second) // shorter than any expiry in the run
			fingerprint := rapid.Uint64Range(1, 4).Draw(t, "fingerprint")
			if rapid.Bool().Draw(t, "crash") {
				c := crash(fingerprint, fmt.Sprint(rapid.IntRange(1, 5).Draw(t, "id")), now)
				table.RecordCrash(c)
				model.events = append(model.events, c)
			} else {
				table.RecordCompletion(fingerprint)
				model.events = append(model.events, Crash{Fingerprint: fingerprint})
			}
			for probe := uint64(1); probe <= 4; probe++ {
				if got, want := table.IsQuarantined(probe, now), model.refuses(probe, now); got != want {
					t.Fatalf("fingerprint %d: IsQuarantined returned %v, reference model returned %v", probe, got, want)
				}
			}
		}
	})
}
