package backendconn

import (
	"net/http"
	"slices"
	"strings"

	"github.com/sesamemoor/sesamemoor/core/outcome"
)

// errMergedHeads is the error of an answer that broke off in its head, with the head of another one
// behind. Which of the two a field, the status or the body belongs to cannot be told.
var errMergedHeads = outcome.New(outcome.AnswerCut, "response broke off in its head and another one follows")

// mergesHeads reports whether the head of an answer to the request id is made of two: what was cut
// in a line ends in the status line of the next one. A field that both have then comes twice, and
// the second may name another request. If they have no field in common, the status line is known by
// what it follows: one that is quoted does not follow a word directly.
func mergesHeads(answer *http.Response, id string) bool {
	if endsInStatusLine(answer.Status) {
		return true
	}
	for name, values := range answer.Header {
		if slices.ContainsFunc(values, breaksOffInStatusLine) {
			return true
		}
		if len(values) < 2 {
			continue
		}
		isOther := func(value string) bool { return value != id }
		namesTwo := namesRequest(answer, name, id) && slices.Contains(values, id) && slices.ContainsFunc(values, isOther)
		if namesTwo || slices.ContainsFunc(values, endsInStatusLine) {
			return true
		}
	}
	return false
}

// CheckPromise returns an error if an answer to the request says that it did not run, but may be made of
// two heads: a field ends in a status line, even if a server may quote one there. The connection is
// discarded then.
func (t *Trace) CheckPromise(answer *http.Response) error {
	if !quotesStatusLine(answer.Header) {
		return nil
	}
	t.sawCopy()
	t.Discard()
	RecordDiscarded(answer.Request.Context(), t.RequestID, DiscardMergedHeads)
	return errMergedHeads
}

// quotesStatusLine reports whether any value ends in a status line. It may be a quotation.
func quotesStatusLine(header http.Header) bool {
	for _, values := range header {
		if slices.ContainsFunc(values, endsInStatusLine) {
			return true
		}
	}
	return false
}

// namesRequest reports whether a field is one in which the request of an answer gave its id. Others
// may have several ids.
func namesRequest(answer *http.Response, name, id string) bool {
	return id != "" && answer.Request != nil && slices.Contains(answer.Request.Header[name], id)
}

// endsInStatusLine reports whether the rest of a text is the status line of an answer.
func endsInStatusLine(text string) bool {
	at := strings.LastIndex(text, statusLineStart)
	return at >= 0 && startsStatusLine([]byte(text[at:]))
}

// breaksOffInStatusLine reports whether a word in a text breaks off, and the rest is the status line of
// an answer.
func breaksOffInStatusLine(text string) bool {
	at := strings.LastIndex(text, statusLineStart)
	return at > 0 && endsInStatusLine(text) && isWordByte(text[at-1])
}

// isWordByte reports whether a byte cannot stand directly before a quotation.
func isWordByte(b byte) bool {
	isLetter, isDigit := b|0x20 >= 'a' && b|0x20 <= 'z', b >= '0' && b <= '9'
	return isLetter || isDigit || strings.IndexByte("-_.+/\r", b) >= 0
}
