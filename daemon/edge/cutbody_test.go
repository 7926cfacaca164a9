package edge

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// A request whose body is cut must not look whole, however its connection ends.
func TestCutRequestBodyLooksWhole(t *testing.T) {
	type result struct {
		path string
		err  error
	}
	for listenerName, listen := range listeners {
		for name, request := range map[string]string{
			"length":              "POST /cut HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\npart",
			"length, 1.0":         "POST /cut HTTP/1.0\r\nHost: a\r\nContent-Length: 100\r\n\r\npart",
			"chunk":               "POST /cut HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n8\r\npart",
			"between chunks":      "POST /cut HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
			"before a trailer":    "POST /cut HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n",
			"behind an other one": get("/1") + "POST /cut HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\npart",
		} {
			for end, leave := range map[string]func(*net.TCPConn){
				"closes one side": func(c *net.TCPConn) { _ = c.CloseWrite() },
				"closes":          func(c *net.TCPConn) { _ = c.Close() },
				"resets":          func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
			} {
				t.Run(listenerName+", "+name+", "+end, func(t *testing.T) {
					is := is.New(t)
					begun, results := make(chan struct{}, 1), make(chan result, 2)
					addr, stop := serveUntilStopped(t, listen, &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
						if r.URL.Path == "/cut" {
							begun <- struct{}{}
						}
						_, err := io.ReadAll(r.Body)
						results <- result{r.URL.Path, err}
					})})
					defer func() { is.NoErr(stop(t.Context())) }()
					conn, err := net.Dial("tcp", addr)
					is.NoErr(err)
					defer conn.Close()
					_, err = io.WriteString(conn, request)
					is.NoErr(err)
					<-begun
					leave(conn.(*net.TCPConn))
					for {
						if got := <-results; got.path == "/cut" {
							is.True(got.err != nil)
							return
						}
					}
				})
			}
		}
	}
}
