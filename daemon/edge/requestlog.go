package edge

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/view"
)

// countKey is the context key of the number of requests of a connection without lanes.
type countKey struct{}

// ConnFields returns the fields of a request's log line that tell its place on its
// connection. It is called once for a request.
func ConnFields(r *http.Request) []zap.Field {
	number, behind := placeOnConn(r.Context())
	return []zap.Field{
		zap.String("caller", r.RemoteAddr),
		zap.Int("request_number", number),
		zap.Int("behind", behind),
	}
}

// placeOnConn returns the number of a request on its connection, from 1, or 0 if it is not
// known, and how many requests before it have no answer yet. It counts the request if its
// connection has no lanes.
func placeOnConn(ctx context.Context) (number, behind int) {
	if l, ok := ctx.Value(laneKey{}).(*lane); ok {
		l.p.mu.Lock()
		defer l.p.mu.Unlock()
		return l.number, max(0, slices.Index(l.p.order, l))
	}
	if count, ok := ctx.Value(countKey{}).(*atomic.Int64); ok {
		return int(count.Add(1)), 0
	}
	return 0, 0
}

// LeavingField returns the field of a request's log line that tells how long this daemon
// has been leaving. It is empty if it is not.
func LeavingField(v *view.View, now clock.Instant) zap.Field {
	if !v.Leaving || v.LeavingSince == 0 {
		return zap.Skip()
	}
	return zap.Int64("leaving_ms", now.Sub(v.LeavingSince).Milliseconds())
}

// LogUnwritten gives an answer to its connection, whose body was written with the error
// err, and logs it if it could not be given completely. What is given behind the answers to
// earlier requests is written after them.
func LogUnwritten(log *zap.Logger, w http.ResponseWriter, r *http.Request, err error, fields ...zap.Field) {
	if err == nil {
		err = http.NewResponseController(w).Flush()
	}
	if err != nil {
		given, taken := bytesOnConn(r.Context())
		log.Warn("answer not written", append(fields,
			zap.String("caller", r.RemoteAddr),
			zap.Int64("answer_given", given),
			zap.Int64("answer_taken", taken),
			zap.Error(err))...)
	}
}

// bytesOnConn returns how many bytes of the answer to a request, with its head, were given to
// its connection, and how many of them the connection took; -1 if it is not known.
func bytesOnConn(ctx context.Context) (given, taken int64) {
	l, ok := ctx.Value(laneKey{}).(*lane)
	if !ok {
		return -1, -1
	}
	l.p.mu.Lock()
	defer l.p.mu.Unlock()
	return l.given, l.taken
}

// The framings of answers to callers.
const (
	framingLength = "length"
	framingNone   = "none" // to HEAD, and of status 204 and 304: no body follows
)

// FramingField returns the field of a request's log line that tells where the caller finds
// the end of an answer with a status. All answers with a body have a length.
func FramingField(r *http.Request, status int) zap.Field {
	framing := framingLength
	if r.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified {
		framing = framingNone
	}
	return zap.String("answer_framing", framing)
}
