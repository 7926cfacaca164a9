// Package dialect defines what the daemon needs of the protocols that its
// surroundings speak. An implementation translates and decides nothing.
package dialect

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// ErrMalformed reports a message that cannot be used.
var ErrMalformed = errors.New("dialect: malformed message")

// CallerRequest is what a caller says of its request beside method, host, path,
// headers and body.
type CallerRequest struct {
	ID       string
	Key      string        // caller key; "" if there is none
	Patience time.Duration // how long the caller waits; 0 if it does not say
	// NumberKey is the request's key in a numeric key space; HasNumberKey tells
	// whether there is one.
	NumberKey    uint32
	HasNumberKey bool
}

// Callers translates the messages of callers.
type Callers interface {
	// Decode returns what the request says. The error wraps ErrMalformed.
	Decode(r *http.Request) (CallerRequest, error)
	// Private reports whether a header, in canonical form, is not passed on.
	Private(header string) bool
	// SetRequestID names the request in the headers of its answer.
	SetRequestID(h http.Header, id string)
}

// BackendRequest is what a backend server is told of a request.
type BackendRequest struct {
	ID             string
	Left           time.Duration // time left to answer
	Instance       string        // that is to run it
	Team           string        // "" if the caller has none
	CallingService string
	NumberKey      uint32
	HasNumberKey   bool
}

// BackendAnswer is what the headers of a backend server's answer say.
type BackendAnswer struct {
	ID     string // of the request that it answers
	NotRun bool   // the request did not run
	Sealed bool   // the backend server vouches for the answer
	// Misdirected tells that the request is not this server's: another instance
	// has the address, or the key is not granted.
	Misdirected bool
	// Pace is how long work takes on the server's machine at this moment, 1 being
	// usual; 0 if the answer does not tell.
	Pace float64
}

// KeyRange is a range of numeric keys under a fencing token.
type KeyRange struct {
	First, Last uint32 // inclusive
	Token       uint64
}

// ErrFenced reports that the backend server has seen a higher token.
var ErrFenced = errors.New("dialect: the backend server has seen a higher fencing token")

// Backends translates the messages of the backend server beside the daemon.
type Backends interface {
	// Encode adds what the backend server is told to the headers.
	Encode(h http.Header, req BackendRequest)
	// Decode returns what an answer's status and headers say.
	Decode(resp *http.Response) BackendAnswer
	// Grant grants keys for a time from the arrival of the call on; handover is
	// the last holder's token or "". The same call again renews the grant.
	Grant(ctx context.Context, client *http.Client, addr string, keys KeyRange, hold time.Duration, handover string) error
	// Release takes keys back. It returns when the work on them has ended, with
	// the token for the next holder.
	Release(ctx context.Context, client *http.Client, addr string, keys KeyRange) (string, error)
}

// Announcement is what a backend server says of itself.
type Announcement struct {
	ID       string
	Service  string
	Addr     string
	Slots    uint32
	Leaving  bool
	Sequence uint64        // rises with each announcement of one life
	Born     int64         // start of this life, in milliseconds since 1970; 0 if not stated
	ColdFor  time.Duration // how long it stays cold
}

// AnnouncementSink takes in announcements. It reports whether an announcement
// may be acknowledged.
type AnnouncementSink interface {
	Announced(a Announcement) bool
	// Gone tells that the backend server stops soon and must get no new work.
	Gone(id string, born int64) bool
}

// Announcements translates the calls of backend servers.
type Announcements interface {
	Handler(sink AnnouncementSink) http.Handler
}

// Probes translates the calls of the platform that ask whether the daemon is
// ready.
type Probes interface {
	Handler(ready func() bool) http.Handler
}
