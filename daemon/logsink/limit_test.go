package logsink

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// kind is an outcome as daemons log it.
type kind string

func (k kind) String() string { return string(k) }

func limitedLog() (*zap.Logger, *observer.ObservedLogs) {
	core, lines := observer.New(zapcore.InfoLevel)
	return zap.New(Limit(core)).With(zap.String("slot", "d1")), lines
}

func request(log *zap.Logger, n int, k kind) {
	for i := range n {
		log.Info("request", zap.String("request_id", fmt.Sprint(i)), zap.Stringer("outcome", k))
	}
}

// Under load requests that went well are sampled, and rare failures among them are
// all written. The count of what was left out follows, also when the load ends.
func TestLoadLeavesFailuresInTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, lines := limitedLog()
		for range 3 {
			request(log, 1000, "ok")
			request(log, 30, "connection_lost")
			time.Sleep(limitWindow)
			synctest.Wait()
		}
		is.Equal(lines.FilterField(zap.Stringer("outcome", kind("connection_lost"))).Len(), 90)
		is.Equal(lines.FilterField(zap.Stringer("outcome", kind("ok"))).Len(), 3*servedLines)
		left := lines.FilterMessage("lines left out").All()
		is.Equal(len(left), 3)
		for _, line := range left {
			is.Equal(line.ContextMap()["count"], int64(1000-servedLines))
			is.Equal(line.ContextMap()["with_outcome"], "ok")
			is.Equal(line.ContextMap()["slot"], "d1")
		}
	})
}

// A flood of one failure leaves the lines of others alone.
func TestFloodOfOneOutcomeSparesOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, lines := limitedLog()
		request(log, 5000, "rate_limited")
		request(log, 20, "backend_crashed")
		is.Equal(lines.FilterField(zap.Stringer("outcome", kind("rate_limited"))).Len(), failedLines)
		is.Equal(lines.FilterField(zap.Stringer("outcome", kind("backend_crashed"))).Len(), 20)
	})
}

// Decisions that are not about one request always pass.
func TestOtherLinesPass(t *testing.T) {
	is := is.New(t)
	log, lines := limitedLog()
	for range 3 * failedLines {
		log.Info("placement", zap.String("action", "seal"))
		log.Info("reload", zap.String("outcome", "done"))
	}
	is.Equal(lines.Len(), 6*failedLines)
}
