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
