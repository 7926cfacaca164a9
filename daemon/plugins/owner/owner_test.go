package owner

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/backendconn"
)

func kindOf(resp *wire.Response) outcome.Kind { return outcome.Kind(resp.GetKind()) }

// TestRequestIsNeverResent closes the connection after each request on a connection
// that was used before. net/http resends idempotent requests in this case.
func TestRequestIsNeverResent(t *testing.T) {
	for name, tc := range map[string]struct{ method, body string }{
		"empty POST": {http.MethodPost, ""},
		"POST":       {http.MethodPost, "order"},
		"GET":        {http.MethodGet, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			request := func(id, body string) *wire.Request {
				r := request(id, body)
				r.Method = tc.method
				return r
			}
			body := tc.body
			server := newRawServer(t, func(n int64, r *http.Request) string {
				_, _ = io.ReadAll(r.Body)
				if len(r.TransferEncoding) > 0 || r.ContentLength != int64(len(body)) {
					return "HTTP/1.1 400 Bad Request\r\n\r\n"
				}
				if n == 1 {
					return okResponse
				}
				return ""
			})
			b := newTestOwner(t, server.addr, nil)
			b.report(server.addr, false)
			b.hold(2, nil)
			is.Equal(kindOf(b.Execute(context.Background(), request("order-1", body))), outcome.OK)
			second := request("order-2", body)
			second.Headers = []*wire.Header{
				{Name: "Idempotency-Key", Value: "order-2"},
				{Name: "x-idempotency-key", Value: "order-2"},
			}
			resp := b.Execute(context.Background(), second)
			is.Equal(kindOf(resp), outcome.ConnectionLost) // may have run; the server did not crash
			is.Equal(server.requests.Load(), int64(2))
			is.Equal(kindOf(b.Execute(context.Background(), request("order-2", body))), outcome.UnknownHistory)
			is.Equal(kindOf(b.Execute(context.Background(), request("order-1", body))), outcome.DuplicateRan)
			is.Equal(server.requests.Load(), int64(2))
		})
	}
}

func TestInvalidResponsesAreErrors(t *testing.T) {
	for name, tc := range map[string]struct {
		response string
		want     outcome.Kind
	}{
		"cut":       {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", outcome.AnswerCut},
		"cut chunk": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", outcome.AnswerCut},
		"no length": {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf", outcome.AnswerCut},
		"too large": {"HTTP/1.1 200 OK\r\nContent-Length: 8388609\r\n\r\n" + strings.Repeat("x", 8388609), outcome.AnswerTooLarge},
		"fenced":    {"HTTP/1.1 409 Conflict\r\nX-Sesamemoor-Refused: fenced\r\nContent-Length: 0\r\n\r\n", outcome.Fenced},
		"expired":   {"HTTP/1.1 503 Service Unavailable\r\nX-Sesamemoor-Refused: expired\r\nContent-Length: 0\r\n\r\n", outcome.DeadlineNotRun},
		"error":     {"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", outcome.OK},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := newRawServer(t, func(int64, *http.Request) string { return tc.response })
			b := newTestOwner(t, server.addr, nil)
			b.report(server.addr, false)
			b.hold(2, nil)
			done := make(chan *wire.Response, 1)
			go func() { done <- b.Execute(context.Background(), request("", "")) }()
			if strings.Contains(name, "cut") {
				for server.requests.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
				// The server closes the connection before the rest of the response.
				time.AfterFunc(50*time.Millisecond, server.stop)
			}
			if name == "no length" {
				time.AfterFunc(50*time.Millisecond, server.stop)
			}
			is.Equal(kindOf(<-done), tc.want)
		})
	}
}

