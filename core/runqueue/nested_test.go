package runqueue

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// Nested calls of all requests had one rank, so that the most urgent requests failed as often as
// the others where a service of nested calls was the bottleneck. Now they are ranked with the
// requests that wait for them, and those of the least urgent ones still get a part.
func TestNestedCallsAreRankedWithTheirParents(t *testing.T) {
	is := is.New(t)
	q := New()
	q.SetSlots(4)
	rng := rand.New(rand.NewPCG(3, 4))
	const perS, service = 140.0, 55 * time.Millisecond // twice of what the slots serve
	asked, served := [3]float64{}, [3]float64{}
	ends := map[*Ticket]clock.Instant{}
	for now := start; now < start.Add(30*time.Second); now = now.Add(ms) {
		if rng.Float64() < perS*ms.Seconds() {
			priority := uint32(rng.IntN(3))
			asked[priority]++
			q.Submit(now, &Ticket{Class: "call", Nested: true, Priority: priority, Target: now.Add(300 * ms), Deadline: now.Add(600 * ms)})
		}
		for ticket, end := range ends {
			if now >= end {
				q.Done(now, ticket, true)
				delete(ends, ticket)
				if now < ticket.Deadline {
					served[ticket.Priority]++
				}
			}
		}
		started, _ := q.Dispatch(now)
		for _, ticket := range started {
			ends[ticket] = now.Add(service)
		}
	}
	share := func(p int) float64 { return served[p] / asked[p] }
	t.Logf("served %.2f %.2f %.2f", share(0), share(1), share(2))
	is.True(share(0) > 0.7)
	is.True(share(0) > share(1) && share(1) >= share(2)-0.02)
	is.True(share(2) > 0.15)
}
