package backend

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/hold"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/protocol"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/backendconn/backendconntest"
)

// A server answered with a status that no final response has, such as 000. The answer was taken for
// the server's, or the request waited for another one until its deadline.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range backendconntest.InvalidStatuses {
		t.Run(status, func(t *testing.T) {
			addr := backendconntest.StatusServer(t, status, func(r *http.Request) []string {
				id := r.Header.Get("Id")
				return []string{"Id: " + id, "Seal: s." + id}
			})
			c := newClient(clock.Boot{}, checkedOrders{&fake{}}, noSuspects{})
			req := &wire.Request{RequestId: "r-1", Method: http.MethodGet, Path: "/", Host: "a"}
			resp, _, _ := c.run(t.Context(), &server{addr: addr, id: "i-1"}, req, 10*time.Second)
			if got := kind(resp); got != outcome.AnswerCut || !resp.GetArrived() {
				t.Errorf("status %s: kind %v, arrived %v, expected %v of a request that arrived", status, got, resp.GetArrived(), outcome.AnswerCut)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			if err := c.sendGrant(ctx, &server{addr: addr}, protocol.KeyRange{}, hold.Grant{}, clock.Boot{}.Now().Add(time.Minute)); err == nil {
				t.Errorf("status %s acknowledged a grant", status)
			}
		})
	}
}
