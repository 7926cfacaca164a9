package owner

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

// Headers of the protocol with backend servers.
const (
	headerToken    = "X-Sesamemoor-Generation" // fencing token
	headerShard    = "X-Sesamemoor-Shard"
	headerTeam     = "X-Sesamemoor-Team"
	headerRequest  = "X-Request-Id"
	headerDeadline = "X-Sesamemoor-Deadline-Ms" // time left when sent
	headerRefused  = "X-Sesamemoor-Refused"     // "fenced" or "shed": the request did not run
)

// maxAnswerBytes bounds a backend server's answer.
const maxAnswerBytes = 8 << 20

// grantTimeout bounds one grant message.
const grantTimeout = 500 * time.Millisecond

// backend is the HTTP client of the backend server beside the daemon.
type backend struct {
	control kernel.Control
	client  *http.Client
}

func newBackend(c kernel.Control, conns int) *backend {
	transport := &http.Transport{
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression:  true,
	}
	return &backend{control: c, client: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

const dialTimeout = 500 * time.Millisecond

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// addr returns the address of the backend server, or "" while there is none.
func (b *backend) addr() string {
	if server := b.control.View().Backend; server != nil {
		return server.Addr
	}
	return ""
}

// grant tells the backend server that shard is its under the fencing token.
func (b *backend) grant(id view.ShardID, token uint64) {
	addr := b.addr()
	if addr == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/sesamemoor/grant?service=%s&shard=%d&generation=%d", addr, id.Service, id.Shard, token)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return
	}
	if resp, err := b.client.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// run sends the request to the backend server and returns its whole answer.
func (b *backend) run(ctx context.Context, req *wire.Request, token uint64, timeout time.Duration) *wire.Response {
	addr := b.addr()
	if addr == "" {
		return refusal(outcome.New(outcome.NoOwner, "no backend server"))
	}
	httpReq, err := http.NewRequestWithContext(ctx, req.GetMethod(), "http://"+addr+req.GetPath(), bytes.NewReader(req.GetBody()))
	if err != nil {
		return refusal(outcome.New(outcome.BadRequest, "%v", err))
	}
	httpReq.GetBody = nil // never replayed by the transport
	for _, h := range req.GetHeaders() {
		httpReq.Header.Add(h.GetName(), h.GetValue())
	}
	httpReq.Header.Set(headerToken, strconv.FormatUint(token, 10))
	httpReq.Header.Set(headerShard, strconv.FormatUint(uint64(req.GetShard()), 10))
	httpReq.Header.Set(headerTeam, req.GetTeam())
	httpReq.Header.Set(headerRequest, req.GetRequestId())
	httpReq.Header.Set(headerDeadline, strconv.FormatInt(timeout.Milliseconds(), 10))
	start := time.Now()
	httpResp, err := b.client.Do(httpReq)
	if err != nil {
		return refusal(classify(ctx, err))
	}
	resp := answer(ctx, httpResp, token)
	resp.ServiceTimeUs = uint32(time.Since(start).Microseconds())
	return resp
}

// classify maps a transport error to its kind.
func classify(ctx context.Context, err error) error {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return outcome.New(outcome.OwnerUnreachable, "backend server: %v", err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcome.New(outcome.DeadlineMaybeRan, "backend server gave no answer in time")
	case errors.Is(ctx.Err(), context.Canceled):
		return outcome.New(outcome.CancelledMaybeRan, "cancelled")
	default:
		return outcome.New(outcome.BackendCrashed, "%v", err)
	}
}

// answer reads the whole answer; a part of one is an error.
func answer(ctx context.Context, httpResp *http.Response, token uint64) *wire.Response {
	defer httpResp.Body.Close()
	switch httpResp.Header.Get(headerRefused) {
	case "fenced":
		return refusal(outcome.New(outcome.Fenced, "backend server holds a newer grant"))
	case "shed":
		return refusal(outcome.New(outcome.BackendShed, "backend server shed the request"))
	}
	body, err := io.ReadAll(io.LimitReader(httpResp.Body, maxAnswerBytes+1))
	if err != nil {
		if ctx.Err() != nil {
			return refusal(classify(ctx, err))
		}
		return refusal(outcome.New(outcome.AnswerCut, "%v", err))
	}
	if len(body) > maxAnswerBytes {
		return refusal(outcome.New(outcome.AnswerTooLarge, "answer exceeds %d bytes", maxAnswerBytes))
	}
	resp := &wire.Response{
		Kind:       uint32(outcome.OK),
		Status:     uint32(httpResp.StatusCode),
		Body:       body,
		BodyLength: uint32(len(body)),
		Generation: token,
	}
	for name, values := range httpResp.Header {
		for _, value := range values {
			resp.Headers = append(resp.Headers, &wire.Header{Name: name, Value: value})
		}
	}
	return resp
}
