package entry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/keyhash"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/answer"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
	"github.com/sesamemoor/sesamemoor/daemon/plugins/suspects"
	"github.com/sesamemoor/sesamemoor/daemon/routing"
)

const (
	testSecret   = "0123456789abcdef"
	testKey      = "smk_AbCdEfGhIjKlMnOpQrStUv"
	eventTimeout = 5 * time.Second
)

// fakeEnv implements the control state, limiter, executor and peers that the
// entry uses.
type fakeEnv struct {
	view         atomic.Pointer[view.View]
	mu           sync.Mutex
	sent         []*wire.Request // copies of the forwarded requests
	to           []string        // target daemon of each forwarded request
	answer       func(ctx context.Context, to string, req *wire.Request) (*wire.Response, error)
	sentSuspects []*wire.Suspect
	limitErr     error                       // error that Take returns
	take         func(context.Context) error // replaces limitErr if set
}

func (e *fakeEnv) Post(control.Event) {}
func (e *fakeEnv) View() *view.View   { return e.view.Load() }

func (e *fakeEnv) Take(ctx context.Context, _ string) error {
	if e.take != nil {
		return e.take(ctx)
	}
	return e.limitErr
}

func (e *fakeEnv) deliver(ctx context.Context, to string, req *wire.Request) (*wire.Response, error) {
	e.mu.Lock()
	e.sent = append(e.sent, proto.Clone(req).(*wire.Request))
	e.to = append(e.to, to)
	e.mu.Unlock()
	return e.answer(ctx, to, req)
}

func (e *fakeEnv) Execute(ctx context.Context, req *wire.Request) *wire.Response {
	resp, err := e.deliver(ctx, "local", req)
	if err != nil {
		return answer.Refusal(err)
	}
	return resp
}

func (e *fakeEnv) Call(ctx context.Context, addr string, f *wire.Frame) (*wire.Frame, error) {
	if f.GetSuspects() != nil {
		e.mu.Lock()
		e.sentSuspects = append(e.sentSuspects, f.GetSuspects().GetSuspects()...)
		e.mu.Unlock()
		return f, nil
	}
	resp, err := e.deliver(ctx, addr, f.GetRequest())
	return &wire.Frame{Body: &wire.Frame_Response{Response: resp}}, err
}

func (e *fakeEnv) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sent)
}

func ok(body string) *wire.Response {
	return &wire.Response{Kind: uint32(outcome.OK), Status: 200, Body: []byte(body), BodyLength: uint32(len(body))}
}

func placedView(owner, standby *view.Member, generation uint64) *view.View {
	return &view.View{
		Incarnation: 1,
		Config: &fleet.Config{
			Services: map[string]fleet.Service{"stock": {Shards: 1, MaxBodyBytes: 1000, DefaultTimeoutMS: 2000}},
			Routes: map[string]fleet.Route{
				"stock": {Prefix: "/stock", Service: "stock", Key: "path:0"},
				"other": {Prefix: "/other", Service: "other", Key: "path:0"},
			},
			Teams: map[string]fleet.Team{"pier": {Services: []string{"stock"}, DataCentres: []string{"a", "b"}}},
		},
		Callers: map[string]view.Caller{keyhash.Sum([]byte(testSecret), testKey): {Team: "pier"}},
		Services: map[string]*view.Service{"stock": {Base: 1, Shards: []view.Shard{
			{Owner: owner, Standby: standby, Generation: generation},
		}}},
		Daemons: []view.Daemon{{Slot: "d2", PeerAddr: "d2"}, {Slot: "d3", PeerAddr: "d3"}},
		Lease:   new(view.LeaseCell),
	}
}

