package edge

import (
	"net"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// endReason tells why a caller's connection ended.
type endReason string

const (
	endStop         endReason = "stop"          // the daemon stops, and no request was open
	endIdle         endReason = "idle"          // no request came for too long
	endLastAnswer   endReason = "last answer"   // its answer closes the connection
	endNoAnswer     endReason = "no answer"     // its server has given up a request
	endCallerClosed endReason = "caller closed" // the caller closed it or its read failed
	endWriteError   endReason = "write error"   // an answer could not be written
	endGraceOver    endReason = "grace over"    // the time of the stop is over
)

// connEnd describes a caller's connection when it ended.
type connEnd struct {
	caller     net.Addr
	reason     endReason
	stopping   bool
	bytes      int64 // read of requests without an answer
	unanswered int   // requests without an answer that have begun
	lastRead   time.Time

	request     int   // number of the first request without a whole answer; 0 if there is none
	answerTaken int64 // bytes of its answer that the connection took, with the head
	unwritten   int64 // bytes of answers that the connection did not take
}

// maxEndLines bounds the lines about ended connections per second and listener.
const maxEndLines = 100

// connLog logs the ends of callers' connections of one listener.
type connLog struct{ log *zap.Logger }

func newConnLog(log *zap.Logger, listener string) connLog {
	log = log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, maxEndLines, 0)
	}))
	return connLog{log.With(zap.String("listener", listener))}
}

// ended logs the end of a connection that left requests without an answer, and all ends
// during a stop.
func (c connLog) ended(e connEnd) {
	if e.bytes == 0 && !e.stopping {
		return
	}
	sinceRead := int64(-1)
	if !e.lastRead.IsZero() {
		sinceRead = time.Since(e.lastRead).Milliseconds()
	}
	c.log.Info("caller connection ended",
		zap.Stringer("caller", e.caller),
		zap.String("reason", string(e.reason)),
		zap.Bool("stopping", e.stopping),
		zap.Int64("unanswered_bytes", e.bytes),
		zap.Int("unanswered_requests", e.unanswered),
		zap.Int("request_number", e.request),
		zap.Int64("answer_taken", e.answerTaken),
		zap.Int64("answers_unwritten", e.unwritten),
		zap.Int64("since_read_ms", sinceRead))
}
