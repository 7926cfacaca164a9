package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/fx/fxtest"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/routing"
)

// hangingPeers answer no request until it is cancelled.
type hangingPeers struct {
	asked chan struct{}
	kind  outcome.Kind
}

func (p hangingPeers) Call(ctx context.Context, _ string, _ *wire.Frame) (*wire.Frame, error) {
	p.asked <- struct{}{}
	<-ctx.Done()
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil, outcome.New(p.kind, "cancelled")
	}
	return nil, outcome.New(outcome.DeadlineMaybeRan, "deadline")
}

// A request that waited at its owner when the process ended got no answer.
func TestRequestInProgressAtTheEndOfAStopIsAnswered(t *testing.T) {
	for kind, want := range map[outcome.Kind]int{
		outcome.CancelledNotRun:   http.StatusServiceUnavailable,
		outcome.CancelledMaybeRan: http.StatusBadGateway,
	} {
		t.Run(kind.String(), func(t *testing.T) {
			is := is.New(t)
			s := newFakeDaemon()
			for i := range s.view.Config.HostRoutes {
				s.view.Config.HostRoutes[i].TimeoutMS = 20_000
			}
			g := newTestHandler(t, s).(*gateway)
			peers := hangingPeers{asked: make(chan struct{}, 4), kind: kind}
			unused, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			set := settings.Default()
			g.sender = newSender(set, s, peers, s, routing.NewRepeats(set, s, new(startedClock)), clock.Boot{})
			set.EntryAddr = unused.Addr().String()
			is.NoErr(unused.Close())
			lc := fxtest.NewLifecycle(t)
			serveCallers(lc, set, nil, g)
			answerBeforeEnd(lc, g)
			lc.RequireStart()
			conn, err := net.Dial("tcp", set.EntryAddr)
			is.NoErr(err)
			defer conn.Close()
			is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
			_, err = io.WriteString(conn, "POST /order/1 HTTP/1.1\r\nHost: a\r\nId: r-1\r\nKey: "+teamKey+"\r\nNumber: 3\r\nContent-Length: 0\r\n\r\n")
			is.NoErr(err)
			<-peers.asked
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			stopped := make(chan error, 1)
			go func() { stopped <- lc.Stop(ctx) }()
			defer func() { <-stopped }()
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err) // the connection ended without an answer
			is.Equal(resp.StatusCode, want)
			is.NoErr(ctx.Err())
			is.NoErr(conn.Close())
		})
	}
}
