package edge

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/fx/fxtest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// largeAnswer exceeds what the sockets of a connection hold.
var largeAnswer = []byte(strings.Repeat("0123456789abcdef", 1<<20))

// serveLogged is servePipelined with a log.
func serveLogged(t *testing.T, log *zap.Logger, handler http.Handler) string {
	t.Helper()
	addr := freeAddr(t)
	lc := fxtest.NewLifecycle(t)
	ListenPipelined(lc, &http.Server{Handler: handler}, "test", addr, log)
	lc.RequireStart()
	t.Cleanup(lc.RequireStop)
	return addr
}

// The lines of an answer that was cut on its way to the caller did not tell how much of it was sent.
func TestLinesOfACutAnswerTellHowMuchTheConnectionTook(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.InfoLevel)
	log := zap.New(core)
	const behind = "answer of the request behind"
	kept := make(chan struct{})
	c := dialCaller(t, serveLogged(t, log, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := []byte(behind)
		if r.URL.Path == "/1" {
			<-kept
			body = largeAnswer
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		n, err := w.Write(body)
		LogUnwritten(log, w, r, err, zap.String("request_id", r.URL.Path), zap.Int("body_written", n))
		if r.URL.Path == "/2" {
			close(kept)
		}
	})))
	c.send(get("/1") + get("/2"))
	head := make([]byte, 100)
	_, err := c.Read(head) // the answer has begun
	is.NoErr(err)
	is.NoErr(c.Conn.(*net.TCPConn).SetLinger(0)) // close resets the connection
	is.NoErr(c.Close())
	eventually(t, "the end is logged", func() bool { return lines.FilterMessage("answer not written").Len() == 1 })

	unwritten := lines.FilterMessage("answer not written").All()[0].ContextMap()
	is.Equal(unwritten["request_id"], "/1")
	given, taken := unwritten["answer_given"].(int64), unwritten["answer_taken"].(int64)
	is.True(given > taken)
	is.True(taken >= int64(len(head)))
	is.True(taken < int64(len(largeAnswer)))

	ends := lines.FilterMessage("caller connection ended").All()
	is.Equal(len(ends), 1)
	end := ends[0].ContextMap()
	is.Equal(end["request_number"], int64(1))
	is.Equal(end["answer_taken"], taken)
	is.True(end["answers_unwritten"].(int64) > given-taken+int64(len(behind))) // with the answer that waited
}

// A response writer takes a small body although the connection takes nothing of it.
func TestLineOfASmallAnswerTellsThatTheConnectionTookNothing(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.InfoLevel)
	log := zap.New(core)
	began, handled := make(chan struct{}), make(chan struct{})
	c := dialCaller(t, serveLogged(t, log, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(handled)
		close(began)
		<-r.Context().Done()
		n, err := w.Write([]byte("answer"))
		LogUnwritten(log, w, r, err, zap.Int("body_written", n))
	})))
	c.send(get("/"))
	<-began
	is.NoErr(c.Conn.(*net.TCPConn).SetLinger(0))
	is.NoErr(c.Close())
	<-handled
	fields := lines.FilterMessage("answer not written").All()[0].ContextMap()
	is.Equal(fields["body_written"], int64(len("answer")))
	is.Equal(fields["answer_taken"], int64(0))
}

func TestFramingField(t *testing.T) {
	is := is.New(t)
	get, head := httptest.NewRequest(http.MethodGet, "/", nil), httptest.NewRequest(http.MethodHead, "/", nil)
	is.Equal(FramingField(get, http.StatusOK), zap.String("answer_framing", "length"))
	is.Equal(FramingField(get, http.StatusServiceUnavailable), zap.String("answer_framing", "length"))
	is.Equal(FramingField(get, http.StatusNoContent), zap.String("answer_framing", "none"))
	is.Equal(FramingField(get, http.StatusNotModified), zap.String("answer_framing", "none"))
	is.Equal(FramingField(head, http.StatusOK), zap.String("answer_framing", "none"))
}

// A connection that took a part of an answer must carry nothing behind that part.
func TestNothingFollowsAnAnswerWhoseWriteFailed(t *testing.T) {
	for name, requests := range map[string]string{
		"alone":     get("/large"),
		"pipelined": get("/large") + get("/small") + get("/small"),
		"behind":    get("/small") + get("/large") + get("/small"),
		"upgrade":   "GET /large HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n" + get("/small"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			failed := make(chan struct{})
			c := dialCaller(t, servePipelined(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body := []byte("small")
				if r.URL.Path == "/large" {
					is.NoErr(AwaitTurn(r.Context()))
					body = largeAnswer
				}
				w.Header().Set("Content-Length", strconv.Itoa(len(body)))
				_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
				if _, err := w.Write(body); err != nil {
					close(failed)
				}
			})))
			c.send(requests)
			<-failed
			got, _ := io.ReadAll(c)
			head, body, _ := strings.Cut(string(got), "Content-Length: "+strconv.Itoa(len(largeAnswer)))
			is.Equal(strings.Contains(head, "small"), name == "behind")
			_, body, _ = strings.Cut(body, "\r\n\r\n")
			is.True(len(body) > 0)
			is.True(strings.HasPrefix(string(largeAnswer), body))
			is.True(len(body) < len(largeAnswer))
		})
	}
}
