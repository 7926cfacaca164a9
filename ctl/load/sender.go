package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of requests to entry daemons and of their responses.
const (
	headerRequest = "X-Request-Id"
	headerOutcome = "X-Sesamemoor-Outcome"
	headerRan     = "X-Sesamemoor-Ran"
	headerTimeout = "X-Sesamemoor-Timeout-Ms"
)

// Claim says whether a request ran, according to its response or, if there is none,
// to the sender.
type Claim string

// The claims. ClaimUnclear stands for a response without a valid claim.
const (
	ClaimRan     Claim = "ran"
	ClaimNotRun  Claim = "not-run"
	ClaimMaybe   Claim = "may-have-run"
	ClaimUnclear Claim = "unclear"
)

// Outcomes that the sender determines itself, in addition to the kinds of package
// outcome.
const (
	outcomeOK             = "ok"
	outcomeUnsent         = "client_unsent"      // MaxOutstanding requests were in flight
	outcomeUnreachable    = "client_unreachable" // no entry daemon accepted a connection
	outcomeConnectionLost = "client_lost"        // the connection closed or timed out before the response was complete
	outcomeNoHeader       = "client_no_outcome"  // the response has no outcome header, so it is not from the router
	outcomeFailed         = "answered_5xx"       // response of the backend server with a status of 500 or more
)

// Result is the result of one request. Outcome is that of the last attempt; Claim
// covers all attempts.
type Result struct {
	ID          string
	Team        int
	Path        string
	Idempotent  bool
	At          time.Duration // intended send time, since the start of the run
	Latency     time.Duration // from the intended send time
	Outcome     string
	Claim       Claim
	WrongAnswer bool // a response belongs to another request
	Resends     int  // retries with the same id
}

// transportSlack is the time that a response may take beyond the plan's timeout.
// It is also the timeout of a dial.
const transportSlack = time.Second

// retryDelay is the delay before each retry.
const retryDelay = 50 * time.Millisecond

// maxResponseBytes bounds the part of a response body that is read.
const maxResponseBytes = 16 << 20

// Sender sends the requests of a plan.
type Sender struct {
	plan        Plan
	client      *http.Client
	outstanding chan struct{}
	sent        atomic.Int64
	answered    atomic.Int64
	succeeded   atomic.Int64

	mu      sync.Mutex
	results []Result
}

// NewSender returns a Sender for p, which must be valid.
func NewSender(p Plan) *Sender {
	transport := &http.Transport{
		MaxIdleConnsPerHost: p.MaxOutstanding,
		DialContext:         (&net.Dialer{Timeout: transportSlack}).DialContext,
		DisableCompression:  true,
	}
	return &Sender{
		plan:        p,
		client:      &http.Client{Transport: transport},
		outstanding: make(chan struct{}, p.MaxOutstanding),
	}
}

// Counts are the request counts of a progress line.
type Counts struct{ Sent, Answered, OK int64 }

// Counts returns the current counts. It may be called during Run.
func (s *Sender) Counts() Counts {
	return Counts{s.sent.Load(), s.answered.Load(), s.succeeded.Load()}
}

// Run sends all requests of the plan and returns their results after the last
// response or timeout. It stops sending when ctx ends; requests in flight are
// completed, and requests that were not yet due have no result.
func (s *Sender) Run(ctx context.Context) []Result {
	start := time.Now()
	var wg sync.WaitGroup
	for team := range s.plan.Teams {
		wg.Go(func() { s.runTeam(ctx, &wg, start, newSchedule(s.plan, team)) })
	}
	wg.Wait()
	s.client.CloseIdleConnections()
	return s.results
}

// runTeam sends the requests of one team at their scheduled times. It does not wait
// for responses.
func (s *Sender) runTeam(ctx context.Context, wg *sync.WaitGroup, start time.Time, sched *schedule) {
	for {
		req, ok := sched.next()
		if !ok {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(req.at))):
		}
		s.sent.Add(1)
		select {
		case s.outstanding <- struct{}{}:
			wg.Go(func() {
				s.record(s.send(req, start))
				<-s.outstanding
			})
		default:
			s.record(Result{Outcome: outcomeUnsent, Claim: ClaimNotRun}.withRequest(req, 0))
		}
	}
}

