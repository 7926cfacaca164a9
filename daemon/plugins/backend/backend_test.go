package backend

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/liveness"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/protocol"
	"github.com/sesamemoor/sesamemoor/core/retry"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// waitTimeout bounds the wait for a condition.
const waitTimeout = 10 * time.Second

const shards = 64

// fake is a backend server and the kernel interfaces of the executor beside it.
type fake struct {
	mu           sync.Mutex
	view         *view.View
	events       []control.Event
	holdEnds     map[uint32]time.Time // end of the hold, by first key of the range
	ran          map[string]int       // number of runs by request id
	handler      func(w http.ResponseWriter, id string)
	dropAnswers  atomic.Bool // grants and releases get no response
	handleLate   atomic.Bool // the server handles grants some time after their arrival
	delayGrants  atomic.Bool // Grant sleeps before it writes
	openConns    atomic.Int64
	maxOpenConns atomic.Int64
	released     atomic.Int64
	addr         string
	stop         func() // closes the listener; the port refuses connections
	closeConns   func() // closes all connections
	misdirect    atomic.Bool
}

func (f *fake) Post(ev control.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, ev)
}

func (f *fake) View() *view.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fake) RecordArrival(view.ShardID, uint64) {}
func (f *fake) RecordServiceTime(time.Duration)    {}
func (f *fake) RecordRunning(uint32)               {}

// The methods below implement protocol.Backends with one-word headers and with grants
// and releases encoded in the path.

func (f *fake) Encode(h http.Header, req protocol.BackendRequest) {
	h.Set("Id", req.ID)
	h.Set("Remaining-Ms", strconv.FormatInt(req.RemainingTimeout.Milliseconds(), 10))
}

func (f *fake) Decode(resp *http.Response) protocol.BackendAnswer {
	misdirected := resp.StatusCode == http.StatusMisdirectedRequest
	perS, err := strconv.ParseFloat(resp.Header.Get("Limit"), 64)
	return protocol.BackendAnswer{
		LimitPerS: perS, Limited: err == nil, Leaving: resp.Header.Get("Leaving") != "",
		ID: resp.Header.Get("Id"), Sealed: resp.Header.Get("Seal") != "",
		NotRun: misdirected || resp.Header.Get("Not-Run") != "", Misdirected: misdirected,
	}
}

