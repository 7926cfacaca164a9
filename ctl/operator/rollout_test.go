package operator

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRolloutOrders checks that an order that replay would not follow is refused before it is
// appended, as is a second one while the first has not ended, and that an order can be withdrawn.
func TestRolloutOrders(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), changeTimeout)
	defer cancel()
	c, _ := newConfig(t)
	_, err := c.Patch(ctx, 0, []byte(`{"services":{"shop":{"region":"r","shards":4}}}`), "")
	is.NoErr(err)
	is.True(errors.Is(c.OrderRollout(ctx, "other", "v2", time.Minute), ErrRejected))
	is.True(errors.Is(c.OrderRollout(ctx, "shop", "v2", -time.Minute), ErrRejected))
	is.True(errors.Is(c.EndRollout(ctx, "shop"), ErrRejected))
	is.NoErr(c.OrderRollout(ctx, "shop", "v2", time.Minute))
	is.True(errors.Is(c.OrderRollout(ctx, "shop", "v3", time.Minute), ErrRolloutRunning))
	list, err := c.Rollouts(ctx)
	is.NoErr(err)
	is.Equal(list, []VersionRollout{{Service: "shop", To: "v2", Order: 2, DurationS: 60, State: stateOrdered}})
	is.NoErr(c.EndRollout(ctx, "shop"))
}
