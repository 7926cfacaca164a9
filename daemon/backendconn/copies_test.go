package backendconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
)

// parsedAnswer returns an answer whose body ends with its connection and is data.
func parsedAnswer(t *testing.T, head string, data io.Reader) *http.Response {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader(head), data)), nil)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

func marksOf(r *http.Response) Marks {
	return Marks{RequestID: r.Header.Get("Id"), Server: r.Header.Get("Seal") != ""}
}

// readOwn reads an answer to request r-1 on a connection that carried r-0.
func readOwn(t *testing.T, head string, data io.Reader) (string, error) {
	t.Helper()
	return readOwnKept(t, head, data, false)
}

// readOwnKept is readOwn on a connection that counts as kept or not.
func readOwnKept(t *testing.T, head string, data io.Reader, kept bool) (string, error) {
	t.Helper()
	trace := &Trace{RequestID: "r-1"}
	trace.kept.Store(kept)
	local, _ := net.Pipe()
	conn := &guardedConn{Conn: local, clock: clock.Boot{}}
	conn.ids.add("r-0", clock.Boot{}.Now().Add(time.Minute), clock.Boot{}.Now())
	trace.conn.Store(conn)
	r := NewResponseReader()
	resp, err := r.ReadOwn(context.Background(), parsedAnswer(t, head, data), trace, marksOf)
	if err != nil {
		return "", err
	}
	return string(resp.GetBody()), nil
}

// The body of an answer that ends with its connection contained a copy of the answer, or one
// that only contains transcripts of others was refused.
func TestCopyInABodyWithoutALength(t *testing.T) {
	const cut = "<cut>"
	const head = "HTTP/1.1 200 OK\r\nId: r-1\r\nSeal: s\r\n\r\n"
	const unnamed = "HTTP/1.1 200 OK\r\nSeal: s\r\n\r\n"
	const transcript = "HTTP/1.1 200 OK\r\nId: r-7\r\nContent-Length: 2\r\n\r\nok"
	for name, tc := range map[string]struct{ body, want string }{
		"no copy":                             {"whole", "whole"},
		"empty":                               {"", ""},
		"copy":                                {"whole" + head + "whole", "whole"},
		"copy of an empty body":               {head, ""},
		"two copies":                          {"whole" + head + "whole" + head + "whole", cut},
		"copy cut in its body":                {"whole" + head + "who", "whole"},
		"copy cut after its head":             {"whole" + head, "whole"},
		"copy cut in its head":                {"whole" + head[:30], cut},
		"copy cut before the empty line":      {"whole" + head[:len(head)-2], cut},
		"copy cut after its status line":      {"whole" + head[:17], cut},
		"copy cut in its status line":         {"whole" + head[:10], cut},
		"copy without a name":                 {"whole" + unnamed + "whole", "whole"},
		"copy without a name, cut":            {"whole" + unnamed[:24], cut},
		"copy with a length":                  {"whole" + strings.Replace(head, "Seal", "Content-Length: 5\r\nSeal", 1) + "whole", "whole"},
		"copy with another length":            {"whole" + strings.Replace(head, "Seal", "Content-Length: 6\r\nSeal", 1) + "whole", cut},
		"copy in chunks":                      {"whole" + strings.Replace(head, "Seal", "Transfer-Encoding: chunked\r\nSeal", 1) + "5\r\nwhole\r\n0\r\n\r\n", cut},
		"copy of HTTP/1.0":                    {"whole" + strings.Replace(head, "1.1", "1.0", 1) + "whole", "whole"},
		"copy with line feeds only":           {"whole" + strings.ReplaceAll(head, "\r", "") + "whole", "whole"},
		"copy of a malformed head":            {"whole" + strings.Replace(head, "Seal", "Content-Length: x\r\nSeal", 1) + "whole", cut},
		"second answer is another":            {"whole" + head + "other", cut},
		"second answer is longer":             {"who" + head + "whole", cut},
		"second answer fails":                 {"whole" + strings.Replace(head, "200", "500", 1) + "whole", cut},
		"second answer of the request before": {"whole" + "HTTP/1.1 200 OK\r\nId: r-0\r\nContent-Length: 2\r\n\r\nok", cut},
		"start of one of the request before":  {"whole" + "HTTP/1.1 200 OK\r\nId: r-0\r\nCon", cut},
		"head within the body's own head":     {"HTTP/1.1 200 OK\r\nServer: a" + head, cut},
		"transcript":                          {transcript, transcript},
		"transcript and copy":                 {transcript + head + transcript, transcript},
		"transcript at the end, cut":          {"log: " + transcript[:40], "log: " + transcript[:40]},
		"transcript of a request":             {"GET / HTTP/1.1\r\nId: r-1\r\n\r\n", "GET / HTTP/1.1\r\nId: r-1\r\n\r\n"},
		"log of requests":                     {strings.Repeat("\"GET / HTTP/1.1\" 200 5\n", 30_000), strings.Repeat("\"GET / HTTP/1.1\" 200 5\n", 30_000)},
		"log of status lines":                 {strings.Repeat("HTTP/1.1 200 OK\n", 30_000) + "end", strings.Repeat("HTTP/1.1 200 OK\n", 30_000) + "end"},
		"transcripts":                         {strings.Repeat(transcript, 30_000), strings.Repeat(transcript, 30_000)},
		"ends like a status line":             {"OH", "OH"},
		"only the start of a status line":     {"HTTP", "HTTP"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, data := range []io.Reader{strings.NewReader(tc.body), iotest.OneByteReader(strings.NewReader(tc.body))} {
				if _, bytewise := data.(*strings.Reader); !bytewise && strings.HasPrefix(name, "ends like") {
					continue // its last byte comes alone
				}
				got, err := readOwn(t, head, data)
				if tc.want == cut {
					is.Equal(outcome.KindOf(err), outcome.AnswerCut)
					continue
				}
				is.NoErr(err)
				is.True(got == tc.want)
			}
		})
	}
}

