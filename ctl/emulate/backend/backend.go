// Package backend emulates a backend server for tests and experiments. It records
// each run, so that requests that ran twice can be counted.
package backend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/sesamemoor/sesamemoor/core/keyhash"
)

// Server is an emulated backend server.
type Server struct {
	opts  Options
	conns *connections

	mu            sync.Mutex
	capacity      *capacity
	runs          []Run
	runsDropped   int
	shed          int
	fenced        int
	crashes       int
	keysSeen      int
	grants        map[string]uint64 // newest generation by shard
	faults        Faults
	faultsChanged chan struct{} // closed and replaced by SetFaults
	crashed       chan struct{} // closed and replaced by a crash
	loadSamples   []loadSample  // oldest first
	answers       int           // answers on kept connections
	runAnswers    int           // answers to runs

	drained   chan struct{}
	drainOnce sync.Once
}

// New returns a backend server. Run serves requests and announces the server to its
// daemon.
func New(opts Options) *Server {
	s := &Server{
		opts:          opts,
		conns:         newConnections(opts),
		capacity:      newCapacity(opts, time.Now()),
		grants:        map[string]uint64{},
		faultsChanged: make(chan struct{}),
		crashed:       make(chan struct{}),
		drained:       make(chan struct{}),
	}
	s.conns.stutter = s.stutter
	return s
}

// Handler returns the HTTP API. /sesamemoor/grant accepts grants, /load returns the
// reported load, and the paths below /emulate/ control the emulation. Requests with
// other paths run.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.POST("/sesamemoor/grant", s.grant)
	engine.GET("/load", s.getLoad)
	engine.GET("/emulate/runs", s.getRuns)
	engine.GET("/emulate/state", s.getState)
	engine.PUT("/emulate/faults", s.putFaults)
	engine.POST("/emulate/cold", s.postCold)
	engine.POST("/emulate/crash", func(c *gin.Context) { s.crash() })
	engine.NoRoute(s.serve)
	return engine
}

// serve admits a request, runs it and writes the response.
func (s *Server) serve(c *gin.Context) {
	body, err := io.ReadAll(c.Request.Body)
	if err != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	s.reportSelf(c)
	ctx, cancel := deadline(c.Request)
	defer cancel()
	s.waitWhileFrozen(ctx)
	if expired(c.Request) || ctx.Err() != nil {
		refuse(c, "expired")
		return
	}
	if !s.checkFence(c.GetHeader(headerShard), c.GetHeader(headerGeneration)) {
		refuse(c, "fenced")
		return
	}
	index, duration, ok := s.begin(c.Request, body)
	if !ok {
		refuse(c, "shed")
		return
	}
	if c.GetHeader(headerCrash) != "" || bytes.HasPrefix(body, []byte(crashBodyPrefix)) {
		s.end(index, "crash", time.Time{})
		s.crash()
		panic(http.ErrAbortHandler)
	}
	abortReason := s.execute(ctx, duration)
	if abortReason == "" && expired(c.Request) {
		abortReason = "deadline" // the server was frozen or too slow until after the deadline: the run has no effect
	}
	s.end(index, abortReason, expiry(c.Request))
	switch abortReason {
	case "crash", "cancelled":
		panic(http.ErrAbortHandler)
	case "deadline":
		c.String(http.StatusGatewayTimeout, "%s", s.echo(c.Request, len(body)))
	default:
		s.spoil(c)
		c.String(http.StatusOK, "%s", s.echo(c.Request, len(body)))
	}
}

// reportSelf sets the headers of a response that name its request and tell of the server
// itself.
func (s *Server) reportSelf(c *gin.Context) {
	c.Header(headerRequestID, c.GetHeader(headerRequestID))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LimitPerS > 0 {
		c.Header(headerLimit, strconv.FormatFloat(s.faults.LimitPerS, 'f', -1, 64))
	}
	if s.faults.Leaving {
		c.Header(headerLeaving, "1")
	}
}

// stutter counts an answer. It reports whether it is to be written again, and after which time.
func (s *Server) stutter() (delay time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers++
	ok = s.faults.StutterEvery > 0 && s.answers%s.faults.StutterEvery == 0
	return time.Duration(s.faults.StutterMS) * time.Millisecond, ok
}

// spoil gives the answer that is written next the faults that are due.
func (s *Server) spoil(c *gin.Context) {
	s.mu.Lock()
	s.runAnswers++
	n, f := s.runAnswers, s.faults
	s.mu.Unlock()
	due := func(every int) bool { return every > 0 && n%every == 0 }
	if due(f.UnframedEvery) {
		c.Header("Transfer-Encoding", "identity")
	}
	conn, ok := c.Request.Context().Value(connKey{}).(*slowConn)
	switch {
	case !ok:
	case due(f.CutEvery) && n/f.CutEvery%2 == 0:
		conn.spoilNext(cutAndReset)
	case due(f.CutEvery):
		conn.spoilNext(cutBeforeCopy)
	case due(f.UnframedEvery) && due(f.StutterEvery):
		conn.spoilNext(writtenTwice)
	}
}

