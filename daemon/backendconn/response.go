package backendconn

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

const (
	// maxResponseBytes bounds the body of a backend server's response.
	maxResponseBytes = 8 << 20
	// maxRefusalBodyBytes bounds the bytes read from a refusal's body.
	maxRefusalBodyBytes = 4 << 10
)

// ReadResponse reads a backend server's response completely; a truncated one is an
// error. ctx is the context of the attempt. The error is an *outcome.Err.
func ReadResponse(ctx context.Context, httpResp *http.Response) (*wire.Response, error) {
	body, err := io.ReadAll(io.LimitReader(httpResp.Body, maxResponseBytes+1))
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && err != nil:
		return nil, outcome.New(outcome.DeadlineMaybeRan, "response incomplete at the deadline")
	case ctx.Err() != nil && err != nil:
		return nil, outcome.New(outcome.CancelledMaybeRan, "cancelled")
	case err != nil:
		return nil, outcome.New(outcome.AnswerCut, "%v", err)
	case len(body) > maxResponseBytes:
		return nil, outcome.New(outcome.AnswerTooLarge, "response exceeds %d bytes", maxResponseBytes)
	}
	resp := &wire.Response{
		Kind: uint32(outcome.OK), Status: uint32(httpResp.StatusCode), Body: body, BodyLength: uint32(len(body)),
	}
	for name, values := range httpResp.Header {
		for _, value := range values {
			resp.Headers = append(resp.Headers, &wire.Header{Name: name, Value: value})
		}
	}
	return resp, nil
}

// DrainBody reads and discards the body of a refusal, so that the connection can
// be reused.
func DrainBody(httpResp *http.Response) {
	_, _ = io.CopyN(io.Discard, httpResp.Body, maxRefusalBodyBytes)
}
