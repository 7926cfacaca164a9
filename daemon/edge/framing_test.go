package edge

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const testMaxHead = 8 << 10

// framed is what a framing found in the bytes of a connection.
type framed struct {
	requests []string // the last one may be incomplete
	complete bool     // the last one is complete
	last     bool     // no further request may follow
}

// frame scans data in pieces of the sizes that size returns.
func frame(t *testing.T, data string, size func() int) framed {
	t.Helper()
	f := newFraming(testMaxHead)
	var found framed
	begins := true
	for rest := data; rest != ""; {
		piece := rest[:min(len(rest), size())]
		n, complete := f.scan([]byte(piece))
		if n <= 0 || n > len(piece) || n < len(piece) && (!complete || f.last()) {
			t.Fatalf("scan of %d bytes: %d, complete %v, last %v", len(piece), n, complete, f.last())
		}
		if begins {
			found.requests = append(found.requests, "")
		}
		found.requests[len(found.requests)-1] += piece[:n]
		rest = rest[n:]
		found.complete, found.last = complete, f.last()
		begins = complete && !f.last()
	}
	return found
}

func wholePieces() int { return 1 << 30 }

const (
	chunkedHead = "POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	hidden      = "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"
)

func postSized(body string) string {
	return fmt.Sprintf("POST /s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func TestFramingOfRequests(t *testing.T) {
	long := strings.Repeat("x", testMaxHead)
	for _, c := range []struct {
		name     string
		request  string
		complete bool
		last     bool
	}{
		{"no body", get("/"), true, false},
		{"bare line feeds", "GET / HTTP/1.1\nHost: a\n\n", true, false},
		{"sized body", postSized("hello"), true, false},
		{"body with a head in it", postSized(hidden), true, false},
		{"sized body, incomplete", strings.TrimSuffix(postSized("hello"), "o"), false, false},
		{"two equal lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab", true, false},
		{"two different lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nab", false, true},
		{"length list", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2, 2\r\n\r\nab", false, true},
		{"signed length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +2\r\n\r\nab", false, true},
		{"length that overflows", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9223372036854775808\r\n\r\nab", false, true},
		{"length with a space before the colon", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 2\r\n\r\nab", false, true},

		{"chunked", chunkedHead + "3\r\nabc\r\n0\r\n\r\n", true, false},
		{"chunked, empty", chunkedHead + "0\r\n\r\n", true, false},
		{"chunk extensions", chunkedHead + "3;a=b\r\nabc\r\nA;x=\"y\" \r\n0123456789\r\n000;z\r\n\r\n", true, false},
		{"chunk sizes in both cases", chunkedHead + "0a\r\n0123456789\r\n0A\r\n0123456789\r\n0\r\n\r\n", true, false},
		{"trailer", chunkedHead + "0\r\nA: b\r\nC: d\r\n\r\n", true, false},
		{"trailer, incomplete", chunkedHead + "0\r\nA: b\r\n", false, false},
		{"trailer with a bare line feed", chunkedHead + "0\r\nA: b\n\n", false, true},
		{"no trailer, a bare line feed", chunkedHead + "0\r\n\n", false, true},
		{"trailer without a colon", chunkedHead + "0\r\nabc\r\n\r\n", false, true},
		{"long trailer", chunkedHead + "0\r\nA: " + long + "\r\n\r\n", false, true},
		{"chunk line with a bare line feed", chunkedHead + "3\nabc\r\n0\r\n\r\n", false, true},
		{"chunk line with a carriage return in it", chunkedHead + "3;\r;\r\nabc\r\n0\r\n\r\n", false, true},
		{"chunk without its line end", chunkedHead + "3\r\nabcd\r\n0\r\n\r\n", false, true},
		{"chunk with half a line end", chunkedHead + "3\r\nabc\r0\r\n\r\n", false, true},
		{"chunk size that overflows", chunkedHead + "10000000000000003\r\nabc\r\n0\r\n\r\n", false, true},
		{"negative chunk size", chunkedHead + "-3\r\nabc\r\n0\r\n\r\n", false, true},
		{"chunk size with a prefix", chunkedHead + "0x3\r\nabc\r\n0\r\n\r\n", false, true},
		{"no chunk size", chunkedHead + "\r\nabc\r\n0\r\n\r\n", false, true},
		{"space before a chunk size", chunkedHead + " 3\r\nabc\r\n0\r\n\r\n", false, true},
		{"long chunk line", chunkedHead + "3;" + long + "\r\nabc\r\n0\r\n\r\n", false, true},
		{"chunk line without end", chunkedHead + "3;" + long, false, true},
		{"too much that is no data", chunkedHead + strings.Repeat("1;"+long[:3000]+"\r\nx\r\n", 7) + "0\r\n\r\n", false, true},
		{"chunked and a length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true, false},
		{"chunked and an invalid length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false, true},
		{"two encodings", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", false, true},
		{"encoding twice", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false, true},
		{"encoding identity", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n", false, true},
		{"encoding with a vertical tab", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: \vchunked\r\n\r\n0\r\n\r\n", false, true},
		{"trailer that names a length", "POST / HTTP/1.1\r\nHost: a\r\nTrailer: Content-Length\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false, true},

		{"expect, sized", "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-Continue\r\nContent-Length: 2\r\n\r\nab", true, false},
		{"expect, chunked", "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", true, false},
		{"expect, no body", "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n\r\n", true, false},
		{"expect something else", "POST / HTTP/1.1\r\nHost: a\r\nExpect: more\r\nContent-Length: 2\r\n\r\nab", false, true},

		{"close", "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", true, true},
		{"close among others", "POST / HTTP/1.1\r\nHost: a\r\nConnection: x, Close\r\nContent-Length: 2\r\n\r\nab", true, true},
		{"close, incomplete", "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\na", false, true},
		{"HTTP/1.0", "GET / HTTP/1.0\r\n\r\n", true, true},
		{"HTTP/1.0 kept", "GET / HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n", true, false},
		{"HTTP/1.0 kept, chunked", "POST / HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false, true},
		{"HTTP/1.2", "GET / HTTP/1.2\r\nHost: a\r\n\r\n", false, true},
		{"HTTP/2.0", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", false, true},
		{"HTTP/0.9", "GET /\r\n\r\n", false, true},
		{"connect", "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", false, true},
		{"upgrade", "GET / HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", true, false},
		{"option like close", "GET / HTTP/1.1\r\nHost: a\r\nConnection: X-Disclosed, close-x\r\n\r\n", true, false},
		{"close among options", "GET / HTTP/1.1\r\nHost: a\r\nConnection: X-Disclosed,\tClose\r\n\r\n", true, true},

		{"no host", "GET / HTTP/1.1\r\n\r\n", false, true},
		{"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", false, true},
		{"invalid host", "GET / HTTP/1.1\r\nHost: a b\r\n\r\n", false, true},
		{"host in the target, too", "GET http://b/ HTTP/1.1\r\nHost: a\r\n\r\n", true, false},
		{"host in the target only", "GET http://b/ HTTP/1.1\r\n\r\n", false, true},
		{"folded header", "GET / HTTP/1.1\r\nHost: a\r\nX: a\r\n b\r\n\r\n", false, true},
		{"folded host", "GET / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n", false, true},
		{"header without a colon", "GET / HTTP/1.1\r\nHost: a\r\nabc\r\n\r\n", false, true},
		{"header without a name", "GET / HTTP/1.1\r\nHost: a\r\n: b\r\n\r\n", false, true},
		{"header with a space in its name", "GET / HTTP/1.1\r\nHost: a\r\nX y: b\r\n\r\n", false, true},
		{"carriage return as a line", "GET / HTTP/1.1\r\nHost: a\r\n\r\r\n\r\n", false, true},
		{"empty line first", "\r\n" + get("/"), false, true},
		{"no request", "abc\r\n\r\n", false, true},
		{"longest head", "GET / HTTP/1.1\r\nHost: a\r\nX: " + long[:testMaxHead-32] + "\r\n\r\n", true, false},
		{"head too long", "GET / HTTP/1.1\r\nHost: a\r\nX: " + long[:testMaxHead-31] + "\r\n\r\n", false, true},
		{"head without end", "GET / HTTP/1.1\r\nHost: a\r\nX: " + long, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, size := range []int{1, 2, 3, 7, 1 << 30} {
				is := is.New(t)
				pieces := func() int { return size }
				found := frame(t, c.request, pieces)
				is.Equal(found, framed{[]string{c.request}, c.complete, c.last})
				switch found = frame(t, c.request+hidden, pieces); {
				case c.last:
					is.Equal(found.requests, []string{c.request + hidden})
					is.True(found.last)
				case c.complete:
					is.Equal(found, framed{[]string{c.request, hidden}, true, false})
				}
			}
			checkAgainstServer(t, c.request+hidden, wholePieces)
			checkAgainstServer(t, c.request+c.request+hidden, wholePieces)
		})
	}
}

func TestFramingTellsThatTheCallerMayWait(t *testing.T) {
	is := is.New(t)
	f := newFraming(testMaxHead)
	_, complete := f.scan([]byte("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"))
	is.True(!complete && f.expectsContinue())
	n, complete := f.scan([]byte("ab" + get("/")))
	is.Equal(n, 2)
	is.True(complete && !f.expectsContinue())
	_, complete = f.scan([]byte(get("/")))
	is.True(complete && !f.expectsContinue())
}

// A long head in small pieces was searched from its start with each of them.
func TestFramingSearchesALongHeadOnce(t *testing.T) {
	is := is.New(t)
	f := newFraming(maxHeadBytes)
	head := []byte("GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", maxHeadBytes-32) + "\r\n\r\n")
	done := false
	for i := range head {
		_, done = f.scan(head[i : i+1])
	}
	is.True(done)
	is.True(cap(f.held) <= readChunkBytes)
}

func TestFramingKeepsNoBody(t *testing.T) {
	is := is.New(t)
	f := newFraming(testMaxHead)
	_, _ = f.scan([]byte(chunkedHead))
	chunk := []byte("2000\r\n" + strings.Repeat("x", 0x2000) + "\r\n")
	for range 100 {
		_, complete := f.scan(chunk)
		is.True(!complete && len(f.held) == 0)
	}
	is.True(cap(f.held) <= readChunkBytes)
}

// seenRequest is a request as the handler of a server saw it.
type seenRequest struct {
	line string
	body string
	err  bool // the body was not read to its end
}

// oneConn is a listener with one connection.
type oneConn struct {
	conns chan net.Conn
	once  sync.Once
}

func (l *oneConn) Accept() (net.Conn, error) {
	conn, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (l *oneConn) Close() error {
	l.once.Do(func() { close(l.conns) })
	return nil
}

func (l *oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// sentConn is a connection on which all bytes of the caller are received, and then its end.
type sentConn struct {
	net.Conn // nil
	data     *strings.Reader
	closed   chan struct{}
	once     sync.Once
}

func (c *sentConn) Read(b []byte) (int, error)         { return c.data.Read(b) }
func (c *sentConn) Write(b []byte) (int, error)        { return len(b), nil }
func (c *sentConn) Close() error                       { c.once.Do(func() { close(c.closed) }); return nil }
func (c *sentConn) LocalAddr() net.Addr                { return &net.TCPAddr{} }
func (c *sentConn) RemoteAddr() net.Addr               { return &net.TCPAddr{} }
func (c *sentConn) SetDeadline(time.Time) error        { return nil }
func (c *sentConn) SetReadDeadline(t time.Time) error  { return nil }
func (c *sentConn) SetWriteDeadline(t time.Time) error { return nil }

// serveBytes returns the requests that net/http's server reads from a connection with data.
func serveBytes(t *testing.T, data string) []seenRequest {
	t.Helper()
	var seen []seenRequest
	srv := &http.Server{
		MaxHeaderBytes:               testMaxHead,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     log.New(io.Discard, "", 0),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			seen = append(seen, seenRequest{r.Method + " " + r.RequestURI, string(body), err != nil})
		}),
	}
	conn := &sentConn{data: strings.NewReader(data), closed: make(chan struct{})}
	l := &oneConn{conns: make(chan net.Conn, 1)}
	l.conns <- conn
	served := make(chan struct{})
	go func() { defer close(served); _ = srv.Serve(l) }()
	select {
	case <-conn.closed: // once the connection's last handler has returned
	case <-time.After(waitTimeout):
		t.Fatal("the server did not end the connection")
	}
	_ = srv.Close()
	<-served
	return seen
}

// readSizes returns the sizes of the requests that http.ReadRequest and the reading of their
// bodies find in data, until one that fails or is not complete.
func readSizes(data string) []int {
	src := strings.NewReader(data)
	r := bufio.NewReader(src)
	var sizes []int
	for read := 0; read < len(data); {
		req, err := http.ReadRequest(r)
		if err != nil {
			break
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			break
		}
		end := len(data) - src.Len() - r.Buffered()
		sizes = append(sizes, end-read)
		read = end
	}
	return sizes
}

// checkAgainstServer checks that a request means the same to net/http whether it gets the
// request alone or all bytes of the connection.
func checkAgainstServer(t *testing.T, data string, size func() int) {
	t.Helper()
	found := frame(t, data, size)
	sizes := readSizes(data)
	for i, request := range found.requests {
		ends := i < len(found.requests)-1 || found.complete && !found.last
		if ends && (i >= len(sizes) || sizes[i] != len(request)) {
			t.Fatalf("request %d: %d bytes, net/http reads %v\n%q", i, len(request), sizes, data)
		}
	}
	var alone []seenRequest
	for _, request := range found.requests {
		alone = append(alone, serveBytes(t, request)...)
	}
	together := serveBytes(t, data)
	if n := len(found.requests); n > 0 && strings.Trim(found.requests[n-1][:1], "\r\n") == "" {
		// Behind a POST on the same connection, the server skips empty lines.
		together = together[:min(len(together), len(alone))]
	}
	if fmt.Sprint(alone) != fmt.Sprint(together) {
		t.Fatalf("split, net/http reads\n%+v\nand on one connection\n%+v\n%q", alone, together, data)
	}
}

// generated returns the bytes of a few requests, usual and unusual ones, some damaged.
func generated(r *rand.Rand) string {
	pick := func(options ...string) string { return options[r.IntN(len(options))] }
	var b bytes.Buffer
	for range 1 + r.IntN(6) {
		// The first option is the usual one.
		unusual := r.IntN(8) == 0
		may := func(options ...string) string {
			if unusual && r.IntN(3) == 0 {
				return pick(options...)
			}
			return options[0]
		}
		body := strings.Repeat(pick("x", "\r\n", "0\r\n\r\n", hidden), r.IntN(4))
		eol := pick("\r\n", "\r\n", "\r\n", "\n")
		b.WriteString(pick("GET", "POST", "POST", "PUT", "HEAD", may("OPTIONS", "G T", "CONNECT")))
		b.WriteString(pick(" /a", " /b?c", may(" *", " /%zz", " a"), " http://h/c") + may(" HTTP/1.1", " HTTP/1.0", " HTTP/1.2") + eol)
		b.WriteString(pick("Host: a", "host: a:80", "HOST:\tb", may("Host:", "Host: a/b", "Host : a", "X: y")) + eol)
		for range r.IntN(3) {
			b.WriteString(pick("X: y", "X:\ty", "Connection: keep-alive", "Expect: 100-continue", "Trailer: T",
				may("Y:", "Connection: close", "Connection: a close", "Expect: x", "Upgrade: u", "X: a\r\n b", "X : y", "Content-Length: 3", "\r")) + eol)
		}
		switch r.IntN(3) {
		case 0:
			b.WriteString(pick("Content-Length: ", "content-length:", may("Content-Length:  ", "Content-Length : ", "Content-Length: 0")) +
				fmt.Sprint(len(body)) + eol + eol + body)
		case 1:
			b.WriteString(may("Transfer-Encoding: chunked", "transfer-encoding:Chunked ", "Transfer-Encoding: x") + eol + eol)
			for rest := body; rest != ""; {
				n := 1 + r.IntN(len(rest))
				fmt.Fprintf(&b, "%s%x%s%s%s\r\n", pick("", "0", "00"), n, pick("", ";e", ";e=\"f\"", " ", may("\t", " ;", "x")), may("\r\n", "\n"), rest[:n])
				rest = rest[n:]
			}
			b.WriteString(pick("0", "000", "0;x", "0 ") + "\r\n" + pick("", "T: u\r\n", "T: u\r\nU: v\r\n", may("", "T: u\n", "T\r\n")) + may("\r\n", "\n"))
		default:
			b.WriteString(eol)
		}
	}
	data := b.Bytes()
	if r.IntN(8) == 0 {
		data[r.IntN(len(data))] = pick(" ", "\r", "\n", "0", ":", ";", "\x00", "\t")[0]
	}
	if r.IntN(8) == 0 {
		data = data[:r.IntN(len(data))]
	}
	return string(data)
}

func TestFramingAgreesWithServer(t *testing.T) {
	const sequences = 4000
	split, requests := 0, 0
	for seed := range uint64(sequences) {
		r := rand.New(rand.NewPCG(seed, 40))
		data := generated(r)
		most := 1 + r.IntN(64)
		found := frame(t, data, func() int { return 1 + r.IntN(most) })
		if fmt.Sprint(found) != fmt.Sprint(frame(t, data, wholePieces)) {
			t.Fatalf("seed %d: in pieces the framing differs: %q", seed, data)
		}
		checkAgainstServer(t, data, wholePieces)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
		requests += len(found.requests)
		if len(found.requests) > 1 {
			split++
		}
	}
	if split < sequences/2 || requests < 2*sequences {
		t.Fatalf("%d of %d sequences were split, into %d requests", split, sequences, requests)
	}
}

// A caller must not be able to hide a request in another one: what stands behind a request
// whose framing is in doubt is never split off.
func TestFramingHidesNoRequest(t *testing.T) {
	for _, head := range []string{
		"Content-Length: 0\r\nContent-Length: 33",
		"Content-Length: 33\r\nContent-Length: 0",
		"Content-Length : 33",
		"Content-Length\t: 33",
		"Content-Length: 33\r\nTransfer-Encoding: xchunked",
		"Transfer-Encoding: chunked, identity",
		"Transfer-Encoding : chunked",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: x",
		"Transfer-Encoding:\r\n chunked",
		"X: a\rTransfer-Encoding: chunked",
		"\x00Transfer-Encoding: chunked",
		"Transfer_Encoding : chunked",
		"Content-Length: 33\r\n\tX: y",
		"Content-Length: 0x21",
		"Content-Length: 3 3",
		"Content-Length: ",
	} {
		t.Run(head, func(t *testing.T) {
			is := is.New(t)
			data := "POST /1 HTTP/1.1\r\nHost: a\r\n" + head + "\r\n\r\n0\r\n\r\n" + hidden + get("/2")
			found := frame(t, data, wholePieces)
			is.Equal(len(found.requests), 1)
			is.True(found.last)
			checkAgainstServer(t, data, wholePieces)
		})
	}
}

func FuzzFraming(f *testing.F) {
	for _, data := range []string{
		get("/") + postSized("abc") + get("/2"),
		chunkedHead + "3;a=b\r\nabc\r\n0\r\nA: b\r\n\r\n" + hidden,
		chunkedHead + "0\r\nA: b\n\n" + hidden,
		"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nab" + hidden,
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + get("/2"),
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 2\r\n\r\n" + hidden,
	} {
		f.Add([]byte(data), uint8(3))
	}
	f.Fuzz(func(t *testing.T, data []byte, piece uint8) {
		if len(data) > 4*testMaxHead {
			return
		}
		size := func() int { return int(piece) + 1 }
		if fmt.Sprint(frame(t, string(data), size)) != fmt.Sprint(frame(t, string(data), wholePieces)) {
			t.Fatal("in pieces the framing differs")
		}
		checkAgainstServer(t, string(data), size)
	})
}
