package guard

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

const (
	// maxAnswerBytes bounds a backend server's answer.
	maxAnswerBytes = 8 << 20
	// maxRefusalBytes bounds what is read of a refusal's body.
	maxRefusalBytes = 4 << 10
)

// ReadAnswer reads a backend server's answer to the end; a part of one is an error.
// ctx is that of the attempt. The error is an *outcome.Err.
func ReadAnswer(ctx context.Context, httpResp *http.Response) (*wire.Response, error) {
	body, err := io.ReadAll(io.LimitReader(httpResp.Body, maxAnswerBytes+1))
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && err != nil:
		return nil, outcome.New(outcome.DeadlineMaybeRan, "answer not whole in time")
	case ctx.Err() != nil && err != nil:
		return nil, outcome.New(outcome.CancelledMaybeRan, "cancelled")
	case err != nil:
		return nil, outcome.New(outcome.AnswerCut, "%v", err)
	case len(body) > maxAnswerBytes:
		return nil, outcome.New(outcome.AnswerTooLarge, "answer exceeds %d bytes", maxAnswerBytes)
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

// SkipRefusal reads the body of a refusal, so that the connection can be used
// again.
func SkipRefusal(httpResp *http.Response) {
	_, _ = io.CopyN(io.Discard, httpResp.Body, maxRefusalBytes)
}
