package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
)

// A server that names a limit must not get more than that, from a small and a large team;
// what has no room is refused at once with a delay.
func TestLimitedServerGetsMoreThanItsLimit(t *testing.T) {
	is := is.New(t)
	const perS, seconds = 10, 30
	q := New(Options{MaxQueue: 100, Fair: true})
	start := clock.Instant(time.Second)
	q.SetSlots(start, 4)
	q.ObserveLimit(start, start, perS, true)
	started, refused := map[string]int{}, 0
	var running []*Ticket
	for step := range seconds * 100 {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		q.RecordHeartbeat(now)
		for _, r := range running {
			q.Done(now, r, Answered)
		}
		team := "large"
		if step%20 == 0 {
			team = "small" // 5 requests a second, within its half of the limit
		}
		for _, r := range q.Submit(now, &Ticket{Team: team, Deadline: now.Add(500 * time.Millisecond)}) {
			refused++
			is.Equal(r.Kind, outcome.Overloaded)
			is.True(r.RetryAfter > 0)
		}
		running, _ = q.Dispatch(now)
		for _, r := range running {
			started[r.Team]++
		}
	}
	is.True(started["small"]+started["large"] <= perS*seconds+3)
	is.True(started["small"]+started["large"] >= perS*seconds*9/10)
	is.True(started["small"] >= seconds*3)
	is.True(refused > 0)
	t.Log(fmt.Sprint(started, refused))
}
