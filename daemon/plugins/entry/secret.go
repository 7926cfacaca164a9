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

// ownPrefix starts the headers of the system's own protocols.
const ownPrefix = "X-Sesamemoor-"

// maxRequestID bounds a request id that a caller chose.
const maxRequestID = 128

// The headers that carry the caller key and never leave the entry daemon.
const (
	headerAuthorization = "Authorization"
	headerAPIKey        = "X-Api-Key"
	bearer              = "Bearer "
)

// maxSums bounds the caller keys whose hashes are kept.
const maxSums = 4096

// authenticator finds the team behind a caller key.
type authenticator struct {
	secret []byte
	mu     sync.RWMutex
	sums   map[string]string // hash of each valid key seen, by key
}

// sum returns the keyed hash of a caller key. Hashes are kept only of keys that
// the view knows; whether a key is valid is looked up anew for each request.
func (a *authenticator) sum(v *view.View, key string) string {
	a.mu.RLock()
	sum, ok := a.sums[key]
	a.mu.RUnlock()
	if ok {
		return sum
	}
	sum = keyhash.Sum(a.secret, key)
	if _, valid := v.Callers[sum]; !valid {
		return sum
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sums == nil || len(a.sums) >= maxSums {
		a.sums = map[string]string{}
	}
	a.sums[strings.Clone(key)] = sum
	return sum
}

// authenticate returns the team and notes the caller key in x.
func (a *authenticator) authenticate(v *view.View, h http.Header, x *exchange) (string, error) {
	key, err := callerKey(h)
	if err != nil {
		return "", err
	}
	caller, ok := v.Callers[a.sum(v, key)]
	if !ok {
		return "", outcome.New(outcome.Unauthenticated, "caller key is not valid")
	}
	x.key = key
	return caller.Team, nil
}

// callerKey returns the only caller key of the request. Two keys are refused
// even if they are equal: it would be unclear which one counts.
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

// bearerKey returns the key of a bearer authorization, or "". The name of the
// scheme is not case-sensitive.
func bearerKey(value string) string {
	if len(value) < len(bearer) || !strings.EqualFold(value[:len(bearer)], bearer) {
		return ""
	}
	return strings.TrimSpace(value[len(bearer):])
}

// takeID takes over the request id that the caller chose, if there is one.
func (x *exchange) takeID(h http.Header) error {
	ids := h.Values(HeaderRequestID)
	if len(ids) == 0 {
		return nil
	}
	if len(ids) > 1 || !validID(ids[0]) {
		return outcome.New(outcome.BadRequest, "%s is not one of 1 to %d visible ASCII characters", HeaderRequestID, maxRequestID)
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

// forwardHeaders returns the headers for the backend server: none that belongs
// to the connection or the system, and none that holds the caller key.
func forwardHeaders(h http.Header, key string) []*wire.Header {
	named := edge.Named(h.Values("Connection")...)
	lowerKey := strings.ToLower(key)
	list := make([]*wire.Header, 0, len(h))
	for name, values := range h {
		if edge.HopHeaders[name] || named[name] || name == headerAuthorization || name == headerAPIKey ||
			name == HeaderRequestID || strings.HasPrefix(name, ownPrefix) || strings.Contains(strings.ToLower(name), lowerKey) {
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

// checkSecret refuses a request that would show the caller key to the backend
// server outside its headers.
func checkSecret(x *exchange, target *url.URL) error {
	query, err := url.QueryUnescape(target.RawQuery)
	if err != nil {
		return outcome.New(outcome.BadRequest, "query: %v", err)
	}
	for _, place := range []string{x.req.GetPath(), target.Path, query, x.req.GetRequestId()} {
		if strings.Contains(place, x.key) {
			return outcome.New(outcome.BadRequest, "the caller key may stand in its header only")
		}
	}
	if containsSecret(x.req.GetBody(), x.key) {
		return outcome.New(outcome.BadRequest, "the caller key may stand in its header only")
	}
	return nil
}

// checkTarget refuses paths that a backend server could read as another path
// than the one that was checked.
func checkTarget(target *url.URL) error {
	if target.Opaque != "" || !strings.HasPrefix(target.Path, "/") {
		return outcome.New(outcome.BadRequest, "target is not a path")
	}
	raw := strings.ToLower(target.EscapedPath())
	if strings.Contains(raw, "%2f") || strings.Contains(raw, "%5c") || strings.Contains(raw, "\\") {
		return outcome.New(outcome.BadRequest, "path holds an encoded slash or a backslash")
	}
	if strings.IndexFunc(target.Path, func(r rune) bool { return r < ' ' || r == 0x7f }) >= 0 {
		return outcome.New(outcome.BadRequest, "path holds a control character")
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
