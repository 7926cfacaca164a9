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

// Headers of the protocol with entry daemons.
const (
	headerRequest = "X-Request-Id"
	headerOutcome = "X-Sesamemoor-Outcome"
	headerRan     = "X-Sesamemoor-Ran"
	headerTimeout = "X-Sesamemoor-Timeout-Ms"
)

// Claim says what the answer claims about a request.
type Claim string

// The claims. Unclear is an answer that makes no claim.
const (
	ClaimRan    Claim = "ran"
	ClaimNotRun Claim = "not-run"
	ClaimMaybe  Claim = "may-have-run"
	Unclear     Claim = "unclear"
)

// Outcomes that the sender itself sees, beside the kinds of package outcome.
const (
	outcomeOK          = "ok"
	outcomeUnsent      = "client_unsent"      // too many outstanding
	outcomeUnreachable = "client_unreachable" // no entry daemon took the connection
	outcomeLost        = "client_lost"        // the connection ended without an answer
	outcomeNoHeader    = "client_no_outcome"  // an answer that is not the router's
	outcomeFailed      = "answered_5xx"       // the backend server's own answer, with a status of 500 or more
)

// Result is what became of one request.
type Result struct {
	ID         string
	Team       int
	Path       string
	Idempotent bool
	At         time.Duration // intended send time, since the start
	Latency    time.Duration // from the intended send time
	Outcome    string
	Claim      Claim
	Wrong      bool // an answer is another request's
	Resends    int  // times that it was sent again under its id
}

// transportSlack is the time that an answer may take beyond the deadline.
const transportSlack = time.Second

// resendPause is the time before a request is sent again.
const resendPause = 50 * time.Millisecond

// maxAnswerBytes bounds an answer that is read.
const maxAnswerBytes = 16 << 20

// Sender sends the requests of a plan.
type Sender struct {
	plan        Plan
	client      *http.Client
	outstanding chan struct{}
	sent        atomic.Int64
	answered    atomic.Int64
	good        atomic.Int64

	mu      sync.Mutex
	results []Result
}

// NewSender returns a sender of the plan, which must be valid.
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

// Counts are the numbers of a progress line.
type Counts struct{ Sent, Answered, OK int64 }

// Counts returns the numbers so far.
func (s *Sender) Counts() Counts {
	return Counts{s.sent.Load(), s.answered.Load(), s.good.Load()}
}

// Run sends the whole plan and returns the results after the last answer. It
// stops sending when ctx ends.
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
			s.record(Result{Outcome: outcomeUnsent, Claim: ClaimNotRun}.of(req, 0))
		}
	}
}

func (s *Sender) record(r Result) {
	s.answered.Add(1)
	if r.Outcome == outcomeOK {
		s.good.Add(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, r)
}

func (r Result) of(req request, latency time.Duration) Result {
	r.ID = req.id
	r.Team = req.team
	r.Path = req.path
	r.Idempotent = req.idempotent
	r.At = req.at
	r.Latency = latency
	return r
}

// send sends the request, and again under its id while it may have run, within
// the plan's number of resends.
func (s *Sender) send(req request, start time.Time) Result {
	r := s.sendOnce(req, req.target)
	for sends := 1; r.Claim == ClaimMaybe && sends <= s.plan.Resends; sends++ {
		time.Sleep(resendPause)
		again := s.sendOnce(req, req.target+sends)
		again.Wrong = again.Wrong || r.Wrong
		again.Resends = sends
		if again.Claim == ClaimNotRun {
			again.Claim = ClaimMaybe // the sending before it may have run
		}
		r = again
	}
	return r.of(req, time.Since(start.Add(req.at)))
}

// sendOnce tries the targets in turn, from first on, until one takes the
// connection.
func (s *Sender) sendOnce(req request, first int) Result {
	for i := range s.plan.Targets {
		target := s.plan.Targets[(first+i)%len(s.plan.Targets)]
		if r, dialed := s.try(target, req); dialed {
			return r
		}
	}
	return Result{Outcome: outcomeUnreachable, Claim: ClaimNotRun}
}

// try sends the request to one target. It reports false if no connection was
// made, so that the request was certainly not sent.
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
	neverReplay(httpReq)
	httpReq.Header.Set(headerRequest, req.id)
	httpReq.Header.Set(headerTimeout, strconv.FormatInt(s.plan.TimeoutMS, 10))
	httpReq.Header.Set("Authorization", "Bearer "+s.plan.Teams[req.team].Key)
	resp, err := s.client.Do(httpReq)
	if err != nil {
		return Result{Outcome: outcomeLost, Claim: ClaimMaybe}, !isDial(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return Result{Outcome: outcomeLost, Claim: ClaimMaybe}, true
	}
	return judge(req, resp, string(data), len(body)), true
}

// neverReplay keeps the transport from sending a request again by itself: it
// does so for bodies that it can read again, and for GET without a body.
func neverReplay(r *http.Request) {
	r.GetBody = nil
	if r.Body == http.NoBody {
		r.Body = io.NopCloser(strings.NewReader(""))
	}
}

func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// judge reads the claim of an answer and checks that it is the request's own.
func judge(req request, resp *http.Response, body string, bodyBytes int) Result {
	h := resp.Header
	r := Result{Outcome: h.Get(headerOutcome), Claim: Claim(h.Get(headerRan))}
	switch r.Claim {
	case ClaimRan, ClaimNotRun, ClaimMaybe:
	default:
		r.Claim = Unclear
	}
	if r.Outcome == "" {
		r.Outcome = outcomeNoHeader
	}
	r.Wrong = h.Get(headerRequest) != req.id
	if r.Outcome == outcomeOK && !echoes(req, body, bodyBytes) {
		r.Wrong = true
	}
	if r.Outcome == outcomeOK && resp.StatusCode >= http.StatusInternalServerError {
		r.Outcome = outcomeFailed
	}
	return r
}

// echoes reports whether an emulated backend server's body answers req: after
// the server's name it repeats method, path, body length and request id.
func echoes(req request, body string, bodyBytes int) bool {
	_, echo, ok := strings.Cut(body, " ")
	return ok && echo == fmt.Sprintf("%s %s %d %s", req.method, req.path, bodyBytes, req.id)
}
