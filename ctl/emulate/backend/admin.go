package backend

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
)

// grant records the generation of a shard as its fencing token. It refuses a
// generation that is older than the recorded one if ChecksFence is set.
func (s *Server) grant(c *gin.Context) {
	generation, err := strconv.ParseUint(c.Query("generation"), 10, 64)
	if err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"error": "generation: not an unsigned integer"})
		return
	}
	if c.Query("service") != s.opts.Service {
		c.Status(http.StatusNoContent) // a shard of another service, which this server never runs
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	shard := c.Query("shard")
	if s.opts.ChecksFence && generation < s.grants[shard] {
		c.Header(headerRefused, "fenced")
		c.Status(http.StatusConflict)
		return
	}
	s.grants[shard] = generation
	c.Status(http.StatusNoContent)
}

// checkFence reports whether a request of a generation may run. If ChecksFence is
// set, it refuses a generation older than the recorded one and records a newer one
// like a grant.
func (s *Server) checkFence(shard, generation string) bool {
	if !s.opts.ChecksFence || shard == "" {
		return true
	}
	token, err := strconv.ParseUint(generation, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || token < s.grants[shard] {
		s.fenced++
		return false
	}
	s.grants[shard] = token
	return true
}

func (s *Server) getRuns(c *gin.Context) {
	s.mu.Lock()
	runs := append([]Run{}, s.runs...)
	s.mu.Unlock()
	c.JSON(http.StatusOK, runs)
}

func (s *Server) getState(c *gin.Context) { c.JSON(http.StatusOK, s.State()) }

// State returns the server's current state.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return State{
		BootID:      s.capacity.bootID,
		Cold:        s.capacity.warmUpProgress(now) < 1,
		Capacity:    s.capacity.maxRunning(now),
		Running:     s.capacity.running,
		Connections: s.conns.count(),
		Runs:        len(s.runs),
		RunsDropped: s.runsDropped,
		Shed:        s.shed,
		Fenced:      s.fenced,
		Overloads:   s.capacity.overloads,
		Crashes:     s.crashes,
		KeysSeen:    s.keysSeen,
		Faults:      s.faults,
		Load:        s.load(),
	}
}

// SetFaults replaces the faults and triggers an announcement.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

func (s *Server) putFaults(c *gin.Context) {
	var f Faults
	if err := c.ShouldBindJSON(&f); err != nil || f.SlowFactor < 0 || min(f.StutterEvery, f.StutterMS, f.UnframedEvery, f.CutEvery) < 0 {
		c.JSON(http.StatusBadRequest, gin.H{"error": "faults are not valid JSON, or a number is negative"})
		return
	}
	s.SetFaults(f)
	c.Status(http.StatusNoContent)
}

// postCold makes the server cold without triggering an announcement.
func (s *Server) postCold(c *gin.Context) {
	s.mu.Lock()
	s.capacity.makeCold(time.Now())
	s.mu.Unlock()
	c.Status(http.StatusNoContent)
}
