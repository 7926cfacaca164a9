package gateway

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/keyhash"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/protocol"
	"github.com/sesamemoor/sesamemoor/core/retry"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
	"github.com/sesamemoor/sesamemoor/daemon/routing"
)

const (
	secret  = "0123456789abcdef"
	teamKey = "key-of-pier"
)

// testProtocol implements protocol.Callers with short header names.
type testProtocol struct{}

func (testProtocol) Decode(r *http.Request) (protocol.CallerRequest, error) {
	c := protocol.CallerRequest{ID: r.Header.Get("Id"), Key: r.Header.Get("Key")}
	if text := r.Header.Get("Number"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			return c, fmt.Errorf("%w: number", protocol.ErrMalformed)
		}
		c.NumberKey, c.HasNumberKey = uint32(n), true
	}
	if text := r.Header.Get("Patience"); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil {
			return c, fmt.Errorf("%w: patience", protocol.ErrMalformed)
		}
		c.Timeout = time.Duration(ms) * time.Millisecond
	}
	if c.ID == "" {
		return c, fmt.Errorf("%w: no id", protocol.ErrMalformed)
	}
	return c, nil
}

func (testProtocol) IsInternal(header string) bool         { return header == "Key" || header == "Id" }
func (testProtocol) SetRequestID(h http.Header, id string) { h.Set("Id", id) }

// fakeDaemon replaces everything that the gateway calls: control, limiter,
// suspects, peers and executor. respond returns the response of the target daemon.
type fakeDaemon struct {
	view        *view.View
	limitErr    error
	quarantined bool
	respond     func(target string, req *wire.Request) (*wire.Response, error)

	mu          sync.Mutex
	targets     []string // daemons that got a request, in order
	lastRequest *wire.Request
}

func (d *fakeDaemon) Post(control.Event)                          {}
func (d *fakeDaemon) View() *view.View                            { return d.view }
func (d *fakeDaemon) Take(context.Context, string) error          { return d.limitErr }
func (d *fakeDaemon) IsQuarantined(uint64) bool                   { return d.quarantined }
func (d *fakeDaemon) RecordCompletion(uint64, string)             {}
func (d *fakeDaemon) RecordCrash(_ uint64, _, _ string, _ string) {}
func (d *fakeDaemon) Execute(_ context.Context, req *wire.Request) *wire.Response {
	resp, _ := d.handle("self", req)
	return resp
}

func (d *fakeDaemon) Call(_ context.Context, addr string, f *wire.Frame) (*wire.Frame, error) {
	resp, err := d.handle(addr, f.GetRequest())
	return &wire.Frame{Body: &wire.Frame_Response{Response: resp}}, err
}

func (d *fakeDaemon) handle(target string, req *wire.Request) (*wire.Response, error) {
	d.mu.Lock()
	d.targets = append(d.targets, target)
	d.lastRequest = req
	d.mu.Unlock()
	return d.respond(target, req)
}

func okResponse(string, *wire.Request) (*wire.Response, error) {
	return &wire.Response{Kind: uint32(outcome.OK), Status: 200, Body: []byte("whole"), BodyLength: 5,
		Headers: []*wire.Header{{Name: "Seal", Value: "s"}, {Name: "Connection", Value: "close"}}}, nil
}

func responseOfKind(k outcome.Kind) (*wire.Response, error) {
	return &wire.Response{Kind: uint32(k)}, nil
}

func member(inc uint64, dc string) *view.Member {
	name := fmt.Sprintf("d%d", inc)
	return &view.Member{Incarnation: inc, Slot: name, DataCentre: dc, PeerAddr: name, Slots: 4}
}

var freshnessLimits = view.FreshnessLimits{Unconfirmed: time.Hour, Replaced: time.Hour}

