// Package platform is a stand-in for the platform's append-only log, for tests
// and experiments. It keeps everything in memory.
package platform

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"golang.org/x/time/rate"

	"github.com/sesamemoor/sesamemoor/core/logstream"
)

// Server is the stand-in.
type Server struct {
	retention Retention

	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	changed chan struct{} // closed and replaced when the faults change
	appends *rate.Limiter // nil without limit
}

// New returns an empty log that keeps everything.
func New() *Server { return NewRetaining(Retention{}) }

// NewRetaining returns an empty log that trims its streams.
func NewRetaining(r Retention) *Server {
	return &Server{retention: r, streams: map[string]*stream{}, changed: make(chan struct{})}
}

// Handler returns the HTTP interface: the protocol of package logstream, and
// GET and PUT /admin/faults and POST /admin/trim.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.POST("/v1/streams/:stream/records", s.faulty(s.append))
	engine.GET("/v1/streams/:stream/records", s.faulty(s.read))
	engine.GET("/admin/faults", s.getFaults)
	engine.PUT("/admin/faults", s.putFaults)
	engine.POST("/admin/trim", s.postTrim)
	return engine
}

// stream returns the named stream as retention leaves it; mu is held.
func (s *Server) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = newStream()
		s.streams[name] = st
	}
	st.retain(s.retention, time.Now())
	return st
}

func (s *Server) append(c *gin.Context) {
	data, err := io.ReadAll(io.LimitReader(c.Request.Body, logstream.MaxRecordBytes+1))
	if err != nil || len(data) > logstream.MaxRecordBytes {
		c.JSON(http.StatusBadRequest, gin.H{"error": "record unreadable or too large"})
		return
	}
	s.mu.Lock()
	if s.appends != nil && !s.appends.Allow() {
		s.mu.Unlock()
		c.Status(http.StatusTooManyRequests)
		return
	}
	offset := s.stream(c.Param("stream")).append(data, time.Now())
	lose := s.faults.LoseAnswer > 0
	if lose {
		s.faults.LoseAnswer--
	}
	s.mu.Unlock()
	if lose {
		reset(c.Writer) // 503 would say that the record was not taken
		return
	}
	c.JSON(http.StatusOK, gin.H{"offset": offset})
}

// readQuery is the query of a read.
type readQuery struct {
	from  uint64
	limit int
	wait  time.Duration
}

func parseRead(c *gin.Context) (readQuery, string) {
	from, err := strconv.ParseUint(c.Query("from"), 10, 64)
	if err != nil {
		return readQuery{}, "from: not an offset"
	}
	limit, err := strconv.Atoi(c.DefaultQuery("max", "100"))
	if err != nil || limit < 1 {
		return readQuery{}, "max: not a positive number"
	}
	waitMS, err := strconv.Atoi(c.DefaultQuery("wait_ms", "0"))
	if err != nil || waitMS < 0 {
		return readQuery{}, "wait_ms: not a number"
	}
	return readQuery{from, limit, time.Duration(waitMS) * time.Millisecond}, ""
}

func (s *Server) read(c *gin.Context) {
	query, problem := parseRead(c)
	if problem != "" {
		c.JSON(http.StatusBadRequest, gin.H{"error": problem})
		return
	}
	deadline := time.Now().Add(query.wait)
	for {
		s.mu.Lock()
		st := s.stream(c.Param("stream"))
		batch, trimmed := st.read(query.from, query.limit)
		grown := st.grown
		s.mu.Unlock()
		if trimmed {
			c.JSON(http.StatusGone, batch)
			return
		}
		left := time.Until(deadline)
		if len(batch.Records) > 0 || left <= 0 {
			s.answerRead(c, batch)
			return
		}
		select {
		case <-grown:
		case <-time.After(left):
		case <-c.Request.Context().Done():
			return
		}
	}
}

// answerRead answers a read that waited, unless an outage began meanwhile.
func (s *Server) answerRead(c *gin.Context, batch logstream.Batch) {
	s.unlessOut(c, func(c *gin.Context) { c.JSON(http.StatusOK, batch) })
}

func (s *Server) postTrim(c *gin.Context) {
	var body struct {
		Stream string `json:"stream"`
		Before uint64 `json:"before"`
	}
	if err := c.ShouldBindJSON(&body); err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"error": err.Error()})
		return
	}
	s.Trim(body.Stream, body.Before)
	c.Status(http.StatusNoContent)
}

// Trim drops the records of a stream before an offset.
func (s *Server) Trim(name string, before uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stream(name).trim(before)
}
