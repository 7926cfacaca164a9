package backendconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
)

// A run's line told neither where the body of the answer ended nor whether its connection had
// carried a request before.
func TestFramingOfAnAnswerIsNotRecorded(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	answers := map[string]string{
		"/length":  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"/chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"/none":    "HTTP/1.1 204 No Content\r\n\r\n",
		"/close":   "HTTP/1.1 200 OK\r\n\r\nwhole",
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.WriteString(conn, answers[req.URL.Path])
					if req.URL.Path == "/close" {
						return
					}
				}
			}()
		}
	}()
	dial := WatchedDialer(clock.Boot{}, new(Continuity), false)
	client := &http.Client{Transport: &http.Transport{DialContext: dial, MaxConnsPerHost: 1}}
	responses := NewResponseReader()
	for i, want := range []Exchange{
		{Framing: FramingLength, BodyBytes: 5}, {Framing: FramingChunked, BodyBytes: 5}, {Framing: FramingNone}, {Framing: FramingClose, BodyBytes: 5},
	} {
		want.Kept = i > 0
		ctx, x := WithExchange(context.Background())
		resp, _, err := Do(ctx, client, "r-"+string(want.Framing), clock.Boot{}.Now().Add(time.Minute), func(ctx context.Context) (*http.Request, error) {
			return http.NewRequestWithContext(ctx, http.MethodGet, "http://"+listener.Addr().String()+"/"+string(want.Framing), nil)
		})
		is.NoErr(err)
		_, err = responses.Read(ctx, resp)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(*x, want)
	}
}

// An answer that was discarded left no line that names the request to which it belongs.
func TestDiscardedAnswerHasNoLine(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zapcore.InfoLevel)
	ctx, x := WithExchange(context.Background())
	RecordDiscarded(ctx, "r-1", DiscardOtherRequest)
	x.LogDiscarded(zap.New(core), "r-2", outcome.AnswerCut)
	is.Equal(lines.Len(), 1)
	fields := lines.All()[0].ContextMap()
	is.Equal(fields["request_id"], "r-2")
	is.Equal(fields["answer_id"], "r-1")
	is.Equal(fields["discard_reason"], "other_request")
}

// Bytes that belong to no call left no line, or one for each connection.
func TestBytesOfNoAnswerHaveNoLine(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zapcore.InfoLevel)
	log, now := zap.New(core), clock.Instant(time.Hour)
	var s Stutter
	s.LogDiscarded(log, now)
	is.Equal(lines.Len(), 0)
	for range 3 {
		s.discard()
	}
	s.LogDiscarded(log, now)
	s.discard()
	s.LogDiscarded(log, now.Add(logInterval-1))
	is.Equal(lines.Len(), 1)
	is.Equal(lines.All()[0].ContextMap()["count"], int64(3))
	s.LogDiscarded(log, now.Add(logInterval))
	is.Equal(lines.Len(), 2)
	is.Equal(lines.All()[1].ContextMap()["count"], int64(1))
}