func (f *fake) postPath(ctx context.Context, c *http.Client, addr, path string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (f *fake) Grant(ctx context.Context, c *http.Client, addr string, keys protocol.KeyRange, hold time.Duration, _ string) error {
	if f.delayGrants.Load() {
		time.Sleep(80 * time.Millisecond)
	}
	return f.postPath(ctx, c, addr, fmt.Sprintf("/grant/%d/%d", keys.First, hold.Milliseconds()))
}

func (f *fake) Release(ctx context.Context, c *http.Client, addr string, keys protocol.KeyRange) (string, error) {
	return "token", f.postPath(ctx, c, addr, fmt.Sprintf("/release/%d", keys.First))
}

// ServeHTTP implements the backend server.
func (f *fake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var key uint32
	var ms int64
	switch {
	case strings.HasPrefix(r.URL.Path, "/grant/"):
		_, _ = fmt.Sscanf(r.URL.Path, "/grant/%d/%d", &key, &ms)
		end := arrival(r).Add(time.Duration(ms) * time.Millisecond)
		if f.handleLate.Load() {
			time.Sleep(100 * time.Millisecond)
		}
		f.mu.Lock()
		if f.holdEnds[key].Before(end) {
			f.holdEnds[key] = end
		}
		f.mu.Unlock()
		f.abortIfDropping()
	case strings.HasPrefix(r.URL.Path, "/release/"):
		_, _ = fmt.Sscanf(r.URL.Path, "/release/%d", &key)
		f.abortIfDropping()
		f.released.Add(1)
		f.mu.Lock()
		delete(f.holdEnds, key)
		f.mu.Unlock()
	default:
		f.run(w, r.Header.Get("Id"))
	}
}

type connKey struct{}

// arrival returns the time at which a request arrived, from which the time of a grant
// counts: the server may get to handle it later.
func arrival(r *http.Request) time.Time {
	at := time.Now()
	conn, err := r.Context().Value(connKey{}).(*net.TCPConn).SyscallConn()
	if err != nil {
		return at
	}
	_ = conn.Control(func(fd uintptr) {
		for {
			now := time.Now()
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			if err != nil {
				return
			}
			if time.Since(now) < time.Millisecond { // else this process was held up between the two
				at = now.Add(-time.Duration(info.Last_data_recv) * time.Millisecond)
				return
			}
		}
	})
	return at
}

func (f *fake) abortIfDropping() {
	if f.dropAnswers.Load() {
		panic(http.ErrAbortHandler)
	}
}

func (f *fake) run(w http.ResponseWriter, id string) {
	if f.misdirect.Load() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	f.mu.Lock()
	f.ran[id]++
	f.mu.Unlock()
	f.handler(w, id)
}

func (f *fake) runs(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ran[id]
}

func okResponse(w http.ResponseWriter, id string) {
	w.Header().Set("Id", id)
	w.Header().Set("Seal", "s")
	_, _ = w.Write([]byte("answer to " + id))
}

// start returns an executor that holds all shards of a service under its lease, and
// waits until all are granted to the backend server.
func start(t *testing.T) (*executor, *fake) {
	t.Helper()
	return startWith(t, func(*httptest.Server) {})
}

// startWith is start with a server that is changed before it starts.
func startWith(t *testing.T, change func(*httptest.Server)) (*executor, *fake) {
	t.Helper()
	f := &fake{holdEnds: map[uint32]time.Time{}, ran: map[string]int{}, handler: okResponse}
	srv := httptest.NewUnstartedServer(f)
	change(srv)
	srv.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			f.maxOpenConns.Store(max(f.maxOpenConns.Load(), f.openConns.Add(1)))
		case http.StateClosed:
			f.openConns.Add(-1)
		}
	}
	srv.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	srv.Start()
	t.Cleanup(srv.Close)
	f.addr = strings.TrimPrefix(srv.URL, "http://")
	f.stop = func() { _ = srv.Listener.Close() }
	f.closeConns = srv.CloseClientConnections
	lease := new(view.LeaseCell)
	lease.Set(clock.Boot{}.Now().Add(1500 * time.Millisecond))
	held := map[view.ShardID]view.Held{}
	for i := range uint32(shards) {
		held[view.ShardID{Service: "front", Shard: i}] = view.Held{Token: 2}
	}
	f.view = &view.View{
		Incarnation: 1, Lease: lease, Held: held,
		Config:   &fleet.Config{Services: map[string]fleet.Service{"front": {Shards: shards, KeySpace: shards * 4}}},
		Services: map[string]*view.Service{"front": {Base: shards, KeySpace: shards * 4, Shards: make([]view.Shard, shards)}},
	}
	e := newExecutor(executorParams{
		Control: f, Clock: clock.Boot{}, Load: f, Protocol: f, Settings: settings.Default(), Runs: retry.NewRuns(), Log: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go e.sendDueGrants(ctx)
	go renew(ctx, lease)
	announce(e, protocol.Announcement{ID: "i-1", Service: "front", Addr: f.addr, Slots: 4, Sequence: 1, BootTime: 1})
	for id := range held {
		e.HandleEffect(control.TakeOver{Shard: id, Token: 2})
	}
	until(t, "all shards granted", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.holdEnds) == shards
	})
	return e, f
}

// renew renews the lease until ctx ends.
func renew(ctx context.Context, lease *view.LeaseCell) {
	for ctx.Err() == nil {
		lease.Set(clock.Boot{}.Now().Add(1500 * time.Millisecond))
		time.Sleep(100 * time.Millisecond)
	}
}

