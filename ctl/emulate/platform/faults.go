package platform

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/gin-gonic/gin"
	"golang.org/x/time/rate"
)

// Outage is a way of giving no useful answer.
type Outage string

// The outages.
const (
	None   Outage = ""
	Error  Outage = "error"  // status 503
	Refuse Outage = "refuse" // the connection is reset
	Hang   Outage = "hang"   // no answer while the outage lasts
)

// Faults are the ways in which the stand-in can misbehave.
type Faults struct {
	Down          bool     `json:"down"`           // the same as the outage "error"
	Outage        Outage   `json:"outage"`         // for all clients
	Cut           []string `json:"cut"`            // IPs, of the client or listened on, whose requests hang
	DelayMS       int64    `json:"delay_ms"`       // added to each request
	LoseAnswer    int      `json:"lose_answer"`    // answers to the next N appends are lost after taking effect
	MaxAppendRate float64  `json:"max_append_rps"` // appends per second over which 429 is answered; 0 means no limit
}

func (f Faults) problem() string {
	if !slices.Contains([]Outage{None, Error, Refuse, Hang}, f.Outage) {
		return `outage is not "", "error", "refuse" or "hang"`
	}
	if f.DelayMS < 0 || f.LoseAnswer < 0 || f.MaxAppendRate < 0 {
		return "negative number"
	}
	for _, ip := range f.Cut {
		if net.ParseIP(ip) == nil {
			return "cut: " + ip + " is not an IP number"
		}
	}
	return ""
}

// outageFor returns the outage that a request meets.
func (f Faults) outageFor(r *http.Request) Outage {
	if f.Outage != None {
		return f.Outage
	}
	if f.Down {
		return Error
	}
	local, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if slices.Contains(f.Cut, hostOf(r.RemoteAddr)) || (local != nil && slices.Contains(f.Cut, hostOf(local.String()))) {
		return Hang
	}
	return None
}

func hostOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}

// SetFaults checks and replaces the faults. Requests that hang look again.
func (s *Server) SetFaults(f Faults) error {
	if problem := f.problem(); problem != "" {
		return fmt.Errorf("platform: faults: %s", problem)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.appends = nil
	if f.MaxAppendRate > 0 {
		s.appends = rate.NewLimiter(rate.Limit(f.MaxAppendRate), max(1, int(f.MaxAppendRate/10)))
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

func (s *Server) current() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed
}

// faulty makes a handler meet the faults in force.
func (s *Server) faulty(next gin.HandlerFunc) gin.HandlerFunc {
	return func(c *gin.Context) {
		f, _ := s.current()
		if f.DelayMS > 0 {
			sleep(c.Request.Context(), time.Duration(f.DelayMS)*time.Millisecond)
		}
		s.unlessOut(c, next)
	}
}

// unlessOut calls next when no outage is in force for the request.
func (s *Server) unlessOut(c *gin.Context, next gin.HandlerFunc) {
	f, changed := s.current()
	for f.outageFor(c.Request) == Hang {
		select {
		case <-changed:
			f, changed = s.current()
		case <-c.Request.Context().Done():
			return
		}
	}
	switch f.outageFor(c.Request) {
	case Error:
		c.Status(http.StatusServiceUnavailable)
	case Refuse:
		reset(c.Writer)
	default:
		next(c)
	}
}

// reset ends the connection without an answer.
func reset(w gin.ResponseWriter) {
	conn, _, err := w.Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (s *Server) putFaults(c *gin.Context) {
	var f Faults
	if err := c.ShouldBindJSON(&f); err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"error": err.Error()})
		return
	}
	if err := s.SetFaults(f); err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"error": err.Error()})
		return
	}
	c.Status(http.StatusNoContent)
}

func (s *Server) getFaults(c *gin.Context) {
	f, _ := s.current()
	c.JSON(http.StatusOK, f)
}
