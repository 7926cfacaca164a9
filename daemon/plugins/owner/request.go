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

// The transport sends a request again by itself, after a part of it was
// written, if it takes it for idempotent: by its method, or by one of
// replayHeaders, and with a body that is absent or can be rewound. Requests
// here never meet that.

// onceBody is a request body that the transport cannot rewind.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// replayHeaders mark a request as idempotent to the transport, which looks for
// these spellings only. Header names are compared without case by servers.
var replayHeaders = map[string]string{
	"Idempotency-Key":   strings.ToLower("Idempotency-Key"),
	"X-Idempotency-Key": strings.ToLower("X-Idempotency-Key"),
}

// replayMethods are idempotent to the transport.
var replayMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true, http.MethodTrace: true,
}

// newRequest returns the request to the backend server.
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
	h.Set(headerDeadline, strconv.FormatInt(end.left.Milliseconds(), 10))
	h.Set(headerExpires, strconv.FormatInt(end.wall.UnixMicro(), 10))
	return httpReq, nil
}

// bodyOf returns the body of a request. An empty one is absent, so that it is
// not sent in chunks; not so with a method by which the transport would send
// the request again.
func bodyOf(req *wire.Request) io.Reader {
	if len(req.GetBody()) == 0 && !replayMethods[req.GetMethod()] {
		return http.NoBody
	}
	return onceBody{bytes.NewReader(req.GetBody())}
}
