package backend

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/hold"
	"github.com/sesamemoor/sesamemoor/core/protocol"
)

// Bytes without end in the answer to a grant or a release cost bounded memory and time, as in
// those to requests.
func TestEndlessAnswersToGrantsAreReadOn(t *testing.T) {
	filler := strings.Repeat("x", 16<<10)
	for name, s := range map[string]*endless{
		"in the status line":   {head: "HTTP/1.1 200 ", piece: filler},
		"in a header":          {head: "HTTP/1.1 200 OK\r\nMore: ", piece: filler},
		"in interim responses": {head: "HTTP/1.1 100 Continue\r\n\r\n", piece: strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100)},
		"no response":          {piece: filler},
		"in a body":            {head: "HTTP/1.1 200 OK\r\n\r\n", piece: filler},
		"in chunks":            {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", piece: "4000\r\n" + filler + "\r\n"},
		"in a trailer":         {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", piece: strings.Repeat("More: x\r\n", 1000)},
		"in a chunk's length":  {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", piece: "0"},
		"slowly in a header":   {head: "HTTP/1.1 200 OK\r\nMore: ", piece: "x", pause: time.Millisecond},
		"slowly in a body":     {head: "HTTP/1.1 200 OK\r\n\r\n", piece: "x", pause: time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			srv := serveEndless(t, s)
			c := newClient(clock.Boot{}, &fake{}, noSuspects{})
			var peak atomic.Uint64
			stop := make(chan struct{})
			go watchHeap(&peak, stop)
			began := time.Now()
			const calls = 4
			for range calls {
				within(t, func(ctx context.Context) {
					_ = c.sendGrant(ctx, &server{addr: srv}, protocol.KeyRange{}, hold.Grant{}, clock.Boot{}.Now().Add(time.Second))
				})
				within(t, func(ctx context.Context) { _, _ = c.protocol.Release(ctx, c.releaseClient, srv, protocol.KeyRange{}) })
			}
			close(stop)
			is.True(time.Since(began) < 2*calls*(grantTimeout+100*time.Millisecond))
			is.True(peak.Load() < 64<<20)
			is.True(s.sent.Load() < 2*calls*socketBuffers)
			until(t, "the connections are closed", func() bool { return s.closed.Load() == 2*calls })
		})
	}
}

// socketBuffers bounds the bytes that the kernel takes from a server although nobody reads
// them.
const socketBuffers = 8 << 20

// within calls f with the timeout of a grant.
func within(t *testing.T, f func(context.Context)) {
	ctx, cancel := context.WithTimeout(t.Context(), grantTimeout)
	defer cancel()
	f(ctx)
}

// serveEndless starts an endless server that answers any request and returns its address.
func serveEndless(t *testing.T, s *endless) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { s.serve(w, "") }))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}