// A backend server that refuses a request must not get it again beyond the retry budget.
func TestShedRequestIsSentAgainBeyondBudget(t *testing.T) {
	is := is.New(t)
	shed := "HTTP/1.1 503 Service Unavailable\r\nX-Sesamemoor-Refused: shed\r\nContent-Length: 0\r\n\r\n"
	server := newRawServer(t, func(int64, *http.Request) string { return shed })
	b := newTestOwner(t, server.addr, func(s *settings.Daemon) {
		s.Policy.ColdStart = "none"
		s.Bounds.RetryRatio, s.Bounds.RetryExtra = 0, 0
	})
	b.report(server.addr, false)
	b.hold(2, nil)
	is.Equal(kindOf(b.Execute(context.Background(), request("order-1", ""))), outcome.BackendShed)
	is.Equal(server.requests.Load(), int64(1))
}

func TestShedRequestsAreRetried(t *testing.T) {
	is := is.New(t)
	shed := "HTTP/1.1 503 Service Unavailable\r\nX-Sesamemoor-Refused: shed\r\nContent-Length: 0\r\n\r\n"
	server := newRawServer(t, func(n int64, _ *http.Request) string {
		if n < 3 {
			return shed
		}
		return okResponse
	})
	b := newTestOwner(t, server.addr, func(s *settings.Daemon) { s.Policy.ColdStart = "none" })
	b.report(server.addr, false)
	b.hold(2, nil)
	is.Equal(kindOf(b.Execute(context.Background(), request("order-1", ""))), outcome.OK)
	is.Equal(server.requests.Load(), int64(3))
	is.Equal(b.admission.stats().sheds, uint64(2))
}

func TestUnreachableServerDidNotRun(t *testing.T) {
	is := is.New(t)
	server := newRawServer(t, func(int64, *http.Request) string { return okResponse })
	b := newTestOwner(t, server.addr, nil)
	b.report(server.addr, false)
	b.hold(2, nil)
	server.stop()
	resp := b.Execute(context.Background(), request("order-1", ""))
	is.Equal(kindOf(resp), outcome.OwnerUnreachable)
	is.Equal(b.ids.len(), 0) // the id may be sent again
}

// TestRequestsOfOneCrashShareCrashID checks that all requests in flight at a crash
// report the same crash id.
func TestRequestsOfOneCrashShareCrashID(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{}, 2)
	block := make(chan struct{})
	t.Cleanup(func() { close(block) })
	server := newRawServer(t, func(int64, *http.Request) string {
		arrived <- struct{}{}
		<-block
		return ""
	})
	b := newTestOwner(t, server.addr, func(s *settings.Daemon) { s.Policy.ColdStart = "none" })
	b.report(server.addr, false)
	b.hold(2, nil)
	responses := make(chan *wire.Response, 2)
	for range 2 {
		go func() { responses <- b.Execute(context.Background(), request("", "x")) }()
	}
	await(t, arrived, "first request")
	await(t, arrived, "second request")
	server.stop()
	first, second := <-responses, <-responses
	is.Equal(kindOf(first), outcome.BackendCrashed)
	is.Equal(kindOf(second), outcome.BackendCrashed)
	is.Equal(first.Headers[0].GetName(), backendconn.HeaderCrashID)
	is.Equal(first.Headers[0].GetValue(), second.Headers[0].GetValue())
}

// TestLeaseExpiryBeforeWrite checks that nothing is written if the lease ends
// between admission and the write.
func TestLeaseExpiryBeforeWrite(t *testing.T) {
	is := is.New(t)
	server := newRawServer(t, func(int64, *http.Request) string { return okResponse })
	b := newTestOwner(t, server.addr, nil)
	b.report(server.addr, false)
	b.hold(2, nil)
	trace := &backendconn.Trace{Until: clock.Boot{}.Now().Add(time.Hour)}
	conn, err := backendconn.Dialer(clock.Boot{}, b.backend.leaseHeld, &b.backend.stutter)(context.Background(), "tcp", server.addr)
	is.NoErr(err)
	trace.SetConn(conn)
	b.lease.Set(clock.Boot{}.Now())
	_, err = conn.Write([]byte("POST / HTTP/1.1\r\n"))
	is.Equal(err, backendconn.ErrLeaseEnded)
	is.True(!trace.Wrote())
	is.Equal(kindOf(b.Execute(context.Background(), request("order-1", ""))), outcome.LeaseLost)
	is.Equal(server.requests.Load(), int64(0))
}

