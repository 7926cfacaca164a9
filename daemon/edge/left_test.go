package edge

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/daemon/edge/edgetest"
)

// A caller that had sent more than is held was not seen to leave.
func TestManyBytesBehindAFullConnectionHideThatItsCallerLeft(t *testing.T) {
	for name, running := range map[string]int64{"plain": 1, "pipelined": maxPipelined} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &presence{release: make(chan struct{})}
			addr, stop := serveUntilStopped(t, listeners[name], &http.Server{Handler: p})
			defer func() { is.NoErr(stop(t.Context())) }()
			defer close(p.release)
			c := dialCaller(t, addr)
			c.send(strings.Repeat(get("/wait"), maxPipelined) + strings.Repeat(get("/wait"), 2*maxUnreadBytes/len(get("/wait"))))
			eventually(t, "as many run as may", func() bool { return p.begun.Load() == running })
			edgetest.Leave(t, c.Conn)
			eventually(t, "the contexts end", func() bool { return p.ended.Load() >= running })
		})
	}
}
