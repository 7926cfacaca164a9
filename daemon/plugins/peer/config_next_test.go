package peer

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// Daemons that exchange requests did not tell each other that one of them has a newer
// configuration.
func TestFramesHideANewerConfiguration(t *testing.T) {
	for _, tc := range []struct {
		name           string
		client, server uint64 // positions in the configuration
	}{{"server is ahead", 3, 4}, {"client is ahead", 4, 3}, {"equal", 4, 4}, {"nothing read", 0, 4}} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int64
			s, _ := startTestServer(t, echo(&runs))
			n := startTestNetwork(t, clock.Boot{})
			limits := view.FreshnessLimits{Unconfirmed: time.Minute, Replaced: time.Minute}
			n.config, s.config = view.NewFreshness(limits), view.NewFreshness(limits)
			n.config.SetNext(tc.client)
			s.config.SetNext(tc.server)
			_, err := n.Call(context.Background(), s.listener.Addr().String(), &wire.Frame{Body: &wire.Frame_Request{Request: &wire.Request{}}})
			is.NoErr(err)
			is.Equal(n.config.Replaced(clock.Boot{}.Now()), tc.server > tc.client)
			is.Equal(s.config.Replaced(clock.Boot{}.Now()), tc.client > tc.server)
		})
	}
}
