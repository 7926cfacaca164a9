package entry

import (
	"bytes"
	"net/http"
	"slices"
	"strconv"

	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/daemon/edge"
)

// maxKeyBytes is the largest size of a request's key.
const maxKeyBytes = 1024

// methods are the methods that are forwarded. The list is closed, so that a
// caller key cannot leave the entry daemon in the method.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// fillRequest validates the HTTP request and fills in all fields of x.req except
// those that depend on the owner. The error is an *outcome.Err.
func (e *entry) fillRequest(v *view.View, w http.ResponseWriter, r *http.Request, x *exchange) error {
	if !slices.Contains(methods, r.Method) {
		return outcome.New(outcome.BadRequest, "method is not one of %v", methods)
	}
	if err := checkPath(r.URL); err != nil {
		return err
	}
	route, ok := v.Config.MatchRoute(r.URL.Path)
	if !ok {
		return outcome.New(outcome.UnknownRoute, "no route for this path")
	}
	req := x.req
	req.Service = route.Service
	svc := v.Config.Services[route.Service]
	if !slices.Contains(v.Config.Teams[req.GetTeam()].Services, route.Service) {
		return outcome.New(outcome.Forbidden, "team %s is not allowed to use service %s", req.GetTeam(), route.Service)
	}
	var err error
	if req.Key, err = keyOf(route, r); err != nil {
		return err
	}
	if req.TimeoutMs, err = timeoutOf(r.Header, svc); err != nil {
		return err
	}
	if req.Body, x.releaseBody, err = edge.ReadBody(w, r, svc.BodyLimit(), e.bodies); err != nil {
		return err
	}
	x.bodyRead = true
	req.Method = r.Method
	req.Path = r.URL.RequestURI()
	req.Idempotent = route.IsIdempotent(r.Method)
	req.Headers = forwardHeaders(r.Header, x.key)
	req.Fingerprint = edge.Fingerprint(req.GetBody(), req.GetTeam(), req.GetService(), req.GetMethod(), req.GetPath(), req.GetKey())
	return checkKeyLeak(x, r.URL)
}

// keyOf extracts the request's key from the source that its route configures.
func keyOf(route fleet.Route, r *http.Request) (string, error) {
	source, err := fleet.ParseKeySource(route.Key)
	if err != nil {
		return "", outcome.New(outcome.BadRequest, "route: %v", err)
	}
	if source.Header != "" && len(r.Header.Values(source.Header)) > 1 {
		return "", outcome.New(outcome.BadRequest, "more than one %s header", source.Header)
	}
	key := source.Extract(route.Prefix, r.URL.Path, r.Header)
	if key == "" || len(key) > maxKeyBytes {
		return "", outcome.New(outcome.BadRequest, "expected a key of 1 to %d bytes in %s", maxKeyBytes, route.Key)
	}
	return key, nil
}

// timeoutOf returns the caller timeout in milliseconds, or the default of the
// service if the caller sent none.
func timeoutOf(h http.Header, svc fleet.Service) (uint64, error) {
	values := h.Values(HeaderTimeout)
	if len(values) == 0 {
		if svc.DefaultTimeoutMS > 0 {
			return uint64(svc.DefaultTimeoutMS), nil
		}
		return fleet.DefaultTimeoutMS, nil
	}
	ms, err := strconv.ParseUint(values[0], 10, 32)
	if len(values) > 1 || err != nil || ms == 0 || ms > maxTimeoutMS {
		return 0, outcome.New(outcome.BadRequest, "%s must be a single number from 1 to %d", HeaderTimeout, maxTimeoutMS)
	}
	return ms, nil
}

// maxTimeoutMS is the largest caller timeout in milliseconds.
const maxTimeoutMS = 600_000

// containsSecret reports whether text contains the caller key.
func containsSecret(text []byte, key string) bool { return bytes.Contains(text, []byte(key)) }