func member(incarnation uint64, dc string) *view.Member {
	name := fmt.Sprintf("d%d", incarnation)
	return &view.Member{Incarnation: incarnation, Slot: name, DataCentre: dc, PeerAddr: name, BackendName: name}
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

func newTestEntry(t *testing.T, s *fakeEnv) (*entry, *httptest.Server) {
	t.Helper()
	if s.view.Load() == nil {
		s.view.Store(placedView(member(2, "a"), member(3, "b"), 7))
	}
	if s.answer == nil {
		s.answer = func(context.Context, string, *wire.Request) (*wire.Response, error) { return ok("whole"), nil }
	}
	set := settings.Default()
	set.KeyHashSecret = testSecret
	m, err := newInstruments(&kernel.Metrics{Meter: noop.Meter{}})
	if err != nil {
		t.Fatal(err)
	}
	e := newEntry(entryParams{
		Settings: set, Control: s, Clock: clock.Boot{}, Limiter: s,
		Router:   newRouter(set, s, s, s, routing.NewRepeats(set, s, new(startedClock)), clock.Boot{}, m),
		Suspects: suspects.NewRegistry(s, s, clock.Boot{}, set, zap.NewNop()), Metrics: m, Log: zap.NewNop(),
	})
	srv := httptest.NewUnstartedServer(nil)
	srv.Config = e.httpServer()
	srv.Start()
	t.Cleanup(srv.Close)
	return e, srv
}

// do sends a request with the caller key and returns the response and its body.
func do(t *testing.T, srv *httptest.Server, method, path, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequest(method, srv.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Add(headers[i], headers[i+1])
	}
	resp, err := srv.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(data)
}

func TestCallerKeyNeverLeavesTheEntry(t *testing.T) {
	is := is.New(t)
	s := new(fakeEnv)
	_, srv := newTestEntry(t, s)
	do(t, srv, "GET", "/stock/k", "", "Cookie", "session="+testKey, "X-Copy", testKey, "Connection", "X-Secret", "X-Secret", "s",
		"X-Sesamemoor-Generation", "99", "X-Plain", "kept")
	do(t, srv, "GET", "/stock/"+testKey, "")
	do(t, srv, "GET", "/stock/k?api_key="+testKey, "")
	do(t, srv, "GET", "/stock/k?api_key="+strings.ReplaceAll(testKey, "_", "%5F"), "")
	do(t, srv, "POST", "/stock/k", "key="+testKey)
	do(t, srv, "GET", "/stock/k", "", "X-Request-Id", testKey)
	is.Equal(s.count(), 1) // the others were refused
	for _, req := range s.sent {
		data, err := proto.Marshal(req)
		is.NoErr(err)
		is.True(!bytes.Contains(data, []byte(testKey)))
		names := map[string]bool{}
		for _, h := range req.GetHeaders() {
			names[h.GetName()] = true
		}
		is.True(names["X-Plain"])
		is.True(!names["X-Secret"] && !names["Authorization"] && !names["X-Sesamemoor-Generation"])
	}
}

// sendRaw sends text unchanged and returns the status and the outcome header.
func sendRaw(t *testing.T, srv *httptest.Server, text string) (int, string) {
	t.Helper()
	conn, err := net.Dial("tcp", srv.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(eventTimeout))
	_, _ = io.WriteString(conn, text)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	return resp.StatusCode, resp.Header.Get(HeaderOutcome)
}

func TestRefusedRequests(t *testing.T) {
	s := new(fakeEnv)
	_, srv := newTestEntry(t, s)
	auth := "Host: x\r\nAuthorization: Bearer " + testKey + "\r\n"
	cases := []struct {
		name, text string
		kind       outcome.Kind
	}{
		{"dot segments", "GET /stock/../other/k HTTP/1.1\r\n" + auth + "\r\n", outcome.BadRequest},
		{"encoded dots", "GET /stock/%2e%2e/other/k HTTP/1.1\r\n" + auth + "\r\n", outcome.BadRequest},
		{"encoded slash", "GET /stock/..%2Fother HTTP/1.1\r\n" + auth + "\r\n", outcome.BadRequest},
		{"empty segment", "GET //other/k HTTP/1.1\r\n" + auth + "\r\n", outcome.BadRequest},
		{"dots with parameter", "GET /stock/..;x/other HTTP/1.1\r\n" + auth + "\r\n", outcome.BadRequest},
		{"asterisk", "OPTIONS * HTTP/1.1\r\n" + auth + "\r\n", outcome.BadRequest},
		{"connect", "CONNECT x:1 HTTP/1.1\r\n" + auth + "\r\n", outcome.BadRequest},
		{"own method", "X" + testKey[4:] + " /stock/k HTTP/1.1\r\n" + auth + "\r\n", outcome.BadRequest},
		{"two keys", "GET /stock/k HTTP/1.1\r\n" + auth + "X-Api-Key: other\r\n\r\n", outcome.Unauthenticated},
		{"no key", "GET /stock/k HTTP/1.1\r\nHost: x\r\n\r\n", outcome.Unauthenticated},
		{"wrong key", "GET /stock/k HTTP/1.1\r\nHost: x\r\nX-Api-Key: no\r\n\r\n", outcome.Unauthenticated},
		{"two ids", "GET /stock/k HTTP/1.1\r\n" + auth + "X-Request-Id: a\r\nX-Request-Id: b\r\n\r\n", outcome.BadRequest},
		{"long id", "GET /stock/k HTTP/1.1\r\n" + auth + "X-Request-Id: " + strings.Repeat("a", 129) + "\r\n\r\n", outcome.BadRequest},
		{"two timeouts", "GET /stock/k HTTP/1.1\r\n" + auth + "X-Sesamemoor-Timeout-Ms: 1\r\nX-Sesamemoor-Timeout-Ms: 2\r\n\r\n", outcome.BadRequest},
		{"no route", "GET /nowhere/k HTTP/1.1\r\n" + auth + "\r\n", outcome.UnknownRoute},
		{"no right", "GET /other/k HTTP/1.1\r\n" + auth + "\r\n", outcome.Forbidden},
		{"no request key", "GET /stock HTTP/1.1\r\n" + auth + "\r\n", outcome.BadRequest},
		{"large body", "POST /stock/k HTTP/1.1\r\n" + auth + "Content-Length: 1001\r\n\r\n", outcome.BodyTooLarge},
		{"large chunked body", "POST /stock/k HTTP/1.1\r\n" + auth + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" +
			strings.Repeat("x", 1001) + "\r\n0\r\n\r\n", outcome.BodyTooLarge},
		{"broken chunk", "POST /stock/k HTTP/1.1\r\n" + auth + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", outcome.BadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			status, kind := sendRaw(t, srv, c.text)
			is.Equal(kind, c.kind.String())
			is.Equal(status, c.kind.Answer().Status)
		})
	}
	if s.count() != 0 {
		t.Fatalf("%d refused requests were forwarded", s.count())
	}
}

