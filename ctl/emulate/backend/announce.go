package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
)

// Periods of announcements and load samples.
const (
	announceInterval = 400 * time.Millisecond
	announceRetry    = 100 * time.Millisecond
	announceTimeout  = 500 * time.Millisecond
	sampleInterval   = 100 * time.Millisecond
)

// maxReply bounds the daemon's answer to an announcement in bytes.
const maxReply = 4096

// announcement is what the server tells its daemon.
type announcement struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Addr        string `json:"addr"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	ChecksFence bool   `json:"checks_fence"`
	Cold        bool   `json:"cold"`
	Leaving     bool   `json:"leaving"`
	BootID      string `json:"boot_id"`
	Load        load   `json:"load"`
}

// load is the server's own report.
type load struct {
	Running int     `json:"running"`
	Queue   int     `json:"queue"`
	CPU     float64 `json:"cpu"` // share of slots in use
}

// report is the load at an instant.
type report struct {
	at   time.Time
	load load
}

// load returns the true load; mu is held.
func (s *Server) load() load {
	running := s.capacity.running
	return load{Running: running, CPU: float64(running) / float64(s.opts.Slots)}
}

// sample records the load and forgets reports older than needed.
func (s *Server) sample(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports = append(s.reports, report{now, s.load()})
	for len(s.reports) > 1 && now.Sub(s.reports[1].at) >= s.opts.ReportLag {
		s.reports = s.reports[1:]
	}
}

// reported returns the load as of ReportLag ago; mu is held.
func (s *Server) reported() load {
	if len(s.reports) == 0 {
		return load{}
	}
	return s.reports[0].load
}

func (s *Server) getLoad(c *gin.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.JSON(http.StatusOK, s.reported())
}

func (s *Server) announcement() announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return announcement{
		Name: s.opts.Name, Service: s.opts.Service, Addr: s.opts.Addr,
		Slots: s.opts.Slots, ChecksFence: s.opts.ChecksFence,
		BootID: s.capacity.bootID, Cold: s.capacity.warmth(time.Now()) < 1,
		Connections: s.opts.MaxConns, Load: s.reported(), Leaving: s.faults.Leaving,
	}
}

// quiet reports whether announcements are switched off.
func (s *Server) quiet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Silent || s.faults.Frozen
}

// Sample measures the load until ctx ends.
func (s *Server) Sample(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.sample(now)
		}
	}
}

// Announce tells the daemon about this server at every interval until ctx ends.
func (s *Server) Announce(ctx context.Context) error {
	for {
		pause := announceInterval
		if !s.quiet() {
			if err := s.announceOnce(ctx); err != nil {
				pause = announceRetry
			}
		}
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-changed: // at once, so that a drain is known
		case <-time.After(pause):
		}
	}
}

func (s *Server) announceOnce(ctx context.Context) error {
	body, err := json.Marshal(s.announcement())
	if err != nil {
		return fmt.Errorf("backend: announcement: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.opts.DaemonAdmin+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("backend: announce: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("backend: announce: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("backend: announce: status %d", resp.StatusCode)
	}
	if resp.StatusCode == http.StatusOK {
		s.noteDrained(resp.Body)
	}
	return nil
}

// noteDrained takes in the daemon's answer: after leaving, whether the server
// may stop.
func (s *Server) noteDrained(body io.Reader) {
	var answer struct {
		Drained bool `json:"drained"`
	}
	if err := json.NewDecoder(io.LimitReader(body, maxReply)).Decode(&answer); err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if answer.Drained && s.faults.Leaving {
		s.drainOnce.Do(func() { close(s.drained) })
	}
}

// Drained is closed when the daemon says that this leaving server may stop.
func (s *Server) Drained() <-chan struct{} { return s.drained }
