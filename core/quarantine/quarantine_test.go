package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

func crash(fp uint64, id string, at clock.Instant) Crash {
	return Crash{Fingerprint: fp, ID: id, At: at}
}

func TestSecondCrashQuarantinesOnlyTheCulprit(t *testing.T) {
	is := is.New(t)
	table := New()
	const culprit, bystander, later = 1, 2, 3
	table.Crashed(crash(culprit, "a", 1))
	table.Crashed(crash(bystander, "a", 1))
	is.True(!table.Refuses(culprit, 2)) // one crash is not enough
	table.Crashed(crash(culprit, "a", 3))
	is.True(!table.Refuses(culprit, 4)) // nor the same crash told twice
	is.True(table.Completed(bystander))
	table.Crashed(crash(culprit, "b", 5))
	table.Crashed(crash(later, "b", 5))
	table.Crashed(crash(bystander, "b", 5)) // in flight again, cleared in between
	is.True(table.Refuses(culprit, 6))
	is.True(!table.Refuses(bystander, 6))
	is.True(!table.Refuses(later, 6))
	is.True(!table.Completed(culprit))
	is.True(!table.Refuses(culprit, clock.Instant(6).Add(quarantineTime)))
}

func TestTableIsBoundedAndKeepsQuarantine(t *testing.T) {
	is := is.New(t)
	table := New()
	table.Crashed(crash(1, "a", 1))
	table.Crashed(crash(1, "b", 1))
	for fp := uint64(2); fp < 3*maxSuspects; fp++ {
		table.Crashed(crash(fp, "c", clock.Instant(fp)))
	}
	is.True(table.Len() <= maxSuspects)
	is.True(table.Refuses(1, 2))
	news, _ := table.Crashed(Crash{Fingerprint: 5, ID: ""})
	is.True(!news)
}

// naive keeps every event and judges by looking through all of them.
type naive struct {
	events []Crash // a zero ID marks a completion
}

func (n *naive) refuses(fp uint64, now clock.Instant) bool {
	ids := map[string]bool{}
	var newest clock.Instant
	for _, e := range n.events {
		if e.Fingerprint != fp {
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

func TestTableAgreesWithNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, twin := New(), new(naive)
		now := clock.Instant(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Second) // shorter than any expiry in the run
			fp := rapid.Uint64Range(1, 4).Draw(t, "fingerprint")
			if rapid.Bool().Draw(t, "crash") {
				c := crash(fp, fmt.Sprint(rapid.IntRange(1, 5).Draw(t, "id")), now)
				table.Crashed(c)
				twin.events = append(twin.events, c)
			} else {
				table.Completed(fp)
				twin.events = append(twin.events, Crash{Fingerprint: fp})
			}
			for probe := uint64(1); probe <= 4; probe++ {
				if got, want := table.Refuses(probe, now), twin.refuses(probe, now); got != want {
					t.Fatalf("fingerprint %d: refuses %v, naive %v", probe, got, want)
				}
			}
		}
	})
}
