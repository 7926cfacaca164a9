package edge

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/fx/fxtest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// endLines serves requests with a log and returns the lines about ended connections.
func endLines(t *testing.T, use func(c *caller)) []observer.LoggedEntry {
	t.Helper()
	core, lines := observer.New(zap.InfoLevel)
	addr := freeAddr(t)
	lc := fxtest.NewLifecycle(t)
	ListenPipelined(lc, &http.Server{Handler: &gate{}, ReadHeaderTimeout: 8 * time.Second}, "test", addr, zap.New(core))
	lc.RequireStart()
	use(dialCaller(t, addr))
	lc.RequireStop()
	return lines.FilterMessage("caller connection ended").All()
}

func TestStopLogsRequestsWithoutAnswer(t *testing.T) {
	is := is.New(t)
	const half = "GET /2 HTTP/1.1\r\nHo"
	lines := endLines(t, func(c *caller) {
		c.send(get("/1") + half) // both are read at once
		_, err := c.answer()
		is.NoErr(err)
	})
	is.Equal(len(lines), 1)
	fields := lines[0].ContextMap()
	is.Equal(fields["listener"], "test")
	is.Equal(fields["reason"], string(endStop))
	is.Equal(fields["stopping"], true)
	is.Equal(fields["unanswered_bytes"], int64(len(half)))
	is.Equal(fields["unanswered_requests"], int64(1))
	is.True(fields["since_read_ms"].(int64) >= stopReadTimeout.Milliseconds())
}

func TestEndOfAnIdleConnectionIsNotLogged(t *testing.T) {
	is := is.New(t)
	lines := endLines(t, func(c *caller) {
		c.send(get("/1close"))
		_, err := c.answer()
		is.NoErr(err)
		_, err = c.answer()
		is.True(err != nil)
	})
	is.Equal(len(lines), 0)
}
