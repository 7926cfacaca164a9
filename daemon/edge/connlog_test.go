package edge

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/fx/fxtest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/sesamemoor/sesamemoor/core/callermemory"
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
	var addr net.Addr
	const half = "GET /2 HTTP/1.1\r\nHo"
	lines := endLines(t, func(c *caller) {
		addr = c.LocalAddr()
		c.send(get("/1") + half) // both are read at once
		_, err := c.answer()
		is.NoErr(err)
	})
	is.Equal(len(lines), 1)
	fields := lines[0].ContextMap()
	is.Equal(fields["listener"], "test")
	is.Equal(fields["caller"], addr.String())
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

// A handler that does not end must not delay the stop beyond its time.
func TestStopEndsRunningRequestsWhenItsTimeIsOver(t *testing.T) {
	for name, listen := range listeners {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			core, lines := observer.New(zap.InfoLevel)
			g := &gate{release: make(chan struct{})}
			defer close(g.release)
			addr := freeAddr(t)
			lc := fxtest.NewLifecycle(t)
			listen(lc, &http.Server{Handler: g}, "test", addr, zap.New(core))
			lc.RequireStart()
			c := dialCaller(t, addr)
			c.send(get("/1wait"))
			eventually(t, "the request runs", func() bool { return g.running.Load() == 1 })
			const grace = 200 * time.Millisecond
			ctx, cancel := context.WithTimeout(t.Context(), grace)
			defer cancel()
			begin := time.Now()
			_ = lc.Stop(ctx)
			is.True(time.Since(begin) < grace+time.Second)
			_, err := c.answer()
			is.True(err != nil)
			ends := lines.FilterMessage("caller connection ended").All()
			is.Equal(len(ends), 1)
			is.Equal(ends[0].ContextMap()["reason"], string(endGraceOver))
			is.Equal(ends[0].ContextMap()["unanswered_requests"], int64(1))
		})
	}
}

// A flood of connections must not fill the log, nor one message take the lines of another.
func TestLinesAboutConnectionsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		core, lines := observer.New(zap.InfoLevel)
		log := newConnLog(zap.New(core), "test")
		const seconds = 3
		for range seconds {
			for range 3 * maxEndLines {
				log.refused(&net.TCPAddr{}, 1)
				log.noRoom(&net.TCPAddr{}, callermemory.ByEntry, 1, callermemory.New(callermemory.Limits{}))
				log.ended(connEnd{caller: &net.TCPAddr{}, bytes: 1})
			}
			time.Sleep(time.Second)
		}
		is.Equal(lines.FilterMessage("caller connection refused").Len(), seconds*maxRefusedLines)
		is.Equal(lines.FilterMessage("no memory for an answer").Len(), seconds*maxRefusedLines)
		is.Equal(lines.FilterMessage("caller connection ended").Len(), seconds*maxEndLines)
	})
}

// A daemon has five listeners. The limits on the lines of each took 0.9 MB, 40% of the live heap of
// a daemon without load.
func TestLogOfAListenerIsSmall(t *testing.T) {
	is := is.New(t)
	log := zap.NewNop()
	const logs = 100
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range logs {
		newConnLog(log, "test")
	}
	runtime.ReadMemStats(&after)
	is.True((after.TotalAlloc-before.TotalAlloc)/logs < 4<<10)
}
