package entry

import (
	"context"
	"time"

	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

// retryPause is the time between tries while a shard changes hands.
const retryPause = 20 * time.Millisecond

// router passes requests to the owners of their keys.
type router struct {
	control kernel.Control
	peers   kernel.Peers
	local   kernel.Executor
}

// route tries owner and standby in turn until one runs the request, it may
// have run, or the deadline passes. A request that is not idempotent is tried
// again only if the try before it provably did not run.
func (t *router) route(ctx context.Context, req *wire.Request) (*wire.Response, error) {
	for {
		resp, err := t.try(ctx, req)
		if err == nil {
			return resp, nil
		}
		kind := outcome.Of(err)
		if !kind.Answer().Reroutable && !(req.Idempotent && kind == outcome.ConnectionLost) {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(retryPause):
		}
		req.Attempt++
	}
}

// try sends the request to one daemon: the owner on odd attempts, the standby,
// which may have taken over, on even ones.
func (t *router) try(ctx context.Context, req *wire.Request) (*wire.Response, error) {
	v := t.control.View()
	id, shard, ok := v.Lookup(req.GetService(), req.GetKey())
	if !ok {
		return nil, outcome.New(outcome.NoOwner, "service %s has no placement", req.GetService())
	}
	target := shard.Owner
	if req.GetAttempt()%2 == 0 && shard.Standby != nil {
		target = shard.Standby
	}
	if target == nil {
		return nil, outcome.New(outcome.NoOwner, "shard %s/%d", id.Service, id.Shard)
	}
	req.Shard = id.Shard
	req.Generation = shard.Generation
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline)
	if left < time.Millisecond {
		return nil, outcome.New(outcome.DeadlineNotRun, "deadline passed")
	}
	req.TimeoutMs = uint64(left.Milliseconds())
	resp, err := t.send(ctx, v, target, req)
	if err != nil {
		t.control.Post(control.Suspicion{Incarnation: target.Incarnation})
		return nil, err
	}
	kind := outcome.Kind(resp.GetKind())
	if kind == outcome.OK && int(resp.GetBodyLength()) != len(resp.GetBody()) {
		return nil, outcome.New(outcome.AnswerCut, "answer of %d bytes instead of %d", len(resp.GetBody()), resp.GetBodyLength())
	}
	if kind != outcome.OK {
		return nil, outcome.New(kind, "%s", resp.GetDetail())
	}
	return resp, nil
}

func (t *router) send(ctx context.Context, v *view.View, target *view.Member, req *wire.Request) (*wire.Response, error) {
	if target.Incarnation == v.Incarnation {
		return t.local.Execute(ctx, req), nil
	}
	answer, err := t.peers.Call(ctx, target.PeerAddr, &wire.Frame{Body: &wire.Frame_Request{Request: req}})
	if err != nil {
		return nil, err
	}
	if answer.GetResponse() == nil {
		return nil, outcome.New(outcome.AnswerCut, "answer of another kind")
	}
	return answer.GetResponse(), nil
}
