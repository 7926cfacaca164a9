package backendconn

import (
	"errors"
	"net/http"
	"net/textproto"

	"github.com/sesamemoor/sesamemoor/core/outcome"
)

// Bounds of the status of a final response. Statuses below are interim responses or none at all,
// and RFC 9110 defines no class above.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// errInvalidStatus is the error of a response whose status is not that of a final response. The
// request may have run.
var errInvalidStatus = outcome.New(outcome.AnswerCut, "response with a status outside 200 to 599")

// maxInterim bounds the interim responses to one call. net/http has this bound only without a hook
// for interim responses.
const maxInterim = 5

var errTooManyInterim = errors.New("too many interim responses")

// isFinalStatus reports whether a status may be that of a final response.
func isFinalStatus(status int) bool { return status >= minFinalStatus && status <= maxFinalStatus }

// checkInterim returns errInvalidStatus for a response with a status from 100 to 199 that is not an
// interim response: it has another status than those of RFC 9110, 2518 and 8297, frames a body, or
// names the request. No other response follows it, so that a call that waited for one would last
// until its deadline.
func (t *Trace) checkInterim(status int, h textproto.MIMEHeader) error {
	if t.interim.Add(1) > maxInterim {
		return errTooManyInterim
	}
	switch status {
	case http.StatusContinue, http.StatusProcessing, http.StatusEarlyHints:
	default:
		return errInvalidStatus
	}
	if h.Get("Content-Length") != "" || h.Get("Transfer-Encoding") != "" {
		return errInvalidStatus
	}
	for _, values := range h {
		for _, value := range values {
			if t.RequestID != "" && value == t.RequestID {
				return errInvalidStatus
			}
		}
	}
	return nil
}