func until(t *testing.T, event string, cond func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !cond() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %v", event, waitTimeout)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func request(id string, key uint32) *wire.Request {
	return &wire.Request{RequestId: id, Service: "front", Method: "GET", Path: "/x", Host: "a", Key: "k", NumberKey: key, TimeoutMs: 2000, TargetMs: 500}
}

func kind(resp *wire.Response) outcome.Kind { return outcome.Kind(resp.GetKind()) }

func TestRequestRunsUnderHold(t *testing.T) {
	is := is.New(t)
	e, f := start(t)
	resp := e.Execute(context.Background(), request("r-1", 7))
	is.Equal(kind(resp), outcome.OK)
	is.Equal(string(resp.GetBody()), "answer to r-1")
	is.Equal(resp.GetGeneration(), uint64(2))
	is.Equal(f.runs("r-1"), 1)
}

// A response that is incomplete, without the seal or to another request must not be
// accepted, and must not be reported as "not run".
func TestInvalidResponsesAreRejected(t *testing.T) {
	for name, handler := range map[string]func(http.ResponseWriter, string){
		"to another request": func(w http.ResponseWriter, _ string) { okResponse(w, "other") },
		"no seal": func(w http.ResponseWriter, id string) {
			w.Header().Set("Id", id)
			_, _ = w.Write([]byte("x"))
		},
		"cut": func(w http.ResponseWriter, id string) {
			w.Header().Set("Content-Length", "100")
			okResponse(w, id)
		},
		"none": func(http.ResponseWriter, string) { panic(http.ErrAbortHandler) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, f := start(t)
			f.handler = handler
			resp := e.Execute(context.Background(), request("r-1", 7))
			is.True(kind(resp) != outcome.OK)
			is.True(kind(resp).Answer().Ran != outcome.NotRun)
			is.Equal(f.runs("r-1"), 1) // sent once
		})
	}
}

// TestLateGrantIsNotSent guards against two servers that hold the same keys. It
// delays grants after their hold time is computed. Such grants once arrived nearly a
// second late, and a server held keys beyond its daemon's lease while the next
// owner's server held them too.
func TestLateGrantIsNotSent(t *testing.T) {
	is := is.New(t)
	e, f := start(t)
	until(t, "the keys are granted", func() bool { return f.holdsUntil(0).After(time.Now()) })
	f.delayGrants.Store(true)
	time.Sleep(100 * time.Millisecond) // grants in flight have arrived
	before := f.holdsUntil(0)
	until(t, "grants are not sent", func() bool { return e.counters.unsentGrants.Load() > 0 })
	is.Equal(f.holdsUntil(0), before)
	f.delayGrants.Store(false)
	until(t, "the keys are granted again", func() bool { return f.holdsUntil(0).After(before) })
}

// holdsUntil returns the end of the hold of the range that starts at first.
func (f *fake) holdsUntil(first uint32) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holdEnds[first]
}

func TestMisdirectedResponseRenewsGrant(t *testing.T) {
	is := is.New(t)
	e, f := start(t)
	f.misdirect.Store(true)
	resp := e.Execute(context.Background(), request("r-1", 7))
	is.Equal(kind(resp), outcome.Misdirected)
	is.Equal(kind(resp).Answer().Ran, outcome.NotRun)
	f.misdirect.Store(false)
	until(t, "the key is served again", func() bool {
		return kind(e.Execute(context.Background(), request("r-2", 7))) == outcome.OK
	})
}

// releaseAll removes all shards from the view, as control does, and quiesces them.
func releaseAll(e *executor, f *fake) {
	f.mu.Lock()
	v := *f.view
	v.Held = map[view.ShardID]view.Held{}
	f.view = &v
	f.mu.Unlock()
	e.HandleEffect(control.Publish{View: &v})
	for i := range uint32(shards) {
		e.HandleEffect(control.Quiesce{Shard: view.ShardID{Service: "front", Shard: i}, Token: 2})
	}
}

func (f *fake) quiesced() (n, withHandover int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, ev := range f.events {
		if q, ok := ev.(control.Quiesced); ok {
			n++
			if q.Handover != "" {
				withHandover++
			}
		}
	}
	return n, withHandover
}

