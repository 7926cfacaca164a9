package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/keyhash"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/retry"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
	"github.com/sesamemoor/sesamemoor/daemon/routing"
)

const (
	budgetWindow = 10 * time.Second
	budgetRatio  = 0.2
	budgetExtra  = 60.0
)

// bubbleClock is the boot clock of a synctest bubble.
type bubbleClock struct{}

func (bubbleClock) Now() clock.Instant { return clock.Instant(time.Now().UnixNano()) }

// repeatFleet simulates daemons with their backend servers and counts as the retry rule
// does: requests of callers by service, and arrivals at servers that are repeats.
type repeatFleet struct {
	t       *testing.T
	rng     *rand.Rand
	start   time.Time
	daemons []*repeatDaemon
	fail    func(at time.Duration, req *wire.Request) (*wire.Response, error, bool) // failure of an attempt; the bool says that the server ran it

	teamless bool // no caller has a key, and calls that no repeat made count as requests

	mu       sync.Mutex
	view     *view.View
	requests map[string][]time.Duration // times of callers' requests, by service
	repeats  map[string][]time.Duration // times of repeats, by service
	arrived  map[string]bool            // ids that reached a server
	repeated map[string]bool            // ids of which a run was a repeat, and of the calls of such runs
	seq      int
}

// repeatDaemon is one daemon: its gateway, replaced at each restart.
type repeatDaemon struct {
	*fakeDaemon
	fleet   *repeatFleet
	index   int
	gateway *gateway
	runs    *retry.Runs
}

func (d *repeatDaemon) View() *view.View {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	v := *d.fleet.view
	v.Incarnation = uint64(d.index + 1)
	return &v
}

func (d *repeatDaemon) Execute(ctx context.Context, req *wire.Request) *wire.Response {
	frame, err := d.Call(ctx, fmt.Sprintf("d%d", d.index+1), &wire.Frame{Body: &wire.Frame_Request{Request: req}})
	if err != nil {
		return &wire.Response{Kind: uint32(outcome.KindOf(err))}
	}
	return frame.GetResponse()
}

// Call delivers the request to the target's backend server.
func (d *repeatDaemon) Call(ctx context.Context, addr string, f *wire.Frame) (*wire.Frame, error) {
	n, err := strconv.Atoi(addr[1:])
	if err != nil {
		return nil, err
	}
	resp, err := d.fleet.run(ctx, d.fleet.daemons[n-1], f.GetRequest())
	return &wire.Frame{Body: &wire.Frame_Response{Response: resp}}, err
}

func (f *repeatFleet) now() time.Duration { return time.Since(f.start) }

// run is the arrival of a request at a daemon's backend server, and its run.
func (f *repeatFleet) run(ctx context.Context, d *repeatDaemon, req *wire.Request) (*wire.Response, error) {
	id := req.GetRequestId()
	f.mu.Lock()
	parentRepeated := f.repeated[id]
	repeat := f.arrived[id] || parentRepeated
	f.arrived[id] = true
	if repeat {
		f.repeats[req.GetService()] = append(f.repeats[req.GetService()], f.now())
		f.repeated[id] = true
	}
	resp, err, ran := f.fail(f.now(), req)
	work := time.Duration(15+f.rng.IntN(45)) * time.Millisecond
	calls := 0
	if req.GetRoute() == "read" && f.rng.Float64() < 0.7 {
		calls = 2
	}
	f.mu.Unlock()
	if resp == nil && err == nil {
		ran = true
		resp, _ = okResponse("", req)
	}
	if !ran {
		return resp, err
	}
	running := d.runs.Begin(id, bubbleClock{}.Now().Add(time.Duration(req.GetTimeoutMs())*time.Millisecond), req.GetRepeat())
	time.Sleep(work / 2)
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() {
			f.mu.Lock()
			f.seq++
			call := fmt.Sprintf("%s.call-%d", id, f.seq)
			f.repeated[call] = repeat
			if f.teamless && !repeat {
				f.requests["back"] = append(f.requests["back"], f.now())
			}
			f.mu.Unlock()
			f.send(d, "/open/1", "Id", call, "Patience", strconv.FormatUint(req.GetTimeoutMs()-uint64(work.Milliseconds()/2), 10))
		})
	}
	wg.Wait()
	time.Sleep(work / 2)
	if calls := running.End(); resp != nil {
		resp.Arrived, resp.Calls = true, calls
	}
	return resp, err
}

