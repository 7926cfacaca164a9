package peer

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// answerOf is the body of the answer to a request.
func answerOf(id string, size int) []byte {
	return bytes.Repeat([]byte(id+";"), 1+size/(len(id)+1))
}

// A cut link must never yield a short answer, or that of another call.
func TestAnswersAreWholeAndTheirOwnOnLinksThatAreCutAnywhere(t *testing.T) {
	const links, calls = 400, 8
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	var mu sync.Mutex
	slow := rand.New(rand.NewPCG(seed, 1))
	srv, _ := startTestServer(t, handlerFunc(func(ctx context.Context, req *wire.Request) *wire.Response {
		mu.Lock()
		pause := time.Duration(slow.IntN(2000)) * time.Microsecond
		mu.Unlock()
		select {
		case <-time.After(pause):
		case <-ctx.Done(): // the answer to a withdrawn call is late
		}
		body := answerOf(req.GetRequestId(), int(req.GetTargetMs()))
		return &wire.Response{Kind: uint32(outcome.OK), Body: body, BodyLength: uint32(len(body))}
	}))
	addr := srv.listener.Addr().String()
	whole, cut, withdrawn := 0, 0, 0
	for link := range links {
		r := rand.New(rand.NewPCG(seed+2, uint64(link)))
		most := 1 << (5 + r.IntN(13))
		left := -1
		if r.IntN(8) > 0 {
			left = 1 + r.IntN(1+calls*most)
		}
		s, err := dialCut(t, addr, left, r.IntN(2) == 0, zap.NewNop())
		if err != nil {
			cut++
			continue
		}
		var wg sync.WaitGroup
		for i := range calls {
			id, size := fmt.Sprintf("%d-%d", link, i), r.IntN(most)
			timeout := 10 * time.Second
			if r.IntN(3) == 0 {
				timeout = time.Duration(r.IntN(2000)) * time.Microsecond
			}
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				frame, err := s.traffic.call(ctx, &wire.Frame{Body: &wire.Frame_Request{Request: &wire.Request{RequestId: id, TargetMs: int64(size)}}})
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil && frame.GetResponse().GetKind() != uint32(outcome.OK):
					withdrawn++ // refused after its deadline
				case err == nil:
					whole++
					if !bytes.Equal(frame.GetResponse().GetBody(), answerOf(id, size)) {
						t.Errorf("link %d: answer of %d bytes to %s is not its own", link, len(frame.GetResponse().GetBody()), id)
					}
				case ctx.Err() != nil:
					withdrawn++
				default:
					cut++
				}
			})
		}
		wg.Wait()
		s.close()
	}
	t.Logf("%d whole, %d cut, %d withdrawn", whole, cut, withdrawn)
	if whole == 0 || cut == 0 || withdrawn == 0 {
		t.Errorf("%d whole, %d cut, %d withdrawn: a case is missing", whole, cut, withdrawn)
	}
}

// An answer under way when its daemon stops must arrive whole or not at all.
func TestAnswersAreWholeAndTheirOwnWhenTheirDaemonStops(t *testing.T) {
	const rounds, calls = 40, 8
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	var mu sync.Mutex
	whole, refused, cut := 0, 0, 0
	for round := range rounds {
		r := rand.New(rand.NewPCG(seed, uint64(round)))
		srv, _ := startTestServer(t, handlerFunc(func(ctx context.Context, req *wire.Request) *wire.Response {
			select {
			case <-time.After(time.Duration(req.GetTimeoutMs()) * time.Millisecond):
			case <-ctx.Done():
			}
			body := answerOf(req.GetRequestId(), int(req.GetTargetMs()))
			return &wire.Response{Kind: uint32(outcome.OK), Body: body, BodyLength: uint32(len(body))}
		}))
		n := startTestNetwork(t, clock.Boot{})
		var wg sync.WaitGroup
		for i := range calls {
			id, size, pause := fmt.Sprintf("%d-%d", round, i), r.IntN(1<<(10+r.IntN(13))), uint64(r.IntN(30))
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				req := &wire.Request{RequestId: id, TargetMs: int64(size), TimeoutMs: pause}
				frame, err := n.Call(ctx, srv.listener.Addr().String(), &wire.Frame{Body: &wire.Frame_Request{Request: req}})
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err != nil:
					cut++
				case frame.GetResponse().GetKind() != uint32(outcome.OK):
					refused++
				default:
					whole++
					if !bytes.Equal(frame.GetResponse().GetBody(), answerOf(id, size)) {
						t.Errorf("round %d: answer of %d bytes to %s is not its own", round, len(frame.GetResponse().GetBody()), id)
					}
				}
			})
		}
		time.Sleep(time.Duration(r.IntN(40)) * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(r.IntN(60))*time.Millisecond)
		_ = srv.stop(ctx)
		cancel()
		wg.Wait()
	}
	t.Logf("%d whole, %d refused, %d not answered", whole, refused, cut)
	if whole == 0 {
		t.Error("no whole answer")
	}
}
