package owner

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/sesamemoor/sesamemoor/core/wire"
)

// http.Transport resends a request on its own, after a part of it was written,
// if it considers the request idempotent (by its method or by one of
// replayHeaders) and the body is absent or can be rewound. newRequest builds
// requests that never meet both conditions.

// nonRewindableBody is a request body that http.Transport cannot rewind.
type nonRewindableBody struct{ io.Reader }

func (nonRewindableBody) Close() error { return nil }

// replayHeaders maps the header names that mark a request as idempotent to
// http.Transport to spellings that the transport does not recognize. Servers
// compare header names without case.
var replayHeaders = map[string]string{
	"Idempotency-Key":   strings.ToLower("Idempotency-Key"),
	"X-Idempotency-Key": strings.ToLower("X-Idempotency-Key"),
}

// replayMethods are the methods that http.Transport considers idempotent.
var replayMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true, http.MethodTrace: true,
}

// newRequest returns the HTTP request to the backend server, which
// http.Transport sends at most once.
func newRequest(ctx context.Context, addr string, req *wire.Request, token uint64, end deadline) (*http.Request, error) {
	httpReq, err := http.NewRequestWithContext(ctx, req.GetMethod(), "http://"+addr+req.GetPath(), bodyOf(req))
	if err != nil {
		return nil, err
	}
	httpReq.ContentLength = int64(len(req.GetBody()))
	httpReq.GetBody = nil
	h := httpReq.Header
	for _, field := range req.GetHeaders() {
		h.Add(field.GetName(), field.GetValue())
	}
	for name, other := range replayHeaders {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[other] = values
		}
	}
	h.Set(headerToken, strconv.FormatUint(token, 10))
	h.Set(headerShard, strconv.FormatUint(uint64(req.GetShard()), 10))
	h.Set(headerTeam, req.GetTeam())
	h.Set(headerRequest, req.GetRequestId())
	h.Set(headerDeadline, strconv.FormatInt(end.remaining.Milliseconds(), 10))
	h.Set(headerExpires, strconv.FormatInt(end.wall.UnixMicro(), 10))
	return httpReq, nil
}

// bodyOf returns the body of a request. An empty body is http.NoBody, so that it
// is not sent in chunks, unless the method is one of replayMethods: then an empty
// nonRewindableBody keeps http.Transport from resending the request.
func bodyOf(req *wire.Request) io.Reader {
	if len(req.GetBody()) == 0 && !replayMethods[req.GetMethod()] {
		return http.NoBody
	}
	return nonRewindableBody{bytes.NewReader(req.GetBody())}
}
