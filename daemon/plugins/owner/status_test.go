package owner

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/backendconn/backendconntest"
)

// A server answered with a status that no final response has, such as 000. The answer was taken for
// the server's, or the request waited for another one until its deadline.
func TestInvalidStatusIsNoAnswerToTheNativeOwner(t *testing.T) {
	for _, status := range backendconntest.InvalidStatuses {
		t.Run(status, func(t *testing.T) {
			addr := backendconntest.StatusServer(t, status, func(r *http.Request) []string {
				return []string{headerRequest + ": " + r.Header.Get(headerRequest)}
			})
			b := newStutterBackend(addr)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			req := &wire.Request{RequestId: "r-1", Method: http.MethodGet, Path: "/"}
			resp, _ := b.run(ctx, req, 1, clock.Boot{}.Now().Add(10*time.Second))
			if got := outcome.Kind(resp.GetKind()); got != outcome.AnswerCut || !resp.GetArrived() {
				t.Errorf("status %s: kind %v, arrived %v, expected %v of a request that arrived", status, got, resp.GetArrived(), outcome.AnswerCut)
			}
			if err := b.sendGrant(ctx, grantKey{}); err == nil {
				t.Errorf("status %s acknowledged a grant", status)
			}
		})
	}
}