// echo returns the body of a response. It identifies the request, so that a test
// detects a response that belongs to another request.
func (s *Server) echo(r *http.Request, bodyBytes int) string {
	return fmt.Sprintf("%s %s %s %d %s", s.opts.Name, r.Method, r.RequestURI, bodyBytes, r.Header.Get(headerRequestID))
}

func refuse(c *gin.Context, reason string) {
	c.Header(headerRefused, reason)
	c.Status(http.StatusServiceUnavailable)
}

// deadline returns the request's context with the timeout of headerDeadline, if it
// has one.
func deadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	if err != nil || ms < 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// expired reports whether the request's deadline has passed by the host's clock. A
// server that was frozen may read the request only after that.
func expired(r *http.Request) bool {
	at := expiry(r)
	return !at.IsZero() && !time.Now().Before(at)
}

// expiry returns the request's deadline by the host's clock, or the zero time if it
// has none.
func expiry(r *http.Request) time.Time {
	us, err := strconv.ParseInt(r.Header.Get(headerExpires), 10, 64)
	if err != nil {
		return time.Time{}
	}
	return time.UnixMicro(us)
}

// begin takes a slot and records the run. It returns the index of the record (-1
// if maxRuns records exist already) and the service time, or false if the request
// is shed.
func (s *Server) begin(r *http.Request, body []byte) (index int, duration time.Duration, ok bool) {
	run := Run{
		RequestID:  r.Header.Get(headerRequestID),
		Team:       r.Header.Get(headerTeam),
		URI:        r.RequestURI,
		Shard:      r.Header.Get(headerShard),
		Generation: r.Header.Get(headerGeneration),
		Method:     r.Method,
		KeySeen:    hasCallerKey(r.Header, body),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if run.KeySeen {
		s.keysSeen++
	}
	now := time.Now()
	if !s.capacity.admit(now) {
		s.shed++
		return 0, 0, false
	}
	run.Start = now.UnixMicro()
	duration = s.capacity.serviceTime(now, s.faults.SlowFactor)
	if len(s.runs) >= maxRuns {
		s.runsDropped++
		return -1, duration, true
	}
	s.runs = append(s.runs, run)
	return len(s.runs) - 1, duration, true
}

// hasCallerKey reports whether a request contains a caller key.
func hasCallerKey(h http.Header, body []byte) bool {
	if h.Get("Authorization") != "" || h.Get("X-Api-Key") != "" || bytes.Contains(body, []byte(keyhash.Prefix)) {
		return true
	}
	for _, values := range h {
		for _, v := range values {
			if strings.Contains(v, keyhash.Prefix) {
				return true
			}
		}
	}
	return false
}

// execute waits for the service time, the end of a stall and the end of a freeze. It
// returns the abort reason of the run, or "" if it completed.
func (s *Server) execute(ctx context.Context, duration time.Duration) string {
	s.mu.Lock()
	crashed := s.crashed
	s.mu.Unlock()
	if abortReason := waitOrAbort(ctx, crashed, duration); abortReason != "" {
		return abortReason
	}
	s.mu.Lock()
	remainingStall := s.capacity.remainingStall(time.Now())
	s.mu.Unlock()
	if abortReason := waitOrAbort(ctx, crashed, remainingStall); abortReason != "" {
		return abortReason
	}
	s.waitWhileFrozen(ctx)
	return waitOrAbort(ctx, crashed, 0)
}

// waitOrAbort waits for d and returns "", or the abort reason if the server crashes
// or ctx ends first.
func waitOrAbort(ctx context.Context, crashed <-chan struct{}, d time.Duration) string {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-crashed:
		return "crash"
	case <-ctx.Done():
		if ctx.Err() == context.DeadlineExceeded {
			return "deadline"
		}
		return "cancelled"
	case <-timer.C:
		return ""
	}
}

// end records the end of a run. An aborted run has no effect after its expiry,
// so that the recorded end is the expiry even if the server detects it later.
func (s *Server) end(index int, abortReason string, expiry time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacity.release()
	if index < 0 {
		return
	}
	s.runs[index].AbortReason = abortReason
	if abortReason == "crash" {
		return
	}
	end := time.Now()
	if abortReason != "" && !expiry.IsZero() && expiry.Before(end) {
		end = expiry
	}
	s.runs[index].End = end.UnixMicro()
}

// waitWhileFrozen waits until the server is not frozen or ctx ends.
func (s *Server) waitWhileFrozen(ctx context.Context) {
	for {
		s.mu.Lock()
		frozen, faultsChanged := s.faults.Frozen, s.faultsChanged
		s.mu.Unlock()
		if !frozen {
			return
		}
		select {
		case <-faultsChanged:
		case <-ctx.Done():
			return
		}
	}
}

// crash exits the process if ExitOnCrash is set. Otherwise it aborts all requests,
// resets all connections and restarts the server cold and without grants; the record
// of runs is kept.
func (s *Server) crash() {
	s.mu.Lock()
	s.crashes++
	close(s.crashed)
	s.crashed = make(chan struct{})
	s.grants = map[string]uint64{}
	s.capacity.boot(time.Now())
	s.mu.Unlock()
	if s.opts.ExitOnCrash {
		s.opts.Exit(1)
		return
	}
	s.conns.resetAll()
}