func newFakeDaemon() *fakeDaemon {
	priority := uint32(0)
	freshness := view.NewFreshness(freshnessLimits)
	freshness.Advance(clock.Boot{}.Now(), clock.Boot{}.Now())
	cfg := &fleet.Config{
		Services: map[string]fleet.Service{"front": {Shards: 1, KeySpace: 16}, "back": {Keyless: true}, "new": {Keyless: true}},
		HostRoutes: []fleet.HostRoute{
			{Name: "read", Host: "a", Prefix: "/read/", Targets: []fleet.WeightedRoute{{Service: "front", Weight: 1}}, Idempotent: true, TimeoutMS: 500, TargetMS: 100, MaxTries: 2, Priority: 2},
			{Name: "order", Host: "a", Prefix: "/order/", Targets: []fleet.WeightedRoute{{Service: "front", Weight: 1}}, TimeoutMS: 500, MaxTries: 2},
			{Name: "list", Host: "a", Prefix: "/list/", Targets: []fleet.WeightedRoute{{Service: "back", Weight: 1}}, Idempotent: true, TimeoutMS: 500, MaxTries: 2},
			{Name: "split", Host: "a", Prefix: "/split/", Targets: []fleet.WeightedRoute{{Service: "back", Weight: 90}, {Service: "new", Weight: 10}}, Idempotent: true, TimeoutMS: 500},
			{Name: "open", Host: "a", Prefix: "/open/", Targets: []fleet.WeightedRoute{{Service: "back", Weight: 1}}, Idempotent: true, TimeoutMS: 500, Anonymous: true},
		},
		Teams: map[string]fleet.Team{"pier": {Rate: 100, Burst: 100, Priority: &priority}},
	}
	return &fakeDaemon{respond: okResponse, view: &view.View{
		Incarnation: 1, ConfigVersion: 7, Config: cfg, Hosts: fleet.NewHostTable(cfg), Slots: 4,
		Callers: map[string]view.Caller{keyhash.Sum([]byte(secret), teamKey): {Team: "pier"}},
		Services: map[string]*view.Service{"front": {Base: 1, KeySpace: 16, Shards: []view.Shard{
			{Owner: member(2, "a"), Standby: member(3, "b"), Generation: 4}}}},
		Servers: map[string][]*view.Member{"back": {member(4, "a"), member(5, "b"), member(6, "b")}, "new": {member(7, "a")}},
		Daemons: make([]view.Daemon, 4),
		Lease:   new(view.LeaseCell), ConfigFreshness: freshness,
	}}
}

// startedClock is the boot clock of a daemon that has been running for longer than any
// window: its first reading is an hour old.
type startedClock struct{ started atomic.Bool }

func (c *startedClock) Now() clock.Instant {
	if c.started.CompareAndSwap(false, true) {
		return clock.Boot{}.Now().Add(-time.Hour)
	}
	return clock.Boot{}.Now()
}

func newTestGateway(t *testing.T, s *fakeDaemon) *httptest.Server {
	t.Helper()
	srv := httptest.NewServer(newTestHandler(t, s))
	t.Cleanup(srv.Close)
	return srv
}

func newTestHandler(t *testing.T, s *fakeDaemon) http.Handler {
	t.Helper()
	set := settings.Default()
	set.KeyHashSecret = secret
	set.BackendService = "front"
	set.Bounds.GraceS = 6
	m, err := newInstruments(&kernel.Metrics{Meter: noop.Meter{}})
	if err != nil {
		t.Fatal(err)
	}
	return newGateway(gatewayParams{
		Settings: set, Control: s, Clock: clock.Boot{}, Protocol: testProtocol{}, Limiter: s, Suspects: s, Runs: retry.NewRuns(),
		Sender: newSender(set, s, s, s, routing.NewRepeats(set, s, new(startedClock)), clock.Boot{}), Metrics: m, Log: zap.NewNop(),
	})
}

