package fleet

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// KeySource is the location of the key in a request.
type KeySource struct {
	Header  string // header name, or empty
	Segment int    // path segment after the prefix, used when Header is empty
}

// ParseKeySource parses "header:NAME" or "path:N" with N from 0 to 32.
func ParseKeySource(s string) (KeySource, error) {
	kind, arg, ok := strings.Cut(s, ":")
	if !ok || arg == "" {
		return KeySource{}, fmt.Errorf("%q is not \"header:NAME\" or \"path:N\"", s)
	}
	switch kind {
	case "header":
		return KeySource{Header: http.CanonicalHeaderKey(arg)}, nil
	case "path":
		n, err := strconv.Atoi(arg)
		if err != nil || n < 0 || n > 32 {
			return KeySource{}, fmt.Errorf("%q: segment is not in 0 to 32", s)
		}
		return KeySource{Segment: n}, nil
	default:
		return KeySource{}, fmt.Errorf("%q is not \"header:NAME\" or \"path:N\"", s)
	}
}

// Extract returns the key of a request with the given path and header, or "" if
// there is none. prefix is the prefix of the matched route.
func (k KeySource) Extract(prefix, path string, header http.Header) string {
	if k.Header != "" {
		return header.Get(k.Header)
	}
	rest := strings.Trim(strings.TrimPrefix(path, prefix), "/")
	segments := strings.Split(rest, "/")
	if k.Segment >= len(segments) {
		return ""
	}
	return segments[k.Segment]
}

// MatchRoute returns the route with the longest prefix of path. A prefix
// matches whole path segments only.
func (c *Config) MatchRoute(path string) (Route, bool) {
	var best Route
	found := false
	for _, r := range c.Routes {
		if !prefixMatches(r.Prefix, path) {
			continue
		}
		if !found || len(r.Prefix) > len(best.Prefix) {
			best = r
			found = true
		}
	}
	return best, found
}

func prefixMatches(prefix, path string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// IsIdempotent reports whether requests with the method may be retried on the route.
func (r Route) IsIdempotent(method string) bool {
	if len(r.Idempotent) == 0 {
		return method == http.MethodGet || method == http.MethodHead
	}
	return slices.Contains(r.Idempotent, method)
}

// BodyLimit returns the maximum size of request and response bodies in bytes.
func (s Service) BodyLimit() int64 {
	if s.MaxBodyBytes == 0 {
		return DefaultMaxBodyBytes
	}
	return s.MaxBodyBytes
}
