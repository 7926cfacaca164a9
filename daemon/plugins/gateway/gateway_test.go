package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/dialect"
	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/keyhash"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

const (
	secret  = "0123456789abcdef"
	teamKey = "key-of-pier"
)

// plain is a dialect of short header names.
type plain struct{}

func (plain) Decode(r *http.Request) (dialect.CallerRequest, error) {
	c := dialect.CallerRequest{ID: r.Header.Get("Id"), Key: r.Header.Get("Key")}
	if text := r.Header.Get("Number"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			return c, fmt.Errorf("%w: number", dialect.ErrMalformed)
		}
		c.NumberKey, c.HasNumberKey = uint32(n), true
	}
	if text := r.Header.Get("Patience"); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil {
			return c, fmt.Errorf("%w: patience", dialect.ErrMalformed)
		}
		c.Patience = time.Duration(ms) * time.Millisecond
	}
	if c.ID == "" {
		return c, fmt.Errorf("%w: no id", dialect.ErrMalformed)
	}
	return c, nil
}

func (plain) Private(header string) bool            { return header == "Key" || header == "Id" }
func (plain) SetRequestID(h http.Header, id string) { h.Set("Id", id) }

// surroundings stand for all that the gateway meets. Answers come from answer, by
// the daemon asked.
type surroundings struct {
	view   *view.View
	limit  error
	refuse bool
	answer func(to string, req *wire.Request) (*wire.Response, error)

	mu   sync.Mutex
	sent []string // daemons asked, in order
	last *wire.Request
}

func (s *surroundings) Post(control.Event)                      {}
func (s *surroundings) View() *view.View                        { return s.view }
func (s *surroundings) Take(context.Context, string) error      { return s.limit }
func (s *surroundings) Refuses(uint64) bool                     { return s.refuse }
func (s *surroundings) Completed(uint64, string)                {}
func (s *surroundings) Crashed(_ uint64, _, _ string, _ string) {}
func (s *surroundings) Execute(_ context.Context, r *wire.Request) *wire.Response {
	resp, _ := s.ask("self", r)
	return resp
}

func (s *surroundings) Call(_ context.Context, addr string, f *wire.Frame) (*wire.Frame, error) {
	resp, err := s.ask(addr, f.GetRequest())
	return &wire.Frame{Body: &wire.Frame_Response{Response: resp}}, err
}

func (s *surroundings) ask(to string, req *wire.Request) (*wire.Response, error) {
	s.mu.Lock()
	s.sent = append(s.sent, to)
	s.last = req
	s.mu.Unlock()
	return s.answer(to, req)
}

func served(string, *wire.Request) (*wire.Response, error) {
	return &wire.Response{Kind: uint32(outcome.OK), Status: 200, Body: []byte("whole"), BodyLength: 5,
		Headers: []*wire.Header{{Name: "Seal", Value: "s"}, {Name: "Connection", Value: "close"}}}, nil
}

func kindOf(k outcome.Kind) (*wire.Response, error) {
	return &wire.Response{Kind: uint32(k)}, nil
}

func member(inc uint64, dc string) *view.Member {
	name := fmt.Sprintf("d%d", inc)
	return &view.Member{Incarnation: inc, Slot: name, DataCentre: dc, PeerAddr: name, Slots: 4}
}

func newSurroundings() *surroundings {
	priority := uint32(0)
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
	return &surroundings{answer: served, view: &view.View{
		Incarnation: 1, ConfigVersion: 7, Config: cfg, Hosts: fleet.NewHostTable(cfg), Slots: 4,
		Callers: map[string]view.Caller{keyhash.Sum([]byte(secret), teamKey): {Team: "pier"}},
		Services: map[string]*view.Service{"front": {Base: 1, KeySpace: 16, Shards: []view.Shard{
			{Owner: member(2, "a"), Standby: member(3, "b"), Generation: 4}}}},
		Servers: map[string][]*view.Member{"back": {member(4, "a"), member(5, "b"), member(6, "b")}, "new": {member(7, "a")}},
		Daemons: make([]view.Daemon, 4),
		Lease:   new(view.LeaseCell), Fresh: view.NewFreshness(1),
	}}
}

