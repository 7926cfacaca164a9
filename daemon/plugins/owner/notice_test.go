package owner

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

const okHeader = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"

// A server that names a limit and says that it leaves: daemons that restart beside it
// hear of both from a notice.
func TestSelfReportIsNotHeard(t *testing.T) {
	is := is.New(t)
	server := newRawServer(t, func(int64, *http.Request) string {
		return okHeader + headerLimit + ": 2.5\r\n" + headerLeaving + ": 1\r\n\r\nok"
	})
	o := newTestOwner(t, server.addr, nil)
	o.report(server.addr, false)
	o.hold(2, nil)
	resp := o.Execute(context.Background(), request("", "x"))
	is.Equal(outcome.Kind(resp.GetKind()), outcome.OK)
	notice := resp.GetLoad().GetNotice()
	is.Equal(notice.GetLimitPerS(), 2.5)
	is.True(notice.GetLeaving())
	is.Equal(<-o.control.events, control.Event(control.BackendLeaving{}))

	restarted := newTestOwner(t, server.addr, nil)
	restarted.report(server.addr, false)
	restarted.applyNotice(notice)
	is.Equal(restarted.admission.limitPerS(), 2.5)
	is.Equal(<-restarted.control.events, control.Event(control.BackendLeaving{}))

	other := newTestOwner(t, server.addr, nil)
	other.report(server.addr, false)
	other.applyNotice(&wire.ServerNotice{Server: "another@boot", LimitPerS: 2.5, Leaving: true})
	is.Equal(other.admission.limitPerS(), 0.0)
}

// Requests, which check their shard while the admission queue is locked, and responses,
// which tell of the server, must not wait for one another.
func TestNoticeAndAdmissionWaitForOneAnother(t *testing.T) {
	is := is.New(t)
	server := newRawServer(t, func(int64, *http.Request) string { return okHeader + "\r\nok" })
	o := newTestOwner(t, server.addr, nil)
	o.report(server.addr, false)
	o.hold(2, nil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		var wg sync.WaitGroup
		for worker := range 64 {
			wg.Go(func() {
				for i := range 300 {
					req := request("", fmt.Sprint(worker, i))
					req.TimeoutMs = 20
					o.Execute(context.Background(), req)
				}
			})
		}
		wg.Wait()
	}()
	select {
	case <-done:
	case <-time.After(4 * eventTimeout):
		is.Fail() // deadlock
	}
}

func TestServerGetsMoreThanTheLimitItNames(t *testing.T) {
	is := is.New(t)
	server := newRawServer(t, func(int64, *http.Request) string {
		return okHeader + headerLimit + ": 20\r\n\r\nok"
	})
	o := newTestOwner(t, server.addr, nil)
	o.report(server.addr, false)
	o.hold(2, nil)
	is.Equal(outcome.Kind(o.Execute(context.Background(), request("", "first")).GetKind()), outcome.OK)
	began := time.Now()
	refused := 0
	for i := range 200 {
		req := request("", fmt.Sprint(i))
		req.TimeoutMs = 30
		resp := o.Execute(context.Background(), req)
		if outcome.Kind(resp.GetKind()) == outcome.Overloaded {
			is.True(resp.GetRetryAfterMs() > 0)
			refused++
		}
		if time.Since(began) > 500*time.Millisecond {
			break
		}
	}
	is.True(refused > 0)
	is.True(float64(server.requests.Load()) <= 20*time.Since(began).Seconds()+5)
}