// All shards are released at once when a daemon leaves. A server resets connections
// beyond its limit, so releases must not open one connection each.
func TestReleasesBoundConnections(t *testing.T) {
	is := is.New(t)
	e, f := start(t)
	releaseAll(e, f)
	until(t, "all quiesced", func() bool { n, _ := f.quiesced(); return n == shards })
	_, withHandover := f.quiesced()
	is.Equal(withHandover, shards)
	is.Equal(f.released.Load(), int64(shards))
	is.True(f.maxOpenConns.Load() <= maxReleases+maxConcurrentGrants)
	is.Equal(kind(e.Execute(context.Background(), request("r-1", 7))).Answer().Ran, outcome.NotRun)
	is.Equal(f.runs("r-1"), 0)
}

// If its release gets no response, a shard counts as quiesced only once the server's
// hold has certainly expired.
func TestUnansweredReleaseWaitsForHoldEnd(t *testing.T) {
	for name, late := range map[string]bool{"server handles grants at once": false, "server handles grants late": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, f := start(t)
			f.handleLate.Store(late)
			renewed := f.holdsUntil(0).Add(500 * time.Millisecond)
			until(t, "grants are renewed", func() bool { return f.holdsUntil(0).After(renewed) })
			f.dropAnswers.Store(true)
			releaseAll(e, f)
			until(t, "all quiesced", func() bool {
				n, _ := f.quiesced()
				if n > 0 {
					f.mu.Lock()
					defer f.mu.Unlock()
					held := 0
					for _, end := range f.holdEnds {
						if time.Now().Before(end) {
							held++
						}
					}
					is.True(held <= shards-n)
				}
				return n == shards
			})
			_, withHandover := f.quiesced()
			is.Equal(withHandover, 0)
		})
	}
}

func TestLeavingServerGetsNoRequestsAfterDrain(t *testing.T) {
	is := is.New(t)
	e, f := start(t)
	is.True(e.Leave("i-1", 1))
	e.mu.Lock()
	e.server.draining = e.clock.Now().Add(-time.Duration(e.bounds.DrainS * float64(time.Second)))
	e.mu.Unlock()
	resp := e.Execute(context.Background(), request("r-1", 7))
	is.Equal(kind(resp), outcome.Draining)
	is.Equal(f.runs("r-1"), 0)
}

func TestStaleAnnouncementsAreIgnored(t *testing.T) {
	is := is.New(t)
	e, f := start(t)
	count := func() int { f.mu.Lock(); defer f.mu.Unlock(); return len(f.events) }
	before := count()
	is.True(announce(e, protocol.Announcement{ID: "i-0", Service: "front", Addr: "127.0.0.1:1", Slots: 1, Sequence: 9, BootTime: 0}))                // an earlier boot
	is.True(announce(e, protocol.Announcement{ID: "i-1", Service: "front", Addr: "127.0.0.1:1", Slots: 1, Sequence: 1, BootTime: 1, Leaving: true})) // out of order
	is.Equal(count(), before)
	is.Equal(e.server.addr, f.addr)
}

// Another writer's announcement names a service that nobody configured. It took the place of
// the server, which lost all its keys.
func TestAnnouncementOfAnUnknownServiceIsRefused(t *testing.T) {
	is := is.New(t)
	e, f := start(t)
	is.True(!announce(e, protocol.Announcement{ID: "odd", Service: "no-such", Addr: "127.0.0.1:1", Slots: 1, Sequence: 9, BootTime: 9}))
	is.Equal(e.server.addr, f.addr)
	is.Equal(kind(e.Execute(context.Background(), request("r-1", 7))), outcome.OK)
}

