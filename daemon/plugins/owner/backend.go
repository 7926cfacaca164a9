package owner

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/liveness"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/answer"
	"github.com/sesamemoor/sesamemoor/daemon/backendconn"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

// Headers of the protocol with backend servers, see docs/BACKEND.md.
const (
	headerToken    = "X-Sesamemoor-Generation" // fencing token
	headerShard    = "X-Sesamemoor-Shard"
	headerTeam     = "X-Sesamemoor-Team"
	headerRequest  = "X-Request-Id"
	headerDeadline = "X-Sesamemoor-Deadline-Ms" // remaining time when sent, milliseconds
	headerExpires  = "X-Sesamemoor-Expires-Us"  // the same deadline as wall-clock time of this host, microseconds since 1970
	headerRefused  = "X-Sesamemoor-Refused"     // "fenced", "expired" or "shed": the request did not run
	headerLimit    = "X-Sesamemoor-Limit"       // requests per second that the server takes, a decimal number
	headerLeaving  = "X-Sesamemoor-Leaving"     // "1" if the server wants to stop
)

// backend is the HTTP client for the daemon's backend server.
type backend struct {
	control   kernel.Control
	clock     clock.Clock
	client    *http.Client // for requests, on connections that backendconn.Dialer opens
	grants    *http.Client // for grants, on a separate connection
	crashes   *backendconn.CrashTracker
	stutter   backendconn.Stutter
	processes *backendconn.Processes

	responses backendconn.ResponseReader
}

func newBackend(c kernel.Control, clk clock.Clock, suspects backendconn.Suspects, conns int) *backend {
	b := &backend{control: c, clock: clk, processes: backendconn.NewProcesses(), crashes: backendconn.NewCrashTracker(clk, suspects), responses: backendconn.NewResponseReader()}
	b.client = &http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     backendconn.IdleTimeout,
		DialContext:         b.processes.Track(backendconn.Dialer(clk, b.leaseHeld, &b.stutter)),
		DisableCompression:  true,

		MaxResponseHeaderBytes: backendconn.MaxHeaderBytes,
	}}
	b.grants = &http.Client{CheckRedirect: noRedirect, Transport: backendconn.Orders{IDHeader: headerRequest, Transport: &http.Transport{
		MaxConnsPerHost: 1,
		IdleConnTimeout: backendconn.IdleTimeout,
		DialContext:     b.processes.Track(backendconn.OrderDialer(clk, &b.stutter)),

		MaxResponseHeaderBytes: backendconn.MaxHeaderBytes,
	}}}
	return b
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (b *backend) leaseHeld() bool { return b.control.View().Lease.Valid(b.clock.Now()) }

// restarted closes idle connections to the server's previous process.
func (b *backend) restarted(bootID string) {
	b.crashes.RecordRestart(bootID)
	previous := b.processes.Current()
	b.processes.Restarted()
	b.stutter.Reset()
	b.client.CloseIdleConnections()
	b.grants.CloseIdleConnections()
	previous.Observe(liveness.OtherBoot)
}

// addr returns the address of the backend server, or "" while none is announced.
func (b *backend) addr() string {
	if server := b.control.View().Backend; server != nil {
		return server.Addr
	}
	return ""
}

// name returns the backend server's name, or "" while none is announced.
func (b *backend) name() string {
	if server := b.control.View().Backend; server != nil {
		return server.Name
	}
	return ""
}

// sendGrant grants the shard under the token to the backend server. A nil error
// means that the server acknowledged the grant.
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
		return fmt.Errorf("owner: grant: expected status 2xx, got %d", resp.StatusCode)
	}
	return nil
}

