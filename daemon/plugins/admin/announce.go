package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

const (
	// announceTimeout is the time without announcements after which the
	// backend server counts as gone: three of them are missing.
	announceTimeout = 1200 * time.Millisecond
	// announceCheck is the time between looks at the newest announcement.
	announceCheck = 100 * time.Millisecond
	// maxAnnouncementBytes bounds one announcement.
	maxAnnouncementBytes = 16 << 10
	// maxSlots bounds the slots and connections that a server may state.
	maxSlots = 65_536
	// maxBootIDBytes bounds the identifier of a start.
	maxBootIDBytes = 64
)

var errAnnouncement = errors.New("announcement")

var nameRule = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Announcement is what a backend server posts to its daemon about every
// 400 ms, see docs/BACKEND.md.
type Announcement struct {
	Name        string `json:"name"`
	Service     string `json:"service"`
	Addr        string `json:"addr"`
	Slots       uint32 `json:"slots"`
	Connections uint32 `json:"connections"`
	ChecksFence bool   `json:"checks_fence"`
	Cold        bool   `json:"cold"`
	Leaving     bool   `json:"leaving"`
	BootID      string `json:"boot_id"`
	Load        Load   `json:"load"`
}

// Load is the server's own report. It may lag or mislead.
type Load struct {
	Running uint32  `json:"running"`
	Queue   uint32  `json:"queue"`
	CPU     float64 `json:"cpu"` // fraction of the server's cores
}

// AnnounceAnswer answers an announcement.
type AnnounceAnswer struct {
	Drained bool `json:"drained"` // a leaving server may stop
	Held    int  `json:"held"`    // shards that the daemon owns for the server
}

// parseAnnouncement decodes an announcement strictly and checks it. from is
// the IP number of the sender.
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

func (a Announcement) problems(from string) []string {
	var list []string
	add := func(format string, args ...any) { list = append(list, fmt.Sprintf(format, args...)) }
	if !nameRule.MatchString(a.Name) {
		add("name: %q does not match %s", a.Name, nameRule)
	}
	if !nameRule.MatchString(a.Service) {
		add("service: %q does not match %s", a.Service, nameRule)
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		add("slots: %d is not in 1 to %d", a.Slots, maxSlots)
	}
	if a.Connections > maxSlots {
		add("connections: %d exceeds %d", a.Connections, maxSlots)
	}
	if len(a.BootID) > maxBootIDBytes {
		add("boot_id: longer than %d bytes", maxBootIDBytes)
	}
	if problem := addrProblem(a.Addr, from); problem != "" {
		add("addr: %s", problem)
	}
	return list
}

// addrProblem checks that addr is an IP number with a port, and that the
// sender may speak for it.
func addrProblem(addr, from string) string {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err.Error()
	}
	ip, sender := net.ParseIP(host), net.ParseIP(from)
	switch {
	case ip == nil || ip.IsUnspecified():
		return fmt.Sprintf("%q is not the IP number of a host", host)
	case port == "" || port == "0":
		return "no port"
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
	a.last = time.Now()
	a.mu.Unlock()
	a.observer.BackendReported(kernel.BackendReport{
		Name: body.Name, Service: body.Service, Addr: body.Addr, BootID: body.BootID,
		Slots: body.Slots, Connections: body.Connections, ChecksFence: body.ChecksFence, Cold: body.Cold, Running: body.Load.Running,
	})
	a.control.Post(eventOf(body))
	c.JSON(http.StatusOK, a.announceAnswer(body.Leaving))
}

func eventOf(a Announcement) control.Event {
	if a.Leaving {
		return control.BackendLeaving{}
	}
	return control.BackendUp{
		Name: a.Name, Service: a.Service, Addr: a.Addr, Slots: a.Slots, ChecksFence: a.ChecksFence,
	}
}

// announceAnswer tells a leaving server whether it may stop: no shard is owned
// for it any more and nothing runs on it.
func (a *admin) announceAnswer(leaving bool) AnnounceAnswer {
	v := a.control.View()
	held := 0
	for id := range v.Held {
		if id.Service != view.KeeperService {
			held++
		}
	}
	gone := v.Backend == nil && held == 0 && a.observer.Running() == 0
	return AnnounceAnswer{Drained: leaving && gone, Held: held}
}
