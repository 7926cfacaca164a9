package loadbalance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

const (
	now = clock.Instant(time.Hour)
	ms  = time.Millisecond
)

func skipNone(int) bool { return false }

// reported returns a server with 9 slots that has just reported.
func reported(near bool, load int, service time.Duration) *Server {
	s := &Server{Near: near, Slots: 9}
	s.ApplyReport(now, Report{Slots: 9, Load: load, Service: service})
	return s
}

func TestPrefersLocalDataCentreWithinTarget(t *testing.T) {
	is := is.New(t)
	servers := []*Server{reported(false, 0, 50*ms), reported(true, 5, 60*ms)}
	is.Equal(Choose(now, servers, skipNone, 400*ms, 0), 1)
	servers[1] = reported(true, 60, 60*ms) // a long queue
	is.Equal(Choose(now, servers, skipNone, 400*ms, 0), 0)
}

func TestPrefersFasterServerAtEqualLoad(t *testing.T) {
	is := is.New(t)
	servers := []*Server{reported(true, 4, 300*ms), reported(true, 4, 100*ms)}
	is.Equal(Choose(now, servers, skipNone, 100*ms, 0), 1)
}

// A server that fails some of its requests, although its reports are good, is not
// chosen while there are others. It is chosen again after its failure rate has decayed.
func TestFailingServerIsAvoided(t *testing.T) {
	is := is.New(t)
	servers := []*Server{reported(true, 0, 50*ms), reported(true, 3, 60*ms)}
	is.Equal(Choose(now, servers, skipNone, 100*ms, 0), 0)
	for i := range 20 {
		servers[0].RecordOutcome(now, i%2 == 0)
	}
	is.Equal(Choose(now, servers, skipNone, 100*ms, 0), 1)
	later := now.Add(time.Minute)
	servers[0].ApplyReport(later, Report{Slots: 9, Service: 50 * ms})
	servers[1].ApplyReport(later, Report{Slots: 9, Load: 3, Service: 60 * ms})
	is.Equal(Choose(later, servers, skipNone, 100*ms, 0), 0)
}

func TestAvoidedServerIsLastResort(t *testing.T) {
	is := is.New(t)
	servers := []*Server{reported(true, 0, 50*ms), reported(false, 8, 500*ms)}
	servers[0].Avoid(now.Add(time.Second))
	is.Equal(Choose(now, servers, skipNone, 400*ms, 0), 1)
	is.Equal(Choose(now, servers, func(i int) bool { return i == 1 }, 400*ms, 0), 0)
	is.Equal(Choose(now, servers, func(int) bool { return true }, 400*ms, 0), -1)
}

// Requests in flight from here count as load at once, before any report includes
// them.
func TestSentRequestsSpread(t *testing.T) {
	is := is.New(t)
	servers := []*Server{{Near: true, Slots: 2}, {Near: true, Slots: 2}, {Near: true, Slots: 2}}
	counts := make([]int, len(servers))
	for range 6 {
		i := Choose(now, servers, skipNone, 10*ms, 0)
		servers[i].Sent()
		counts[i]++
	}
	for _, n := range counts {
		is.Equal(n, 2)
	}
}

// A server that reports a slowdown, for example from another process on its host, is
// not chosen while there are others. It is chosen again when the report has expired,
// even without a new one.
func TestReportedSlowdownExpires(t *testing.T) {
	is := is.New(t)
	servers := []*Server{{Slots: 9}, {Slots: 9}}
	servers[0].ApplyReport(now, Report{Slots: 9, Service: 50 * ms, Slowdown: 3})
	servers[1].ApplyReport(now, Report{Slots: 9, Service: 80 * ms, Slowdown: 1})
	is.Equal(Choose(now, servers, skipNone, 100*ms, 0), 1)
	is.Equal(Choose(now.Add(slowdownMaxAge), servers, skipNone, 100*ms, 0), 0)
}

// A server that names a limit gets no request that its limit has no room for while another
// server has.
func TestRequestsBeyondTheLimitStayWithTheServer(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Second)
	limited, far := &Server{Near: true, Slots: 4}, &Server{Slots: 4}
	far.ApplyReport(now, Report{Slots: 4, Service: 50 * time.Millisecond})
	limited.ApplyReport(now, Report{Slots: 4, Service: 50 * time.Millisecond, NextStart: 500 * time.Millisecond})
	servers := []*Server{limited, far}
	none := func(int) bool { return false }
	is.Equal(Choose(now, servers, none, 300*time.Millisecond, 0), 1)
	later := now.Add(500 * time.Millisecond) // the limit has room again
	is.Equal(Choose(later, servers, none, 300*time.Millisecond, 0), 0)
}

// A server whose link has much to carry is slow for a large response only.
func TestLargeResponsesGoWhereTheLinkIsFree(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	busy, free := &Server{Near: true, Slots: 4}, &Server{Near: true, Slots: 4}
	busy.ApplyReport(now, Report{Service: 50 * ms, LinkBacklog: 400 * ms, LinkKbps: 8500})
	free.ApplyReport(now, Report{Service: 60 * ms, LinkBacklog: 0, LinkKbps: 8500})
	servers := []*Server{busy, free}
	is.Equal(Choose(now, servers, func(int) bool { return false }, 400*ms, 90e3), 1)
	is.Equal(Choose(now, servers, func(int) bool { return false }, 400*ms, 0), 0)
	is.Equal(Choose(now.Add(400*ms), servers, func(int) bool { return false }, 400*ms, 90e3), 0) // carried by then
}
