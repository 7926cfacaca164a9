package gateway

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// A nested call had the priority and the objective of its own route, whatever request waited for
// it.
func TestNestedCallIsRankedWithItsParent(t *testing.T) {
	is := is.New(t)
	s := newFakeDaemon()
	for i := range s.view.Config.HostRoutes {
		s.view.Config.HostRoutes[i].Priority, s.view.Config.HostRoutes[i].TargetMS = 7, 100
	}
	g := newTestHandler(t, s).(*gateway)
	g.ranksNested = true
	srv := httptest.NewServer(g)
	defer srv.Close()
	now := clock.Boot{}.Now()
	for i, priority := range []uint32{1, 4} {
		run := g.runs.Begin("", now.Add(time.Duration(i+1)*200*time.Millisecond), false)
		run.SetUrgency(priority, now.Add(time.Duration(i+1)*190*time.Millisecond))
		defer run.End()
	}
	call := func(patience string) {
		is.Equal(send(t, srv, "GET", "/open/1", "Key", "", "Patience", patience).StatusCode, 200)
		is.True(s.lastRequest.GetNested())
	}
	call("400")
	is.Equal(s.lastRequest.GetPriority(), uint32(4))
	is.True(s.lastRequest.GetTargetMs() > 200 && s.lastRequest.GetTargetMs() <= 380)
	call("200")
	is.Equal(s.lastRequest.GetPriority(), uint32(1))
	is.True(s.lastRequest.GetTargetMs() <= 200)
}

// Without teams a call is known by its id. It counts as a call of its run in every deployment, but
// goes before the requests of callers only where the settings name a narrow link: others were to be
// served as before.
func TestCallsKnownByIDGoFirstBehindNarrowLinksOnly(t *testing.T) {
	for _, narrow := range []bool{false, true} {
		is := is.New(t)
		s := newFakeDaemon()
		s.view.Config.Teams = nil
		g := newTestHandler(t, s).(*gateway)
		g.ranksNested = narrow
		srv := httptest.NewServer(g)
		defer srv.Close()
		run := g.runs.Begin("r-1", clock.Boot{}.Now().Add(time.Second), true)
		is.Equal(send(t, srv, "GET", "/open/1", "Id", "r-1.c").StatusCode, 200)
		is.Equal(s.lastRequest.GetNested(), narrow)
		is.True(s.lastRequest.GetRepeat())
		is.Equal(run.End()[s.lastRequest.GetService()], uint32(1))
		is.Equal(send(t, srv, "GET", "/open/1", "Id", "r-1.c").StatusCode, 200)
		is.True(!s.lastRequest.GetNested() && !s.lastRequest.GetRepeat()) // the run is over
	}
}
