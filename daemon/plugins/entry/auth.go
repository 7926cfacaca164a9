package entry

import (
	"net/http"
	"net/url"
	"strings"
	"sync"

	"github.com/sesamemoor/sesamemoor/core/keyhash"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/edge"
)

// systemHeaderPrefix is the prefix of the headers of the system's own protocols.
const systemHeaderPrefix = "X-Sesamemoor-"

// maxRequestID is the largest length of a request id that a caller chose, in
// bytes.
const maxRequestID = 128

// Headers that carry the caller key. They are never forwarded.
const (
	headerAuthorization = "Authorization"
	headerAPIKey        = "X-Api-Key"
	bearerPrefix        = "Bearer "
)

// maxCachedHashes is the number of cached key hashes at which the cache is
// cleared.
const maxCachedHashes = 4096

// authenticator maps a caller key to its team.
type authenticator struct {
	secret    []byte
	mu        sync.RWMutex
	keyHashes map[string]string // cached hashes of valid keys, by key
}

// keyHash returns the keyed hash of a caller key. It caches only hashes of keys
// that are valid in the view; authenticate checks the validity of a key for each
// request.
func (a *authenticator) keyHash(v *view.View, key string) string {
	a.mu.RLock()
	keyHash, ok := a.keyHashes[key]
	a.mu.RUnlock()
	if ok {
		return keyHash
	}
	keyHash = keyhash.Sum(a.secret, key)
	if _, valid := v.Callers[keyHash]; !valid {
		return keyHash
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.keyHashes == nil || len(a.keyHashes) >= maxCachedHashes {
		a.keyHashes = map[string]string{}
	}
	a.keyHashes[strings.Clone(key)] = keyHash
	return keyHash
}

// authenticate returns the team of the request's caller key and stores the key in
// x. The error is of kind Unauthenticated.
func (a *authenticator) authenticate(v *view.View, h http.Header, x *exchange) (string, error) {
	key, err := callerKey(h)
	if err != nil {
		return "", err
	}
	caller, ok := v.Callers[a.keyHash(v, key)]
	if !ok {
		return "", outcome.New(outcome.Unauthenticated, "caller key is not valid")
	}
	x.key = key
	return caller.Team, nil
}

// callerKey returns the caller key of the request. A request with two keys is
// refused as ambiguous, even if they are equal.
func callerKey(h http.Header) (string, error) {
	keys := h.Values(headerAPIKey)
	for _, value := range h.Values(headerAuthorization) {
		keys = append(keys[:len(keys):len(keys)], bearerKey(value))
	}
	if len(keys) == 0 || keys[0] == "" {
		return "", outcome.New(outcome.Unauthenticated, "no caller key")
	}
	if len(keys) > 1 {
		return "", outcome.New(outcome.Unauthenticated, "more than one caller key")
	}
	return keys[0], nil
}

// bearerKey returns the key in the value of a bearer Authorization header, or "".
// The name of the scheme is not case-sensitive.
func bearerKey(value string) string {
	if len(value) < len(bearerPrefix) || !strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return strings.TrimSpace(value[len(bearerPrefix):])
}

// adoptID stores the request id that the caller chose, if any, in x.
func (x *exchange) adoptID(h http.Header) error {
	ids := h.Values(HeaderRequestID)
	if len(ids) == 0 {
		return nil
	}
	if len(ids) > 1 || !validID(ids[0]) {
		return outcome.New(outcome.BadRequest, "%s must be a single value of 1 to %d visible ASCII characters", HeaderRequestID, maxRequestID)
	}
	x.req.RequestId = ids[0]
	x.req.CallerId = true
	return nil
}

func validID(id string) bool {
	if id == "" || len(id) > maxRequestID {
		return false
	}
	return strings.IndexFunc(id, func(r rune) bool { return r < '!' || r > '~' }) < 0
}

// forwardHeaders returns the headers for the backend server, without hop-by-hop
// and system headers and without headers that contain the caller key.
func forwardHeaders(h http.Header, key string) []*wire.Header {
	named := edge.ConnectionOptions(h.Values("Connection")...)
	lowerKey := strings.ToLower(key)
	list := make([]*wire.Header, 0, len(h))
	for name, values := range h {
		if edge.HopByHopHeaders[name] || named[name] || name == headerAuthorization || name == headerAPIKey ||
			name == HeaderRequestID || strings.HasPrefix(name, systemHeaderPrefix) || strings.Contains(strings.ToLower(name), lowerKey) {
			continue
		}
		for _, value := range values {
			if !strings.Contains(value, key) {
				list = append(list, &wire.Header{Name: name, Value: value})
			}
		}
	}
	return list
}

// checkKeyLeak refuses a request that contains the caller key in its path, query,
// request id or body, which are sent to the backend server.
func checkKeyLeak(x *exchange, target *url.URL) error {
	query, err := url.QueryUnescape(target.RawQuery)
	if err != nil {
		return outcome.New(outcome.BadRequest, "query: %v", err)
	}
	for _, text := range []string{x.req.GetPath(), target.Path, query, x.req.GetRequestId()} {
		if strings.Contains(text, x.key) {
			return outcome.New(outcome.BadRequest, "caller key is only allowed in its header")
		}
	}
	if containsSecret(x.req.GetBody(), x.key) {
		return outcome.New(outcome.BadRequest, "caller key is only allowed in its header")
	}
	return nil
}

// checkPath refuses a path that a backend server could interpret as a different
// path than the one that was matched to a route.
func checkPath(target *url.URL) error {
	if target.Opaque != "" || !strings.HasPrefix(target.Path, "/") {
		return outcome.New(outcome.BadRequest, "request target is not a path")
	}
	raw := strings.ToLower(target.EscapedPath())
	if strings.Contains(raw, "%2f") || strings.Contains(raw, "%5c") || strings.Contains(raw, "\\") {
		return outcome.New(outcome.BadRequest, "path contains an encoded slash or a backslash")
	}
	if strings.IndexFunc(target.Path, func(r rune) bool { return r < ' ' || r == 0x7f }) >= 0 {
		return outcome.New(outcome.BadRequest, "path contains a control character")
	}
	segments := strings.Split(target.Path[1:], "/")
	for i, s := range segments {
		s, _, _ = strings.Cut(s, ";")
		if s == "." || s == ".." || (s == "" && i < len(segments)-1) {
			return outcome.New(outcome.BadRequest, "path is not canonical")
		}
	}
	return nil
}
