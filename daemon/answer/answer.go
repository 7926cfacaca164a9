// Package answer makes and checks the answers that daemons pass to each other.
package answer

import (
	"errors"
	"time"

	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// Refusal returns the answer to a request that ended with err.
func Refusal(err error) *wire.Response {
	kind := outcome.Of(err)
	detail := err.Error()
	var e *outcome.Err
	if errors.As(err, &e) {
		detail = e.Detail
	}
	return &wire.Response{
		Kind: uint32(kind), Status: uint32(kind.Answer().Status), Detail: detail,
		RetryAfterMs: uint32(outcome.RetryAfterOf(err).Milliseconds()),
	}
}

// Check returns the error of an answer that is a refusal, not whole, or not a
// backend server's. It is an *outcome.Err.
func Check(resp *wire.Response) error {
	kind := outcome.Kind(resp.GetKind())
	switch {
	case kind != outcome.OK:
		err := outcome.New(kind, "%s", resp.GetDetail())
		err.RetryAfter = time.Duration(resp.GetRetryAfterMs()) * time.Millisecond
		return err
	case int(resp.GetBodyLength()) != len(resp.GetBody()):
		return outcome.New(outcome.AnswerCut, "answer of %d bytes instead of %d", len(resp.GetBody()), resp.GetBodyLength())
	case resp.GetStatus() < 200 || resp.GetStatus() > 599:
		return outcome.New(outcome.BackendError, "status %d", resp.GetStatus())
	}
	return nil
}
