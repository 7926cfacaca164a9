// Package edge is shared by the plug-ins that accept HTTP requests. It listens
// with graceful shutdown, reads bodies within limits, lists hop-by-hop headers and
// computes request fingerprints.
package edge

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sesamemoor/sesamemoor/core/outcome"
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

// ReadBody reads the whole body, of at most limit bytes. The error is an
// *outcome.Err.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, outcome.New(outcome.BodyTooLarge, "body of %d bytes exceeds the limit of %d bytes", r.ContentLength, limit)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	ctl := http.NewResponseController(w)
	_ = ctl.SetReadDeadline(time.Now().Add(readBodyTimeout))
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, outcome.New(outcome.BadRequest, "read body: %v", err)
	}
	if int64(len(body)) > limit {
		return nil, outcome.New(outcome.BodyTooLarge, "body exceeds the limit of %d bytes", limit)
	}
	_ = ctl.SetReadDeadline(time.Time{})
	return body, nil
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
