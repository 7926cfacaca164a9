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

// Outage is a kind of unavailability.
type Outage string

// Kinds of outages.
const (
	None   Outage = ""
	Error  Outage = "error"  // requests get status 503
	Refuse Outage = "refuse" // connections are reset
	Hang   Outage = "hang"   // requests get no response until the outage ends
)

// Faults are the faults of the emulated log.
type Faults struct {
	Down                bool     `json:"down"`           // like the outage "error"; Outage takes precedence
	Outage              Outage   `json:"outage"`         // applies to all clients
	Partitioned         []string `json:"cut"`            // IP addresses; requests from or to one of them hang
	DelayMS             int64    `json:"delay_ms"`       // delay added to each request
	LoseResponses       int      `json:"lose_answer"`    // number of next appends that take effect but get no response
	MaxAppendsPerSecond float64  `json:"max_append_rps"` // per second; appends beyond it get status 429; 0 means no limit
}

// invalidReason returns why the faults are invalid, or "" if they are valid.
func (f Faults) invalidReason() string {
	if !slices.Contains([]Outage{None, Error, Refuse, Hang}, f.Outage) {
		return `outage must be "", "error", "refuse" or "hang"`
	}
	if f.DelayMS < 0 || f.LoseResponses < 0 || f.MaxAppendsPerSecond < 0 {
		return "delay_ms, lose_answer and max_append_rps must not be negative"
	}
	for _, ip := range f.Partitioned {
		if net.ParseIP(ip) == nil {
			return "cut: " + ip + " is not an IP address"
		}
	}
	return ""
}

// outageFor returns the outage that applies to a request.
func (f Faults) outageFor(r *http.Request) Outage {
	if f.Outage != None {
		return f.Outage
	}
	if f.Down {
		return Error
	}
	local, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if slices.Contains(f.Partitioned, hostOf(r.RemoteAddr)) || (local != nil && slices.Contains(f.Partitioned, hostOf(local.String()))) {
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

// SetFaults validates and replaces the faults. Hanging requests continue unless
// the new faults make them hang too.
func (s *Server) SetFaults(f Faults) error {
	if invalidReason := f.invalidReason(); invalidReason != "" {
		return fmt.Errorf("platform: faults: %s", invalidReason)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.appendLimiter = nil
	// The burst is the number of appends in 100 ms, at least 1.
	if f.MaxAppendsPerSecond > 0 {
		s.appendLimiter = rate.NewLimiter(rate.Limit(f.MaxAppendsPerSecond), max(1, int(f.MaxAppendsPerSecond/10)))
	}
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
	return nil
}

// currentFaults returns the faults and a channel that is closed when they change.
func (s *Server) currentFaults() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.faultsChanged
}

// withFaults wraps a handler with the delay and the outages of the current faults.
func (s *Server) withFaults(next gin.HandlerFunc) gin.HandlerFunc {
	return func(c *gin.Context) {
		f, _ := s.currentFaults()
		if f.DelayMS > 0 {
			sleep(c.Request.Context(), time.Duration(f.DelayMS)*time.Millisecond)
		}
		s.withOutage(c, next)
	}
}

// withOutage calls next if no outage applies to the request. A hanging request waits
// until the outage ends.
func (s *Server) withOutage(c *gin.Context, next gin.HandlerFunc) {
	f, changed := s.currentFaults()
	for f.outageFor(c.Request) == Hang {
		select {
		case <-changed:
			f, changed = s.currentFaults()
		case <-c.Request.Context().Done():
			return
		}
	}
	switch f.outageFor(c.Request) {
	case Error:
		c.Status(http.StatusServiceUnavailable)
	case Refuse:
		resetConn(c.Writer)
	default:
		next(c)
	}
}

// resetConn closes the connection with a TCP reset, without a response.
func resetConn(w gin.ResponseWriter) {
	conn, _, err := w.Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// sleep waits for d or until ctx ends.
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
	f, _ := s.currentFaults()
	c.JSON(http.StatusOK, f)
}