func TestOnlyCompleteResponsesAreWritten(t *testing.T) {
	headers := func(pairs ...string) (list []*wire.Header) {
		for i := 0; i < len(pairs); i += 2 {
			list = append(list, &wire.Header{Name: pairs[i], Value: pairs[i+1]})
		}
		return list
	}
	cases := []struct {
		name, method string
		resp         *wire.Response
		status       int
		kind         outcome.Kind
		body, length string
	}{
		{"body", "GET", ok("whole"), 200, outcome.OK, "whole", "5"},
		{"empty", "GET", ok(""), 200, outcome.OK, "", "0"},
		{"no content", "GET", &wire.Response{Kind: 1, Status: 204}, 204, outcome.OK, "", ""},
		{"head", "HEAD", &wire.Response{Kind: 1, Status: 200, Headers: headers("Content-Length", "42")}, 200, outcome.OK, "", "42"},
		{"wrong length claimed", "GET", &wire.Response{Kind: 1, Status: 200, Body: []byte("ab"), BodyLength: 2,
			Headers: headers("Content-Length", "1", "Connection", "X-Hop", "X-Hop", "1")}, 200, outcome.OK, "ab", "2"},
		{"cut", "POST", &wire.Response{Kind: 1, Status: 200, Body: []byte("par"), BodyLength: 7}, 502, outcome.AnswerCut, "", ""},
		{"odd status", "POST", &wire.Response{Kind: 1, Status: 42}, 502, outcome.BackendError, "", ""},
		{"unknown kind", "POST", &wire.Response{Kind: 4000}, 502, outcome.ConnectionLost, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &fakeEnv{answer: func(context.Context, string, *wire.Request) (*wire.Response, error) { return c.resp, nil }}
			_, srv := newTestEntry(t, s)
			resp, body := do(t, srv, c.method, "/stock/k", "", "X-Request-Id", "id-1")
			is.Equal(resp.StatusCode, c.status)
			is.Equal(resp.Header.Get(HeaderOutcome), c.kind.String())
			is.Equal(resp.Header.Get(HeaderRan), c.kind.Answer().Ran.String())
			is.Equal(resp.Header.Get(HeaderRequestID), "id-1")
			is.Equal(resp.Header.Get("X-Hop"), "")
			if c.kind == outcome.OK {
				is.Equal(body, c.body)
				is.Equal(resp.Header.Get("Content-Length"), c.length)
			}
		})
	}
}

