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

// Intervals and timeout of announcements and load samples.
const (
	announceInterval   = 400 * time.Millisecond
	announceRetryDelay = 100 * time.Millisecond
	announceTimeout    = 500 * time.Millisecond
	sampleInterval     = 100 * time.Millisecond
)

// maxResponseBytes bounds the daemon's response to an announcement.
const maxResponseBytes = 4096

// announcement is the body of an announcement to the daemon.
type announcement struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Version     string `json:"version"`
	Addr        string `json:"addr"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	ChecksFence bool   `json:"checks_fence"`
	Cold        bool   `json:"cold"`
	Leaving     bool   `json:"leaving"`
	BootID      string `json:"boot_id"`
	Load        load   `json:"load"`
}

// load is the load that a server reports of itself.
type load struct {
	Running int     `json:"running"`
	Queue   int     `json:"queue"`
	CPU     float64 `json:"cpu"` // share of slots in use
}

// loadSample is the load at one point in time.
type loadSample struct {
	at   time.Time
	load load
}

// load returns the current load, without report lag. The caller holds mu.
func (s *Server) load() load {
	running := s.capacity.running
	return load{Running: running, CPU: float64(running) / float64(s.opts.Slots)}
}

// recordLoad appends a sample of the load and drops the samples that are no longer
// needed for the report lag.
func (s *Server) recordLoad(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadSamples = append(s.loadSamples, loadSample{now, s.load()})
	for len(s.loadSamples) > 1 && now.Sub(s.loadSamples[1].at) >= s.opts.ReportLag {
		s.loadSamples = s.loadSamples[1:]
	}
}

// reportedLoad returns the load as of ReportLag ago, or the oldest sample if the
// server started later. The caller holds mu.
func (s *Server) reportedLoad() load {
	if len(s.loadSamples) == 0 {
		return load{}
	}
	return s.loadSamples[0].load
}

func (s *Server) getLoad(c *gin.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.JSON(http.StatusOK, s.reportedLoad())
}

func (s *Server) announcement() announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return announcement{
		Name: s.opts.Name, Service: s.opts.Service, Version: s.opts.Version, Addr: s.opts.Addr,
		Slots: s.opts.Slots, ChecksFence: s.opts.ChecksFence,
		BootID: s.capacity.bootID, Cold: s.capacity.warmUpProgress(time.Now()) < 1,
		Connections: s.opts.MaxConns, Load: s.reportedLoad(), Leaving: s.faults.Leaving,
	}
}

// announcementsOff reports whether the faults suppress announcements.
func (s *Server) announcementsOff() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.NoAnnouncements || s.faults.Frozen
}

// SampleLoad records the load every sampleInterval until ctx ends.
func (s *Server) SampleLoad(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.recordLoad(now)
		}
	}
}

// Announce sends announcements to the daemon until ctx ends, then returns nil. It
// sends one every announceInterval, and another announceRetryDelay after a failure.
func (s *Server) Announce(ctx context.Context) error {
	for {
		interval := announceInterval
		if !s.announcementsOff() {
			if err := s.sendAnnouncement(ctx); err != nil {
				interval = announceRetryDelay
			}
		}
		s.mu.Lock()
		faultsChanged := s.faultsChanged
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-faultsChanged: // announce at once, so that the daemon starts to drain a leaving server
		case <-time.After(interval):
		}
	}
}

func (s *Server) sendAnnouncement(ctx context.Context) error {
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
		return fmt.Errorf("backend: announce: status %d, expected below 400", resp.StatusCode)
	}
	if resp.StatusCode == http.StatusOK {
		s.readDrained(resp.Body)
	}
	return nil
}

// readDrained reads the daemon's response to an announcement. It closes s.drained
// if the response to a leaving server permits it to stop.
func (s *Server) readDrained(body io.Reader) {
	var status struct {
		Drained bool `json:"drained"`
	}
	if err := json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(&status); err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if status.Drained && s.faults.Leaving {
		s.drainOnce.Do(func() { close(s.drained) })
	}
}

// Drained returns a channel that is closed when the daemon reports this leaving
// server as drained: it may stop.
func (s *Server) Drained() <-chan struct{} { return s.drained }
