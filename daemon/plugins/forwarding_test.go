package plugins_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/keyhash"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
	_ "github.com/sesamemoor/sesamemoor/daemon/plugins"
)

const (
	callerKey = "smk_0123456789abcdefghij"
	secret    = "0123456789abcdef"
	bodyBytes = 512
)

// staticControl is a control state with a fixed view. It is also a limiter that grants
// every request and a load meter that records nothing.
type staticControl struct{ view atomic.Pointer[view.View] }

func (s *staticControl) Post(control.Event)                 {}
func (s *staticControl) View() *view.View                   { return s.view.Load() }
func (s *staticControl) Take(context.Context, string) error { return nil }
func (s *staticControl) RecordArrival(view.ShardID, uint64) {}
func (s *staticControl) RecordServiceTime(time.Duration)    {}
func (s *staticControl) RecordRunning(uint32)               {}

func freeAddr(tb testing.TB) string {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startDaemon runs the peer, owner, suspects and entry plug-ins with a fixed view and
// returns the entry address.
func startDaemon(tb testing.TB, v *view.View, peerAddr, backendAddr string) string {
	tb.Helper()
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(io.Discard), zap.InfoLevel))
	return startLoggedDaemon(tb, v, peerAddr, backendAddr, log)
}

// startLoggedDaemon is startDaemon with a log.
func startLoggedDaemon(tb testing.TB, v *view.View, peerAddr, backendAddr string, log *zap.Logger) string {
	tb.Helper()
	set := settings.Default()
	set.EntryAddr = freeAddr(tb)
	set.PeerAddr = peerAddr
	set.KeyHashSecret = secret
	c := new(staticControl)
	c.view.Store(v)
	app := fx.New(
		fx.NopLogger,
		fx.Supply(set, log),
		fx.Provide(
			func() kernel.Control { return c },
			func() kernel.Limiter { return c },
			func() kernel.LoadMeter { return c },
			func() clock.Clock { return clock.Boot{} },
			kernel.NewMetrics,
			kernel.NewCallerMemory,
		),
		kernel.Select("sesamemoor.peer", "sesamemoor.owner", "sesamemoor.suspects", "sesamemoor.entry"),
		fx.Invoke(func(group kernel.EffectHandlers, observer kernel.BackendObserver) {
			observer.BackendReported(kernel.BackendReport{Addr: backendAddr, Slots: 64, BootID: "boot"})
			for id, held := range v.Held {
				for _, h := range group.Handlers {
					h.HandleEffect(control.TakeOver{Shard: id, Token: held.Token})
				}
			}
		}),
	)
	if err := app.Start(context.Background()); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = app.Stop(context.Background()) })
	return set.EntryAddr
}

// fleetView returns the view of the daemon with the given incarnation. Incarnation 2
// owns the only shard.
func fleetView(incarnation uint64, ownerAddr, backendAddr string) *view.View {
	lease := new(view.LeaseCell)
	lease.Set(clock.Boot{}.Now().Add(time.Hour))
	fresh := view.NewFreshness(view.FreshnessLimits{Unconfirmed: time.Hour, Replaced: time.Hour})
	fresh.Advance(clock.Boot{}.Now(), clock.Boot{}.Now())
	owner := &view.Member{Incarnation: 2, Slot: "d2", DataCentre: "a", PeerAddr: ownerAddr}
	v := &view.View{
		Incarnation: incarnation,
		Config: &fleet.Config{
			Services: map[string]fleet.Service{"stock": {Shards: 1}},
			Routes:   map[string]fleet.Route{"stock": {Prefix: "/stock", Service: "stock", Key: "path:0"}},
			Teams:    map[string]fleet.Team{"pier": {Services: []string{"stock"}}},
		},
		Callers:         map[string]view.Caller{keyhash.Sum([]byte(secret), callerKey): {Team: "pier"}},
		Services:        map[string]*view.Service{"stock": {Base: 1, Shards: []view.Shard{{Owner: owner, Generation: 1}}}},
		Held:            map[view.ShardID]view.Held{},
		Backend:         &view.Backend{Name: "b", Service: "stock", Addr: backendAddr, Slots: 64},
		Lease:           lease,
		ConfigFreshness: fresh,
	}
	if incarnation == owner.Incarnation {
		v.Held[view.ShardID{Service: "stock"}] = view.Held{Token: 1, Recorded: 1}
	}
	return v
}

// startBackend starts a server whose responses have bodyBytes bytes and returns its
// address.
func startBackend(tb testing.TB) string {
	tb.Helper()
	body := bytes.Repeat([]byte("x"), bodyBytes)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) })}
	go func() { _ = srv.Serve(listener) }()
	tb.Cleanup(func() { _ = srv.Close() })
	return listener.Addr().String()
}

// sendRequest sends one request to addr and checks the status and length of the
// response.
func sendRequest(client *http.Client, addr string) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/stock/key-1", nil)
	if err != nil {
		return err
	}
	req.Header.Set("X-Api-Key", callerKey)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	if err == nil && (n != bodyBytes || resp.StatusCode != http.StatusOK) {
		err = io.ErrUnexpectedEOF
	}
	return err
}

func benchmark(b *testing.B, addr string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128}}
	b.Cleanup(client.CloseIdleConnections)
	if err := sendRequest(client, addr); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	before := cpuTime(b)
	b.SetParallelism(4)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := sendRequest(client, addr); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkDirect calls the backend server directly. The cost of the daemons is the
// difference of the other benchmarks from this one.
func BenchmarkDirect(b *testing.B) { benchmark(b, startBackend(b)) }

// BenchmarkOwnerEntry sends requests to the owner of the shard.
func BenchmarkOwnerEntry(b *testing.B) {
	backend, peer := startBackend(b), freeAddr(b)
	benchmark(b, startDaemon(b, fleetView(2, peer, backend), peer, backend))
}

// BenchmarkTwoHops sends requests to a daemon that forwards them to the owner.
func BenchmarkTwoHops(b *testing.B) {
	backend, peer := startBackend(b), freeAddr(b)
	startDaemon(b, fleetView(2, peer, backend), peer, backend)
	benchmark(b, startDaemon(b, fleetView(1, peer, backend), freeAddr(b), ""))
}

// TestForwardThroughTwoDaemons sends one request to a daemon that forwards it to the
// owner.
func TestForwardThroughTwoDaemons(t *testing.T) {
	backend, peer := startBackend(t), freeAddr(t)
	startDaemon(t, fleetView(2, peer, backend), peer, backend)
	entry := startDaemon(t, fleetView(1, peer, backend), freeAddr(t), "")
	if err := sendRequest(http.DefaultClient, entry); err != nil {
		t.Fatal(err)
	}
}
