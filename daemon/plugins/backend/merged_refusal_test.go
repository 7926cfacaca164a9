package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// A refusal of an earlier request broke off in its head before it named that one, and the answer to a
// request that ran was the rest of it. The caller was told that its request had not run.
func TestRefusalThatBrokeOffCountsForARequestThatRan(t *testing.T) {
	is := is.New(t)
	const refusal = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRetry-After: 0.05\r\n"
	const own = "HTTP/1.1 200 OK\r\nId: own\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbody"
	refused := 0
	for cut := strings.Index(refusal, "Not-Run") + 1; cut < len(refusal); cut++ {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			r := bufio.NewReader(conn)
			if _, err := http.ReadRequest(r); err == nil {
				_, _ = io.WriteString(conn, refusal[:cut]+own)
				_, _ = http.ReadRequest(r) // until the client closes
			}
		}()
		c := newClient(clock.Boot{}, &fake{}, noSuspects{})
		if got := sendTo(c, listener.Addr().String(), http.MethodPost)("own"); got.NotRun {
			refused++
			t.Errorf("cut behind %q: the request counts as not run", refusal[:cut])
		}
		c.requestClient.CloseIdleConnections()
		is.NoErr(listener.Close())
	}
	t.Logf("%d of %d cuts", refused, len(refusal)-strings.Index(refusal, "Not-Run")-1)
}
