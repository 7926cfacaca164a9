package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/link"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/pace"
	"github.com/sesamemoor/sesamemoor/daemon/edge"
	"github.com/sesamemoor/sesamemoor/daemon/pacing"
)

var _ edge.PacedConn = (*pacing.Conn)(nil)

// transfer is the expected transfer of a response to its caller over the network link.
type transfer struct {
	size, spread float64        // of the response in bytes; 0 if it is not large
	promise      *link.Transfer // of the link; nil if it has none
	time         time.Duration  // that the transfer takes on an idle link
}

// transferReturns spreads the callers that are refused for the link.
type transferReturns struct {
	mu      sync.Mutex
	returns pace.Returns
}

func (t *transferReturns) next(now, start clock.Instant, perS float64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.returns.Next(now, start, perS)
}

// usesLink reports whether the answer to a request leaves the instance.
func usesLink(r *http.Request) bool {
	local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return true
	}
	here, _, err := net.SplitHostPort(local.String())
	if err != nil {
		return true
	}
	caller, _, err := net.SplitHostPort(r.RemoteAddr)
	return err != nil || here != caller
}

// rank returns the rank of a request's response on the link.
func (x *exchange) rank() int64 {
	return link.ResponseRank(x.req.GetNested(), x.req.GetPriority(), x.targetTime.Before(x.started))
}

// promiseTransfer reserves the network link for the response to the caller, or refuses the request
// if the link could not carry it in time.
func (g *gateway) promiseTransfer(x *exchange) error {
	if x.transfer.size == 0 || !x.remote {
		return nil
	}
	now := g.clock.Now()
	t := &x.transfer
	target, deadline := now.Add(time.Until(x.targetTime)), now.Add(time.Until(x.limit))
	p := g.pacer.Predict(now, now, x.rank(), t.size, t.spread, nil)
	t.time = p.Idle.Sub(now)
	if late := p.Lateness(now, target, deadline); late > 0 {
		g.pacer.CountRefusal(pacing.AtEntry)
		err := outcome.New(outcome.Overloaded, "the link of the entry cannot carry the response in time")
		err.RetryAfter = g.transferReturns.next(now, now.Add(late), g.pacer.BulkRate(now)/t.size)
		return err
	}
	t.promise = g.pacer.Promise(now, x.rank(), t.size, t.spread)
	return nil
}

// beginTransfer replaces the promise for a response by its true size.
func (g *gateway) beginTransfer(ctx context.Context, x *exchange, size int) {
	if !g.pacer.Limited() {
		return
	}
	edge.ExpectAnswer(ctx, x.rank(), size)
	g.pacer.Drop(x.transfer.promise)
}
