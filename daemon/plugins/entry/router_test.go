package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/answer"
	"github.com/sesamemoor/sesamemoor/daemon/backendconn"
	"github.com/sesamemoor/sesamemoor/daemon/plugins/suspects"
)

// script answers each attempt with the next kind; the last kind repeats.
func script(kinds ...outcome.Kind) func(context.Context, string, *wire.Request) (*wire.Response, error) {
	var tries atomic.Int64
	return func(context.Context, string, *wire.Request) (*wire.Response, error) {
		i := min(int(tries.Add(1))-1, len(kinds)-1)
		if kinds[i] == outcome.OK {
			return ok("whole"), nil
		}
		return nil, outcome.New(kinds[i], "scripted")
	}
}

func TestAttemptsByKind(t *testing.T) {
	const (
		nonIdempotent = http.MethodPost
		idempotent    = http.MethodGet
	)
	cases := []struct {
		name, method string
		kinds        []outcome.Kind
		want         outcome.Kind
		tries        int
	}{
		{"lost, idempotent", idempotent, []outcome.Kind{outcome.ConnectionLost, outcome.OK}, outcome.OK, 2},
		{"lost, not idempotent", nonIdempotent, []outcome.Kind{outcome.ConnectionLost, outcome.OK}, outcome.ConnectionLost, 1},
		{"not sent, not idempotent", nonIdempotent, []outcome.Kind{outcome.OwnerUnreachable, outcome.OK}, outcome.OK, 2},
		{"not sent, then lost", nonIdempotent, []outcome.Kind{outcome.NotOwner, outcome.ConnectionLost, outcome.OK}, outcome.ConnectionLost, 2},
		{"crash, idempotent", idempotent, []outcome.Kind{outcome.BackendCrashed, outcome.OK}, outcome.BackendCrashed, 1},
		{"shed", idempotent, []outcome.Kind{outcome.BackendShed, outcome.OK}, outcome.BackendShed, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &fakeEnv{answer: script(c.kinds...)}
			_, srv := newTestEntry(t, s)
			resp, _ := do(t, srv, c.method, "/stock/k", "")
			is.Equal(resp.Header.Get(HeaderOutcome), c.want.String())
			is.Equal(s.count(), c.tries)
		})
	}
}

// The outcome of an attempt that may have run is reported even if later attempts
// did not run.
func TestNotRunHoldsForAllAttempts(t *testing.T) {
	is := is.New(t)
	s := &fakeEnv{answer: script(outcome.ConnectionLost, outcome.NotOwner)}
	_, srv := newTestEntry(t, s)
	resp, _ := do(t, srv, "GET", "/stock/k", "", HeaderTimeout, "300")
	is.Equal(resp.Header.Get(HeaderOutcome), outcome.ConnectionLost.String())
	is.Equal(resp.Header.Get(HeaderRan), outcome.MayHaveRun.String())
	is.True(s.count() >= 2)
}

func TestWaitsForThePlacementToChange(t *testing.T) {
	is := is.New(t)
	s := new(fakeEnv)
	failed := make(chan struct{}, 100)
	s.answer = func(_ context.Context, to string, _ *wire.Request) (*wire.Response, error) {
		if to == "d4" {
			return ok("whole"), nil
		}
		failed <- struct{}{}
		return nil, outcome.New(outcome.OwnerUnreachable, "down")
	}
	e, srv := newTestEntry(t, s)
	budget := e.router.budget("stock")
	for budget.Take(e.clock.Now()) { // a retry after a placement change needs no token
	}
	go func() {
		<-failed
		s.view.Store(placedView(member(4, "a"), member(3, "b"), 8))
	}()
	resp, _ := do(t, srv, "POST", "/stock/k", "")
	is.Equal(resp.Header.Get(HeaderOutcome), "ok")
}

