// Package backend is a stand-in for a backend server, for tests and
// experiments. It records what ran, so that double runs can be counted.
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

// Server is the stand-in.
type Server struct {
	opts  Options
	conns *connections

	mu       sync.Mutex
	capacity *capacity
	runs     []Run
	dropped  int
	shed     int
	fenced   int
	crashes  int
	keysSeen int
	grants   map[string]uint64 // shard to newest generation
	faults   Faults
	changed  chan struct{} // closed and replaced when the faults change
	crashed  chan struct{} // closed and replaced by a crash
	reports  []report      // loads measured, oldest first

	drained   chan struct{}
	drainOnce sync.Once
}

// New returns a backend server; Announce makes it known.
func New(opts Options) *Server {
	return &Server{
		opts:     opts,
		conns:    newConnections(opts),
		capacity: newCapacity(opts, time.Now()),
		grants:   map[string]uint64{},
		changed:  make(chan struct{}),
		crashed:  make(chan struct{}),
		drained:  make(chan struct{}),
	}
}

// Handler returns the HTTP interface: any path is a request; /sesamemoor/grant
// takes grants, /load reports load, and /emulate/ is for experimenters.
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

// serve takes a request through admission, its run and its answer.
func (s *Server) serve(c *gin.Context) {
	body, err := io.ReadAll(c.Request.Body)
	if err != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	ctx, cancel := deadline(c.Request)
	defer cancel()
	s.thaw(ctx)
	if expired(c.Request) || ctx.Err() != nil {
		refuse(c, "expired")
		return
	}
	if !s.fence(c.GetHeader(headerShard), c.GetHeader(headerGeneration)) {
		refuse(c, "fenced")
		return
	}
	index, took, ok := s.begin(c.Request, body)
	if !ok {
		refuse(c, "shed")
		return
	}
	if c.GetHeader(headerCrash) != "" || bytes.HasPrefix(body, []byte(crashMark)) {
		s.end(index, "crash", time.Time{})
		s.crash()
		panic(http.ErrAbortHandler)
	}
	cut := s.work(ctx, took)
	if cut == "" && expired(c.Request) {
		cut = "deadline" // frozen past it, or too slow: nothing is committed
	}
	s.end(index, cut, expiry(c.Request))
	switch cut {
	case "crash", "cancelled":
		panic(http.ErrAbortHandler)
	case "deadline":
		c.String(http.StatusGatewayTimeout, "%s", s.echo(c.Request, len(body)))
	default:
		c.String(http.StatusOK, "%s", s.echo(c.Request, len(body)))
	}
}

// echo is the body of an answer. It names the request, so that crossed answers
// are found.
func (s *Server) echo(r *http.Request, bodyBytes int) string {
	return fmt.Sprintf("%s %s %s %d %s", s.opts.Name, r.Method, r.RequestURI, bodyBytes, r.Header.Get(headerRequest))
}

func refuse(c *gin.Context, reason string) {
	c.Header(headerRefused, reason)
	c.Status(http.StatusServiceUnavailable)
}

// deadline returns the request's context with the deadline that came with it.
func deadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	if err != nil || ms < 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// expired reports whether the request's deadline has passed. It may have passed
// before a server that was frozen read the request.
func expired(r *http.Request) bool {
	at := expiry(r)
	return !at.IsZero() && !time.Now().Before(at)
}

// expiry returns the request's deadline by the host's clock, zero if it has none.
func expiry(r *http.Request) time.Time {
	us, err := strconv.ParseInt(r.Header.Get(headerExpires), 10, 64)
	if err != nil {
		return time.Time{}
	}
	return time.UnixMicro(us)
}

// begin takes a slot and records the run.
func (s *Server) begin(r *http.Request, body []byte) (index int, took time.Duration, ok bool) {
	run := Run{
		RequestID:  r.Header.Get(headerRequest),
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
	run.At = now.UnixMicro()
	took = s.capacity.serviceTime(now, s.faults.SlowFactor)
	if len(s.runs) >= maxRuns {
		s.dropped++
		return -1, took, true
	}
	s.runs = append(s.runs, run)
	return len(s.runs) - 1, took, true
}

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

// work lets the service time pass and returns what cut it short, if anything.
func (s *Server) work(ctx context.Context, took time.Duration) string {
	s.mu.Lock()
	crashed := s.crashed
	s.mu.Unlock()
	if cut := wait(ctx, crashed, took); cut != "" {
		return cut
	}
	s.mu.Lock()
	stall := s.capacity.stall(time.Now())
	s.mu.Unlock()
	if cut := wait(ctx, crashed, stall); cut != "" {
		return cut
	}
	s.thaw(ctx)
	return wait(ctx, crashed, 0)
}

func wait(ctx context.Context, crashed <-chan struct{}, d time.Duration) string {
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

// end records the end of a run. A run that was cut did nothing after its
// expiry, whenever the server notices.
func (s *Server) end(index int, cut string, expiry time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacity.release()
	if index < 0 {
		return
	}
	s.runs[index].Cut = cut
	if cut == "crash" {
		return
	}
	end := time.Now()
	if cut != "" && !expiry.IsZero() && expiry.Before(end) {
		end = expiry
	}
	s.runs[index].End = end.UnixMicro()
}

// thaw waits while the server is frozen.
func (s *Server) thaw(ctx context.Context) {
	for {
		s.mu.Lock()
		frozen, changed := s.faults.Frozen, s.changed
		s.mu.Unlock()
		if !frozen {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// crash ends the process, or drops all connections and requests and starts
// cold. The record of runs outlives it.
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
	s.conns.dropAll()
}
