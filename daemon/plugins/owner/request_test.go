package owner

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/wire"
)

// A backend server that was frozen can tell that a request came too late only
// by an instant, not by a duration.
func TestRequestCarriesItsExpiry(t *testing.T) {
	is := is.New(t)
	before := time.Now()
	httpReq, err := newRequest(context.Background(), "127.0.0.1:1", &wire.Request{Method: "GET", Path: "/"}, 1, time.Second)
	is.NoErr(err)
	us, err := strconv.ParseInt(httpReq.Header.Get(headerExpires), 10, 64)
	is.NoErr(err)
	at := time.UnixMicro(us)
	is.True(!at.Before(before.Add(time.Second - time.Millisecond)))
	is.True(!at.After(time.Now().Add(time.Second)))
}
