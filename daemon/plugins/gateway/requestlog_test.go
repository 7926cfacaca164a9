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
				if name == "write" {
					is.Equal(fields["body_written"], int64(2))
				}
			})
		}
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
