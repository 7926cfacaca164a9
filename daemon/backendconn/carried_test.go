package backendconn

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// A connection forgot the requests that it carried, or closed although their deadlines had passed.
func TestCarriedRequestsAreForgotten(t *testing.T) {
	is := is.New(t)
	var open, passed carriedIDs
	now := clock.Instant(time.Hour)
	for n := range 3 * maxCarried {
		now = now.Add(time.Millisecond)
		id := fmt.Sprint("r-", n)
		added := open.add(id, now.Add(time.Hour), now)
		is.Equal(added, n < maxCarried) // the connection is closed then
		is.Equal(open.carriedWithin(id, now), added)
		is.True(passed.add(id, now.Add(time.Second), now))
		is.True(passed.carriedWithin(id, now))
		is.True(!passed.carriedWithin(id, now.Add(time.Second)))
	}
	is.True(len(open.until) <= maxCarried)
	is.True(len(passed.until) <= 2*int(time.Second/time.Millisecond)) // twice what waits
}

// BenchmarkCarry measures what remembering requests adds to each at 1000 requests a second of a
// connection with deadlines of 2 s.
func BenchmarkCarry(b *testing.B) {
	var ids carriedIDs
	now := clock.Instant(time.Hour)
	names := make([]string, 1<<16)
	for i := range names {
		names[i] = fmt.Sprint("r-", i)
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now = now.Add(time.Millisecond)
		id := names[n%len(names)]
		if !ids.carriedWithin(id, now) && !ids.add(id, now.Add(2*time.Second), now) {
			b.Fatal("the connection would be closed")
		}
	}
}

// A copy that came after the deadline of its request was part of a body: its connection had forgotten that
// it carried the request.
func TestCopyAfterTheDeadlineIsPartOfABody(t *testing.T) {
	is := is.New(t)
	const head = "HTTP/1.1 200 OK\r\nId: r-1\r\nSeal: s\r\n\r\n"
	for _, sent := range []int{1, minForget - 1, minForget, minForget + 1, 5 * minForget, maxCarried, 3 * maxCarried} {
		conn := &guardedConn{clock: clock.Boot{}}
		now := clock.Instant(time.Hour)
		for n := range sent {
			now = now.Add(time.Second)
			is.True(conn.ids.add(fmt.Sprint("c-", n), now.Add(time.Millisecond), now))
		}
		for n := max(0, sent-minForget); n < sent; n++ { // the newest ones
			trace := &Trace{RequestID: "r-1"}
			trace.conn.Store(conn)
			ids := requestIDs{own: "r-1", marks: marksOf, carried: trace.Carried}
			if !ids.containsCopy([]byte("who" + strings.Replace(head, "r-1", fmt.Sprint("c-", n), 1) + "other")) {
				t.Errorf("%d requests later the one with number %d of %d is forgotten", sent-n, n, sent)
			}
		}
	}
}
