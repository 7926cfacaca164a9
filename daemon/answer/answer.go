// Package answer converts between errors and the responses that daemons send to
// each other. Kind, detail and retry delay of an *outcome.Err are preserved.
package answer

import (
	"errors"
	"net/http"
	"time"

	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// Refusal returns the response to a request that failed with err.
func Refusal(err error) *wire.Response {
	kind := outcome.KindOf(err)
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

// Check returns nil for a complete response of a backend server. It returns an
// *outcome.Err for a refusal, a truncated body, or a status outside 200 to 599.
func Check(resp *wire.Response) error {
	kind := outcome.Kind(resp.GetKind())
	switch {
	case kind != outcome.OK:
		err := outcome.New(kind, "%s", resp.GetDetail())
		err.RetryAfter = time.Duration(resp.GetRetryAfterMs()) * time.Millisecond
		return err
	case int(resp.GetBodyLength()) != len(resp.GetBody()):
		return outcome.New(outcome.AnswerCut, "response body has %d bytes, expected %d", len(resp.GetBody()), resp.GetBodyLength())
	case resp.GetStatus() < 200 || resp.GetStatus() > 599:
		return outcome.New(outcome.BackendError, "expected status 200 to 599, got %d", resp.GetStatus())
	}
	return nil
}

// AllowsRepeat reports whether a request may be sent again after this response: it is a
// refusal of any kind, or the backend server's own error.
func AllowsRepeat(resp *wire.Response) bool {
	return outcome.Kind(resp.GetKind()) != outcome.OK || resp.GetStatus() >= http.StatusInternalServerError
}