func newTestGateway(t *testing.T, s *surroundings) *httptest.Server {
	t.Helper()
	set := settings.Default()
	set.KeyHashSecret = secret
	set.BackendService = "front"
	m, err := newInstruments(&kernel.Metrics{Meter: noop.Meter{}})
	if err != nil {
		t.Fatal(err)
	}
	srv := httptest.NewServer(newGateway(gatewayParams{
		Settings: set, Control: s, Clock: clock.Boot{}, Dialect: plain{}, Limiter: s, Suspects: s,
		Sender: newSender(set, s, s, s, clock.Boot{}), Metrics: m, Log: zap.NewNop(),
	}))
	t.Cleanup(srv.Close)
	return srv
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

func TestAnswerComesBackWhole(t *testing.T) {
	is := is.New(t)
	s := newSurroundings()
	resp := send(t, newTestGateway(t, s), "GET", "/read/1?x=%20y")
	body, _ := io.ReadAll(resp.Body)
	is.Equal(resp.StatusCode, 200)
	is.Equal(string(body), "whole")
	is.Equal(resp.Header.Get("Seal"), "s")
	is.Equal(s.sent, []string{"d2"})
	is.Equal(s.last.GetPath(), "/read/1?x=%20y")
	is.Equal(s.last.GetTeam(), "pier")
	is.Equal(s.last.GetCallingService(), "front")
	is.Equal(s.last.GetPriority(), uint32(0)) // the team's goes before the route's
	for _, h := range s.last.GetHeaders() {
		is.True(h.GetName() != "Key")
	}
}

func TestRequestsThatAreNotAllowed(t *testing.T) {
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
			s := newSurroundings()
			resp := send(t, newTestGateway(t, s), "GET", tc.path, tc.headers...)
			is.Equal(resp.StatusCode, tc.want)
			is.Equal(len(s.sent) > 0, tc.want == 200)
		})
	}
}

func TestDaemonWithoutConfigurationRefuses(t *testing.T) {
	is := is.New(t)
	s := newSurroundings()
	s.view = &view.View{Config: &fleet.Config{}, Lease: new(view.LeaseCell), Fresh: view.NewFreshness(1)}
	resp := send(t, newTestGateway(t, s), "GET", "/read/1")
	is.Equal(resp.StatusCode, 503)
	is.True(resp.Header.Get("Retry-After") != "")
}

// A request that must not run twice is never sent again once it may have run, and
// is not answered as if it had not.
func TestOneTimeRequestIsNotSentAgain(t *testing.T) {
	for _, kind := range []outcome.Kind{outcome.ConnectionLost, outcome.AnswerCut, outcome.BackendCrashed, outcome.DeadlineMaybeRan, outcome.BackendError} {
		t.Run(kind.String(), func(t *testing.T) {
			is := is.New(t)
			s := newSurroundings()
			s.answer = func(string, *wire.Request) (*wire.Response, error) { return kindOf(kind) }
			resp := send(t, newTestGateway(t, s), "POST", "/order/1")
			is.True(resp.StatusCode == 502 || resp.StatusCode == 504)
			is.Equal(len(s.sent), 1)
		})
	}
}

func TestIdempotentRequestIsSentAgainOnce(t *testing.T) {
	is := is.New(t)
	s := newSurroundings()
	s.answer = func(string, *wire.Request) (*wire.Response, error) { return kindOf(outcome.AnswerCut) }
	resp := send(t, newTestGateway(t, s), "GET", "/list/1")
	is.Equal(resp.StatusCode, 502)
	is.Equal(len(s.sent), 2) // the route's tries
	is.True(s.sent[0] != s.sent[1])
}

// After a try that may have run, a later "not run" does not hold for the request.
func TestNotRunIsTrueForAllTries(t *testing.T) {
	is := is.New(t)
	s := newSurroundings()
	first := true
	s.answer = func(string, *wire.Request) (*wire.Response, error) {
		if first {
			first = false
			return kindOf(outcome.ConnectionLost)
		}
		return kindOf(outcome.Overloaded)
	}
	resp := send(t, newTestGateway(t, s), "GET", "/list/1")
	is.Equal(resp.StatusCode, 502)
}

func TestServersOwnFailureIsPassedOn(t *testing.T) {
	is := is.New(t)
	s := newSurroundings()
	s.answer = func(string, *wire.Request) (*wire.Response, error) {
		return &wire.Response{Kind: uint32(outcome.OK), Status: 500, Headers: []*wire.Header{{Name: "Seal", Value: "s"}}}, nil
	}
	resp := send(t, newTestGateway(t, s), "POST", "/order/1")
	is.Equal(resp.StatusCode, 500)
	is.Equal(resp.Header.Get("Seal"), "s")
	is.Equal(len(s.sent), 1)
}

