package edge

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/fx/fxtest"
	"go.uber.org/zap"
)

// testConfig is that of ListenPipelined.
var testConfig = pipelineConfig{requests: maxPipelined, maxHead: http.DefaultMaxHeaderBytes, log: newConnLog(zap.NewNop(), "test")}

// freeAddr returns a local TCP address that is not in use.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// A caller that connects and is partitioned before it sends a request must not
// delay shutdown. A caller whose request was read must receive its response.
func TestUnusedConnectionDoesNotDelayShutdown(t *testing.T) {
	is := is.New(t)
	addr := freeAddr(t)
	reached, release := make(chan struct{}), make(chan struct{})
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(reached)
		<-release
		_, _ = io.WriteString(w, "whole")
	})}
	lc := fxtest.NewLifecycle(t)
	Listen(lc, srv, "callers", addr, zap.NewNop())
	is.NoErr(lc.Start(context.Background()))

	idle, active := dial(t, addr), dial(t, addr)
	_, err := io.WriteString(active, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	is.NoErr(err)
	<-reached
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	begin := time.Now()
	go func() { stopped <- lc.Stop(ctx) }()
	_, err = idle.Read(make([]byte, 1))
	is.True(err != nil) // closed immediately
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(active), nil)
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(string(body), "whole")
	is.NoErr(<-stopped)
	is.True(time.Since(begin) < 3*time.Second)
}
