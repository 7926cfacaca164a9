package backendconn

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/sesamemoor/sesamemoor/core/callermemory"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/bodies"
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
)

// ResponseReader reads the responses of a backend server. It bounds the memory that they
// take, one by one and together: a server may send bytes without end. It is safe for
// concurrent use.
type ResponseReader struct{ bodies *bodies.Reader }

// NewResponseReader returns a reader of responses.
func NewResponseReader() ResponseReader {
	return ResponseReader{bodies: bodies.NewReader(ownResponseBytes, sharedResponseBytes)}
}

// ReadOwn is Read for the response to the request of a trace. marks returns what a response says
// of itself. If the response ended with its connection, a second copy that a faulty server wrote
// there is left out; see ownBody. A response with a length or in chunks that contains the head of one
// to this request or another one of its connection is an error, and so is one with a length whose end is
// within another response.
func (r *ResponseReader) ReadOwn(ctx context.Context, httpResp *http.Response, trace *Trace, marks func(*http.Response) Marks) (*wire.Response, error) {
	recorder := &readRecorder{Reader: httpResp.Body}
	httpResp.Body = struct {
		io.Reader
		io.Closer
	}{recorder, httpResp.Body}
	resp, err := r.Read(ctx, httpResp)
	x := exchangeOf(ctx)
	x.BodyEnd, x.EndSeenBy = bodyEndOf(httpResp, recorder.err), trace.endSeenBy()
	if err != nil {
		return nil, err
	}
	n := requestIDs{own: trace.RequestID, marks: marks, kept: trace.Kept(), carried: trace.Carried, quotes: func(id string) { exchangeOf(ctx).Quotes = id }}
	own := resp.Body
	follower := FollowerNone
	switch framingOf(httpResp) {
	case FramingClose:
		own, err = ownBody(httpResp, resp.Body, recorder.lastRead, n)
	case FramingLength:
		follower = trace.follower(ctx, httpResp, resp.Body)
		exchangeOf(ctx).Follower = follower
		fallthrough
	default:
		if follower == FollowerRest || n.containsCopy(resp.Body) {
			err = outcome.New(outcome.AnswerCut, "response contains another one")
		}
	}
	if err != nil || len(own) < len(resp.Body) {
		d := Discarded{AnswerID: trace.RequestID, Reason: DiscardCopy}
		if err == nil {
			size, _ := scanHead(resp.Body[len(own):])
			d.Bytes = len(resp.Body) - len(own) - size
		}
		recordDiscarded(ctx, d)
	}
	if err != nil {
		trace.sawCopy()
		trace.Discard()
		return nil, err
	}
	exchangeOf(ctx).BodyBytes = len(own)
	resp.Body, resp.BodyLength = own, uint32(len(own))
	return resp, nil
}

// Read reads a backend server's response completely; a truncated one is an
// error. ctx is the context of the attempt. The error is an *outcome.Err.
func (r *ResponseReader) Read(ctx context.Context, httpResp *http.Response) (*wire.Response, error) {
	if httpResp.ContentLength > maxResponseBytes {
		return nil, outcome.New(outcome.AnswerTooLarge, "response of %d bytes exceeds %d", httpResp.ContentLength, maxResponseBytes)
	}
	charge := callermemory.ChargeOf(ctx)
	if n := httpResp.ContentLength; n > callermemory.SmallBytes {
		if err := awaitRoom(ctx, charge, callermemory.AnswerBytes(n)); err != nil {
			return nil, outcome.New(outcome.DeadlineMaybeRan, "no memory for the response until the deadline")
		}
	}
	body, release, err := r.bodies.ReadWithin(httpResp.Body, maxResponseBytes, func(size int64) error {
		return awaitRoom(ctx, charge, callermemory.AnswerBytes(size))
	})
	release() // this bound is on the responses that are being read
	if err == nil && cap(body) > len(body)+len(body)/wasteShare {
		body = slices.Clone(body)
	}
	charge.Set(callermemory.AnswerBytes(int64(len(body))))
	switch {
	case errors.Is(err, bodies.ErrNoMemory):
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
	exchangeOf(ctx).BodyBytes = len(body)
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

const (
	// wasteShare is the part of a body that its buffer may exceed it by. It grows by doubling,
	// and the answer may wait for long.
	wasteShare = 8
	// roomInterval is the interval at which room for a response is looked for.
	roomInterval = 5 * time.Millisecond
)

// awaitRoom waits until the hold of a running request has grown to n bytes. Meanwhile nothing
// more of its response is read, and its slot stays occupied.
func awaitRoom(ctx context.Context, charge *callermemory.Charge, n int64) error {
	for charge.ReserveFirst(n) != callermemory.Admitted {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(roomInterval):
		}
	}
	return nil
}

// DrainBody reads and discards the body of a refusal, so that the connection can
// be reused. It does not wait for a body that is long or has no length: closing it
// closes the connection.
func DrainBody(httpResp *http.Response) {
	if httpResp.ContentLength >= 0 && httpResp.ContentLength <= maxRefusalBodyBytes {
		_, _ = io.CopyN(io.Discard, httpResp.Body, maxRefusalBodyBytes)
	}
}
