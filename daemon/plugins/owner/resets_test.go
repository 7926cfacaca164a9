package owner

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/backendconn/backendconntest"
)

// A full server that resets new connections at once looked like one that had lost an answer.
func TestResetByAFullServerLooksLikeALostResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	b := newStutterBackend(l.Addr().String())
	notRun := 0
	for n := range 20 {
		req := &wire.Request{RequestId: fmt.Sprint("r-", n), Method: http.MethodPost, Path: "/"}
		resp, _ := b.run(t.Context(), req, 1, clock.Boot{}.Now().Add(time.Second))
		switch kind := outcome.Kind(resp.GetKind()); kind {
		case outcome.Overloaded:
			notRun++
		case outcome.BackendReset:
		default:
			t.Fatalf("outcome %v (%s)", kind, resp.GetDetail())
		}
	}
	if notRun == 0 {
		t.Error("no order is known not to have run")
	}
}

// A server reset a connection in the middle of an answer, before it had read the whole request. No
// part of an answer may look whole, whatever frames it.
func TestResetAnswerLooksWholeToTheNativeOwner(t *testing.T) {
	const requests = 100
	for name, framing := range map[string][]string{
		"length":       {"Content-Length: 1000"},
		"chunked":      {"Transfer-Encoding: chunked"},
		"close":        nil,
		"close header": {"Connection: close"},
	} {
		for _, bodyBytes := range []int{0, 1 << 20} {
			t.Run(fmt.Sprint(name, ", request of ", bodyBytes, " bytes"), func(t *testing.T) {
				head := func(r *http.Request) []string { return []string{headerRequest + ": " + r.Header.Get(headerRequest)} }
				addr := backendconntest.ResetServer(t, func(r *http.Request) []string { return append(head(r), framing...) }, head)
				b := newStutterBackend(addr)
				whole := 0
				for n := range requests {
					for _, method := range []string{http.MethodGet, http.MethodPost} {
						req := &wire.Request{RequestId: fmt.Sprintf("r-%d-%s", n, method), Method: method, Path: "/"}
						if method == http.MethodPost {
							req.Body = make([]byte, bodyBytes)
						}
						resp, _ := b.run(t.Context(), req, 1, clock.Boot{}.Now().Add(5*time.Second))
						if method == http.MethodPost && outcome.Kind(resp.GetKind()) == outcome.OK {
							whole++
						}
					}
				}
				if whole > 0 {
					t.Errorf("%d of %d answers that were reset look whole", whole, requests)
				}
			})
		}
	}
}