func send(t *testing.T, srv *httptest.Server, method, path string, headers ...string) *http.Response {
	t.Helper()
	req, err := http.NewRequest(method, srv.URL+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "a"
	req.Header.Set("Id", "r-1")
	req.Header.Set("Key", teamKey)
	req.Header.Set("Number", "3")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
		if headers[i+1] == "" {
			req.Header.Del(headers[i])
		}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	resp.Body = io.NopCloser(strings.NewReader(string(body)))
	return resp
}

// Headers that the server listed in Connection, which hold for its connection only, reached the caller.
func TestHeadersListedInTheServersConnectionHeaderAreNotPassedOn(t *testing.T) {
	is := is.New(t)
	s := newFakeDaemon()
	s.respond = func(target string, req *wire.Request) (*wire.Response, error) {
		resp, err := okResponse(target, req)
		resp.Headers = append(resp.Headers,
			&wire.Header{Name: "connection", Value: "x-hop, Keep-Alive"},
			&wire.Header{Name: "X-Hop", Value: "1"},
			&wire.Header{Name: "X-End", Value: "2"})
		return resp, err
	}
	resp := send(t, newTestGateway(t, s), http.MethodGet, "/read/1")
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(resp.Header.Values("X-Hop"), nil)
	is.Equal(resp.Header.Get("X-End"), "2")
}

func TestForwardsRequestAndResponse(t *testing.T) {
	is := is.New(t)
	s := newFakeDaemon()
	resp := send(t, newTestGateway(t, s), "GET", "/read/1?x=%20y")
	body, _ := io.ReadAll(resp.Body)
	is.Equal(resp.StatusCode, 200)
	is.Equal(string(body), "whole")
	is.Equal(resp.Header.Get("Seal"), "s")
	is.Equal(s.targets, []string{"d2"})
	is.Equal(s.lastRequest.GetPath(), "/read/1?x=%20y")
	is.Equal(s.lastRequest.GetTeam(), "pier")
	is.Equal(s.lastRequest.GetCallingService(), "front")
	is.Equal(s.lastRequest.GetPriority(), uint32(0)) // the team's priority overrides the route's
	for _, h := range s.lastRequest.GetHeaders() {
		is.True(h.GetName() != "Key")
	}
}

func TestRefusesInvalidRequests(t *testing.T) {
	for name, tc := range map[string]struct {
		path    string
		headers []string
		want    int
	}{
		"no id":        {"/read/1", []string{"Id", ""}, 400},
		"no route":     {"/nowhere/1", nil, 404},
		"unknown key":  {"/read/1", []string{"Key", "other"}, 401},
		"no key":       {"/read/1", []string{"Key", ""}, 401},
		"no number":    {"/read/1", []string{"Number", ""}, 400},
		"strange":      {"/read/1", []string{"Number", "x"}, 400},
		"open, no key": {"/open/1", []string{"Key", ""}, 200},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newFakeDaemon()
			resp := send(t, newTestGateway(t, s), "GET", tc.path, tc.headers...)
			is.Equal(resp.StatusCode, tc.want)
			is.Equal(len(s.targets) > 0, tc.want == 200)
		})
	}
}

func TestDaemonWithoutConfigurationRefuses(t *testing.T) {
	is := is.New(t)
	s := newFakeDaemon()
	s.view = &view.View{Config: &fleet.Config{}, Lease: new(view.LeaseCell), ConfigFreshness: view.NewFreshness(freshnessLimits)}
	resp := send(t, newTestGateway(t, s), "GET", "/read/1")
	is.Equal(resp.StatusCode, 503)
	is.True(resp.Header.Get("Retry-After") != "")
}

// A daemon that starts reads the versions of the past before the newest one. It must not
// handle requests by them.
func TestStartingDaemonHandlesRequestsByOldVersion(t *testing.T) {
	is := is.New(t)
	s := newFakeDaemon()
	s.view.ConfigFreshness = view.NewFreshness(freshnessLimits) // the newest version is not known yet
	g := &gateway{control: s, clock: clock.Boot{}}
	is.True(!g.ready())
	resp := send(t, newTestGateway(t, s), "GET", "/read/1")
	is.Equal(resp.StatusCode, 503)
	is.Equal(send(t, newTestGateway(t, s), "GET", "/nowhere/1").StatusCode, 503)
	s.view.ConfigFreshness.Advance(clock.Boot{}.Now(), clock.Boot{}.Now())
	is.True(g.ready())
	is.Equal(send(t, newTestGateway(t, s), "GET", "/read/1").StatusCode, 200)
}

// lateView publishes next, and confirms it, just after a request has loaded the view before.
type lateView struct {
	*fakeDaemon
	next *view.View
}

func (l *lateView) View() *view.View {
	v := l.view
	if l.next != nil {
		l.view, l.next = l.next, nil
		v.ConfigFreshness.Advance(clock.Boot{}.Now(), clock.Boot{}.Now())
	}
	return v
}

// A request that arrives while the newest version is published is not handled by the version
// of the past before it, neither refused nor admitted.
func TestRequestDuringNewestVersionIsNotHandledByOldOne(t *testing.T) {
	for name, oldHasKey := range map[string]bool{"key added": false, "key withdrawn": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newFakeDaemon()
			withKey := *s.view
			withKey.ConfigFreshness = view.NewFreshness(freshnessLimits)
			withoutKey := withKey
			withoutKey.Callers = map[string]view.Caller{}
			old, next, want := &withoutKey, &withKey, http.StatusOK
			if oldHasKey {
				old, next, want = next, old, http.StatusUnauthorized
			}
			s.view = old
			g := newTestHandler(t, s).(*gateway)
			g.control = &lateView{fakeDaemon: s, next: next}
			srv := httptest.NewServer(g)
			defer srv.Close()
			first := send(t, srv, "GET", "/read/1").StatusCode
			is.True(first == want || first == http.StatusServiceUnavailable)
			is.Equal(send(t, srv, "GET", "/read/1").StatusCode, want)
		})
	}
}