// Daemons decline before their servers see anything, so others are asked at once;
// if all decline, the caller learns when to come back.
func TestDeclinedRequestIsOfferedToOthers(t *testing.T) {
	is := is.New(t)
	s := newSurroundings()
	s.answer = func(to string, _ *wire.Request) (*wire.Response, error) {
		return &wire.Response{Kind: uint32(outcome.Overloaded), RetryAfterMs: 200}, nil
	}
	resp := send(t, newTestGateway(t, s), "POST", "/list/1")
	is.Equal(resp.StatusCode, 503)
	is.Equal(len(s.sent), maxDeclines)
	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after >= 0.2*(1-retrySpread) && after <= 0.2*(1+retrySpread))
}

func TestStandbyIsAskedWhenTheOwnerIsGone(t *testing.T) {
	is := is.New(t)
	s := newSurroundings()
	s.answer = func(to string, r *wire.Request) (*wire.Response, error) {
		if to == "d2" {
			return nil, outcome.New(outcome.OwnerUnreachable, "gone")
		}
		return served(to, r)
	}
	resp := send(t, newTestGateway(t, s), "POST", "/order/1")
	is.Equal(resp.StatusCode, 200)
	is.Equal(s.sent, []string{"d2", "d3"})
}

// TestMisdirectedRequestsAreBounded: a request that a backend server turned away
// because it does not hold the key has arrived, and each repeat arrives again.
func TestMisdirectedRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	s := newSurroundings()
	s.answer = func(string, *wire.Request) (*wire.Response, error) {
		return &wire.Response{Kind: uint32(outcome.Misdirected)}, nil
	}
	resp := send(t, newTestGateway(t, s), "POST", "/order/1")
	is.Equal(resp.StatusCode, 503)
	is.Equal(s.sent, []string{"d2", "d3"}) // the route's two tries
}

// TestWaitForAMoveEnds bounds the wait for the owner of a key.
func TestWaitForAMoveEnds(t *testing.T) {
	is := is.New(t)
	s := newSurroundings()
	s.answer = func(string, *wire.Request) (*wire.Response, error) {
		return &wire.Response{Kind: uint32(outcome.NotOwner)}, nil
	}
	started := time.Now()
	resp := send(t, newTestGateway(t, s), "GET", "/read/1") // aims at 100 ms
	is.Equal(resp.StatusCode, 503)
	is.True(time.Since(started) < 100*time.Millisecond)
	is.True(len(s.sent) >= 2)
}

func TestWeightsAreKept(t *testing.T) {
	is := is.New(t)
	s := newSurroundings()
	srv := newTestGateway(t, s)
	for range 100 {
		send(t, srv, "GET", "/split/1")
	}
	news := 0
	for _, to := range s.sent {
		if to == "d7" {
			news++
		}
	}
	is.Equal(news, 10)
}

func TestTeamOverItsRate(t *testing.T) {
	is := is.New(t)
	s := newSurroundings()
	s.limit = outcome.New(outcome.RateLimited, "over")
	is.Equal(send(t, newTestGateway(t, s), "GET", "/read/1").StatusCode, 429)
	is.Equal(len(s.sent), 0)
}

// Without a keeper a team gets its daemon's share of the rate, and no more.
func TestShareOfTheRateWhileTheKeeperIsAway(t *testing.T) {
	is := is.New(t)
	s := newSurroundings()
	s.limit = outcome.New(outcome.KeeperUnavailable, "away")
	srv := newTestGateway(t, s)
	statuses := map[int]int{}
	for range 40 {
		statuses[send(t, srv, "GET", "/read/1").StatusCode]++
	}
	is.True(statuses[503] > 0)
	is.Equal(statuses[200]+statuses[503], 40)
}

func TestQuarantinedRequestReachesNobody(t *testing.T) {
	is := is.New(t)
	s := newSurroundings()
	s.refuse = true
	is.Equal(send(t, newTestGateway(t, s), "GET", "/read/1").StatusCode, 503)
	is.Equal(len(s.sent), 0)
}

func TestReadyUntilItLeaves(t *testing.T) {
	is := is.New(t)
	s := newSurroundings()
	g := &gateway{control: s}
	is.True(g.ready())
	s.view.Leaving = true
	is.True(!g.ready())
	s.view = &view.View{}
	is.True(!g.ready())
}

// A caller that comes back after a refusal has its objective counted from its first
// attempt: the owner's queue sees that it is late.
func TestReturningCallerIsKnownToBeLate(t *testing.T) {
	is := is.New(t)
	s := newSurroundings()
	srv := newTestGateway(t, s)
	send(t, srv, "GET", "/read/1", "Patience", "400")
	is.True(s.last.GetTargetMs() > 0)
	send(t, srv, "GET", "/read/1", "Patience", "150")
	is.True(s.last.GetTargetMs() < 0)
	send(t, srv, "GET", "/read/1", "Patience", "390")
	is.True(s.last.GetTargetMs() > 0)
}
