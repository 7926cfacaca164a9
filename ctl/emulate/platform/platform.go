// Package platform is a stand-in for the platform's append-only log, for tests
// and experiments. It keeps everything in memory.
package platform

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/sesamemoor/sesamemoor/core/logstream"
)

// Faults are the ways in which the stand-in can misbehave.
type Faults struct {
	Down       bool  `json:"down"`        // requests get no useful answer
	DelayMS    int64 `json:"delay_ms"`    // added to each request
	LoseAnswer int   `json:"lose_answer"` // answers to the next N appends are lost after taking effect
}

// Server is the stand-in.
type Server struct {
	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
}

// stream is one append-only stream; records[i] has offset first+i.
type stream struct {
	first   uint64
	records [][]byte
	grown   chan struct{} // closed and replaced by each append
}

// New returns an empty log.
func New() *Server { return &Server{streams: map[string]*stream{}} }

// Handler returns the HTTP interface: the protocol of package logstream and
// /admin/faults and /admin/trim.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.POST("/v1/streams/:stream/records", s.faulty(s.append))
	engine.GET("/v1/streams/:stream/records", s.faulty(s.read))
	engine.PUT("/admin/faults", s.setFaults)
	engine.POST("/admin/trim", s.trim)
	return engine
}

func (s *Server) faulty(next gin.HandlerFunc) gin.HandlerFunc {
	return func(c *gin.Context) {
		s.mu.Lock()
		f := s.faults
		s.mu.Unlock()
		if f.DelayMS > 0 {
			sleep(c.Request.Context(), time.Duration(f.DelayMS)*time.Millisecond)
		}
		if f.Down {
			c.Status(http.StatusServiceUnavailable)
			return
		}
		next(c)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (s *Server) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{first: 1, grown: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (s *Server) append(c *gin.Context) {
	data, err := io.ReadAll(io.LimitReader(c.Request.Body, logstream.MaxRecordBytes+1))
	if err != nil || len(data) > logstream.MaxRecordBytes {
		c.JSON(http.StatusBadRequest, gin.H{"error": "record unreadable or too large"})
		return
	}
	s.mu.Lock()
	st := s.stream(c.Param("stream"))
	st.records = append(st.records, data)
	offset := st.first + uint64(len(st.records)) - 1
	close(st.grown)
	st.grown = make(chan struct{})
	lose := s.faults.LoseAnswer > 0
	if lose {
		s.faults.LoseAnswer--
	}
	s.mu.Unlock()
	if lose {
		c.Status(http.StatusServiceUnavailable)
		return
	}
	c.JSON(http.StatusOK, gin.H{"offset": offset})
}

func (s *Server) read(c *gin.Context) {
	from, err := strconv.ParseUint(c.Query("from"), 10, 64)
	if err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"error": "from: not an offset"})
		return
	}
	limit, err := strconv.Atoi(c.DefaultQuery("max", "100"))
	if err != nil || limit < 1 {
		c.JSON(http.StatusBadRequest, gin.H{"error": "max: not a positive number"})
		return
	}
	waitMS, err := strconv.Atoi(c.DefaultQuery("wait_ms", "0"))
	if err != nil || waitMS < 0 {
		c.JSON(http.StatusBadRequest, gin.H{"error": "wait_ms: not a number"})
		return
	}
	deadline := time.Now().Add(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		st := s.stream(c.Param("stream"))
		batch, trimmed := st.read(from, limit)
		grown := st.grown
		s.mu.Unlock()
		if trimmed {
			c.JSON(http.StatusGone, batch)
			return
		}
		left := time.Until(deadline)
		if len(batch.Records) > 0 || left <= 0 {
			c.JSON(http.StatusOK, batch)
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

func (st *stream) read(from uint64, limit int) (logstream.Batch, bool) {
	batch := logstream.Batch{First: st.first, Next: st.first + uint64(len(st.records)), Records: []logstream.Entry{}}
	if from < st.first {
		return batch, true
	}
	for offset := from; offset < batch.Next && len(batch.Records) < limit; offset++ {
		batch.Records = append(batch.Records, logstream.Entry{Offset: offset, Data: st.records[offset-st.first]})
	}
	return batch, false
}

func (s *Server) setFaults(c *gin.Context) {
	var f Faults
	if err := c.ShouldBindJSON(&f); err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"error": err.Error()})
		return
	}
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	c.Status(http.StatusNoContent)
}

func (s *Server) trim(c *gin.Context) {
	var body struct {
		Stream string `json:"stream"`
		Before uint64 `json:"before"`
	}
	if err := c.ShouldBindJSON(&body); err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"error": err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(body.Stream)
	next := st.first + uint64(len(st.records))
	before := min(max(body.Before, st.first), next)
	st.records = append([][]byte(nil), st.records[before-st.first:]...)
	st.first = before
	c.Status(http.StatusNoContent)
}