// run sends the request to the backend server and returns the whole response, or
// a refusal, and what the server says of itself. No byte of the request is written after
// until.
func (b *backend) run(ctx context.Context, req *wire.Request, token uint64, until clock.Instant) (*wire.Response, selfReport) {
	addr := b.addr()
	if addr == "" {
		return answer.Refusal(outcome.New(outcome.NoOwner, "no backend server is announced")), selfReport{}
	}
	start := time.Now()
	httpResp, trace, err := backendconn.Do(ctx, b.client, req.GetRequestId(), until, func(ctx context.Context) (*http.Request, error) {
		return newRequest(ctx, addr, req, token, b.deadline(until))
	})
	if trace == nil {
		return answer.Refusal(outcome.New(outcome.BadRequest, "%v", err)), selfReport{}
	}
	if err != nil {
		refusal := b.crashes.Refusal(ctx, backendconn.FailedAttempt{
			Trace: trace, Addr: addr, Err: err,
			LostRequest: backendconn.LostRequest{Fingerprint: req.GetFingerprint(), Service: req.GetService(), Server: b.name()},
		})
		refusal.Arrived = trace.Wrote()
		return refusal, selfReport{}
	}
	if err := b.checkRequestID(httpResp, trace, req.GetRequestId()); err != nil {
		_ = httpResp.Body.Close()
		return answer.Refusal(err), selfReport{}
	}
	report := readSelfReport(httpResp.Header)
	resp := b.readResponse(ctx, httpResp, trace, token)
	trace.Answered()
	if answer.AllowsRepeat(resp) {
		trace.BarRepeat()
	}
	resp.ServiceTimeUs = uint32(time.Since(start).Microseconds())
	resp.Arrived = true
	return resp, report
}

// checkRequestID returns an error if the response says that it belongs to another
// request. Its connection is discarded, and so is that of a response that does not name
// its request: a late copy of it would be taken for the response to the next request.
// One that names none is itself taken for a copy on a kept connection of a server that names them.
func (b *backend) checkRequestID(resp *http.Response, trace *backendconn.Trace, id string) error {
	got := resp.Header.Get(headerRequest)
	switch {
	case got == id:
		b.stutter.Named()
		return nil
	case got == "" && !b.stutter.Unnamed(trace.Kept()):
		trace.DiscardAfterResponse()
		return nil
	}
	trace.Discard()
	b.stutter.Saw()
	backendconn.RecordDiscarded(resp.Request.Context(), got, backendconn.DiscardOtherRequest)
	return outcome.New(outcome.AnswerCut, "response belongs to another request %q", got)
}

// deadline is the deadline of a request in the two forms that are sent to a
// backend server on the same host.
type deadline struct {
	remaining time.Duration
	wall      time.Time
}

// deadline converts a boot-clock time. It reads the wall clock first, so that a
// pause between the two clock readings makes the deadline earlier, not later.
func (b *backend) deadline(until clock.Instant) deadline {
	wall := time.Now()
	remaining := until.Sub(b.clock.Now())
	return deadline{remaining: remaining, wall: wall.Add(remaining)}
}

// readResponse reads the whole response. A truncated response, or one whose
// truncation could not be detected, becomes a refusal of kind AnswerCut.
func (b *backend) readResponse(ctx context.Context, httpResp *http.Response, trace *backendconn.Trace, token uint64) *wire.Response {
	defer httpResp.Body.Close()
	if err := refusalOf(httpResp); err != nil {
		if mergedErr := trace.CheckPromise(httpResp); mergedErr != nil {
			err = mergedErr
		}
		return answer.Refusal(err)
	}
	if !isFramed(httpResp) {
		return answer.Refusal(outcome.New(outcome.AnswerCut, "response has neither a content length nor chunked encoding"))
	}
	resp, err := b.responses.ReadOwn(ctx, httpResp, trace, func(r *http.Response) backendconn.Marks {
		return backendconn.Marks{RequestID: r.Header.Get(headerRequest)}
	})
	if err != nil {
		return answer.Refusal(err)
	}
	resp.Generation = token
	return resp
}

// refusalOf returns the error for a refusal by the backend server, or nil. After
// a refusal the connection can be reused.
func refusalOf(httpResp *http.Response) error {
	var err error
	switch httpResp.Header.Get(headerRefused) {
	case "fenced":
		err = outcome.New(outcome.Fenced, "backend server holds a newer grant")
	case "expired":
		err = outcome.New(outcome.DeadlineNotRun, "backend server read the request after its deadline")
	case "shed":
		err = outcome.New(outcome.BackendShed, "backend server shed the request")
	default:
		return nil
	}
	backendconn.DrainBody(httpResp)
	return err
}

// isFramed reports whether truncation of the response can be detected: by a
// content length or chunked encoding, or because a response to HEAD has no body.
func isFramed(httpResp *http.Response) bool {
	chunked := len(httpResp.TransferEncoding) > 0
	return httpResp.ContentLength >= 0 || chunked || httpResp.Request.Method == http.MethodHead
}
