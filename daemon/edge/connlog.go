package edge

import (
	"net"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/sesamemoor/sesamemoor/core/callermemory"
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
	endMemory       endReason = "memory"        // it takes memory that others need
	endCrowded      endReason = "crowded"       // its head was not complete when another connection needed its place
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

// maxRefusedLines bounds the lines about refused connections, and those about requests without
// room, per second and listener.
const maxRefusedLines = 1

// connLog logs the ends of callers' connections of one listener, and those that it refuses.
type connLog struct {
	log *zap.Logger
	// One for each message. A sampler of zap holds 448 KiB of counters, most of the live heap of a
	// daemon with two for each listener.
	ends, refusals, withoutRoom *rate.Limiter
}

func newConnLog(log *zap.Logger, listener string) connLog {
	perSecond := func(lines int) *rate.Limiter { return rate.NewLimiter(rate.Limit(lines), lines) }
	return connLog{
		log:  log.With(zap.String("listener", listener)),
		ends: perSecond(maxEndLines), refusals: perSecond(maxRefusedLines), withoutRoom: perSecond(maxRefusedLines),
	}
}

// refused logs that a connection was closed because as many are open as may be.
func (c connLog) refused(caller net.Addr, limit int) {
	if !c.refusals.Allow() {
		return
	}
	c.log.Warn("caller connection refused", zap.Stringer("caller", caller), zap.Int("limit", limit))
}

// noRoom logs that a request was refused because its answer has no room.
func (c connLog) noRoom(caller net.Addr, by callermemory.Refusal, ofConn int64, memory *callermemory.Account) {
	if !c.withoutRoom.Allow() {
		return
	}
	c.log.Warn("no memory for an answer", zap.Stringer("caller", caller), zap.Stringer("bound", by),
		zap.Int64("connection_bytes", ofConn), zap.Int64("entry_bytes", memory.Entry()), zap.Int64("total_bytes", memory.Total()),
		zap.Int64("caller_connections", memory.Connections()))
}

// ended logs the end of a connection that left requests without an answer, and all ends
// during a stop.
func (c connLog) ended(e connEnd) {
	if e.bytes == 0 && !e.stopping || !c.ends.Allow() {
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
