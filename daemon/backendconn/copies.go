package backendconn

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/sesamemoor/sesamemoor/core/outcome"
)

const (
	// statusLineStart is the start of the status line of each answer.
	statusLineStart = "HTTP/1."
	// protocolName is the first word of nearly all status lines.
	protocolName = "HTTP/1.1"
)

// maxOverlappingHeads bounds how often each byte of a body is looked at. Heads overlap if one
// line has several status lines.
const maxOverlappingHeads = 16

// framingFields are fields in which a copy of an answer may differ from it.
var framingFields = []string{"Connection", "Content-Length", "Date", "Keep-Alive", "Transfer-Encoding"}

// Marks are what an answer says of itself.
type Marks struct {
	RequestID string // of the request, or ""
	Server    bool   // it is marked as an answer of a backend server, in addition
}

// requestIDs tells which request an answer names.
type requestIDs struct {
	own     string // of the request
	marks   func(answer *http.Response) Marks
	kept    bool                 // the connection carried other requests, see Trace.Kept
	carried func(id string) bool // on the connection of the request
	quotes  func(id string)      // is called for another request that was not carried; nil for none
}

// isOther reports whether an id is that of a request that was carried, other than that of the answer.
func (n requestIDs) isOther(id string) bool {
	if id == "" || id == n.own {
		return false
	}
	carried := n.carried(id)
	if !carried && n.quotes != nil {
		n.quotes(id)
	}
	return carried
}

// ownBody returns the part of body that belongs to an answer that ended with its connection. A
// faulty server may have written an answer a second time on that connection: its head is then in
// the body. It names a request that the connection carried, or no request and is otherwise the
// head of this answer or, on a kept connection, that of a backend server's answer. A head in the
// body that names another request is part of the body.
//
// What stands before a copy of this answer is returned if the copy shows that it is whole:
// what follows the second head is the same body, or a part of it if the copy is cut and the body does not
// end in padding.
// Otherwise the error is an *outcome.Err of kind AnswerCut. lastRead is where the bytes of the last
// read begin.
func ownBody(answer *http.Response, body []byte, lastRead int, n requestIDs) (own []byte, err error) {
	effort := maxOverlappingHeads*len(body) + MaxHeaderBytes // bytes to look at
	for at := indexFrom(body, statusLineStart, 0); at >= 0; at = indexFrom(body, statusLineStart, at+1) {
		size, whole := scanHead(body[at:])
		if effort -= size; effort < 0 {
			return nil, outcome.New(outcome.AnswerCut, "response without a length contains too many heads of responses")
		}
		head := body[at : at+size]
		if !whole {
			if at+size == len(body) && size > len(protocolName) && n.isStartOfCopy(answer, head) {
				return nil, outcome.New(outcome.AnswerCut, "response without a length ends in the head of a second one")
			}
			continue
		}
		second, parseErr := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), answer.Request)
		if parseErr != nil {
			if n.isStartOfCopy(answer, head) {
				return nil, outcome.New(outcome.AnswerCut, "response without a length contains a malformed second one")
			}
			continue
		}
		marks := n.marks(second)
		switch id := marks.RequestID; {
		case id == n.own || id == "" && sameHead(answer, second, n.own):
			if !isCopy(answer, second, head, body[:at], body[at+size:]) {
				return nil, outcome.New(outcome.AnswerCut, "response without a length contains a second one to the request")
			}
			return body[:at], nil
		case n.isOther(id) || id == "" && n.kept && marks.Server:
			return nil, outcome.New(outcome.AnswerCut, "response without a length contains one to request %q", id)
		}
	}
	// The name of the protocol may be the end of a body. If it came alone it is a copy's.
	if rest := body[lastRead:]; lastRead > 0 && len(rest) <= len(protocolName) && strings.HasPrefix(protocolName, string(rest)) {
		return nil, outcome.New(outcome.AnswerCut, "response without a length ends in a status line")
	}
	return body, nil
}

