package backendconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// rawServer writes pieces to each connection once it has read a request there, pause apart, and keeps
// it open.
func rawServer(t *testing.T, pause time.Duration, pieces ...string) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				for _, piece := range pieces {
					_, _ = io.WriteString(conn, piece)
					time.Sleep(pause)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// readFrom returns the answer of a server to request r-1 and its record. isSeen tells whether the
// server was seen to write bytes of no answer.
func readFrom(t *testing.T, addr string, isSeen bool) (resp *wire.Response, x *Exchange, err error) {
	t.Helper()
	continuity := new(Continuity)
	if isSeen {
		continuity.Stutter.Saw()
	}
	transport := &http.Transport{DialContext: WatchedDialer(clock.Boot{}, continuity, false)}
	defer transport.CloseIdleConnections()
	ctx, x := WithExchange(context.Background())
	httpResp, trace, err := Do(ctx, &http.Client{Transport: transport}, "r-1", clock.Boot{}.Now().Add(time.Minute), func(ctx context.Context) (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/", nil)
	})
	if err != nil {
		t.Fatal(err)
	}
	defer httpResp.Body.Close()
	r := NewResponseReader()
	resp, err = r.ReadOwn(ctx, httpResp, trace, marksOf)
	return resp, x, err
}

// A run's line did not tell what came behind the answer on its connection, nor how long a copy was.
func TestWhatFollowsAnAnswerIsNotRecorded(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: r-1\r\nContent-Length: 21\r\n\r\n"
	const body = "HTTP/1.1 200 OK\r\nId: "
	for name, tc := range map[string]struct {
		answer string
		want   Follower
	}{
		"nothing":                 {head + body, FollowerNone},
		"copy":                    {head + body + head + body, FollowerAnswer},
		"copy behind interim one": {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + head + body + head + body, FollowerAnswer},
		"rest of a head":          {head + body + "r-1\r\nContent-Length: 21\r\n\r\n" + body, FollowerRest},
		"other bytes":             {head + strings.Repeat("x", len(body)) + "\r\n", FollowerOther},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, x, _ := readFrom(t, rawServer(t, 0, tc.answer), false)
			is.Equal(x.Framing, FramingLength)
			is.Equal(x.Follower, tc.want)
		})
	}
	is := is.New(t)
	core, lines := observer.New(zapcore.InfoLevel)
	recorded, x := WithExchange(context.Background())
	recordDiscarded(recorded, Discarded{AnswerID: "r-1", Reason: DiscardCopy, Bytes: 5})
	x.LogDiscarded(zap.New(core), "r-1", outcome.OK)
	is.Equal(lines.All()[0].ContextMap()["copy_bytes"], int64(5))
}

// A run's line did not tell that the body of its answer contains one to another request.
func TestAnswerInABodyIsNotRecorded(t *testing.T) {
	const other = "HTTP/1.1 200 OK\r\nId: r-7\r\n\r\nother"
	for _, framed := range []string{"Content-Length: 33\r\n\r\n" + other, "Transfer-Encoding: chunked\r\n\r\n21\r\n" + other + "\r\n0\r\n\r\n"} {
		is := is.New(t)
		_, x, err := readFrom(t, rawServer(t, 0, "HTTP/1.1 200 OK\r\nId: r-1\r\n"+framed), false)
		is.NoErr(err)
		is.Equal(x.Quotes, "r-7")
	}
}

// The newest bytes of a connection were lost, or all of them kept.
func TestNewestBytesOfAConnectionAreLost(t *testing.T) {
	is := is.New(t)
	stream := make([]byte, 16*maxReadAhead)
	for i := range stream {
		stream[i] = byte(i * 31 >> 3)
	}
	for _, size := range []int{1, 100, maxReadAhead - 1, maxReadAhead, maxReadAhead + 1, 3 * maxReadAhead} {
		var r readTail
		for at := 0; at < len(stream); at += size {
			r.add(stream[at:min(len(stream), at+size)])
			for _, back := range []int{0, 1, maxReadAhead} {
				read := int(r.read)
				if _, after, ok := r.split(int64(read - back)); read >= back {
					is.True(ok)
					is.Equal(string(after), string(stream[read-back:read]))
				}
			}
			is.True(len(r.newest) <= 2*maxReadAhead)
		}
	}
}