// A body without a length on a kept connection contained a copy of the answer to another request
// that does not name it, or whose name was cut.
func TestCopyOfAnotherAnswerInABodyWithoutALength(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: r-1\r\nSeal: s\r\n\r\n"
	const other = "HTTP/1.1 500 Internal Server Error\r\nId: r-0\r\nSeal: 0\r\nContent-Length: 5\r\n\r\nother"
	unnamed := strings.Replace(other, "Id: r-0\r\n", "", 1)
	const transcript = "HTTP/1.1 200 OK\r\nServer: a\r\n\r\nok"
	for _, form := range []string{other, unnamed} {
		for cut := len(protocolName) + 1; cut <= len(form); cut++ {
			if _, err := readOwnKept(t, head, strings.NewReader("whole"+form[:cut]), true); outcome.KindOf(err) != outcome.AnswerCut {
				t.Errorf("%q behind a body: outcome %v", form[:cut], err)
			}
		}
	}
	for _, body := range []string{"whole", "", transcript, transcript + " and more", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "\"GET / HTTP/1.1\" 200"} {
		if got, err := readOwnKept(t, head, strings.NewReader(body), true); err != nil || got != body {
			t.Errorf("body %q is read as %q, %v", body, got, err)
		}
	}
}

// Odd bytes between an answer without a length and its copy were the end of its body.
func TestOddBytesBeforeACopyAreTheEndOfABody(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: r-1\r\nSeal: s\r\n\r\n"
	const unnamed = "HTTP/1.1 200 OK\r\nSeal: s\r\n\r\n"
	for _, odd := range []string{"\r\n", "\n", "\r\n\r\n", " ", "\t", "\x00", "0\r\n\r\n", "\r\n0\r\n\r\n"} {
		for _, copied := range []string{head + "whole", unnamed + "whole", head + "who", head} {
			if got, err := readOwn(t, head, strings.NewReader("whole"+odd+copied)); outcome.KindOf(err) != outcome.AnswerCut {
				t.Errorf("%q between, then %q: read as %q, %v", odd, copied, got, err)
			}
		}
		for _, behind := range []string{"", head + "whole" + odd, strings.Replace(head, "Seal", "Content-Length: "+strconv.Itoa(len("whole"+odd))+"\r\nSeal", 1)} {
			if got, err := readOwn(t, head, strings.NewReader("whole"+odd+behind)); err != nil || got != "whole"+odd {
				t.Errorf("%q at the end of a body, followed by %q: read as %q, %v", odd, behind, got, err)
			}
		}
	}
}

// The start of a copy's status line that came by itself was the end of a body.
func TestStartOfAStatusLineIsTheEndOfABody(t *testing.T) {
	is := is.New(t)
	const head = "HTTP/1.1 200 OK\r\nId: r-1\r\n\r\n"
	for size := 1; size < len(head); size++ {
		for _, kept := range []bool{false, true} {
			_, err := readOwnKept(t, head, io.MultiReader(strings.NewReader("whole"), strings.NewReader(head[:size])), kept)
			is.Equal(outcome.KindOf(err), outcome.AnswerCut)
		}
	}
	for size := 1; size <= len(protocolName); size++ {
		got, err := readOwn(t, head, strings.NewReader("whole"+head[:size]))
		is.NoErr(err)
		is.Equal(got, "whole"+head[:size])
	}
}

// A body full of overlapping heads took the time of its size squared.
func TestManyHeadsInABodyTakeLong(t *testing.T) {
	is := is.New(t)
	body := bytes.Repeat([]byte("HTTP/1.1 200 "), maxResponseBytes/13)
	for i := MaxHeaderBytes / 2; i < len(body); i += MaxHeaderBytes / 2 {
		copy(body[i:], "\r\na: ")
	}
	began := time.Now()
	_, err := readOwn(t, "HTTP/1.1 200 OK\r\nId: r-1\r\n\r\n", bytes.NewReader(body))
	is.Equal(outcome.KindOf(err), outcome.AnswerCut)
	is.True(time.Since(began) < 2*time.Second)
}

// An answer without a length whose connection was reset counted as whole.
func TestResetEndsAnAnswerWithoutALength(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	read := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: r-1\r\n\r\nwhole")
		<-read
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}()
	client := &http.Client{Transport: &http.Transport{DialContext: WatchedDialer(clock.Boot{}, new(Continuity), false)}}
	ctx := context.Background()
	resp, trace, err := Do(ctx, client, "r-1", clock.Boot{}.Now().Add(time.Minute), func(ctx context.Context) (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodGet, "http://"+listener.Addr().String()+"/", nil)
	})
	is.NoErr(err)
	defer resp.Body.Close()
	close(read)
	r := NewResponseReader()
	_, err = r.ReadOwn(ctx, resp, trace, marksOf)
	is.Equal(outcome.KindOf(err), outcome.AnswerCut)
}
