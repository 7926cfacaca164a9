package owner

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// endlessServer answers each connection with head and then with filler until the caller closes.
// It returns its address and counts the bytes that it sent.
func endlessServer(t *testing.T, head string, sent *atomic.Int64) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	filler := []byte(strings.Repeat("x", 16<<10))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, err := conn.Write([]byte(head))
				for n := 0; err == nil; sent.Add(int64(n)) {
					n, err = conn.Write(filler)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// A server that sent a header without end in its answer to a grant was read until 10 MB were
// held in memory, 150 times what a request's answer may take.
func TestEndlessHeaderIsKept(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nMore: "
	socketBuffers := int64(8 << 20) // bytes that the kernel takes from the server although nobody reads them
	for name, call := range map[string]func(*backend){
		"grant": func(b *backend) { _ = b.sendGrant(context.Background(), grantKey{}) },
		"request": func(b *backend) {
			b.run(context.Background(), &wire.Request{RequestId: "r-1", Method: "GET", Path: "/"}, 1, clock.Boot{}.Now().Add(5*time.Second))
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			lease := new(view.LeaseCell)
			lease.Set(clock.Boot{}.Now().Add(time.Minute))
			f := viewControl{view: &view.View{Lease: lease, Backend: &view.Backend{Name: "b", Addr: endlessServer(t, head, &sent)}}}
			b := newBackend(f, clock.Boot{}, noSuspects{}, 4)
			call(b)
			is.True(sent.Load() < socketBuffers)
		})
	}
}