// An announcement for another address displaced a server that was up and held keys: they were
// handed over while it held them. It counts once nothing listens at the server's address.
func TestAnnouncementForAnotherAddressDisplacesTheServer(t *testing.T) {
	is := is.New(t)
	e, f := start(t)
	other := rawServer(t, func(int, string) (string, bool) { return "", false })
	a := protocol.Announcement{ID: "i-2", Service: "front", Addr: other, Slots: 1, Sequence: 1, BootTime: 9}
	is.True(!announce(e, a))
	is.Equal(e.server.addr, f.addr)
	is.Equal(kind(e.Execute(context.Background(), request("r-1", 7))), outcome.OK)
	f.stop()
	a.Sequence++
	is.True(!announce(e, a)) // its connections are open, so that it has not ended
	f.closeConns()
	a.Sequence++
	until(t, "the next server is taken in", func() bool { return announce(e, a) })
	is.True(e.holds.MayHold(e.clock.Now()) || len(e.remainders) > 0) // that did not wait for the holds
	is.Equal(e.server.addr, other)
}

// A server that neither answers nor holds keys must not keep the next one out, although
// something listens at its address.
func TestSilentServerKeepsTheNextOneOut(t *testing.T) {
	is := is.New(t)
	e, _ := start(t)
	e.dropHolds()
	e.markLost(e.server, "no heartbeat", liveness.NoAnnouncement)
	is.True(announce(e, protocol.Announcement{ID: "i-2", Service: "front", Addr: "127.0.0.1:1", Slots: 1, Sequence: 1, BootTime: 9}))
	is.Equal(e.server.id, "i-2")
}

// dropHolds removes all holds from the account.
func (e *executor) dropHolds() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holds.Reset()
}

// A new boot of the same instance holds no keys: all are granted again.
func TestNewBootHoldsNoKeys(t *testing.T) {
	is := is.New(t)
	e, f := start(t)
	is.True(announce(e, protocol.Announcement{ID: "i-1", Service: "front", Addr: f.addr, Slots: 4, Sequence: 1, BootTime: 2}))
	f.mu.Lock()
	last := f.events[len(f.events)-1].(control.BackendUp)
	f.mu.Unlock()
	is.Equal(last.Name, "i-1@2")
	resp := e.Execute(context.Background(), request("r-1", 7))
	is.Equal(kind(resp).Answer().Ran, outcome.NotRun)
}

func TestCancelledCallerFreesTheSlot(t *testing.T) {
	is := is.New(t)
	e, f := start(t)
	release := make(chan struct{})
	defer close(release)
	f.handler = func(http.ResponseWriter, string) { <-release }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan outcome.Kind, 1)
	go func() { done <- kind(e.Execute(ctx, request("r-1", 7))) }()
	until(t, "the request runs", func() bool { return f.runs("r-1") == 1 })
	cancel()
	is.Equal(<-done, outcome.CancelledMaybeRan)
	until(t, "the slot is free", func() bool { return e.Running() == 0 })
}

// A server may announce itself before the configuration with its cold limit is read.
// Such a server once got all requests, without a limit, until its next announcement.
func TestColdLimitAppliesOnceConfigurationIsRead(t *testing.T) {
	is := is.New(t)
	e, f := start(t)
	is.True(announce(e, protocol.Announcement{ID: "i-1", Service: "front", Addr: f.addr, Slots: 4, Sequence: 2, BootTime: 1, ColdFor: time.Minute}))
	const perS = 3
	v := *f.View()
	cfg := *v.Config
	cfg.Services = map[string]fleet.Service{"front": {Shards: shards, KeySpace: shards * 4, ColdPerS: perS}}
	v.Config = &cfg
	f.mu.Lock()
	f.view = &v
	f.mu.Unlock()
	e.HandleEffect(control.Publish{View: &v})
	started := time.Now()
	for i := range 12 {
		e.Execute(context.Background(), request(fmt.Sprint("r-", i), 7))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	ran := 0
	for _, n := range f.ran {
		ran += n
	}
	is.True(ran <= perS*(1+int(time.Since(started)/time.Second)))
}

// announce reports whether the executor acknowledges an announcement.
func announce(e *executor, a protocol.Announcement) bool {
	return e.Announce(context.Background(), a, func(grants []protocol.KeyGrant) int { return len(grants) }).Acknowledged
}
