package owner

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/outcome"
)

// A server that froze gets no further requests: each would block its shard until
// it expires, after the server counts as gone.
func TestSilentServerGetsNoFurtherRequests(t *testing.T) {
	is := is.New(t)
	server := newRawServer(t, func(int64, *http.Request) string { return okAnswer })
	b := newBench(t, server.addr, nil)
	b.report(server.addr, false)
	b.hold(2, nil)
	time.Sleep(700 * time.Millisecond) // no announcement meanwhile
	ended := make(chan outcome.Kind, 1)
	go func() { ended <- kindOf(b.Execute(context.Background(), request("order-1", ""))) }()
	select {
	case kind := <-ended:
		t.Fatalf("ended as %v beside a silent server", kind)
	case <-time.After(200 * time.Millisecond):
	}
	is.Equal(server.requests.Load(), int64(0))
	b.report(server.addr, false)
	is.Equal(<-ended, outcome.OK)
}
