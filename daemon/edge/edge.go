// Package edge is what the plug-ins that take callers' requests share: how a body
// is read, which headers stay on their connection, and what tells requests apart.
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
	// readBodyTimeout bounds how slowly a caller may send its body.
	readBodyTimeout = 30 * time.Second
	// WriteTimeout bounds how slowly a caller may take its answer.
	WriteTimeout = 30 * time.Second
)

// HopHeaders concern one connection only and are not passed on in either direction.
var HopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// Named returns the headers that the values of Connection headers name: they
// concern one connection only, too.
func Named(values ...string) map[string]bool {
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

// ReadBody reads the whole body within a limit in bytes. The error is an
// *outcome.Err.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, outcome.New(outcome.BodyTooLarge, "body of %d bytes exceeds %d", r.ContentLength, limit)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	ctl := http.NewResponseController(w)
	_ = ctl.SetReadDeadline(time.Now().Add(readBodyTimeout))
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, outcome.New(outcome.BadRequest, "body: %v", err)
	}
	if int64(len(body)) > limit {
		return nil, outcome.New(outcome.BodyTooLarge, "body exceeds %d bytes", limit)
	}
	_ = ctl.SetReadDeadline(time.Time{})
	return body, nil
}

// Fingerprint tells requests apart that could crash a backend server. It is never
// 0.
func Fingerprint(body []byte, parts ...string) uint64 {
	h := xxhash.New()
	for _, part := range parts {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return max(1, h.Sum64())
}
