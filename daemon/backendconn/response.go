package backendconn

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

const (
	// maxResponseBytes bounds the body of a backend server's response.
	maxResponseBytes = 8 << 20
	// MaxHeaderBytes bounds the status line and header of a backend server's response.
	MaxHeaderBytes = 64 << 10
	// maxRefusalBodyBytes bounds the bytes read from a refusal's body.
	maxRefusalBodyBytes = 4 << 10
	// ownResponseBytes is the memory that each response may take.
	ownResponseBytes = 1 << 20
	// sharedResponseBytes is the memory that all responses that are being read may take
	// together beyond ownResponseBytes each.
	sharedResponseBytes = 32 << 20
	// readChunkBytes is the size of the first read of a body.
	readChunkBytes = 4 << 10
)

// ResponseReader reads the responses of a backend server. It bounds the memory that they
// take, one by one and together: a server may send bytes without end. It is safe for
// concurrent use.
type ResponseReader struct {
	shared atomic.Int64 // bytes taken of sharedResponseBytes
}

// errNoMemory reports that sharedResponseBytes are taken.
var errNoMemory = errors.New("too many large responses at once")

// readBody reads a body of at most maxResponseBytes+1 bytes.
func (r *ResponseReader) readBody(body io.Reader) ([]byte, error) {
	taken := int64(0)
	defer func() { r.shared.Add(-taken) }()
	data := make([]byte, 0, readChunkBytes)
	for len(data) <= maxResponseBytes {
		if len(data) == cap(data) {
			grown := 2 * cap(data)
			if more := int64(grown - max(cap(data), ownResponseBytes)); more > 0 {
				taken += more
				if r.shared.Add(more) > sharedResponseBytes {
					return nil, errNoMemory
				}
			}
			data = append(make([]byte, 0, grown), data...)
		}
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return data, nil
}

// Read reads a backend server's response completely; a truncated one is an
// error. ctx is the context of the attempt. The error is an *outcome.Err.
func (r *ResponseReader) Read(ctx context.Context, httpResp *http.Response) (*wire.Response, error) {
	if httpResp.ContentLength > maxResponseBytes {
		return nil, outcome.New(outcome.AnswerTooLarge, "response of %d bytes exceeds %d", httpResp.ContentLength, maxResponseBytes)
	}
	body, err := r.readBody(httpResp.Body)
	switch {
	case errors.Is(err, errNoMemory):
		return nil, outcome.New(outcome.AnswerTooLarge, "%v", err)
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
// be reused. It does not wait for a body that is long or has no length: closing it
// closes the connection.
func DrainBody(httpResp *http.Response) {
	if httpResp.ContentLength >= 0 && httpResp.ContentLength <= maxRefusalBodyBytes {
		_, _ = io.CopyN(io.Discard, httpResp.Body, maxRefusalBodyBytes)
	}
}
