package edge

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A request behind one with a chunked body counted its time from that one's first bytes.
func TestRequestsBehindAChunkedOneCountTheirOwnTime(t *testing.T) {
	const pause = 700 * time.Millisecond
	for name, listen := range listeners {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			waited := make(chan time.Duration, 1)
			addr, stop := serveUntilStopped(t, listen, &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				waited <- time.Since(ReceivedAt(r.Context()))
			})})
			defer func() { is.NoErr(stop(t.Context())) }()
			c := dialCaller(t, addr)
			for _, head := range []string{"Transfer-Encoding: chunked", "Expect: 100-continue\r\nTransfer-Encoding: chunked"} {
				c.send("POST /1 HTTP/1.1\r\nHost: a\r\n" + head + "\r\n\r\n" + "3\r\nabc\r\n0\r\n\r\n")
				is.True(<-waited < pause)
				for range 1 + strings.Count(head, "Expect") { // 100 and 200
					_, err := c.answer()
					is.NoErr(err)
				}
				<-time.After(pause)
				c.send(get("/2"))
				is.True(<-waited < pause)
				_, err := c.answer()
				is.NoErr(err)
			}
		})
	}
}