// TestBarredConnectionNeverWrites checks that a write fails after Trace.Wrote
// reported that nothing was written: the request was reported as not run.
func TestBarredConnectionNeverWrites(t *testing.T) {
	is := is.New(t)
	server := newRawServer(t, func(int64, *http.Request) string { return okResponse })
	conn, err := backendconn.Dialer(clock.Boot{}, func() bool { return true }, new(backendconn.Stutter))(context.Background(), "tcp", server.addr)
	is.NoErr(err)
	trace := &backendconn.Trace{Until: clock.Boot{}.Now().Add(time.Hour)}
	trace.SetConn(conn)
	is.True(!trace.Wrote())
	_, err = conn.Write([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"))
	is.True(err != nil)
	is.True(!trace.Wrote())
}

// TestQuiesceWaitsForRunningAndRefusesWaiting quiesces a shard with one request
// in flight and one in the queue.
func TestQuiesceWaitsForRunningAndRefusesWaiting(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{}, 1)
	unblock := make(chan struct{})
	server := newRawServer(t, func(int64, *http.Request) string {
		arrived <- struct{}{}
		<-unblock
		return okResponse
	})
	b := newTestOwner(t, server.addr, nil) // the cold-start ramp admits one request
	b.report(server.addr, false)
	b.hold(2, nil)
	running := make(chan *wire.Response, 1)
	waiting := make(chan *wire.Response, 1)
	go func() { running <- b.Execute(context.Background(), request("order-1", "")) }()
	await(t, arrived, "first request")
	go func() { waiting <- b.Execute(context.Background(), request("order-2", "")) }()
	for b.admission.stats().waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	b.HandleEffect(control.Quiesce{Shard: shard, Token: 2})
	is.Equal(kindOf(<-waiting), outcome.NotOwner) // before the request in flight ends
	is.Equal(kindOf(b.Execute(context.Background(), request("order-3", ""))), outcome.NotOwner)
	b.publish(map[view.ShardID]view.Held{})
	is.Equal(len(b.control.events), 0)
	close(unblock)
	is.Equal(kindOf(<-running), outcome.OK)
	q := awaitQuiesced(t, b.control)
	is.Equal(len(q.Marks), 2) // the start of the request-id history and order-1
	is.Equal(q.Marks[1].GetRequestId(), "order-1")
	is.Equal(server.requests.Load(), int64(1))

	// The new owner refuses order-1 as a duplicate and runs order-2.
	other := newTestOwner(t, server.addr, nil)
	other.report(server.addr, false)
	other.hold(3, q.Marks)
	go func() { <-arrived }()
	is.Equal(kindOf(other.Execute(context.Background(), request("order-1", ""))), outcome.DuplicateRan)
	is.Equal(kindOf(other.Execute(context.Background(), request("order-2", ""))), outcome.OK)
}

// TestGrantPrecedesRequests checks that no request of a shard is sent before the
// grant is acknowledged, and that the grant is sent again after a restart of the
// server.
func TestGrantPrecedesRequests(t *testing.T) {
	is := is.New(t)
	var log []string
	refusals := 2
	server := newRawServer(t, func(n int64, r *http.Request) string {
		if n > 0 {
			log = append(log, "request "+r.Header.Get(headerToken))
			return okResponse
		}
		if refusals > 0 {
			refusals--
			return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
		}
		log = append(log, "grant "+r.URL.Query().Get("generation"))
		return "HTTP/1.1 204 No Content\r\n\r\n"
	})
	b := newTestOwner(t, server.addr, nil)
	b.report(server.addr, true)
	b.hold(6, nil)
	is.Equal(kindOf(b.Execute(context.Background(), request("", ""))), outcome.OK)
	is.Equal(kindOf(b.Execute(context.Background(), request("", ""))), outcome.OK)
	is.Equal(log, []string{"grant 6", "request 6", "request 6"})
	b.executor.grants.reset()
	is.Equal(kindOf(b.Execute(context.Background(), request("", ""))), outcome.OK)
	is.Equal(log[3:], []string{"grant 6", "request 6"})
}

// TestLostShardEndsTheWaitForItsGrant quiesces a shard while a request waits for
// a grant that the backend server never acknowledges.
func TestLostShardEndsTheWaitForItsGrant(t *testing.T) {
	is := is.New(t)
	grantSent := make(chan struct{}, 100)
	server := newRawServer(t, func(int64, *http.Request) string {
		grantSent <- struct{}{}
		return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	})
	b := newTestOwner(t, server.addr, nil)
	b.report(server.addr, true)
	b.hold(6, nil)
	response := make(chan *wire.Response, 1)
	go func() { response <- b.Execute(context.Background(), request("", "")) }()
	await(t, grantSent, "grant message")
	b.HandleEffect(control.Quiesce{Shard: shard, Token: 6})
	is.Equal(kindOf(<-response), outcome.NotOwner)
	is.Equal(server.requests.Load(), int64(0))
}

func TestCallerIDAfterLapseMayHaveRun(t *testing.T) {
	is := is.New(t)
	server := newRawServer(t, func(int64, *http.Request) string { return okResponse })
	b := newTestOwner(t, server.addr, nil)
	b.report(server.addr, false)
	b.hold(3, nil)
	refusal := b.Execute(context.Background(), request("order-1", ""))
	is.Equal(kindOf(refusal), outcome.UnknownHistory)
	is.Equal(refusal.GetGeneration(), uint64(3))                                   // tells the entry daemon who owns the shard now
	is.Equal(kindOf(b.Execute(context.Background(), request("", ""))), outcome.OK) // an id that the entry daemon chose
	is.Equal(server.requests.Load(), int64(1))
}

// TestWriteAfterAdmittingLeaseFails checks that a write after the end of the lease
// that admitted the request fails although the daemon holds another lease.
func TestWriteAfterAdmittingLeaseFails(t *testing.T) {
	is := is.New(t)
	server := newRawServer(t, func(int64, *http.Request) string { return okResponse })
	conn, err := backendconn.Dialer(clock.Boot{}, func() bool { return true }, new(backendconn.Stutter))(context.Background(), "tcp", server.addr)
	is.NoErr(err)
	trace := &backendconn.Trace{Until: clock.Boot{}.Now()}
	trace.SetConn(conn)
	_, err = conn.Write([]byte("POST / HTTP/1.1\r\n"))
	is.Equal(err, backendconn.ErrLeaseEnded)
	is.True(!trace.Wrote())
}

// TestDeadlineEndsBeforeLease checks that both deadline headers sent to the
// backend server end before the lease.
func TestDeadlineEndsBeforeLease(t *testing.T) {
	is := is.New(t)
	var expires, left int64
	server := newRawServer(t, func(_ int64, r *http.Request) string {
		expires, _ = strconv.ParseInt(r.Header.Get(headerExpires), 10, 64)
		left, _ = strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
		return okResponse
	})
	b := newTestOwner(t, server.addr, nil)
	b.report(server.addr, false)
	b.hold(2, nil)
	b.lease.Set(clock.Boot{}.Now().Add(2 * time.Second))
	lease := time.Now().Add(2 * time.Second)
	is.Equal(kindOf(b.Execute(context.Background(), request("order-1", ""))), outcome.OK)
	is.True(left > 0 && left <= 1980)
	is.True(expires > 0 && time.UnixMicro(expires).Before(lease))
}
