package edge

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"sync"
)

const (
	// maxChunkLineBytes bounds the line before a chunk, and the trailer of a chunked body.
	// It is the size of the buffer in which net/http looks for their ends.
	maxChunkLineBytes = 4 << 10
	// maxChunkExcessBytes bounds the bytes of a chunked body that are no data, beyond
	// chunkOverheadBytes a chunk and twice its data, as in net/http.
	maxChunkExcessBytes = 16 << 10
	chunkOverheadBytes  = 16
	// maxChunkSizeDigits bounds a chunk size to what is counted without overflow.
	maxChunkSizeDigits = 15
)

// framing finds the ends of the requests that are received on one connection. It keeps no
// more of them than a head, the line before a chunk or a trailer that is not complete.
//
// The server of a request is net/http's. If both disagreed on where a request ends, a
// caller could hide a request in the body of another. So the head is parsed by net/http
// itself, and what remains here is either read as net/http reads it or makes the request
// the last one of its connection: its server gets all that follows and decides alone. A
// request that the server refuses and behind which it closes the connection is a last one,
// too: nothing behind it may run.
//
// With "Expect: 100-continue" the caller may wait for the answer 100 (Continue) of the
// request's server before it sends the body. So the server must get the head before the
// request is complete, what it writes must reach the caller although the request is not
// complete, an answer 100 doesn't end the turn of the request, and a stop must go on
// reading the connection. If the server gives its final answer without having read the
// body, it closes the connection.
type framing struct {
	maxHead int // bytes
	part    part
	whole   bool // the request is complete
	final   bool // the request is the last one
	waits   bool // the caller may wait for the answer 100 before it sends the body
	refused bool // the server refuses the request for its head, and reads no more

	held      []byte // the start of a head, a chunk line or a trailer
	searched  int    // bytes of it without the end of a line, beyond lineStart
	lineStart int

	left   int64 // bytes of the body or of the chunk that are not received yet
	excess int64 // bytes of a chunked body that are no data
}

// part is the part of a request to which the next byte belongs.
type part int

const (
	partHead part = iota
	partBody
	partChunkLine
	partChunk
	partChunkCR
	partChunkLF
	partTrailer
	partRest // all that follows on the connection
)

// newFraming returns the framing of a connection whose server accepts heads of at least
// maxHead bytes.
func newFraming(maxHead int) *framing { return &framing{maxHead: maxHead} }

// scan takes the bytes that were received next. The first n of them belong to the current
// request, and complete tells whether that is all of it then. The byte behind a complete
// request begins the next one, unless the complete one is the last.
//
// To the last request belong all bytes that follow. It is complete once its own end was
// received, and never if that isn't known.
func (f *framing) scan(data []byte) (n int, complete bool) {
	if f.whole && !f.final && len(data) > 0 {
		f.part, f.whole, f.waits, f.excess = partHead, false, false, 0
	}
	for n < len(data) && (!f.whole || f.final) {
		n += f.step(data[n:])
	}
	return n, f.whole
}

// last reports whether the current request is the last one of its connection. It is known
// once the head is received.
func (f *framing) last() bool { return f.final }

// expectsContinue reports whether the caller may wait for the answer 100 before it sends
// the rest of the current request.
func (f *framing) expectsContinue() bool { return f.waits && !f.whole }

// step takes bytes of one part of the request, at least one.
func (f *framing) step(data []byte) int {
	switch f.part {
	case partHead:
		n, head := f.collect(data, f.maxHead, false)
		if head != nil {
			f.begin(head)
		} else {
			f.refused = f.final // it is over the limit
		}
		return n
	case partBody, partChunk:
		n := int(min(int64(len(data)), f.left))
		f.left -= int64(n)
		switch {
		case f.left > 0:
		case f.part == partBody:
			f.end()
		default:
			f.part = partChunkCR
		}
		return n
	case partChunkLine:
		n, line := f.collect(data, maxChunkLineBytes, true)
		if line != nil {
			f.beginChunk(line)
		}
		return n
	case partChunkCR:
		f.expect(data[0], '\r', partChunkLF)
		return 1
	case partChunkLF:
		f.expect(data[0], '\n', partChunkLine)
		return 1
	case partTrailer:
		n, trailer := f.collect(data, maxChunkLineBytes, false)
		if trailer != nil {
			f.endTrailer(trailer)
		}
		return n
	default:
		return len(data)
	}
}