// containsCopy reports whether a body with a length or in chunks contains the head of an answer that
// names the request, or another one that the connection carried: the server broke off and
// wrote an answer behind.
func (n requestIDs) containsCopy(body []byte) bool {
	effort := maxOverlappingHeads*len(body) + MaxHeaderBytes
	for at := indexFrom(body, statusLineStart, 0); at >= 0; at = indexFrom(body, statusLineStart, at+1) {
		size, _ := scanHead(body[at:])
		if effort -= size; effort < 0 {
			return false
		}
		// Behind the lines of a head may be those of a body: a chunk can end between both.
		start, _ := startOfHead(strings.Split(string(body[at:at+size]), "\n"))
		if id := n.marks(start).RequestID; id != "" && (id == n.own || n.isOther(id)) {
			return true
		}
	}
	return false
}

// startOfHead returns the fields in the lines of a head but the last one, which may be cut. It reports
// false, and returns those before, if a line is none of a head.
func startOfHead(lines []string) (start *http.Response, ok bool) {
	start = &http.Response{Header: http.Header{}}
	for _, line := range lines[1:max(1, len(lines)-1)] {
		if line == "" || line == "\r" {
			continue
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return start, false
		}
		start.Header.Add(textproto.CanonicalMIMEHeaderKey(name), strings.TrimSpace(value))
	}
	return start, true
}

// isCopy reports whether second, with the bytes of its head and what follows it, is a copy of
// the answer with the body own, or the start of one.
func isCopy(answer, second *http.Response, head, own, rest []byte) bool {
	ambiguous := indexFrom(head, statusLineStart, 1) >= 0 // own may end within these bytes
	lengthFits := second.ContentLength < 0 || second.ContentLength == int64(len(own))
	// Odd bytes may stand between both, unless the copy has them too or tells its length.
	certain := second.ContentLength == int64(len(own)) || len(rest) == len(own) || !endsInPadding(own)
	return !ambiguous && lengthFits && certain && second.StatusCode == answer.StatusCode && bytes.HasPrefix(own, rest)
}

// endsInPadding reports whether the last byte of a body is one that servers write between answers.
func endsInPadding(body []byte) bool {
	return len(body) > 0 && strings.IndexByte(" \t\r\n\x00", body[len(body)-1]) >= 0
}

// scanHead returns the size of the head of an answer with which data begins, and whether it is
// whole. Of a head that is not whole, or of other data, it is the size of what was looked at.
func scanHead(data []byte) (size int, whole bool) {
	data = data[:min(len(data), MaxHeaderBytes)]
	for size < len(data) {
		line := data[size:]
		end := bytes.IndexByte(line, '\n')
		if end < 0 {
			return len(data), false
		}
		line = bytes.TrimSuffix(line[:end], []byte("\r"))
		isStatus, isFold := size == 0, len(line) > 0 && (line[0] == ' ' || line[0] == '\t')
		name, _, isField := bytes.Cut(line, []byte(":"))
		size += end + 1
		switch {
		case isStatus && !startsStatusLine(line):
			return size, false
		case !isStatus && len(line) == 0:
			return size, true
		case !isStatus && !isFold && (!isField || bytes.ContainsAny(name, " \t")):
			return size, false
		}
	}
	return size, false
}

// startsStatusLine reports whether a line has a version and a status of three digits.
func startsStatusLine(line []byte) bool {
	const form = statusLineStart + "d ddd"
	if len(line) < len(form) || len(line) > len(form) && line[len(form)] != ' ' {
		return false
	}
	for i := len(statusLineStart); i < len(form); i++ {
		if isDigit := line[i] >= '0' && line[i] <= '9'; isDigit != (form[i] == 'd') {
			return false
		}
	}
	return true
}