// A daemon whose peers have a newer configuration refuses at once what an old one would
// decide, and says so to the platform.
func TestReplacedConfigurationDecidesRequests(t *testing.T) {
	is := is.New(t)
	s := newFakeDaemon()
	now := clock.Boot{}.Now()
	s.view.ConfigFreshness = view.NewFreshness(view.FreshnessLimits{Unconfirmed: time.Hour, Replaced: time.Second})
	s.view.ConfigFreshness.Advance(now, now)
	g := &gateway{control: s, clock: clock.Boot{}}
	is.True(g.ready())
	time.Sleep(1100 * time.Millisecond)
	srv := newTestGateway(t, s)
	is.Equal(send(t, srv, "GET", "/read/1").StatusCode, 200) // its age alone costs nobody anything
	s.view.ConfigFreshness.ObservePeer(1, clock.Boot{}.Now())
	is.True(!g.ready())
	for _, path := range []string{"/read/1", "/nowhere/1", "/split/1"} {
		resp := send(t, srv, "GET", path)
		is.Equal(resp.StatusCode, 503)
		is.True(resp.Header.Get("Retry-After") != "")
	}
	s.view.ConfigFreshness.SetNext(1)
	is.True(g.ready())
	is.Equal(send(t, srv, "GET", "/read/1").StatusCode, 200)
}

// A request that is not idempotent is never sent again once it may have run, and
// its status does not claim that it did not run.
func TestNonIdempotentRequestIsNotResent(t *testing.T) {
	for _, kind := range []outcome.Kind{outcome.ConnectionLost, outcome.AnswerCut, outcome.BackendCrashed, outcome.DeadlineMaybeRan, outcome.BackendError} {
		t.Run(kind.String(), func(t *testing.T) {
			is := is.New(t)
			s := newFakeDaemon()
			s.respond = func(string, *wire.Request) (*wire.Response, error) { return responseOfKind(kind) }
			resp := send(t, newTestGateway(t, s), "POST", "/order/1")
			is.True(resp.StatusCode == 502 || resp.StatusCode == 504)
			is.Equal(len(s.targets), 1)
		})
	}
}

func TestIdempotentRequestIsRetriedOnce(t *testing.T) {
	is := is.New(t)
	s := newFakeDaemon()
	s.respond = func(string, *wire.Request) (*wire.Response, error) { return responseOfKind(outcome.AnswerCut) }
	resp := send(t, newTestGateway(t, s), "GET", "/list/1")
	is.Equal(resp.StatusCode, 502)
	is.Equal(len(s.targets), 2) // MaxTries of the route
	is.True(s.targets[0] != s.targets[1])
}

// After an attempt that may have run, a refusal of a later attempt must not be
// returned as "not run".
func TestNotRunRequiresAllAttempts(t *testing.T) {
	is := is.New(t)
	s := newFakeDaemon()
	first := true
	s.respond = func(string, *wire.Request) (*wire.Response, error) {
		if first {
			first = false
			return responseOfKind(outcome.ConnectionLost)
		}
		return responseOfKind(outcome.Overloaded)
	}
	resp := send(t, newTestGateway(t, s), "GET", "/list/1")
	is.Equal(resp.StatusCode, 502)
}

func TestBackendServerErrorIsForwarded(t *testing.T) {
	is := is.New(t)
	s := newFakeDaemon()
	s.respond = func(string, *wire.Request) (*wire.Response, error) {
		return &wire.Response{Kind: uint32(outcome.OK), Status: 500, Headers: []*wire.Header{{Name: "Seal", Value: "s"}}}, nil
	}
	resp := send(t, newTestGateway(t, s), "POST", "/order/1")
	is.Equal(resp.StatusCode, 500)
	is.Equal(resp.Header.Get("Seal"), "s")
	is.Equal(len(s.targets), 1)
}