// collect takes bytes until the end of a line, or of the first empty line. It returns all
// that was taken for it once the end is there, and gives up the request if that takes more
// than limit bytes.
func (f *framing) collect(data []byte, limit int, oneLine bool) (n int, text []byte) {
	before := len(f.held)
	text = data
	if before > 0 {
		f.held = append(f.held, data...)
		text = f.held
	}
	for {
		i := bytes.IndexByte(text[f.searched:], '\n')
		if i < 0 {
			break
		}
		line := bytes.TrimSuffix(text[f.lineStart:f.searched+i], []byte("\r"))
		f.searched += i + 1
		f.lineStart = f.searched
		if !oneLine && len(line) > 0 {
			continue
		}
		end := f.searched
		f.forget()
		if end > limit {
			f.giveUp()
			return end - before, nil
		}
		return end - before, text[:end]
	}
	if len(text) > limit {
		f.giveUp()
		return len(data), nil
	}
	f.searched = len(text)
	if before == 0 {
		f.held = append(f.held, data...)
	}
	return len(data), nil
}

// forget drops what is held. Its memory is kept if it is little.
func (f *framing) forget() {
	f.held, f.searched, f.lineStart = f.held[:0], 0, 0
	if cap(f.held) > readChunkBytes {
		f.held = nil
	}
}

// drop forgets what is held of a request of which no more is read.
func (f *framing) drop() { f.held, f.searched, f.lineStart = nil, 0, 0 }

// giveUp makes the request the last one, without a known end.
func (f *framing) giveUp() {
	f.forget()
	f.part, f.final = partRest, true
}

// end makes the request complete.
func (f *framing) end() {
	f.whole = true
	if f.final {
		f.part = partRest
	}
}

func (f *framing) expect(got, want byte, next part) {
	if got != want {
		f.giveUp()
		return
	}
	f.part = next
}

// begin reads the head of a request.
func (f *framing) begin(head []byte) {
	req, ok := parseHead(head)
	if !ok || mayBeRefused(req, head) || req.Method == http.MethodConnect {
		f.refused = req == nil // it is no head, for example an empty line
		f.giveUp()
		return
	}
	f.final = mayBeClosed(req)
	f.waits = req.Header["Expect"] != nil && req.ContentLength != 0
	switch {
	case len(req.TransferEncoding) > 0:
		f.part = partChunkLine
	case req.ContentLength > 0:
		f.part, f.left = partBody, req.ContentLength
	case req.ContentLength == 0:
		f.end()
	default:
		f.giveUp()
	}
}

// headReaders are the buffers with which heads are parsed.
var headReaders = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// parseHead parses a head as the server does. It reports false if the server refuses it, or
// if it would not end where it does.
func parseHead(head []byte) (*http.Request, bool) {
	src := bytes.NewReader(head)
	r := headReaders.Get().(*bufio.Reader)
	r.Reset(src)
	defer func() {
		r.Reset(nil)
		headReaders.Put(r)
	}()
	req, err := http.ReadRequest(r)
	return req, err == nil && r.Buffered() == 0 && src.Len() == 0
}

// mayBeRefused reports whether the server may refuse a request that http.ReadRequest
// accepts.
func mayBeRefused(req *http.Request, head []byte) bool {
	if bytes.Contains(head, []byte("\n ")) || bytes.Contains(head, []byte("\n\t")) {
		return true // a folded header
	}
	for name, values := range req.Header {
		if strings.Contains(name, " ") || name == "Expect" && !continueExpected(req, values) {
			return true
		}
	}
	switch {
	case req.ProtoMajor != 1 || req.ProtoMinor > 1:
		return true
	case req.ProtoMinor == 0:
		// The server ignores the encoding of an HTTP/1.0 request, and others may not.
		return len(headField(head, "transfer-encoding")) > 0 || !validHosts(headField(head, "host"))
	default:
		hosts := headField(head, "host")
		return len(hosts) == 0 || !validHosts(hosts)
	}
}

