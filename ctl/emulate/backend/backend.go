// Package backend is a stand-in for a backend server, for tests and
// experiments. It records what ran, so that double runs can be counted.
package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
)

// Options describe the emulated backend server.
type Options struct {
	Name        string
	Service     string
	Addr        string // own address, announced to the daemon
	DaemonAdmin string // admin address of the daemon beside it
	Slots       int
	ChecksFence bool
	ServiceTime time.Duration
}

// Run is one request that ran.
type Run struct {
	RequestID  string `json:"request_id"`
	Team       string `json:"team"`
	Shard      string `json:"shard"`
	Generation string `json:"generation"`
	Method     string `json:"method"`
	At         int64  `json:"at_us"` // wall clock at start, microseconds since 1970
}

// Server is the stand-in.
type Server struct {
	opts  Options
	slots chan struct{}
	mu    sync.Mutex
	runs  []Run
}

// New returns a backend server; Announce makes it known.
func New(opts Options) *Server {
	return &Server{opts: opts, slots: make(chan struct{}, opts.Slots)}
}

// Handler returns the HTTP interface: any path is a request; /sesamemoor/grant
// takes grants and /emulate/runs lists what ran.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.POST("/sesamemoor/grant", func(c *gin.Context) { c.Status(http.StatusNoContent) })
	engine.GET("/emulate/runs", func(c *gin.Context) {
		s.mu.Lock()
		defer s.mu.Unlock()
		c.JSON(http.StatusOK, s.runs)
	})
	engine.NoRoute(s.serve)
	return engine
}

func (s *Server) serve(c *gin.Context) {
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		c.Header("X-Sesamemoor-Refused", "shed")
		c.Status(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(c.Request.Body)
	if err != nil {
		c.Status(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, Run{
		RequestID:  c.GetHeader("X-Request-Id"),
		Team:       c.GetHeader("X-Sesamemoor-Team"),
		Shard:      c.GetHeader("X-Sesamemoor-Shard"),
		Generation: c.GetHeader("X-Sesamemoor-Generation"),
		Method:     c.Request.Method,
		At:         time.Now().UnixMicro(),
	})
	s.mu.Unlock()
	time.Sleep(s.opts.ServiceTime)
	c.String(http.StatusOK, "%s %s %s %d %s", s.opts.Name, c.Request.Method, c.Request.RequestURI, len(body), c.GetHeader("X-Request-Id"))
}

// Announce tells the daemon about this server every second until ctx ends.
func (s *Server) Announce(ctx context.Context) error {
	body, err := json.Marshal(map[string]any{
		"name": s.opts.Name, "service": s.opts.Service, "addr": s.opts.Addr,
		"slots": s.opts.Slots, "checks_fence": s.opts.ChecksFence,
	})
	if err != nil {
		return fmt.Errorf("backend: announcement: %w", err)
	}
	url := "http://" + s.opts.DaemonAdmin + "/v1/announce"
	for {
		resp, err := http.Post(url, "application/json", bytes.NewReader(body))
		pause := time.Second
		if err != nil {
			pause = 100 * time.Millisecond
		} else {
			_ = resp.Body.Close()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
	}
}