// send sends a request to a daemon and waits for its answer.
func (f *repeatFleet) send(d *repeatDaemon, path string, headers ...string) {
	f.mu.Lock()
	g := d.gateway
	f.mu.Unlock()
	r := httptest.NewRequest(http.MethodGet, path, nil)
	r.Host = "a"
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	g.ServeHTTP(httptest.NewRecorder(), r)
}

// callers sends requests of callers to one daemon at a rate per second.
func (f *repeatFleet) callers(d *repeatDaemon, path string, rate float64, until time.Duration) {
	for f.now() < until {
		f.mu.Lock()
		wait := time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second))
		f.seq++
		id := fmt.Sprintf("r-%d", f.seq)
		number := strconv.Itoa(f.rng.IntN(16))
		f.mu.Unlock()
		time.Sleep(wait)
		f.mu.Lock()
		service := f.view.Hosts.Match("a", path).Targets[0].Service
		f.requests[service] = append(f.requests[service], f.now())
		f.mu.Unlock()
		go f.send(d, path, "Id", id, "Key", teamKey, "Number", number, "Patience", "500")
	}
}

// restart replaces a daemon's gateway by that of a new process.
func (f *repeatFleet) restart(d *repeatDaemon) {
	set := settings.Default()
	set.KeyHashSecret = secret
	set.BackendService = "front"
	set.Bounds.RetryRatio, set.Bounds.RetryExtra, set.Bounds.RetryWindowS = budgetRatio, budgetExtra, budgetWindow.Seconds()
	m, err := newInstruments(&kernel.Metrics{Meter: noop.Meter{}})
	if err != nil {
		f.t.Error(err)
	}
	g := newGateway(gatewayParams{
		Settings: set, Control: d, Clock: bubbleClock{}, Protocol: testProtocol{}, Limiter: d, Suspects: d, Runs: d.runs,
		Sender: newSender(set, d, d, d, routing.NewRepeats(set, d, bubbleClock{}), bubbleClock{}), Metrics: m, Log: zap.NewNop(),
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	d.gateway = g
}

// newRepeatFleet returns a fleet of six daemons of service front, which has keys, and
// four of service back.
func newRepeatFleet(t *testing.T, seed uint64) *repeatFleet {
	f := &repeatFleet{
		t: t, rng: rand.New(rand.NewPCG(seed, seed)), start: time.Now(), view: newFakeDaemon().view,
		requests: map[string][]time.Duration{}, repeats: map[string][]time.Duration{},
		arrived: map[string]bool{}, repeated: map[string]bool{},
	}
	f.view.ConfigFreshness.Advance(bubbleClock{}.Now(), bubbleClock{}.Now())
	f.view.Callers = map[string]view.Caller{keyhash.Sum([]byte(secret), teamKey): {Team: "pier"}}
	f.view.Config.Teams["pier"] = fleet.Team{}
	shards := make([]view.Shard, 6)
	for i := range shards {
		shards[i] = view.Shard{Owner: member(uint64(i+1), "a"), Standby: member(uint64((i+1)%6+1), "b"), Generation: 4}
	}
	f.view.Services["front"] = &view.Service{Base: 6, KeySpace: 16, Shards: shards}
	f.view.Servers = map[string][]*view.Member{"new": {member(9, "a"), member(10, "b")}}
	for i := range 4 {
		f.view.Servers["back"] = append(f.view.Servers["back"], member(uint64(i+7), "a"))
	}
	f.view.Daemons = make([]view.Daemon, 10)
	for i := range f.view.Daemons {
		d := &repeatDaemon{fakeDaemon: newFakeDaemon(), fleet: f, index: i, runs: retry.NewRuns()}
		f.daemons = append(f.daemons, d)
		f.restart(d)
	}
	return f
}

// inWindow returns the number of times in the window that starts at from.
func inWindow(times []time.Duration, from time.Duration) float64 {
	n := 0.0
	for _, at := range times {
		if at >= from && at < from+budgetWindow {
			n++
		}
	}
	return n
}

// check compares each window of each service with the rule.
func (f *repeatFleet) check(until time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for service, repeats := range f.repeats {
		worst, allowed, at := -1e9, 0.0, time.Duration(0)
		for from := -budgetWindow; from < until; from += 100 * time.Millisecond {
			requests := max(inWindow(f.requests[service], from), inWindow(f.requests[service], from-budgetWindow/2), inWindow(f.requests[service], from-budgetWindow))
			limit := budgetRatio*requests + budgetExtra
			if over := inWindow(repeats, from) - limit; over > worst {
				worst, allowed, at = over, limit, from
			}
		}
		f.t.Logf("%s: %d requests, %d repeats, closest window from %v: %.0f repeats, %.0f allowed", service, len(f.requests[service]), len(repeats), at, worst+allowed, allowed)
		if worst > 0 {
			f.t.Errorf("%s: %.0f repeats in the window from %v, %.0f are allowed", service, worst+allowed, at, allowed)
		}
	}
	if len(f.repeats) == 0 {
		f.t.Error("no request was repeated")
	}
}

// The repeats at a service over the whole fleet must stay within its retry budget in any
// window, and calls of repeated runs are repeats too.
func TestRepeatsExceedBudget(t *testing.T) {
	const until = 30 * time.Second
	lost := func(share float64, kind outcome.Kind, ran bool) func(*repeatFleet) {
		return func(f *repeatFleet) {
			f.fail = func(at time.Duration, _ *wire.Request) (*wire.Response, error, bool) {
				if at < 5*time.Second || f.rng.Float64() >= share {
					return nil, nil, true
				}
				resp, err := responseOfKind(kind)
				return resp, err, ran
			}
		}
	}
	shedCalls := func(share float64) func(*repeatFleet) { // the servers of nested calls are full
		return func(f *repeatFleet) {
			f.fail = func(at time.Duration, req *wire.Request) (*wire.Response, error, bool) {
				if at < 5*time.Second || req.GetService() != "back" || f.rng.Float64() >= share {
					return nil, nil, true
				}
				resp, err := responseOfKind(outcome.BackendShed)
				return resp, err, false
			}
		}
	}
	for name, tc := range map[string]struct {
		setUp func(*repeatFleet)
		fault func(*repeatFleet)
	}{
		"answers lost":   {setUp: lost(0.3, outcome.AnswerCut, true)},
		"servers refuse": {setUp: lost(0.4, outcome.BackendShed, false)},
		"keys not held":  {setUp: lost(0.4, outcome.Misdirected, false)},
		"servers crash":  {setUp: lost(0.3, outcome.BackendCrashed, true)},
		"servers reset":  {setUp: lost(0.4, outcome.BackendReset, false)},
		"errors":         {setUp: lost(0.3, outcome.BackendError, true)},
		"no teams": {setUp: func(f *repeatFleet) {
			lost(0.6, outcome.AnswerCut, true)(f)
			config := *f.view.Config
			config.Teams = nil
			f.teamless, f.view.Config = true, &config
		}},
		"declines between": {setUp: lost(0.3, outcome.AnswerCut, true), fault: func(f *repeatFleet) {
			f.mu.Lock()
			defer f.mu.Unlock()
			cut := f.fail
			f.fail = func(at time.Duration, req *wire.Request) (*wire.Response, error, bool) {
				if at > 10*time.Second && f.rng.Float64() < 0.2 {
					resp, err := responseOfKind(outcome.BackendShed)
					return resp, err, false
				}
				return cut(at, req)
			}
		}},
		"links cut": {setUp: func(f *repeatFleet) {
			f.fail = func(at time.Duration, _ *wire.Request) (*wire.Response, error, bool) {
				if at < 5*time.Second || f.rng.Float64() >= 0.4 {
					return nil, nil, true
				}
				return nil, outcome.New(outcome.ConnectionLost, "link"), f.rng.Float64() < 0.5
			}
		}},
		"restarts": {setUp: lost(0.9, outcome.AnswerCut, true), fault: func(f *repeatFleet) {
			for range 8 {
				time.Sleep(time.Second)
				for _, d := range f.daemons {
					f.restart(d)
				}
			}
		}},
		"takeovers": {setUp: lost(0.4, outcome.Misdirected, false), fault: func(f *repeatFleet) {
			for range 20 {
				time.Sleep(500 * time.Millisecond)
				f.mu.Lock()
				v := *f.view
				shards := make([]view.Shard, 6)
				for i, s := range v.Services["front"].Shards {
					shards[i] = view.Shard{Owner: s.Standby, Standby: s.Owner, Generation: s.Generation + 1}
				}
				v.Services = map[string]*view.Service{"front": {Base: 6, KeySpace: 16, Shards: shards}}
				f.view = &v
				f.mu.Unlock()
			}
		}},
		"fleet parted": {setUp: lost(0.9, outcome.AnswerCut, true), fault: func(f *repeatFleet) {
			f.mu.Lock()
			defer f.mu.Unlock()
			v := *f.view
			v.Daemons = v.Daemons[:3]
			f.view = &v
		}},
		"burst ends": {setUp: lost(0.9, outcome.AnswerCut, true), fault: func(f *repeatFleet) {
			var wg sync.WaitGroup
			for _, d := range f.daemons {
				wg.Go(func() { f.callers(d, "/list/1", 40, 9*time.Second) })
			}
			wg.Wait()
		}},
		"calls shed": {setUp: shedCalls(0.7)},
		"calls shed after bursts": {setUp: shedCalls(0.7), fault: func(f *repeatFleet) {
			for range 3 {
				var wg sync.WaitGroup
				end := f.now() + 4*time.Second
				for _, d := range f.daemons {
					wg.Go(func() { f.callers(d, "/list/1", 40, end) })
				}
				wg.Wait()
				time.Sleep(5 * time.Second)
			}
		}},
		"route moves": {setUp: lost(0.4, outcome.AnswerCut, true), fault: func(f *repeatFleet) {
			time.Sleep(10 * time.Second)
			f.mu.Lock()
			defer f.mu.Unlock()
			v := *f.view
			cfg := *v.Config
			cfg.HostRoutes = append([]fleet.HostRoute(nil), cfg.HostRoutes...)
			for i := range cfg.HostRoutes {
				if cfg.HostRoutes[i].Name == "list" {
					cfg.HostRoutes[i].Targets = []fleet.WeightedRoute{{Service: "new", Weight: 1}}
				}
			}
			v.Config, v.Hosts = &cfg, fleet.NewHostTable(&cfg)
			f.view = &v
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRepeatFleet(t, 1)
				tc.setUp(f)
				var wg sync.WaitGroup
				for _, d := range f.daemons {
					wg.Go(func() { f.callers(d, "/read/1", 13, until) })
					wg.Go(func() { f.callers(d, "/list/1", 4.6, until) })
				}
				if tc.fault != nil {
					wg.Go(func() { time.Sleep(5 * time.Second); tc.fault(f) })
				}
				wg.Wait()
				time.Sleep(2 * time.Second)
				f.check(until)
			})
		})
	}
}
