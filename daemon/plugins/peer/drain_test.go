package peer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// TestStopLosesNoRequest sends requests over a slow network while the
// server stops. Each must be answered or provably not run.
func TestStopLosesNoRequest(t *testing.T) {
	is := is.New(t)
	const callers = 16
	var runs, answered atomic.Int64
	s, _ := startTestServer(t, handlerFunc(func(_ context.Context, req *wire.Request) *wire.Response {
		runs.Add(1)
		time.Sleep(time.Millisecond) // service time
		return &wire.Response{Kind: uint32(outcome.OK), Body: req.GetBody()}
	}))
	p := startProxy(t, s.listener.Addr().String())
	p.delay = 20 * time.Millisecond
	n := startTestNetwork(t, clock.Boot{})
	results := make(chan error, callers)
	var started sync.WaitGroup
	started.Add(callers)
	for range callers {
		go func() {
			var once sync.Once
			for {
				answer, err := n.Call(within(t, lossBound), p.addr(), request("order", false))
				if err == nil {
					err = refusedAs(answer)
				}
				if err != nil {
					results <- err
					return
				}
				answered.Add(1)
				once.Do(started.Done)
			}
		}()
	}
	started.Wait()
	start := time.Now()
	is.NoErr(s.stop(within(t, lossBound)))
	is.True(time.Since(start) < lingerTimeout) // the caller closed the session
	for range callers {
		err := <-results
		is.Equal(outcome.KindOf(err).Answer().Ran, outcome.NotRun)
	}
	is.Equal(runs.Load(), answered.Load())
}

// sessionTo returns the current session with a peer.
func (n *network) sessionTo(addr string) *session {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers[addr].dial.session
}

// callDespiteLeaveNotice waits for the leave notice, then calls as if it had not
// been read yet.
func callDespiteLeaveNotice(ctx context.Context, s *session, frame *wire.Frame) (*wire.Frame, error) {
	l := s.traffic
	for !s.draining.Load() && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	l.mu.Lock()
	l.draining = false
	l.mu.Unlock()
	defer l.drain()
	return l.call(ctx, frame)
}

// refusedAs returns the error of an answer that does not report success.
func refusedAs(answer *wire.Frame) error {
	resp := answer.GetResponse()
	if resp == nil {
		return errors.New("answer is not a response")
	}
	if kind := outcome.Kind(resp.GetKind()); kind != outcome.OK {
		return outcome.New(kind, "%s", resp.GetDetail())
	}
	return nil
}

// TestCallToUnreachablePeerDoesNotWaitForDial checks that a call to a peer that was
// last found unreachable does not wait until a dial without an answer times out.
func TestCallToUnreachablePeerDoesNotWaitForDial(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	s, _ := startTestServer(t, echo(&runs))
	p := startProxy(t, s.listener.Addr().String())
	n := startTestNetwork(t, clock.Boot{})
	_, err := n.Call(within(t, lossBound), p.addr(), request("a", true))
	is.NoErr(err)
	n.mu.Lock()
	r := n.peers[p.addr()]
	r.dial = &dialAttempt{ready: make(chan struct{})} // a dial that never completes
	n.mu.Unlock()
	n.markUnreachable(p.addr())
	ctx := within(t, lossBound)
	_, err = n.Call(ctx, p.addr(), request("b", false))
	is.Equal(outcome.KindOf(err), outcome.OwnerUnreachable)
	is.NoErr(ctx.Err())
}
