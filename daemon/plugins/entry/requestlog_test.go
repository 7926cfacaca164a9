package entry

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
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

func TestAnswerThatIsNotWrittenHasALine(t *testing.T) {
	for name, w := range map[string]brokenWriter{
		"write": {writeErr: errBroken},
		"flush": {flushErr: errBroken},
		"sound": {},
	} {
		for _, key := range []string{testKey, "unknown"} { // a whole answer, a refusal
			t.Run(name+"/"+key, func(t *testing.T) {
				is := is.New(t)
				e, _ := newTestEntry(t, new(fakeEnv))
				core, lines := observer.New(zapcore.InfoLevel)
				e.log = zap.New(core)
				r := httptest.NewRequest(http.MethodGet, "/stock/1", nil)
				r.Header.Set("Authorization", "Bearer "+key)
				w.ResponseRecorder = httptest.NewRecorder()
				e.httpServer().Handler.ServeHTTP(w, r)
				request := lines.FilterMessage("request").All()
				is.Equal(len(request), 1)
				is.Equal(request[0].ContextMap()["caller"], r.RemoteAddr)
				unwritten := lines.FilterMessage("answer not written").All()
				if name == "sound" {
					is.Equal(len(unwritten), 0)
					is.True(w.Body.Len() > 0)
					return
				}
				is.Equal(len(unwritten), 1)
				fields := unwritten[0].ContextMap()
				is.Equal(fields["request_id"], request[0].ContextMap()["request_id"])
				is.Equal(fields["outcome"], request[0].ContextMap()["outcome"])
				is.Equal(fields["error"], errBroken.Error())
				is.Equal(fields["body_bytes"], request[0].ContextMap()["body_bytes"])
				is.Equal(request[0].ContextMap()["answer_framing"], "length")
				if name == "write" {
					is.Equal(fields["body_written"], int64(2))
				}
			})
		}
	}
}