// A daemon declines a request before its backend server receives it, so the request
// goes to another daemon at once. If all decline, the caller gets a Retry-After.
func TestDeclinedRequestIsSentToOtherDaemons(t *testing.T) {
	is := is.New(t)
	s := newFakeDaemon()
	s.respond = func(target string, _ *wire.Request) (*wire.Response, error) {
		return &wire.Response{Kind: uint32(outcome.Overloaded), RetryAfterMs: 200}, nil
	}
	resp := send(t, newTestGateway(t, s), "POST", "/list/1")
	is.Equal(resp.StatusCode, 503)
	is.Equal(len(s.targets), maxDeclines)
	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after >= 0.2*(1-retryAfterJitter) && after <= 0.2*(1+retryAfterJitter))
}

func TestFallsBackToStandbyWhenOwnerUnreachable(t *testing.T) {
	is := is.New(t)
	s := newFakeDaemon()
	s.respond = func(target string, req *wire.Request) (*wire.Response, error) {
		if target == "d2" {
			return nil, outcome.New(outcome.OwnerUnreachable, "gone")
		}
		return okResponse(target, req)
	}
	resp := send(t, newTestGateway(t, s), "POST", "/order/1")
	is.Equal(resp.StatusCode, 200)
	is.Equal(s.targets, []string{"d2", "d3"})
}

// TestMisdirectedRequestsAreBounded guards against unbounded retries of a request
// that backend servers refuse because they do not hold its key: each attempt reaches
// a server, so the route's MaxTries must bound them.
func TestMisdirectedRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	s := newFakeDaemon()
	s.respond = func(string, *wire.Request) (*wire.Response, error) {
		return &wire.Response{Kind: uint32(outcome.Misdirected)}, nil
	}
	resp := send(t, newTestGateway(t, s), "POST", "/order/1")
	is.Equal(resp.StatusCode, 503)
	is.Equal(s.targets, []string{"d2", "d3"}) // MaxTries of the route is 2
}

// TestWaitForOwnerIsBounded checks that the wait for the owner of a key is bounded.
func TestWaitForOwnerIsBounded(t *testing.T) {
	is := is.New(t)
	s := newFakeDaemon()
	s.respond = func(string, *wire.Request) (*wire.Response, error) {
		return &wire.Response{Kind: uint32(outcome.NotOwner)}, nil
	}
	started := time.Now()
	resp := send(t, newTestGateway(t, s), "GET", "/read/1") // latency target: 100 ms
	is.Equal(resp.StatusCode, 503)
	is.True(time.Since(started) < 100*time.Millisecond)
	is.True(len(s.targets) >= 2)
}

func TestWeightedRouteKeepsWeights(t *testing.T) {
	is := is.New(t)
	s := newFakeDaemon()
	srv := newTestGateway(t, s)
	for range 100 {
		send(t, srv, "GET", "/split/1")
	}
	toNew := 0
	for _, target := range s.targets {
		if target == "d7" {
			toNew++
		}
	}
	is.Equal(toNew, 10)
}

// Each of many daemons gets few requests of a route. All of them together must still be
// distributed by the weights.
func TestWeightsAreMissedWithFewRequestsAtEachDaemon(t *testing.T) {
	is := is.New(t)
	const daemons, requests, tolerance = 2000, 2, 0.05
	for _, weights := range [][2]float64{{90, 10}, {50, 50}, {70, 30}} {
		route := &fleet.HostRoute{Name: "split", Targets: []fleet.WeightedRoute{{Service: "a", Weight: weights[0]}, {Service: "b", Weight: weights[1]}}}
		toSecond := 0.0
		for range daemons {
			w := newWeightedRoundRobin()
			for range requests {
				if w.pick(route) == "b" {
					toSecond++
				}
			}
		}
		is.True(math.Abs(toSecond/(daemons*requests)-weights[1]/100) < tolerance)
	}
}

// What a server said of itself goes with later requests to it, until it says otherwise.
func TestNoticeIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	s := newFakeDaemon()
	s.view.Services["front"].Shards[0].Owner.BackendName = "i-1@1"
	named := &wire.ServerNotice{Server: "i-1@1", LimitPerS: 3, Leaving: true, LeavingMs: 5000}
	s.respond = func(target string, req *wire.Request) (*wire.Response, error) {
		resp, err := okResponse(target, req)
		resp.Load = &wire.ServerLoad{Notice: named}
		return resp, err
	}
	srv := newTestGateway(t, s)
	send(t, srv, "GET", "/read/1")
	is.True(s.lastRequest.GetNotice() == nil)
	named = nil
	send(t, srv, "GET", "/read/1")
	is.Equal(s.lastRequest.GetNotice().GetLimitPerS(), 3.0)
	is.True(s.lastRequest.GetNotice().GetLeavingMs() >= 5000)
	send(t, srv, "GET", "/read/1")
	is.True(s.lastRequest.GetNotice() == nil) // the response before had none
}

