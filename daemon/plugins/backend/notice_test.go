package backend

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/liveness"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/protocol"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// limitedServer names a limit in its responses and records when requests reach it.
type limitedServer struct {
	mu       sync.Mutex
	limit    string // value of the header; "" for none
	arrivals []time.Time
}

func (s *limitedServer) serve(w http.ResponseWriter, id string) {
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	limit := s.limit
	s.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	if limit != "" {
		w.Header().Set("Limit", limit)
	}
	okResponse(w, id)
}

func (s *limitedServer) setLimit(limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// arrived returns the number of requests that reached the server since a time.
func (s *limitedServer) arrived(since time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, at := range s.arrivals {
		if at.After(since) {
			n++
		}
	}
	return n
}

// allowed returns the number of requests that may have reached a server with a limit since a
// time, however long this process was held up meanwhile.
func allowed(limitPerS float64, since time.Time) int {
	return int(limitPerS*time.Since(since).Seconds()) + 3
}

// flood sends requests in short intervals for a while and returns the refusals.
func flood(e *executor, length time.Duration, notice *wire.ServerNotice) (refused []*wire.Response) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := 0; i < int(length/(4*time.Millisecond)); i++ {
		wg.Go(func() {
			req := request(fmt.Sprintf("%d-%d", time.Now().UnixNano(), i), 7)
			req.Notice, req.TimeoutMs, req.TargetMs = notice, 600, 250
			if resp := e.Execute(context.Background(), req); kind(resp) != outcome.OK {
				mu.Lock()
				refused = append(refused, resp)
				mu.Unlock()
			}
		})
		time.Sleep(4 * time.Millisecond)
	}
	wg.Wait()
	return refused
}

func TestServerGetsMoreThanTheLimitItNames(t *testing.T) {
	is := is.New(t)
	e, f := start(t)
	s := &limitedServer{limit: "10"}
	f.handler = s.serve
	is.Equal(kind(e.Execute(context.Background(), request("first", 7))), outcome.OK)
	since := time.Now()
	refused := flood(e, 2*time.Second, nil)
	is.True(s.arrived(since) <= allowed(10, since))
	is.True(s.arrived(since) >= 15)
	for _, resp := range refused {
		is.Equal(kind(resp).Answer().Ran, outcome.NotRun)
		is.True(kind(resp) != outcome.Overloaded || resp.GetRetryAfterMs() > 0)
	}
	is.Equal(e.Execute(context.Background(), request("next", 7)).GetLoad().GetNotice().GetLimitPerS(), 10.0)
	s.setLimit("")
	until(t, "the limit is lifted", func() bool {
		return e.Execute(context.Background(), request(fmt.Sprint(time.Now().UnixNano()), 7)).GetLoad().GetNotice() == nil
	})
}

// A server that is lost for a while and announces itself again is the same boot.
func TestLimitIsForgottenWhenServerReturns(t *testing.T) {
	is := is.New(t)
	e, f := start(t)
	s := &limitedServer{limit: "10"}
	f.handler = s.serve
	is.Equal(kind(e.Execute(context.Background(), request("first", 7))), outcome.OK)
	e.markLost(e.server, "no heartbeat", liveness.NoAnnouncement)
	announce(e, protocol.Announcement{ID: "i-1", Service: "front", Addr: f.addr, Slots: 4, Sequence: 2, BootTime: 1})
	is.Equal(e.admission.limitPerS(), 10.0)
	announce(e, protocol.Announcement{ID: "i-1", Service: "front", Addr: f.addr, Slots: 4, Sequence: 1, BootTime: 2})
	is.Equal(e.admission.limitPerS(), 0.0) // another boot is another server
}

// A daemon that restarts beside a server with a limit knows it from a daemon that passed
// a response on, or else sends one request at a time until the first response.
func TestRestartedDaemonForgetsTheLimit(t *testing.T) {
	for name, notice := range map[string]*wire.ServerNotice{"passed on": {Server: "i-1@1", LimitPerS: 10}, "not passed on": nil} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, f := start(t)
			s := &limitedServer{limit: "10"}
			f.handler = s.serve
			since := time.Now()
			flood(e, 500*time.Millisecond, notice)
			is.True(s.arrived(since) <= allowed(10, since))
			is.Equal(e.admission.limitPerS(), 10.0)
		})
	}
}

// leavingServer says in its responses that it leaves.
func leavingServer(w http.ResponseWriter, id string) {
	w.Header().Set("Leaving", "1")
	okResponse(w, id)
}

// A server that says in a response that it leaves gets no request after its drain time,
// although nothing else tells of it.
func TestLeavingInResponseIsNotHeard(t *testing.T) {
	is := is.New(t)
	e, f := start(t)
	e.bounds.DrainS = 0.5
	f.handler = leavingServer
	resp := e.Execute(context.Background(), request("r-1", 7))
	is.Equal(kind(resp), outcome.OK)
	is.True(resp.GetLoad().GetNotice().GetLeaving())
	until(t, "the control state is told", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return slices.Contains(f.events, control.Event(control.BackendLeaving{}))
	})
	f.handler = okResponse
	time.Sleep(500 * time.Millisecond)
	resp = e.Execute(context.Background(), request("r-2", 7))
	is.Equal(kind(resp), outcome.Draining)
	is.Equal(f.runs("r-2"), 0)
}

// A daemon that restarts beside a leaving server, which does not announce it, hears
// of it from a daemon that passed a response on, also while the store is away.
func TestRestartedDaemonForgetsThatServerLeaves(t *testing.T) {
	is := is.New(t)
	e, f := start(t)
	e.bounds.DrainS = 2
	req := request("r-1", 7)
	req.Notice = &wire.ServerNotice{Server: "i-1@1", Leaving: true, LeavingMs: 1900}
	is.Equal(kind(e.Execute(context.Background(), req)), outcome.Draining)
	is.Equal(f.runs("r-1"), 0)
	announce(e, protocol.Announcement{ID: "i-2", Service: "front", Addr: f.addr, Slots: 4, Sequence: 1, BootTime: 2})
	is.True(e.notice() == nil) // another boot does not leave
}
