package owner

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/answer"
	"github.com/sesamemoor/sesamemoor/daemon/guard"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

// Headers of the protocol with backend servers, see docs/BACKEND.md.
const (
	headerToken    = "X-Sesamemoor-Generation" // fencing token
	headerShard    = "X-Sesamemoor-Shard"
	headerTeam     = "X-Sesamemoor-Team"
	headerRequest  = "X-Request-Id"
	headerDeadline = "X-Sesamemoor-Deadline-Ms" // time left when sent
	headerExpires  = "X-Sesamemoor-Expires-Us"  // the same as wall clock of this host, microseconds since 1970
	headerRefused  = "X-Sesamemoor-Refused"     // "fenced", "expired" or "shed": the request did not run
)

// backend is the HTTP client of the backend server beside the daemon.
type backend struct {
	control kernel.Control
	clock   clock.Clock
	client  *http.Client // requests, on guarded connections
	grants  *http.Client // grants, on connections of their own
	crashes *guard.Crashes
}

func newBackend(c kernel.Control, clk clock.Clock, suspects guard.Suspects, conns int) *backend {
	b := &backend{control: c, clock: clk, crashes: guard.NewCrashes(clk, suspects)}
	b.client = &http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     guard.IdleTimeout,
		DialContext:         guard.Dialer(clk, b.leaseHeld),
		DisableCompression:  true,
	}}
	b.grants = &http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{
		MaxConnsPerHost: 1,
		IdleConnTimeout: guard.IdleTimeout,
		DialContext:     (&net.Dialer{Timeout: guard.DialTimeout}).DialContext,
	}}
	return b
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (b *backend) leaseHeld() bool { return b.control.View().Lease.Valid(b.clock.Now()) }

// restarted closes idle connections to the server's earlier process.
func (b *backend) restarted(bootID string) {
	b.crashes.Restarted(bootID)
	b.client.CloseIdleConnections()
}

// addr returns the address of the backend server, or "" while there is none.
func (b *backend) addr() string {
	if server := b.control.View().Backend; server != nil {
		return server.Addr
	}
	return ""
}

// name returns the backend server's name, "" while none is announced.
func (b *backend) name() string {
	if server := b.control.View().Backend; server != nil {
		return server.Name
	}
	return ""
}

// sendGrant tells the backend server that the shard is its under the token.
func (b *backend) sendGrant(ctx context.Context, key grantKey) error {
	query := url.Values{
		"service":    {key.shard.Service},
		"shard":      {strconv.FormatUint(uint64(key.shard.Shard), 10)},
		"generation": {strconv.FormatUint(key.token, 10)},
	}
	target := url.URL{Scheme: "http", Host: b.addr(), Path: "/sesamemoor/grant", RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target.String(), nil)
	if err != nil {
		return fmt.Errorf("owner: grant: %w", err)
	}
	resp, err := b.grants.Do(req)
	if err != nil {
		return fmt.Errorf("owner: grant: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("owner: grant: status %d", resp.StatusCode)
	}
	return nil
}

// run sends the request to the backend server, before until, and returns its
// whole answer.
func (b *backend) run(ctx context.Context, req *wire.Request, token uint64, until clock.Instant) *wire.Response {
	addr := b.addr()
	if addr == "" {
		return answer.Refusal(outcome.New(outcome.NoOwner, "no backend server"))
	}
	trace := &guard.Trace{Until: until}
	ctx = trace.Attach(ctx)
	httpReq, err := newRequest(ctx, addr, req, token, b.deadline(until))
	if err != nil {
		return answer.Refusal(outcome.New(outcome.BadRequest, "%v", err))
	}
	start := time.Now()
	httpResp, err := b.client.Do(httpReq)
	if err != nil {
		return b.crashes.Refusal(ctx, guard.Attempt{
			Trace: trace, Addr: addr, Err: err,
			Loss: guard.Loss{Fingerprint: req.GetFingerprint(), Service: req.GetService(), Server: b.name()},
		})
	}
	resp := readAnswer(ctx, httpResp, token)
	resp.ServiceTimeUs = uint32(time.Since(start).Microseconds())
	return resp
}

// deadline is the end of a request's time on the clocks that a backend server
// on the same host understands.
type deadline struct {
	left time.Duration
	wall time.Time
}

// deadline translates an instant. The wall clock is read first, so that a
// pause in between makes the deadline earlier.
func (b *backend) deadline(until clock.Instant) deadline {
	wall := time.Now()
	left := until.Sub(b.clock.Now())
	return deadline{left: left, wall: wall.Add(left)}
}

// readAnswer reads the whole answer; a part of one is an error.
func readAnswer(ctx context.Context, httpResp *http.Response, token uint64) *wire.Response {
	defer httpResp.Body.Close()
	if err := refused(httpResp); err != nil {
		return answer.Refusal(err)
	}
	if !hasEnd(httpResp) {
		return answer.Refusal(outcome.New(outcome.AnswerCut, "answer has neither a length nor a last chunk"))
	}
	resp, err := guard.ReadAnswer(ctx, httpResp)
	if err != nil {
		return answer.Refusal(err)
	}
	resp.Generation = token
	return resp
}

// refused returns the error of a refusal by the backend server, after which
// the connection can be used again.
func refused(httpResp *http.Response) error {
	var err error
	switch httpResp.Header.Get(headerRefused) {
	case "fenced":
		err = outcome.New(outcome.Fenced, "backend server holds a newer grant")
	case "expired":
		err = outcome.New(outcome.DeadlineNotRun, "backend server read the request too late")
	case "shed":
		err = outcome.New(outcome.BackendShed, "backend server shed the request")
	default:
		return nil
	}
	guard.SkipRefusal(httpResp)
	return err
}

// hasEnd reports whether a cut of the answer would be seen.
func hasEnd(httpResp *http.Response) bool {
	chunked := len(httpResp.TransferEncoding) > 0
	return httpResp.ContentLength >= 0 || chunked || httpResp.Request.Method == http.MethodHead
}
