package owner

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/outcome"
)

// A frozen server must not receive further requests: each would keep its shard
// busy until the request expires, beyond the time at which the server is
// considered lost.
func TestUnresponsiveServerGetsNoRequests(t *testing.T) {
	is := is.New(t)
	server := newRawServer(t, func(int64, *http.Request) string { return okResponse })
	b := newTestOwner(t, server.addr, nil)
	b.report(server.addr, false)
	b.hold(2, nil)
	time.Sleep(700 * time.Millisecond) // no announcement in this time
	ended := make(chan outcome.Kind, 1)
	go func() { ended <- kindOf(b.Execute(context.Background(), request("order-1", ""))) }()
	select {
	case kind := <-ended:
		t.Fatalf("request ended as %v while the server was unresponsive", kind)
	case <-time.After(200 * time.Millisecond):
	}
	is.Equal(server.requests.Load(), int64(0))
	b.report(server.addr, false)
	is.Equal(<-ended, outcome.OK)
}
