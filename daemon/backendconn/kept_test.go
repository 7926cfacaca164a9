package backendconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// A connection that had been idle before its first request counted as one that carried a request.
func TestSpareConnectionCountsAsKept(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = conn.Read(make([]byte, 1000))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}()
		}
	}()
	dialed, finish := make(chan struct{}), make(chan struct{})
	dial := WatchedDialer(clock.Boot{}, new(Continuity), false)
	transport := &http.Transport{MaxConnsPerHost: 1, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(context.WithoutCancel(ctx), network, addr)
		close(dialed)
		<-finish
		return conn, err
	}}
	client := &http.Client{Transport: transport}
	send := func(ctx context.Context) (*http.Response, *Trace, error) {
		return Do(ctx, client, "r-1", clock.Boot{}.Now().Add(time.Minute), func(ctx context.Context) (*http.Request, error) {
			return http.NewRequestWithContext(ctx, http.MethodGet, "http://"+listener.Addr().String(), nil)
		})
	}
	ctx, leave := context.WithCancel(context.Background())
	left := make(chan struct{})
	go func() {
		defer close(left)
		resp, _, err := send(ctx)
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	<-dialed
	leave()
	<-left
	close(finish) // the transport keeps the connection for the next request
	resp, trace, err := send(context.Background())
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.True(!trace.Kept())
}