func continueExpected(req *http.Request, values []string) bool {
	return req.ProtoAtLeast(1, 1) && len(values) == 1 && strings.EqualFold(values[0], "100-continue")
}

// validHosts reports whether the values of Host headers have only bytes that are usual in
// a host and port.
func validHosts(values []string) bool {
	for _, value := range values {
		if strings.Trim(value, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._:[]") != "" {
			return false
		}
	}
	return true
}

// headField returns the values of a header, whose name is in lower case, in a head that
// was parsed without error. http.ReadRequest drops some headers.
func headField(head []byte, name string) []string {
	var values []string
	for line := range bytes.Lines(head) {
		field, value, ok := bytes.Cut(line, []byte(":"))
		if ok && len(field) == len(name) && strings.EqualFold(string(field), name) {
			values = append(values, string(bytes.TrimSpace(value)))
		}
	}
	return values
}

// mayBeClosed reports whether the server closes the connection behind the answer to a
// request for what the request says.
func mayBeClosed(req *http.Request) bool {
	values := req.Header["Connection"]
	if req.Close || !req.ProtoAtLeast(1, 1) && (len(values) != 1 || !strings.EqualFold(values[0], "keep-alive")) {
		return true
	}
	return slices.ContainsFunc(values, hasCloseOption)
}

// hasCloseOption reports whether "close" is one of the options in the value of a Connection
// header, as the server reads it.
func hasCloseOption(value string) bool {
	options := strings.FieldsFunc(value, func(r rune) bool { return r == ' ' || r == ',' || r == '\t' })
	return slices.ContainsFunc(options, func(option string) bool { return strings.EqualFold(option, "close") })
}

// beginChunk reads the line before a chunk.
func (f *framing) beginChunk(line []byte) {
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok || bytes.IndexByte(text, '\r') >= 0 {
		f.giveUp()
		return
	}
	f.excess += int64(len(line))
	text = bytes.TrimRight(text, " \t")
	text, _, _ = bytes.Cut(text, []byte(";"))
	size, ok := chunkSize(text)
	if !ok {
		f.giveUp()
		return
	}
	f.excess = max(0, f.excess-chunkOverheadBytes-2*size)
	switch {
	case f.excess > maxChunkExcessBytes:
		f.giveUp()
	case size == 0:
		f.part = partTrailer
	default:
		f.part, f.left = partChunk, size
	}
}

// chunkSize parses the hexadecimal size of a chunk.
func chunkSize(digits []byte) (size int64, ok bool) {
	if len(digits) == 0 || len(digits) > maxChunkSizeDigits {
		return 0, false
	}
	for _, digit := range digits {
		switch {
		case '0' <= digit && digit <= '9':
			digit -= '0'
		case 'a' <= digit && digit <= 'f':
			digit -= 'a' - 10
		case 'A' <= digit && digit <= 'F':
			digit -= 'A' - 10
		default:
			return 0, false
		}
		size = size<<4 | int64(digit)
	}
	return size, true
}

// endTrailer reads the trailer of a chunked body, including its empty line. net/http reads
// one that is not empty only when it sees two line ends of a carriage return and a line
// feed each, which may stand behind the request if a line ends otherwise.
func (f *framing) endTrailer(trailer []byte) {
	if bytes.Count(trailer, []byte("\n")) != bytes.Count(trailer, []byte("\r\n")) {
		f.giveUp()
		return
	}
	r := headReaders.Get().(*bufio.Reader)
	src := bytes.NewReader(trailer)
	r.Reset(src)
	defer func() {
		r.Reset(nil)
		headReaders.Put(r)
	}()
	if _, err := textproto.NewReader(r).ReadMIMEHeader(); err != nil || r.Buffered() > 0 || src.Len() > 0 {
		f.giveUp()
		return
	}
	f.end()
}
