package gateway

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/edge"
)

var errBroken = errors.New("broken pipe")

// brokenWriter takes a part of each answer.
type brokenWriter struct {
	*httptest.ResponseRecorder
	writeErr, flushErr error
}

func (w brokenWriter) Write(b []byte) (int, error) {
	if w.writeErr != nil {
		return min(2, len(b)), w.writeErr
	}
	return w.ResponseRecorder.Write(b)
}

func (w brokenWriter) FlushError() error { return w.flushErr }

func newLoggedHandler(t *testing.T, s *fakeDaemon) (http.Handler, *observer.ObservedLogs) {
	core, lines := observer.New(zapcore.InfoLevel)
	g := newTestHandler(t, s).(*gateway)
	g.log = zap.New(core)
	return g, lines
}

func TestAnswerThatIsNotWrittenHasALine(t *testing.T) {
	for name, w := range map[string]brokenWriter{
		"write": {writeErr: errBroken},
		"flush": {flushErr: errBroken},
		"sound": {},
	} {
		for _, key := range []string{teamKey, "unknown"} { // a whole answer, a refusal
			t.Run(name+"/"+key, func(t *testing.T) {
				is := is.New(t)
				g, lines := newLoggedHandler(t, newFakeDaemon())
				r := httptest.NewRequest(http.MethodGet, "http://a/read/1", nil)
				r.Header.Set("Id", "r-1")
				r.Header.Set("Key", key)
				r.Header.Set("Number", "3")
				w.ResponseRecorder = httptest.NewRecorder()
				g.ServeHTTP(w, r)
				request := lines.FilterMessage("request").All()
				is.Equal(len(request), 1)
				is.Equal(request[0].ContextMap()["caller"], r.RemoteAddr)
				is.Equal(request[0].ContextMap()["leaving_ms"], nil)
				unwritten := lines.FilterMessage("answer not written").All()
				bodyless := name == "write" && key == "unknown" // a refusal has no body
				if name == "sound" || bodyless {
					is.Equal(len(unwritten), 0)
					return
				}
				is.Equal(len(unwritten), 1)
				fields := unwritten[0].ContextMap()
				is.Equal(fields["request_id"], "r-1")
				is.Equal(fields["outcome"], request[0].ContextMap()["outcome"])
				is.Equal(fields["error"], errBroken.Error())
				is.Equal(fields["body_bytes"], request[0].ContextMap()["body_bytes"])
				if name == "write" {
					is.Equal(fields["body_written"], int64(2))
				}
			})
		}
	}
}

func TestRequestLineNamesTheAttemptWhoseAnswerIsPassedOn(t *testing.T) {
	for name, c := range map[string]struct {
		answers             []outcome.Kind // a server's own failure for OK
		attempts, passedOn  uint32
		bodyBytes, status   int64
		method, wantFraming string
	}{
		"first":            {[]outcome.Kind{outcome.OK, outcome.ConnectionLost}, 2, 1, 5, 500, http.MethodGet, "length"},
		"second":           {[]outcome.Kind{outcome.ConnectionLost, outcome.OK}, 2, 2, 5, 500, http.MethodGet, "length"},
		"none":             {[]outcome.Kind{outcome.ConnectionLost, outcome.ConnectionLost}, 2, 0, 0, 502, http.MethodGet, "length"},
		"without its body": {[]outcome.Kind{outcome.ConnectionLost, outcome.OK}, 2, 2, 0, 500, http.MethodHead, "none"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newFakeDaemon()
			answers := c.answers
			s.respond = func(string, *wire.Request) (*wire.Response, error) {
				kind := answers[0]
				answers = answers[1:]
				if kind != outcome.OK {
					return responseOfKind(kind)
				}
				resp := &wire.Response{Kind: uint32(outcome.OK), Status: 500, Body: []byte("whole"), BodyLength: 5}
				if c.method == http.MethodHead {
					resp.Body, resp.BodyLength = nil, 0
				}
				return resp, nil
			}
			g, lines := newLoggedHandler(t, s)
			srv := httptest.NewServer(g)
			defer srv.Close()
			is.Equal(int64(send(t, srv, c.method, "/read/1").StatusCode), c.status)
			fields := lines.FilterMessage("request").All()[0].ContextMap()
			is.Equal(fields["attempts"], c.attempts)
			is.Equal(fields["answer_attempt"], c.passedOn)
			is.Equal(fields["body_bytes"], c.bodyBytes)
			is.Equal(fields["answer_framing"], c.wantFraming)
		})
	}
}

func TestRequestLineTellsConnectionAndLeaving(t *testing.T) {
	is := is.New(t)
	s := newFakeDaemon()
	s.view.Leaving, s.view.LeavingSince = true, clock.Boot{}.Now().Add(-10*time.Millisecond)
	g, lines := newLoggedHandler(t, s)
	srv := httptest.NewUnstartedServer(g)
	srv.Config.ConnContext = edge.WithConn
	srv.Start()
	defer srv.Close()
	resp := send(t, srv, http.MethodGet, "/read/1")
	is.Equal(resp.StatusCode, http.StatusOK)
	fields := lines.FilterMessage("request").All()[0].ContextMap()
	is.Equal(fields["request_number"], int64(1))
	is.Equal(fields["behind"], int64(0))
	is.Equal(fields["body_bytes"], resp.ContentLength)
	is.True(fields["leaving_ms"].(int64) >= 10)
}
