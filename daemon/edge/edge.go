// Package edge is shared by the plug-ins that accept HTTP requests. It listens
// with graceful shutdown, reads bodies within limits, lists hop-by-hop headers and
// computes request fingerprints.
package edge

import (
	"errors"
	"iter"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/bodies"
)

const (
	// readBodyTimeout is the time within which a caller must send its body.
	readBodyTimeout = 30 * time.Second
	// WriteTimeout is the time within which a caller must receive its response.
	WriteTimeout = 30 * time.Second
)

// HopByHopHeaders are the headers that are not forwarded in either direction:
// hop-by-hop headers, Content-Length and Expect.
var HopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// ConnectionOptions returns the canonical names of the headers that are listed in the
// values of Connection headers. They are hop-by-hop, too.
func ConnectionOptions(values ...string) map[string]bool {
	var named map[string]bool
	for _, value := range values {
		for token := range strings.SplitSeq(value, ",") {
			if named == nil {
				named = map[string]bool{}
			}
			named[http.CanonicalHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	return named
}

// EndToEndHeaders returns the canonical names and the values of a backend server's headers
// that are passed on to the caller.
func EndToEndHeaders(resp *wire.Response) iter.Seq2[string, string] {
	return func(yield func(name, value string) bool) {
		var options []string
		for _, field := range resp.GetHeaders() {
			if http.CanonicalHeaderKey(field.GetName()) == "Connection" {
				options = append(options, field.GetValue())
			}
		}
		listed := ConnectionOptions(options...)
		for _, field := range resp.GetHeaders() {
			name := http.CanonicalHeaderKey(field.GetName())
			if !HopByHopHeaders[name] && !listed[name] && !yield(name, field.GetValue()) {
				return
			}
		}
	}
}

const (
	// maxForwardedBytes bounds the body of a request, which a frame between daemons must
	// hold beside the headers.
	maxForwardedBytes = 9 << 20
	// ownBodyBytes is the memory that the body of each request may take.
	ownBodyBytes = 64 << 10
	// bodiesShare is the fraction of the process's memory that all bodies that are held may
	// take beyond ownBodyBytes each. Each is copied into a frame and out of it.
	bodiesShare = 1.0 / 8
	// defaultBodiesBytes is that bound if the memory is not limited.
	defaultBodiesBytes = 64 << 20
)

// NewBodies returns the reader of request bodies for a process with a memory limit in MB; 0
// means no limit.
func NewBodies(memoryMB int64) *bodies.Reader {
	if memoryMB <= 0 {
		return bodies.NewReader(ownBodyBytes, defaultBodiesBytes)
	}
	return bodies.NewReader(ownBodyBytes, int64(bodiesShare*float64(memoryMB)*(1<<20)))
}

// ReadBody reads the whole body, of at most limit bytes. A body that cannot be forwarded is
// refused before it is read. The caller calls release when it no longer needs the body. The
// error is an *outcome.Err.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, reader *bodies.Reader) (body []byte, release func(), err error) {
	none := func() {}
	limit = min(limit, maxForwardedBytes)
	if r.ContentLength > limit {
		return nil, none, outcome.New(outcome.BodyTooLarge, "body of %d bytes exceeds the limit of %d bytes", r.ContentLength, limit)
	}
	if r.ContentLength == 0 {
		return nil, none, nil
	}
	ctl := http.NewResponseController(w)
	_ = ctl.SetReadDeadline(time.Now().Add(readBodyTimeout))
	room := func(size int64) error { return reserveBody(r.Context(), size) }
	if r.ContentLength > 0 {
		if err := room(r.ContentLength); err != nil {
			return nil, none, outcome.New(outcome.Overloaded, "read body: %v", err)
		}
		body, release, err = reader.ReadSized(r.Body, r.ContentLength)
	} else {
		body, release, err = reader.ReadWithin(r.Body, limit, room)
	}
	switch {
	case errors.Is(err, bodies.ErrNoMemory):
		return nil, release, outcome.New(outcome.Overloaded, "read body: %v", err)
	case err != nil:
		return nil, release, outcome.New(outcome.BadRequest, "read body: %v", err)
	case int64(len(body)) > limit:
		return nil, release, outcome.New(outcome.BodyTooLarge, "body exceeds the limit of %d bytes", limit)
	}
	_ = ctl.SetReadDeadline(time.Time{})
	return body, release, nil
}

// Fingerprint returns a hash that identifies requests with the same body and
// parts, to track those that crash a backend server. It is never 0.
func Fingerprint(body []byte, parts ...string) uint64 {
	h := xxhash.New()
	for _, part := range parts {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return max(1, h.Sum64())
}