// isStartOfCopy reports whether data, which is no whole and well-formed head, is the start of the
// head of an answer to a request that the connection carried.
func (n requestIDs) isStartOfCopy(answer *http.Response, data []byte) bool {
	lines := strings.Split(string(data), "\n")
	last := lines[len(lines)-1]
	statusLine := answer.Proto + " " + answer.Status
	if len(lines) == 1 {
		return strings.HasPrefix(statusLine+"\r", last) || n.kept && startsStatusLineOf(last)
	}
	start, ok := startOfHead(lines)
	if !ok {
		return false
	}
	start.StatusCode = answer.StatusCode
	marks := n.marks(start)
	switch id := marks.RequestID; {
	case id != "":
		return id == n.own || n.carried(id)
	case n.kept && (marks.Server || containsNames(answer.Header, start.Header)):
		return true // another answer's, whose fields have other values
	case strings.TrimRight(lines[0], " \r") != strings.TrimRight(statusLine, " ") || !containsFields(answer.Header, start.Header):
		return false
	}
	return last == "" || last == "\r" || startsField(answer.Header, last)
}

// startsStatusLineOf reports whether line may be the start of a status line.
func startsStatusLineOf(line string) bool {
	const form = statusLineStart + "1 200"
	if len(line) >= len(form) {
		return startsStatusLine([]byte(strings.TrimSuffix(line, "\r")))
	}
	return startsStatusLine([]byte(line + form[len(line):]))
}

// containsNames reports whether a header has all fields of a part of it, except framingFields,
// with any values.
func containsNames(header, part http.Header) bool {
	for name := range part {
		if _, ok := header[name]; !ok && !slices.Contains(framingFields, name) {
			return false
		}
	}
	return true
}

// sameHead reports whether a head is that of the answer, without the name of its request and
// with another framing.
func sameHead(answer, second *http.Response, id string) bool {
	if second.StatusCode != answer.StatusCode || !containsFields(answer.Header, second.Header) {
		return false
	}
	shared := 0
	for name, values := range answer.Header {
		if slices.Contains(framingFields, name) || slices.Contains(values, id) {
			continue
		}
		if !slices.Equal(second.Header[name], values) {
			return false
		}
		shared++
	}
	return shared > 0
}

// containsFields reports whether a header has all fields of a part of it, except framingFields.
func containsFields(header, part http.Header) bool {
	for name, values := range part {
		if slices.Contains(framingFields, name) {
			continue
		}
		for _, value := range values {
			if !slices.Contains(header[name], value) {
				return false
			}
		}
	}
	return true
}

// startsField reports whether line is the start of the line of a field of the header, or of
// one in framingFields.
func startsField(header http.Header, line string) bool {
	name, value, hasName := strings.Cut(line, ":")
	if !hasName {
		starts := func(field string) bool { return len(name) <= len(field) && strings.EqualFold(field[:len(name)], name) }
		for field := range header {
			if starts(field) {
				return true
			}
		}
		return slices.ContainsFunc(framingFields, starts)
	}
	name, value = textproto.CanonicalMIMEHeaderKey(name), strings.TrimSpace(value)
	return slices.Contains(framingFields, name) ||
		slices.ContainsFunc(header[name], func(whole string) bool { return strings.HasPrefix(whole, value) })
}

// indexFrom returns the index of the first text in b at or after from, or -1.
func indexFrom(b []byte, text string, from int) int {
	i := bytes.Index(b[from:], []byte(text))
	if i < 0 {
		return -1
	}
	return from + i
}

// readRecorder records where the bytes of the last read begin.
type readRecorder struct {
	io.Reader
	read     int
	lastRead int
	full     bool // the last read filled its buffer
	err      error
}

// Read implements io.Reader.
func (r *readRecorder) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		if !r.full { // otherwise the buffer ended, not what had arrived
			r.lastRead = r.read
		}
		r.read += n
		r.full = n == len(p)
	}
	r.err = err
	return n, err
}
