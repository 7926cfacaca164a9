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

// kind is an outcome that is logged as a Stringer, as daemons do.
type kind string

func (k kind) String() string { return string(k) }

func newLimitedLogger() (*zap.Logger, *observer.ObservedLogs) {
	core, lines := observer.New(zapcore.InfoLevel)
	return zap.New(Limit(core)).With(zap.String("slot", "d1")), lines
}

func logRequests(log *zap.Logger, n int, k kind) {
	for i := range n {
		log.Info("request", zap.String("request_id", fmt.Sprint(i)), zap.Stringer("outcome", k))
	}
}

// TestFailuresAreLoggedUnderLoad: under load successful requests are sampled and rare
// failures are all logged. The number of omitted lines is logged, also for the last
// window.
func TestFailuresAreLoggedUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, lines := newLimitedLogger()
		for range 3 {
			logRequests(log, 1000, "ok")
			logRequests(log, 30, "connection_lost")
			time.Sleep(limitWindow)
			synctest.Wait()
		}
		is.Equal(lines.FilterField(zap.Stringer("outcome", kind("connection_lost"))).Len(), 90)
		is.Equal(lines.FilterField(zap.Stringer("outcome", kind("ok"))).Len(), 3*okLines)
		omitted := lines.FilterMessage("lines left out").All()
		is.Equal(len(omitted), 3)
		for _, line := range omitted {
			is.Equal(line.ContextMap()["count"], int64(1000-okLines))
			is.Equal(line.ContextMap()["with_outcome"], "ok")
			is.Equal(line.ContextMap()["slot"], "d1")
		}
	})
}

// TestOutcomesHaveSeparateLimits: many lines of one outcome do not use up the
// budgets of other outcomes.
func TestOutcomesHaveSeparateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, lines := newLimitedLogger()
		logRequests(log, 5000, "rate_limited")
		logRequests(log, 20, "backend_crashed")
		is.Equal(lines.FilterField(zap.Stringer("outcome", kind("rate_limited"))).Len(), failedLines)
		is.Equal(lines.FilterField(zap.Stringer("outcome", kind("backend_crashed"))).Len(), 20)
	})
}

// TestOtherLinesAreNotLimited: lines that are not about a single request are never
// omitted.
func TestOtherLinesAreNotLimited(t *testing.T) {
	is := is.New(t)
	log, lines := newLimitedLogger()
	for range 3 * failedLines {
		log.Info("placement", zap.String("action", "seal"))
		log.Info("reload", zap.String("outcome", "done"))
	}
	is.Equal(lines.Len(), 6*failedLines)
}
