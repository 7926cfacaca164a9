package gateway

import (
	"io"
	"net"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/pacing"
)

// linkedGateway serves callers over a link of 10 Mbit/s at addr, with list as a bulk route.
func linkedGateway(t *testing.T, s *fakeDaemon, addr string) (*httptest.Server, *pacing.Pacer) {
	t.Helper()
	for i := range s.view.Config.HostRoutes {
		r := &s.view.Config.HostRoutes[i]
		r.Bulk = r.Name == "list"
	}
	s.view.Hosts = fleet.NewHostTable(s.view.Config)
	set := settings.Daemon{}
	set.Bounds.LinkMbps = 10
	pacer := pacing.New(set, clock.Boot{}, zap.NewNop())
	g := newTestHandler(t, s).(*gateway)
	g.pacer = pacer
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	srv := httptest.NewUnstartedServer(g)
	_ = srv.Listener.Close()
	srv.Listener = listener
	srv.Start()
	t.Cleanup(srv.Close)
	return srv, pacer
}

// A large response that the entry's link cannot carry in time is refused before its request takes
// a slot anywhere. Small responses, and callers within the instance, are not affected.
func TestEntryRefusesWhatItsLinkCannotCarry(t *testing.T) {
	is := is.New(t)
	s := newFakeDaemon()
	s.respond = func(_ string, req *wire.Request) (*wire.Response, error) {
		return &wire.Response{Kind: uint32(outcome.OK), Status: 200, Body: make([]byte, 20<<10), BodyLength: 20 << 10}, nil
	}
	srv, pacer := linkedGateway(t, s, "127.0.0.2:0")
	resp := send(t, srv, "GET", "/list/1")
	is.Equal(resp.StatusCode, 200)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(len(body), 20<<10)
	is.True(s.lastRequest.GetBulk())
	is.True(s.lastRequest.GetTimeoutMs() < 500-40) // 64 KiB take 62 ms of the caller's time
	backlog, _ := pacer.Backlog()
	is.Equal(backlog, time.Duration(0))

	promise := pacer.Promise(clock.Boot{}.Now(), 0, 1e6, 0) // 0.9 s of the link
	sent := len(s.targets)
	resp = send(t, srv, "GET", "/list/1")
	is.Equal(resp.StatusCode, 503)
	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 0.2 && after < 3)
	is.Equal(len(s.targets), sent)
	is.Equal(send(t, srv, "GET", "/read/1").StatusCode, 200)

	local, other := linkedGateway(t, s, "127.0.0.1:0")
	defer other.Drop(other.Promise(clock.Boot{}.Now(), 0, 1e6, 0))
	is.Equal(send(t, local, "GET", "/list/1").StatusCode, 200)

	pacer.Drop(promise)
	is.Equal(send(t, srv, "GET", "/list/1").StatusCode, 200)
}
