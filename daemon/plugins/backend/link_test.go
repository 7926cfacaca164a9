package backend

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/settings"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/pacing"
)

// A large response that the link cannot carry in time took a slot of the server first. Small ones,
// and those that stay within the instance, must not be refused for it.
func TestLargeResponseIsRefusedForTheLinkBeforeItRuns(t *testing.T) {
	is := is.New(t)
	e, f := start(t)
	set := settings.Daemon{}
	set.Bounds.LinkMbps = 10
	e.pacer = pacing.New(set, clock.Boot{}, zap.NewNop())
	e.admission.pacer = e.pacer
	e.admission.queue.SetLink(e.pacer)
	serve := func(id string, bulk bool) *wire.Response {
		req := request(id, 7)
		req.Bulk = bulk
		return e.HandleFrame(context.Background(), "", &wire.Frame{Body: &wire.Frame_Request{Request: req}}).GetResponse()
	}
	is.Equal(kind(serve("r-1", true)), outcome.OK)
	promise := e.pacer.Promise(clock.Boot{}.Now(), 0, 3e6, 0) // 2.8 s of the link
	refused := serve("r-2", true)
	is.Equal(kind(refused), outcome.Overloaded)
	is.Equal(f.runs("r-2"), 0)
	is.True(refused.GetRetryAfterMs() >= 1000 && refused.GetRetryAfterMs() <= 2000)
	is.True(refused.GetLoad().GetLinkBacklogMs() > 2000 && refused.GetLoad().GetLinkKbps() > 8000)
	is.Equal(kind(serve("r-3", false)), outcome.OK)
	local := request("r-4", 7)
	local.Bulk = true
	is.Equal(kind(e.Execute(context.Background(), local)), outcome.OK)
	e.pacer.Drop(promise)
	is.Equal(kind(serve("r-5", true)), outcome.OK)
	backlog, _ := e.pacer.Backlog()
	is.Equal(backlog, time.Duration(0)) // the promises have ended
}
