package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

const (
	// announceTimeout is the time without an announcement after which the backend
	// server counts as down: three announcements are missing.
	announceTimeout = 1200 * time.Millisecond
	// announceCheckInterval is the time between checks of the last announcement.
	announceCheckInterval = 100 * time.Millisecond
	// maxAnnouncementBytes bounds the body of one announcement.
	maxAnnouncementBytes = 16 << 10
	// maxSlots bounds the announced numbers of slots and of connections.
	maxSlots = 65_536
	// maxBootIDBytes bounds the announced boot id.
	maxBootIDBytes = 64
	// maxVersionBytes bounds the announced version.
	maxVersionBytes = 128
)

var errAnnouncement = errors.New("announcement")

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Announcement is the heartbeat that a backend server posts to its daemon about every
// 400 ms, see docs/BACKEND.md.
type Announcement struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Version     string `json:"version"` // of the server's software; empty if unknown
	Addr        string `json:"addr"`
	Slots       uint32 `json:"slots"`
	Connections uint32 `json:"connections"`
	ChecksFence bool   `json:"checks_fence"`
	Cold        bool   `json:"cold"`
	Leaving     bool   `json:"leaving"`
	BootID      string `json:"boot_id"`
	Load        Load   `json:"load"`
}

// Load is the load that the server reports. It may be late or wrong.
type Load struct {
	Running uint32  `json:"running"`
	Queue   uint32  `json:"queue"`
	CPU     float64 `json:"cpu"` // fraction of the server's cores
}

// AnnounceResponse is the response to an announcement.
type AnnounceResponse struct {
	Drained bool `json:"drained"` // a leaving server may stop
	Held    int  `json:"held"`    // shards that the daemon owns for the server
}

// parseAnnouncement decodes and validates an announcement; unknown fields are errors.
// from is the IP address of the sender. Errors wrap errAnnouncement.
func parseAnnouncement(body io.Reader, from string) (Announcement, error) {
	var a Announcement
	dec := json.NewDecoder(io.LimitReader(body, maxAnnouncementBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		return a, fmt.Errorf("%w: %w", errAnnouncement, err)
	}
	if problems := a.problems(from); len(problems) > 0 {
		return a, fmt.Errorf("%w: %s", errAnnouncement, strings.Join(problems, "; "))
	}
	return a, nil
}

// problems returns the reasons why the announcement is invalid.
func (a Announcement) problems(from string) []string {
	var list []string
	add := func(format string, args ...any) { list = append(list, fmt.Sprintf(format, args...)) }
	if !namePattern.MatchString(a.Name) {
		add("name: %q does not match %s", a.Name, namePattern)
	}
	if !namePattern.MatchString(a.Service) {
		add("service: %q does not match %s", a.Service, namePattern)
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		add("slots: %d is not in 1 to %d", a.Slots, maxSlots)
	}
	if a.Connections > maxSlots {
		add("connections: %d exceeds %d", a.Connections, maxSlots)
	}
	if len(a.Version) > maxVersionBytes {
		add("version: longer than %d bytes", maxVersionBytes)
	}
	if len(a.BootID) > maxBootIDBytes {
		add("boot_id: longer than %d bytes", maxBootIDBytes)
	}
	if problem := addrProblem(a.Addr, from); problem != "" {
		add("addr: %s", problem)
	}
	return list
}

// addrProblem returns the reason why addr is invalid, or "". It must be an IP address
// with a port, and the sender must be a loopback address or the same host.
func addrProblem(addr, from string) string {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err.Error()
	}
	number, portErr := strconv.ParseUint(port, 10, 16)
	ip, sender := net.ParseIP(host), net.ParseIP(from)
	switch {
	case ip == nil || ip.IsUnspecified():
		return fmt.Sprintf("%q is not the IP address of a host", host)
	case portErr != nil || number == 0:
		return fmt.Sprintf("port %q is not in 1 to 65535", port)
	case sender == nil || !sender.IsLoopback() && !sender.Equal(ip):
		return fmt.Sprintf("sender %s may not announce %s", from, host)
	}
	return ""
}

func (a *admin) announce(c *gin.Context) {
	body, err := parseAnnouncement(c.Request.Body, c.RemoteIP())
	if err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"error": err.Error()})
		return
	}
	a.mu.Lock()
	a.lastAnnouncement = time.Now()
	a.mu.Unlock()
	a.observer.BackendReported(kernel.BackendReport{
		Name: body.Name, Service: body.Service, Addr: body.Addr, BootID: body.BootID,
		Slots: body.Slots, Connections: body.Connections, ChecksFence: body.ChecksFence, Cold: body.Cold, Leaving: body.Leaving, Running: body.Load.Running,
	})
	a.control.Post(announcementEvent(body))
	c.JSON(http.StatusOK, a.announceResponse(body.Leaving))
}

func announcementEvent(a Announcement) control.Event {
	if a.Leaving {
		return control.BackendLeaving{}
	}
	return control.BackendUp{
		Name: a.Name, Service: a.Service, Addr: a.Addr, Slots: a.Slots, ChecksFence: a.ChecksFence, Version: a.Version,
	}
}

// announceResponse returns the response to an announcement. A leaving server is drained
// and may stop once the control state has removed it, this daemon owns no shards for it
// and it runs no requests.
func (a *admin) announceResponse(leaving bool) AnnounceResponse {
	v := a.control.View()
	held := 0
	for id := range v.Held {
		if id.Service != view.KeeperService {
			held++
		}
	}
	idle := v.Backend == nil && held == 0 && a.observer.Running() == 0
	return AnnounceResponse{Drained: leaving && idle, Held: held}
}
