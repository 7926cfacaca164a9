package owner

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// A backend server that was frozen can tell that a request came too late only
// by an instant, not by a duration.
func TestRequestCarriesItsExpiry(t *testing.T) {
	is := is.New(t)
	wall := time.UnixMicro(1_796_358_584_056_708)
	httpReq, err := newRequest(context.Background(), "127.0.0.1:1", &wire.Request{Method: "GET", Path: "/"}, 1,
		deadline{left: time.Second, wall: wall})
	is.NoErr(err)
	is.Equal(httpReq.Header.Get(headerExpires), strconv.FormatInt(wall.UnixMicro(), 10))
	is.Equal(httpReq.Header.Get(headerDeadline), "1000")
}

// The expiry on the wall clock is never later than the instant it stands for.
func TestDeadlineTranslatesInstant(t *testing.T) {
	is := is.New(t)
	clk := clock.Boot{}
	b := &backend{clock: clk}
	for range 100 {
		until := clk.Now().Add(time.Second)
		wallBefore := time.Now()
		end := b.deadline(until)
		is.True(end.left <= time.Second)
		is.True(!end.wall.After(wallBefore.Add(time.Second + time.Since(wallBefore))))
	}
}