func TestTeamOverRateIsRefused(t *testing.T) {
	is := is.New(t)
	s := newFakeDaemon()
	s.limitErr = outcome.New(outcome.RateLimited, "over")
	is.Equal(send(t, newTestGateway(t, s), "GET", "/read/1").StatusCode, 429)
	is.Equal(len(s.targets), 0)
}

// While the keeper is unavailable, a team gets this daemon's local share of the rate
// and no more.
func TestLocalShareWhileKeeperUnavailable(t *testing.T) {
	is := is.New(t)
	s := newFakeDaemon()
	s.limitErr = outcome.New(outcome.KeeperUnavailable, "away")
	srv := newTestGateway(t, s)
	statuses := map[int]int{}
	for range 40 {
		statuses[send(t, srv, "GET", "/read/1").StatusCode]++
	}
	is.True(statuses[503] > 0)
	is.Equal(statuses[200]+statuses[503], 40)
}

func TestQuarantinedRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	s := newFakeDaemon()
	s.quarantined = true
	is.Equal(send(t, newTestGateway(t, s), "GET", "/read/1").StatusCode, 503)
	is.Equal(len(s.targets), 0)
}

// A request that comes late in a shutdown and may outlast the process must not be taken: it
// would be cut.
func TestLateRequestIsCutAtTheEndOfAShutdown(t *testing.T) {
	for name, tc := range map[string]struct {
		ago  time.Duration // start of the shutdown
		path string
		want int
	}{
		"early":         {time.Second, "/sync/1", 200},
		"late, short":   {3500 * time.Millisecond, "/read/1", 200},
		"late, long":    {3500 * time.Millisecond, "/sync/1", 503},
		"near the stop": {5500 * time.Millisecond, "/read/1", 503},
		"to the stop":   {3500 * time.Millisecond, "/upto/1", 503},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newFakeDaemon()
			s.view.Config.HostRoutes = append(s.view.Config.HostRoutes, fleet.HostRoute{
				Name: "sync", Host: "a", Prefix: "/sync/", Targets: []fleet.WeightedRoute{{Service: "back", Weight: 1}}, TimeoutMS: 4000, MaxTries: 2},
				fleet.HostRoute{Name: "upto", Host: "a", Prefix: "/upto/", Targets: []fleet.WeightedRoute{{Service: "back", Weight: 1}}, TimeoutMS: 2050, MaxTries: 2})
			s.view.Hosts = fleet.NewHostTable(s.view.Config)
			s.view.Leaving, s.view.LeavingSince = true, clock.Boot{}.Now().Add(-tc.ago)
			resp := send(t, newTestGateway(t, s), "POST", tc.path)
			is.Equal(resp.StatusCode, tc.want)
			is.Equal(len(s.targets) > 0, tc.want == 200)
		})
	}
}

func TestReadyUntilLeaving(t *testing.T) {
	is := is.New(t)
	s := newFakeDaemon()
	g := &gateway{control: s, clock: clock.Boot{}}
	is.True(g.ready())
	s.view.Leaving = true
	is.True(!g.ready())
	s.view = &view.View{}
	is.True(!g.ready())
}

// The latency target of a retry counts from the caller's first attempt, so that the
// owner's queue receives a target in the past. The caller's shorter remaining
// timeout, here 150 ms after 400 ms, marks the retry.
func TestRetryTargetCountsFromFirstAttempt(t *testing.T) {
	is := is.New(t)
	s := newFakeDaemon()
	srv := newTestGateway(t, s)
	send(t, srv, "GET", "/read/1", "Patience", "400")
	is.True(s.lastRequest.GetTargetMs() > 0)
	send(t, srv, "GET", "/read/1", "Patience", "150")
	is.True(s.lastRequest.GetTargetMs() < 0)
	send(t, srv, "GET", "/read/1", "Patience", "390")
	is.True(s.lastRequest.GetTargetMs() > 0)
}
