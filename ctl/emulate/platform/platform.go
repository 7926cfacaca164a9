// Package platform emulates the platform's append-only log for tests and
// experiments. It keeps all records in memory and can inject faults.
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

// Server is an emulated log.
type Server struct {
	retention Retention

	mu            sync.Mutex
	streams       map[string]*stream
	faults        Faults
	faultsChanged chan struct{} // closed and replaced by SetFaults
	appendLimiter *rate.Limiter // nil if there is no limit
	era           uint64        // 0 until the first restore; rises with each
}

// New returns an empty log that keeps all records.
func New() *Server { return NewWithRetention(Retention{}) }

// NewWithRetention returns an empty log that trims its streams by r.
func NewWithRetention(r Retention) *Server {
	return &Server{retention: r, streams: map[string]*stream{}, faultsChanged: make(chan struct{})}
}

// Handler returns the HTTP API: the protocol of package logstream, GET and PUT
// /admin/faults, POST /admin/trim and POST /admin/restore. Faults do not apply to the admin paths.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.POST("/v1/streams/:stream/records", s.withFaults(s.append))
	engine.GET("/v1/streams/:stream/records", s.withFaults(s.read))
	engine.GET("/admin/faults", s.getFaults)
	engine.PUT("/admin/faults", s.putFaults)
	engine.POST("/admin/trim", s.postTrim)
	engine.POST("/admin/restore", s.postRestore)
	return engine
}

// stream returns the named stream after applying the retention. It creates the stream
// if it does not exist. The caller holds mu.
func (s *Server) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = newStream()
		s.streams[name] = st
	}
	st.applyRetention(s.retention, time.Now())
	return st
}

func (s *Server) append(c *gin.Context) {
	data, err := io.ReadAll(io.LimitReader(c.Request.Body, logstream.MaxRecordBytes+1))
	if err != nil || len(data) > logstream.MaxRecordBytes {
		c.JSON(http.StatusBadRequest, gin.H{"error": "record cannot be read or is too large"})
		return
	}
	s.mu.Lock()
	if s.appendLimiter != nil && !s.appendLimiter.Allow() {
		s.mu.Unlock()
		c.Status(http.StatusTooManyRequests)
		return
	}
	offset := s.stream(c.Param("stream")).append(data, time.Now())
	dropResponse := s.faults.LoseResponses > 0
	if dropResponse {
		s.faults.LoseResponses--
	}
	s.mu.Unlock()
	if dropResponse {
		resetConn(c.Writer) // status 503 would mean that the record was refused
		return
	}
	c.JSON(http.StatusOK, gin.H{"offset": offset})
}

// readQuery holds the query parameters of a read.
type readQuery struct {
	from  uint64
	limit int
	wait  time.Duration
}

// parseReadQuery returns the parameters of a read, or why they are invalid.
func parseReadQuery(c *gin.Context) (readQuery, string) {
	from, err := strconv.ParseUint(c.Query("from"), 10, 64)
	if err != nil {
		return readQuery{}, "from: not an unsigned integer"
	}
	limit, err := strconv.Atoi(c.DefaultQuery("max", "100"))
	if err != nil || limit < 1 {
		return readQuery{}, "max: not a positive integer"
	}
	waitMS, err := strconv.Atoi(c.DefaultQuery("wait_ms", "0"))
	if err != nil || waitMS < 0 {
		return readQuery{}, "wait_ms: not an integer of at least 0"
	}
	return readQuery{from, limit, time.Duration(waitMS) * time.Millisecond}, ""
}

func (s *Server) read(c *gin.Context) {
	query, invalid := parseReadQuery(c)
	if invalid != "" {
		c.JSON(http.StatusBadRequest, gin.H{"error": invalid})
		return
	}
	deadline := time.Now().Add(query.wait)
	for {
		s.mu.Lock()
		st := s.stream(c.Param("stream"))
		batch, trimmed := st.read(query.from, query.limit)
		appended, era := st.appended, s.era
		s.mu.Unlock()
		if trimmed {
			c.JSON(http.StatusGone, answer{era, batch})
			return
		}
		remaining := time.Until(deadline)
		if len(batch.Records) > 0 || remaining <= 0 {
			s.respondRead(c, answer{era, batch})
			return
		}
		select {
		case <-appended:
		case <-time.After(remaining):
		case <-c.Request.Context().Done():
			return
		}
	}
}

// respondRead writes the batch of a read, unless an outage has begun while the read
// waited.
func (s *Server) respondRead(c *gin.Context, a answer) {
	s.withOutage(c, func(c *gin.Context) { c.JSON(http.StatusOK, a) })
}

// answer is the body of the response to a read.
type answer struct {
	Era uint64 `json:"era,omitempty"`
	logstream.Batch
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

func (s *Server) postRestore(c *gin.Context) {
	var body struct {
		LoseMS int64 `json:"lose_ms"` // records of this time are lost
	}
	if err := c.ShouldBindJSON(&body); err != nil || body.LoseMS < 0 {
		c.JSON(http.StatusBadRequest, gin.H{"error": "lose_ms must be a time of at least 0"})
		return
	}
	s.Restore(time.Duration(body.LoseMS) * time.Millisecond)
	c.Status(http.StatusNoContent)
}

// Restore emulates a log that comes back from a copy of the given age: the records of all
// streams that were appended since are lost, and their offsets are given out again.
func (s *Server) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := time.Now().Add(-age)
	for _, st := range s.streams {
		st.dropSince(since)
	}
	s.era = max(s.era, logstream.FirstEra) + 1
}

// Trim drops the records of a stream before the given offset.
func (s *Server) Trim(name string, before uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stream(name).trim(before)
}
