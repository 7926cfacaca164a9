// Package protocol defines the interfaces between the daemon and the protocols of
// callers, backend servers and the platform. An implementation translates messages
// and makes no decisions.
package protocol

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sesamemoor/sesamemoor/core/rollout"
)

// ErrMalformed reports a message that cannot be decoded.
var ErrMalformed = errors.New("protocol: malformed message")

// CallerRequest is the metadata of a caller's request, in addition to method, host,
// path, headers and body.
type CallerRequest struct {
	ID      string
	Key     string        // caller key; "" if there is none
	Timeout time.Duration // caller timeout; 0 if unspecified
	// NumberKey is the request's key in a numeric key space. It is valid if
	// HasNumberKey is set.
	NumberKey    uint32
	HasNumberKey bool
}

// Callers translates the messages of callers.
type Callers interface {
	// Decode returns the metadata of the request. The error wraps ErrMalformed.
	Decode(r *http.Request) (CallerRequest, error)
	// IsInternal reports whether a header, given in canonical form, is not forwarded.
	IsInternal(header string) bool
	// SetRequestID sets the request id in the headers of a response.
	SetRequestID(h http.Header, id string)
}

// BackendRequest is the metadata that the daemon sends to a backend server with a
// request.
type BackendRequest struct {
	ID               string
	RemainingTimeout time.Duration // time that the caller still waits
	Instance         string        // instance that must run the request
	Team             string        // "" if the caller has none
	CallingService   string        // service of the entry daemon's backend server
	NumberKey        uint32
	HasNumberKey     bool
}

// BackendAnswer is the metadata in the headers of a backend server's response.
type BackendAnswer struct {
	ID     string // id of the request
	NotRun bool   // the request did not run
	Sealed bool   // the response carries the seal that a backend server sets on each response of its own
	// Misdirected means that the request must not run on this server: another
	// instance has the address, or the key is not granted.
	Misdirected bool
	// Slowdown is the reported factor on durations: the current duration of work on
	// the server's machine relative to the typical duration. 1 is typical, larger is
	// slower, 0 is unspecified.
	Slowdown float64
	// LimitPerS is the limit that the server names, in requests per second: it takes no
	// more from all daemons together. It is valid if Limited is set.
	LimitPerS float64
	Limited   bool
	// Leaving means that the server stops soon and must receive no new requests.
	Leaving bool
}

// KeyRange is a range of numeric keys with its fencing token.
type KeyRange struct {
	First, Last uint32 // inclusive
	Token       uint64
}

// KeyGrant is a range of keys that a backend server is to hold, with the handover token
// that the previous holder returned on release, or "".
type KeyGrant struct {
	KeyRange
	Handover string
}

// ReleasedKeys is a range of keys that a backend server has released, with the handover
// token for the next holder.
type ReleasedKeys struct {
	First, Last uint32 // inclusive
	Handover    string
}

// ErrFenced reports that the backend server has seen a higher fencing token.
var ErrFenced = errors.New("protocol: the backend server has seen a higher fencing token")

// Backends translates the messages of the backend server beside the daemon.
type Backends interface {
	// Encode adds the metadata of a request to its headers.
	Encode(h http.Header, req BackendRequest)
	// Decode returns the metadata in the status and headers of a response.
	Decode(resp *http.Response) BackendAnswer
	// Grant grants keys to the backend server for the duration hold, counted from
	// the arrival of the call. handover is the token that the previous holder
	// returned on release, or "". A repeated call renews the grant.
	Grant(ctx context.Context, client *http.Client, addr string, keys KeyRange, hold time.Duration, handover string) error
	// Release revokes the grant of keys. It returns after the work on them has
	// ended, with the handover token for the next holder.
	Release(ctx context.Context, client *http.Client, addr string, keys KeyRange) (string, error)
}

// Announcement is a heartbeat message of a backend server.
type Announcement struct {
	ID       string
	Service  string
	Version  string // of the server's software; empty if unknown
	Addr     string
	Slots    uint32
	Leaving  bool
	Sequence uint64        // increases with each announcement of one boot
	BootTime int64         // start of this boot, in milliseconds since 1970; 0 if unspecified
	ColdFor  time.Duration // remaining time for which the backend server is cold

	// GrantsInReply means that the server takes its keys from the replies to its
	// announcements; Backends.Grant and Backends.Release are not used for it. Held are
	// the keys that it holds or still works on, Released those that it has released
	// since its last acknowledged announcement.
	GrantsInReply bool
	Held          []KeyRange
	Released      []ReleasedKeys
}

// AnnouncementReply is the reply to an announcement.
type AnnouncementReply struct {
	Acknowledged bool
	// HasGrants means that Grants are all keys that the server is to hold, for the
	// duration Hold counted from the time when it sent the announcement. The server
	// releases all others. Without HasGrants, it keeps what it holds until that expires.
	HasGrants bool
	Grants    []KeyGrant
	Hold      time.Duration
}

// AnnouncementSink receives announcements and leave notices.
type AnnouncementSink interface {
	// Announce handles an announcement and returns the reply. Until ctx ends it may
	// wait for something to tell the server. fit returns how many of the first grants a
	// reply can contain.
	Announce(ctx context.Context, a Announcement, fit func([]KeyGrant) int) AnnouncementReply
	// Leave handles the leave notice of a backend server: it stops soon and must
	// receive no new requests. It reports whether the notice may be acknowledged.
	Leave(id string, bootTime int64) bool
}

// Announcements translates the announcements and leave notices of backend servers.
type Announcements interface {
	Handler(sink AnnouncementSink) http.Handler
}

// RolloutStatus is the recorded state of the newest roll-out of a service.
type RolloutStatus struct {
	Service string
	To      string   // version
	From    []string // versions that the service had before
	State   rollout.State
	Order   uint64 // id of the order, see fleet.RolloutOrder
	// Problem is why the order was refused; such a status is RolledBack, and Last is the
	// outcome of the service's last roll-out, which stays in force.
	Problem string
	Last    *RolloutStatus // nil if there was none
	// Started is the time of day at which the roll-out began, and Duration the time within
	// which it ends.
	Started  time.Time
	Duration time.Duration
	Region   string // of the daemon in charge
	Changes  uint32 // of the daemon in charge since the roll-out began
}

// ErrConflict reports that a status was not written, because another record was written
// after the position.
var ErrConflict = errors.New("protocol: another record was written before")

// RolloutStatuses keeps the status of the newest roll-out of each service where it outlives
// the daemon in charge. It is safe for concurrent use.
type RolloutStatuses interface {
	// Read returns the statuses by service, and the position as of which they are complete.
	Read(ctx context.Context) (statuses map[string]RolloutStatus, position uint64, err error)
	// Write replaces the status of a service if nothing was written after position, and
	// returns the position after it. The error wraps ErrConflict if something was; after any
	// other error the status may have been written.
	Write(ctx context.Context, status RolloutStatus, position uint64) (uint64, error)
}

// Probes translates the readiness probes of the platform.
type Probes interface {
	Handler(ready func() bool) http.Handler
}
