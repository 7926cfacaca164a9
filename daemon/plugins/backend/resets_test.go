package backend

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/hold"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/protocol"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/backendconn/backendconntest"
)

// A server reset a connection in the middle of an answer without a length, while it was being
// granted keys or had not read the whole request. The caller got the part as a whole answer.
func TestResetAnswerLooksWholeToTheBackendPlugin(t *testing.T) {
	const callers, requests, granters = 4, 400, 4
	for name, form := range map[string]struct {
		bodyBytes int // of a request
		grants    bool
	}{
		"alone":        {},
		"grants":       {grants: true},
		"long request": {bodyBytes: 1 << 20},
		"both":         {bodyBytes: 1 << 20, grants: true},
	} {
		t.Run(name, func(t *testing.T) {
			head := func(r *http.Request) []string {
				id := r.Header.Get("Id")
				return []string{"Id: " + id, "Seal: s." + id}
			}
			addr := backendconntest.ResetServer(t, head, head)
			c := newClient(clock.Boot{}, checkedOrders{&fake{}}, noSuspects{})
			ctx, cancel := context.WithCancel(t.Context())
			var beside, players sync.WaitGroup
			for range granters {
				beside.Go(func() {
					for form.grants && ctx.Err() == nil {
						_ = c.sendGrant(ctx, &server{addr: addr}, protocol.KeyRange{}, hold.Grant{}, clock.Boot{}.Now().Add(time.Minute))
					}
				})
			}
			var mu sync.Mutex
			whole := 0
			for caller := range callers {
				players.Go(func() {
					for n := range requests / callers {
						for _, method := range []string{http.MethodGet, http.MethodPost} {
							req := &wire.Request{RequestId: fmt.Sprintf("r-%d-%d-%s", caller, n, method), Method: method, Path: "/", Host: "a"}
							if method == http.MethodPost {
								req.Body = make([]byte, form.bodyBytes)
							}
							resp, _, _ := c.run(ctx, &server{addr: addr, id: "i-1"}, req, 5*time.Second)
							isOK := outcome.Kind(resp.GetKind()) == outcome.OK
							mu.Lock()
							if isOK && method == http.MethodPost {
								whole++
							}
							mu.Unlock()
						}
					}
				})
			}
			players.Wait()
			cancel()
			beside.Wait()
			if whole > 0 {
				t.Errorf("%d of %d answers that were reset look whole", whole, requests)
			}
		})
	}
}