func (s *Sender) record(r Result) {
	s.answered.Add(1)
	if r.Outcome == outcomeOK {
		s.succeeded.Add(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, r)
}

// withRequest returns r with the fields of req and the latency set.
func (r Result) withRequest(req request, latency time.Duration) Result {
	r.ID = req.id
	r.Team = req.team
	r.Path = req.path
	r.Idempotent = req.idempotent
	r.At = req.at
	r.Latency = latency
	return r
}

// send sends the request and, while it may have run, retries it with the same
// id, at most Plan.Resends times.
func (s *Sender) send(req request, start time.Time) Result {
	r := s.sendOnce(req, req.target)
	for resends := 1; r.Claim == ClaimMaybe && resends <= s.plan.Resends; resends++ {
		time.Sleep(retryDelay)
		retry := s.sendOnce(req, req.target+resends)
		retry.WrongAnswer = retry.WrongAnswer || r.WrongAnswer
		retry.Resends = resends
		if retry.Claim == ClaimNotRun {
			retry.Claim = ClaimMaybe // an earlier attempt may have run
		}
		r = retry
	}
	return r.withRequest(req, time.Since(start.Add(req.at)))
}

// sendOnce tries the targets in turn, starting at index first, until one accepts
// a connection.
func (s *Sender) sendOnce(req request, first int) Result {
	for i := range s.plan.Targets {
		target := s.plan.Targets[(first+i)%len(s.plan.Targets)]
		if r, dialed := s.try(target, req); dialed {
			return r
		}
	}
	return Result{Outcome: outcomeUnreachable, Claim: ClaimNotRun}
}

// try sends the request to one target. It returns false if no connection was
// established, in which case the request was certainly not sent.
func (s *Sender) try(target string, req request) (Result, bool) {
	timeout := time.Duration(s.plan.TimeoutMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), timeout+transportSlack)
	defer cancel()
	body := ""
	if !req.idempotent {
		body = "order " + req.id
	}
	httpReq, err := http.NewRequestWithContext(ctx, req.method, target+req.path, strings.NewReader(body))
	if err != nil {
		return Result{Outcome: outcomeUnreachable, Claim: ClaimNotRun}, false
	}
	disableTransportRetries(httpReq)
	httpReq.Header.Set(headerRequest, req.id)
	httpReq.Header.Set(headerTimeout, strconv.FormatInt(s.plan.TimeoutMS, 10))
	httpReq.Header.Set("Authorization", "Bearer "+s.plan.Teams[req.team].Key)
	resp, err := s.client.Do(httpReq)
	if err != nil {
		return Result{Outcome: outcomeConnectionLost, Claim: ClaimMaybe}, !isDialError(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return Result{Outcome: outcomeConnectionLost, Claim: ClaimMaybe}, true
	}
	return evaluate(req, resp, string(data), len(body)), true
}

// disableTransportRetries prevents http.Transport from retrying a request on its
// own. The transport retries requests whose body it can read again, and GET
// requests without a body.
func disableTransportRetries(r *http.Request) {
	r.GetBody = nil
	if r.Body == http.NoBody {
		r.Body = io.NopCloser(strings.NewReader(""))
	}
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// evaluate reads outcome and claim from a response and checks that the response
// belongs to req.
func evaluate(req request, resp *http.Response, body string, bodyBytes int) Result {
	header := resp.Header
	r := Result{Outcome: header.Get(headerOutcome), Claim: Claim(header.Get(headerRan))}
	switch r.Claim {
	case ClaimRan, ClaimNotRun, ClaimMaybe:
	default:
		r.Claim = ClaimUnclear
	}
	if r.Outcome == "" {
		r.Outcome = outcomeNoHeader
	}
	r.WrongAnswer = header.Get(headerRequest) != req.id
	if r.Outcome == outcomeOK && !matchesEcho(req, body, bodyBytes) {
		r.WrongAnswer = true
	}
	if r.Outcome == outcomeOK && resp.StatusCode >= http.StatusInternalServerError {
		r.Outcome = outcomeFailed
	}
	return r
}

// matchesEcho reports whether body is the response of an emulated backend server
// to req: the server's name followed by method, path, body length and request id.
func matchesEcho(req request, body string, bodyBytes int) bool {
	_, echo, ok := strings.Cut(body, " ")
	return ok && echo == fmt.Sprintf("%s %s %d %s", req.method, req.path, bodyBytes, req.id)
}