func TestDisconnectCancelsTheRequest(t *testing.T) {
	is := is.New(t)
	started, ended := make(chan struct{}), make(chan struct{})
	s := &fakeEnv{answer: func(ctx context.Context, _ string, _ *wire.Request) (*wire.Response, error) {
		close(started)
		<-ctx.Done()
		close(ended)
		return nil, outcome.New(outcome.CancelledMaybeRan, "")
	}}
	_, srv := newTestEntry(t, s)
	conn, err := net.Dial("tcp", srv.Listener.Addr().String())
	is.NoErr(err)
	_, err = io.WriteString(conn, "GET /stock/k HTTP/1.1\r\nHost: x\r\nX-Sesamemoor-Timeout-Ms: 60000\r\nX-Api-Key: "+testKey+"\r\n\r\n")
	is.NoErr(err)
	<-started
	is.NoErr(conn.Close())
	select {
	case <-ended:
	case <-time.After(eventTimeout):
		t.Fatal("the request was not cancelled")
	}
}

func TestTeamGetsHalfOfCapacity(t *testing.T) {
	is := is.New(t)
	g := newInflightLimiter(4)
	is.NoErr(g.acquire("loud"))
	is.NoErr(g.acquire("loud"))
	is.Equal(outcome.KindOf(g.acquire("loud")), outcome.Overloaded)
	is.NoErr(g.acquire("small"))
	is.NoErr(g.acquire("other"))
	is.Equal(outcome.KindOf(g.acquire("third")), outcome.Overloaded)
	g.release("loud")
	is.NoErr(g.acquire("third"))
}

func TestWithdrawnKeyIsRefusedImmediately(t *testing.T) {
	is := is.New(t)
	s := new(fakeEnv)
	_, srv := newTestEntry(t, s)
	resp, _ := do(t, srv, "GET", "/stock/k", "")
	is.Equal(resp.Header.Get(HeaderOutcome), "ok")
	v := *s.View()
	v.Callers = map[string]view.Caller{}
	s.view.Store(&v)
	resp, _ = do(t, srv, "GET", "/stock/k", "") // on the same connection
	is.Equal(resp.Header.Get(HeaderOutcome), outcome.Unauthenticated.String())
	is.Equal(s.count(), 1)
}

// lateView publishes next, and confirms it, just after a request has loaded the view before.
type lateView struct {
	*fakeEnv
	next *view.View
}

func (l *lateView) View() *view.View {
	v := l.fakeEnv.View()
	if l.next != nil {
		l.view.Store(l.next)
		l.next.ConfigFreshness.Advance(clock.Boot{}.Now(), clock.Boot{}.Now())
		l.next = nil
	}
	return v
}

// TestRequestDuringFirstConfigurationIsNotRefusedByItsKey checks that a daemon that starts
// refuses no caller by the empty configuration before its first one.
func TestRequestDuringFirstConfigurationIsNotRefusedByItsKey(t *testing.T) {
	is := is.New(t)
	next := placedView(member(2, "a"), member(3, "b"), 7)
	next.ConfigFreshness = view.NewFreshness(view.FreshnessLimits{Unconfirmed: time.Hour, Replaced: time.Hour})
	s := new(fakeEnv)
	s.view.Store(&view.View{Config: &fleet.Config{}, ConfigFreshness: next.ConfigFreshness, Lease: new(view.LeaseCell)})
	e, srv := newTestEntry(t, s)
	e.ctrl = &lateView{fakeEnv: s, next: next}
	resp, _ := do(t, srv, http.MethodGet, "/stock/k", "")
	is.True(resp.Header.Get(HeaderOutcome) == outcome.OK.String() || resp.Header.Get(HeaderOutcome) == outcome.ConfigStale.String())
	resp, _ = do(t, srv, http.MethodGet, "/stock/k", "")
	is.Equal(resp.Header.Get(HeaderOutcome), outcome.OK.String())
}