func TestNewOwnerIsLearnedFromItsResponse(t *testing.T) {
	is := is.New(t)
	s := new(fakeEnv)
	s.answer = func(_ context.Context, to string, _ *wire.Request) (*wire.Response, error) {
		if to != "d3" {
			return nil, outcome.New(outcome.OwnerUnreachable, "down")
		}
		resp := ok("whole")
		resp.Generation = 8 // after a takeover; the view still has 7
		return resp, nil
	}
	_, srv := newTestEntry(t, s)
	for range 5 {
		resp, _ := do(t, srv, "POST", "/stock/k", "")
		is.Equal(resp.Header.Get(HeaderOutcome), "ok")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	is.Equal(s.to, []string{"d2", "d3", "d3", "d3", "d3", "d3"})
}

// While the owner is unreachable, most attempts go to the standby, which may have
// taken over.
func TestUnreachableOwnerGetsFewAttempts(t *testing.T) {
	is := is.New(t)
	s := new(fakeEnv)
	s.answer = func(_ context.Context, to string, _ *wire.Request) (*wire.Response, error) {
		switch {
		case to == "d2":
			return nil, outcome.New(outcome.OwnerUnreachable, "down")
		case s.count() < 7:
			return nil, outcome.New(outcome.NotOwner, "not yet")
		default:
			return ok("whole"), nil
		}
	}
	_, srv := newTestEntry(t, s)
	resp, _ := do(t, srv, "POST", "/stock/k", "")
	is.Equal(resp.Header.Get(HeaderOutcome), "ok")
	is.Equal(s.to, []string{"d2", "d3", "d3", "d3", "d2", "d3", "d3"})
}

// A request whose connection was lost is retried at the owner on a new connection.
func TestLostConnectionIsRetriedAtOwner(t *testing.T) {
	is := is.New(t)
	s := &fakeEnv{answer: script(outcome.ConnectionLost, outcome.OK)}
	_, srv := newTestEntry(t, s)
	resp, _ := do(t, srv, "GET", "/stock/k", "")
	is.Equal(resp.Header.Get(HeaderOutcome), "ok")
	is.Equal(s.to, []string{"d2", "d2"})
}

func TestTeamDataCentresAreEnforced(t *testing.T) {
	is := is.New(t)
	s := new(fakeEnv)
	s.view.Store(placedView(member(2, "c"), nil, 7))
	_, srv := newTestEntry(t, s)
	resp, _ := do(t, srv, "GET", "/stock/k", "")
	is.Equal(resp.Header.Get(HeaderOutcome), outcome.Forbidden.String())
	is.Equal(s.count(), 0)
}

func TestSecondCrashQuarantines(t *testing.T) {
	is := is.New(t)
	s := new(fakeEnv)
	var crash atomic.Pointer[string]
	s.answer = func(_ context.Context, _ string, req *wire.Request) (*wire.Response, error) {
		id := crash.Load()
		if id == nil {
			return ok("whole"), nil
		}
		resp := answer.Refusal(outcome.New(outcome.BackendCrashed, "gone"))
		resp.Headers = []*wire.Header{{Name: backendconn.HeaderCrashID, Value: *id}}
		return resp, nil
	}
	_, srv := newTestEntry(t, s)
	send := func(body string) string {
		resp, _ := do(t, srv, "POST", "/stock/k", body)
		return resp.Header.Get(HeaderOutcome)
	}
	first, second := "crash-1", "crash-2"
	crash.Store(&first)
	is.Equal(send("poison"), outcome.BackendCrashed.String())
	is.Equal(send("bystander"), outcome.BackendCrashed.String())
	crash.Store(nil)
	is.Equal(send("bystander"), "ok") // cleared
	crash.Store(&second)
	is.Equal(send("poison"), outcome.BackendCrashed.String())
	is.Equal(send("bystander"), outcome.BackendCrashed.String())
	crash.Store(nil)
	before := s.count()
	is.Equal(send("poison"), outcome.Quarantined.String())
	is.Equal(s.count(), before)
	is.Equal(send("bystander"), "ok")
}

// The two crashes that quarantine a request may be observed by different daemons.
func TestSuspectsSpread(t *testing.T) {
	is := is.New(t)
	s := new(fakeEnv)
	e, _ := newTestEntry(t, s)
	frame := func(id string) *wire.Frame {
		suspect := &wire.Suspect{Fingerprint: 5, Service: "stock", CrashId: []byte(id)}
		return &wire.Frame{Body: &wire.Frame_Suspects{Suspects: &wire.Suspects{Suspects: []*wire.Suspect{suspect}}}}
	}
	registry := e.suspects.(*suspects.Registry)
	sentSuspects := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.sentSuspects)
	}
	registry.HandleFrame(context.Background(), "peer", frame("a"))
	is.True(!registry.IsQuarantined(5))
	registry.HandleFrame(context.Background(), "peer", frame("b"))
	is.True(registry.IsQuarantined(5))
	deadline := time.Now().Add(eventTimeout)
	for sentSuspects() < 4 { // both crashes, each sent to both other daemons
		is.True(time.Now().Before(deadline))
		time.Sleep(time.Millisecond)
	}
	registry.HandleFrame(context.Background(), "peer", frame("b")) // known already: not sent again
	is.Equal(sentSuspects(), 4)
}
