package runqueue

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Callers that were refused together were told the same time, came back together, and were refused
// again, or all at the latest time that is told. They are told to return as fast as the slots can serve them.
func TestRefusedCallersReturnOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	q := New()
	q.SpreadReturns()
	q.SetSlots(4) // of the default service time: 67 a second
	perBucket := map[time.Duration]int{}
	refused := 0
	for range 120 {
		r := q.Submit(start, &Ticket{Class: "a", Target: start.Add(200 * ms), Deadline: start.Add(600 * ms)})
		q.Dispatch(start)
		if r == nil {
			continue
		}
		refused++
		is.True(r.RetryAfter >= minRetryAfter && r.RetryAfter <= maxRetryAfter)
		perBucket[r.RetryAfter/(250*ms)]++
	}
	is.True(refused > 70)
	t.Log(refused, perBucket)
	for _, n := range perBucket {
		is.True(n <= 67/4+2) // in a quarter of a second
	}
}