// TestRequestDuringNewConfigurationIsNotAdmittedByWithdrawnKey checks that a daemon that was
// cut off does not admit a key by its old configuration while it publishes the newest one.
func TestRequestDuringNewConfigurationIsNotAdmittedByWithdrawnKey(t *testing.T) {
	is := is.New(t)
	old := placedView(member(2, "a"), member(3, "b"), 7)
	old.ConfigFreshness = view.NewFreshness(view.FreshnessLimits{Unconfirmed: time.Minute, Replaced: time.Minute})
	cutOff := clock.Boot{}.Now().Add(-time.Hour)
	old.ConfigFreshness.Advance(cutOff, cutOff)
	next := *old
	next.Callers = map[string]view.Caller{}
	s := new(fakeEnv)
	s.view.Store(old)
	e, srv := newTestEntry(t, s)
	e.ctrl = &lateView{fakeEnv: s, next: &next}
	resp, _ := do(t, srv, http.MethodGet, "/stock/k", "")
	is.True(resp.StatusCode != http.StatusOK)
	is.Equal(s.count(), 0)
}

// TestStaleConfigurationEndsTokenWait checks that a request that waits for a
// token of its team's rate limit is refused when the configuration becomes stale:
// its caller key may have been withdrawn.
func TestStaleConfigurationEndsTokenWait(t *testing.T) {
	is := is.New(t)
	const limit = 300 * time.Millisecond
	for name, take := range map[string]func(context.Context) error{
		"no token": func(ctx context.Context) error {
			<-ctx.Done()
			return outcome.New(outcome.KeeperUnavailable, "no answer")
		},
		"token too late": func(context.Context) error {
			time.Sleep(2 * limit)
			return nil
		},
	} {
		s := &fakeEnv{take: take}
		v := placedView(member(2, "a"), member(3, "b"), 7)
		v.ConfigFreshness = view.NewFreshness(view.FreshnessLimits{Unconfirmed: limit, Replaced: limit})
		v.ConfigFreshness.Advance(clock.Boot{}.Now(), clock.Boot{}.Now())
		s.view.Store(v)
		_, srv := newTestEntry(t, s)
		started := time.Now()
		resp, _ := do(t, srv, "GET", "/stock/k", "")
		t.Log(name)
		is.Equal(resp.Header.Get(HeaderOutcome), outcome.ConfigStale.String())
		is.True(time.Since(started) < 1500*time.Millisecond) // before its timeout of 2 s
		is.Equal(s.count(), 0)
	}
}

// TestTokenWaitContinuesWhileConfigurationIsFresh checks that a request keeps
// waiting for a token while the configuration is confirmed again.
func TestTokenWaitContinuesWhileConfigurationIsFresh(t *testing.T) {
	is := is.New(t)
	const limit = 300 * time.Millisecond
	fresh := view.NewFreshness(view.FreshnessLimits{Unconfirmed: limit, Replaced: limit})
	fresh.Advance(clock.Boot{}.Now(), clock.Boot{}.Now())
	s := &fakeEnv{take: func(ctx context.Context) error {
		for range 8 {
			time.Sleep(limit / 4)
			fresh.Advance(clock.Boot{}.Now(), clock.Boot{}.Now())
		}
		return ctx.Err()
	}}
	v := placedView(member(2, "a"), member(3, "b"), 7)
	v.ConfigFreshness = fresh
	s.view.Store(v)
	_, srv := newTestEntry(t, s)
	resp, _ := do(t, srv, "GET", "/stock/k", "")
	is.Equal(resp.Header.Get(HeaderOutcome), outcome.OK.String())
}

// TestRetryAfterIsRoundedUp checks that Retry-After is rounded up to
// whole seconds.
func TestRetryAfterIsRoundedUp(t *testing.T) {
	is := is.New(t)
	for wait, want := range map[time.Duration]string{0: "1", 20 * time.Millisecond: "1", 3100 * time.Millisecond: "4"} {
		err := outcome.New(outcome.RateLimited, "over the rate")
		err.RetryAfter = wait
		_, srv := newTestEntry(t, &fakeEnv{limitErr: err})
		resp, _ := do(t, srv, http.MethodGet, "/stock/1", "")
		is.Equal(resp.StatusCode, http.StatusTooManyRequests)
		is.Equal(resp.Header.Get("Retry-After"), want)
	}
}
