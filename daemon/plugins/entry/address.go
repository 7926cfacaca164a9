package entry

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/keyhash"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

// maxKeyBytes bounds the key of a request.
const maxKeyBytes = 1024

// hopHeaders are not passed on in either direction.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// secretHeaders carry the caller key and never leave the entry daemon.
var secretHeaders = map[string]bool{"Authorization": true, "X-Api-Key": true}

// authenticator finds the team behind a caller key.
type authenticator struct {
	control kernel.Control
	secret  []byte
}

func (a *authenticator) authenticate(v *view.View, r *http.Request) (view.Caller, error) {
	key := callerKey(r)
	if key == "" {
		return view.Caller{}, outcome.New(outcome.Unauthenticated, "no caller key")
	}
	caller, ok := v.Callers[keyhash.Sum(a.secret, key)]
	if !ok {
		return view.Caller{}, outcome.New(outcome.Unauthenticated, "caller key is not valid")
	}
	return caller, nil
}

func callerKey(r *http.Request) string {
	if key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		return key
	}
	return r.Header.Get("X-Api-Key")
}

// address fills in everything about the request but its owner.
func (e *entry) address(v *view.View, r *http.Request, req *wire.Request) error {
	route, ok := v.Config.MatchRoute(r.URL.Path)
	if !ok {
		return outcome.New(outcome.UnknownRoute, "%s", r.URL.Path)
	}
	svc := v.Config.Services[route.Service]
	if !mayUse(v.Config.Teams[req.Team], route.Service) {
		return outcome.New(outcome.Forbidden, "team %s may not use %s", req.Team, route.Service)
	}
	source, err := fleet.ParseKeySource(route.Key)
	if err != nil {
		return outcome.New(outcome.BadRequest, "route: %v", err)
	}
	key := source.Extract(route.Prefix, r.URL.Path, r.Header)
	if key == "" || len(key) > maxKeyBytes {
		return outcome.New(outcome.BadRequest, "no key of 1 to %d bytes at %s", maxKeyBytes, route.Key)
	}
	req.TimeoutMs, err = timeoutOf(r, svc)
	if err != nil {
		return err
	}
	req.Body, err = readBody(r, svc.BodyLimit())
	if err != nil {
		return err
	}
	req.Service = route.Service
	req.Key = key
	req.Method = r.Method
	req.Path = r.URL.RequestURI()
	req.Idempotent = route.IsIdempotent(r.Method)
	req.Headers = forwardHeaders(r.Header)
	return nil
}

func mayUse(t fleet.Team, service string) bool {
	for _, s := range t.Services {
		if s == service {
			return true
		}
	}
	return false
}

func timeoutOf(r *http.Request, svc fleet.Service) (uint64, error) {
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		if svc.DefaultTimeoutMS > 0 {
			return uint64(svc.DefaultTimeoutMS), nil
		}
		return fleet.DefaultTimeoutMS, nil
	}
	ms, err := strconv.ParseUint(text, 10, 32)
	if err != nil || ms == 0 {
		return 0, outcome.New(outcome.BadRequest, "%s: %q is not a positive number", HeaderTimeout, text)
	}
	return ms, nil
}

func forwardHeaders(h http.Header) []*wire.Header {
	var list []*wire.Header
	for name, values := range h {
		if hopHeaders[name] || secretHeaders[name] || strings.HasPrefix(name, "X-Sesamemoor-") {
			continue
		}
		for _, value := range values {
			list = append(list, &wire.Header{Name: name, Value: value})
		}
	}
	return list
}
