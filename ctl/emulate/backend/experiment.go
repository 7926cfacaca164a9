package backend

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
)

// grant takes the fencing token of a shard.
func (s *Server) grant(c *gin.Context) {
	generation, err := strconv.ParseUint(c.Query("generation"), 10, 64)
	if err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"error": "generation: not a number"})
		return
	}
	if c.Query("service") != s.opts.Service {
		c.Status(http.StatusNoContent) // a shard that this server never runs
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

// fence reports whether the request's generation may run. A generation that is
// newer than the last grant counts as a grant.
func (s *Server) fence(shard, generation string) bool {
	if !s.opts.ChecksFence || shard == "" {
		return true
	}
	g, err := strconv.ParseUint(generation, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || g < s.grants[shard] {
		s.fenced++
		return false
	}
	s.grants[shard] = g
	return true
}

func (s *Server) getRuns(c *gin.Context) {
	s.mu.Lock()
	runs := append([]Run{}, s.runs...)
	s.mu.Unlock()
	c.JSON(http.StatusOK, runs)
}

func (s *Server) getState(c *gin.Context) { c.JSON(http.StatusOK, s.State()) }

// State returns what the server does now.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return State{
		BootID:      s.capacity.bootID,
		Cold:        s.capacity.warmth(now) < 1,
		Capacity:    s.capacity.bears(now),
		Running:     s.capacity.running,
		Connections: s.conns.count(),
		Runs:        len(s.runs),
		RunsDropped: s.dropped,
		Shed:        s.shed,
		Fenced:      s.fenced,
		FellOver:    s.capacity.fellOver,
		Crashes:     s.crashes,
		KeysSeen:    s.keysSeen,
		Faults:      s.faults,
		Load:        s.load(),
	}
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) putFaults(c *gin.Context) {
	var f Faults
	if err := c.ShouldBindJSON(&f); err != nil || f.SlowFactor < 0 {
		c.JSON(http.StatusBadRequest, gin.H{"error": "not a set of faults"})
		return
	}
	s.SetFaults(f)
	c.Status(http.StatusNoContent)
}

// postCold makes the server cold again without telling anyone.
func (s *Server) postCold(c *gin.Context) {
	s.mu.Lock()
	s.capacity.chill(time.Now())
	s.mu.Unlock()
	c.Status(http.StatusNoContent)
}