// An answer with a length that broke off was filled by the start of a copy and passed on.
func TestStartOfACopyFillsAnAnswerThatBrokeOff(t *testing.T) {
	const body = "the body of an answer that is longer than the head of its copy, by some bytes so that all of it fits, and its empty line"
	for name, copied := range map[string]string{
		"same":    "HTTP/1.1 200 OK\r\nId: r-1\r\nContent-Length: 120\r\n\r\n" + body,
		"unnamed": "HTTP/1.1 200 OK\r\nContent-Length: 120\r\n\r\n" + body,
		"failure": "HTTP/1.1 500 Internal Server Error\r\nId: r-0\r\nContent-Length: 90\r\n\r\n" + body[:90],
	} {
		const head = "HTTP/1.1 200 OK\r\nId: r-1\r\nContent-Length: 120\r\n\r\n"
		for missing := 1; missing <= len(body); missing++ {
			for _, pieces := range [][]string{{head + body[:len(body)-missing] + copied}, {head + body[:len(body)-missing], copied}} {
				resp, _, err := readFrom(t, rawServer(t, 0, pieces...), false)
				if outcome.KindOf(err) != outcome.AnswerCut {
					t.Errorf("%s, %d bytes are missing: %q, %v", name, missing, resp.GetBody(), err)
				}
			}
		}
	}
}

// The copy that filled an answer came in pieces, the first of which ended with the answer.
func TestCopyInPiecesFillsAnAnswerThatBrokeOff(t *testing.T) {
	const body = "the body of an answer that is longer than the head of its copy"
	const head = "HTTP/1.1 200 OK\r\nId: r-1\r\nContent-Length: 62\r\n\r\n"
	for missing := 1; missing < len(head); missing++ {
		for _, isSeen := range []bool{true, false} {
			if !isSeen && missing < minAwaited {
				continue
			}
			resp, _, err := readFrom(t, rawServer(t, time.Millisecond, head+body[:len(body)-missing], head[:missing], head[missing:]+body), isSeen)
			if outcome.KindOf(err) != outcome.AnswerCut {
				t.Errorf("%d bytes are missing: %q, %v", missing, resp.GetBody(), err)
			}
		}
	}
}

// The first bytes of a server's first copy, in a piece of their own, filled an answer that broke off.
func TestFirstBytesOfACopyFillAnAnswerThatBrokeOff(t *testing.T) {
	const body = "the body of an answer that is longer than the head of its copy"
	const head = "HTTP/1.1 200 OK\r\nId: r-1\r\nContent-Length: 62\r\n\r\n"
	for missing := 1; missing < minAwaited; missing++ {
		resp, _, err := readFrom(t, rawServer(t, time.Millisecond, head+body[:len(body)-missing], head[:missing], head[missing:]+body), false)
		if outcome.KindOf(err) != outcome.AnswerCut {
			t.Errorf("%d bytes are missing: %q, %v", missing, resp.GetBody(), err)
		}
	}
}

// A whole answer whose body ends like the start of another one was refused or late.
func TestBodyThatEndsLikeAHeadIsRefused(t *testing.T) {
	const other = "HTTP/1.1 200 OK\r\nId: r-7\r\nContent-Length: 20\r\n\r\n"
	for size := 1; size <= len(other); size++ {
		for _, isSeen := range []bool{false, true} {
			body := "transcript: " + other[:size]
			head := "HTTP/1.1 200 OK\r\nId: r-1\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
			for _, behind := range []string{"", head + body} {
				began := time.Now()
				resp, _, err := readFrom(t, rawServer(t, 0, head+body+behind), isSeen)
				if err != nil || string(resp.GetBody()) != body {
					t.Errorf("%q, followed by %q: %q, %v", body, behind, resp.GetBody(), err)
				}
				if took := time.Since(began); took > time.Second {
					t.Errorf("%q took %v", body, took)
				}
			}
		}
	}
}

// A chunk that broke off was filled by a head but its empty line, which was taken for the chunk's end.
func TestChunkIsFilledByAHeadWithoutItsEmptyLine(t *testing.T) {
	is := is.New(t)
	const body = "a body of two lines\nthat is long enough to break off in the middle and take in a head there"
	const head = "HTTP/1.1 200 OK\r\nId: r-1\r\nTransfer-Encoding: chunked\r\n\r\n"
	const chunk = "5b\r\n" + body + "\r\n"
	is.Equal(len(body), 0x5b)
	const missing = len(head) - len("\r\n")
	resp, _, err := readFrom(t, rawServer(t, 0, head+chunk[:len(chunk)-len("\r\n")-missing]+head+chunk+"0\r\n\r\n"), false)
	is.Equal(string(resp.GetBody()), "")
	is.Equal(outcome.KindOf(err), outcome.AnswerCut)
}
