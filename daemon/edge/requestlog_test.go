package edge

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/view"
)

func TestRequestLineTellsThePlaceOnTheConnection(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zapcore.InfoLevel)
	log := zap.New(core)
	g := &gate{release: make(chan struct{})}
	c := dialCaller(t, servePipelined(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		log.Info(r.URL.Path, ConnFields(r)...)
		g.ServeHTTP(w, r)
	})))
	for i, path := range []string{"/1wait", "/2wait", "/3wait"} {
		c.send(get(path))
		eventually(t, path+" runs", func() bool { return g.running.Load() == int64(i+1) })
	}
	close(g.release)
	for range 3 {
		_, err := c.answer()
		is.NoErr(err)
	}
	c.send(get("/4"))
	_, err := c.answer()
	is.NoErr(err)
	is.Equal(lines.Len(), 4)
	for i, line := range lines.All() {
		fields := line.ContextMap()
		is.Equal(fields["caller"], c.LocalAddr().String())
		is.Equal(fields["request_number"], int64(i+1))
		if i < 3 { // the third answer may reach the caller before its handler's end is known
			is.Equal(fields["behind"], int64(i))
		}
	}
}

func TestRequestLineTellsThePlaceOnAConnectionWithoutLanes(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zapcore.InfoLevel)
	log := zap.New(core)
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { log.Info("", ConnFields(r)...) }))
	srv.Config.ConnContext = WithConn
	srv.Start()
	defer srv.Close()
	for range 2 {
		c := dialCaller(t, srv.Listener.Addr().String())
		for range 2 {
			c.send(get("/"))
			_, err := c.answer()
			is.NoErr(err)
		}
	}
	is.Equal(lines.Len(), 4)
	for i, line := range lines.All() {
		is.Equal(line.ContextMap()["request_number"], int64(i%2+1))
	}
}

func TestLeavingField(t *testing.T) {
	is := is.New(t)
	const since = clock.Instant(5 * time.Second)
	now := since.Add(70 * time.Millisecond)
	is.Equal(LeavingField(&view.View{}, now).Type, zapcore.SkipType)
	is.Equal(LeavingField(&view.View{Leaving: true, LeavingSince: since}, now), zap.Int64("leaving_ms", 70))
}

// An answer that the caller's connection did not take left no trace.
func TestAnswerThatIsNotWrittenIsLogged(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zapcore.InfoLevel)
	log := zap.New(core)
	began := make(chan struct{})
	handled := make(chan struct{})
	c := dialCaller(t, servePipelined(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(handled)
		close(began)
		<-r.Context().Done()
		_, err := io.WriteString(w, "answer")
		LogUnwritten(log, w, r, err, zap.String("request_id", "r"))
	})))
	c.send(get("/"))
	<-began
	is.NoErr(c.Conn.(*net.TCPConn).SetLinger(0)) // close resets the connection
	is.NoErr(c.Close())
	<-handled
	is.Equal(lines.Len(), 1)
	is.Equal(lines.All()[0].Message, "answer not written")
	is.Equal(lines.All()[0].ContextMap()["request_id"], "r")
	is.Equal(lines.All()[0].ContextMap()["caller"], c.LocalAddr().String())
	is.True(lines.All()[0].ContextMap()["error"] != "")
}

func TestAnswerThatIsWrittenIsNotLogged(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zapcore.InfoLevel)
	handled := make(chan struct{})
	c := dialCaller(t, servePipelined(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(handled)
		LogUnwritten(zap.New(core), w, r, nil)
	})))
	c.send(get("/"))
	<-handled
	_, err := c.answer()
	is.NoErr(err)
	is.Equal(lines.Len(), 0)
	LogUnwritten(zap.New(core), httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil), errors.New("broken"))
	is.Equal(lines.Len(), 1)
}
