package backendconn

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"github.com/sesamemoor/sesamemoor/core/outcome"
)

// Framing tells where the body of an answer ends.
type Framing string

// The framings of answers.
const (
	FramingLength  Framing = "length"
	FramingChunked Framing = "chunked"
	FramingClose   Framing = "close" // the body ends with its connection
	FramingNone    Framing = "none"  // an answer to HEAD, 204 or 304: there is no body
)

// framingOf returns the framing of an answer.
func framingOf(resp *http.Response) Framing {
	bodiless := resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified ||
		resp.Request != nil && resp.Request.Method == http.MethodHead
	switch {
	case bodiless:
		return FramingNone
	case len(resp.TransferEncoding) > 0:
		return FramingChunked
	case resp.ContentLength >= 0:
		return FramingLength
	}
	return FramingClose
}

// Exchange describes the newest exchange with the server of a request, and the answers that
// were discarded in all of its exchanges. It is not safe for concurrent use.
type Exchange struct {
	Framing   Framing // "" if there was no answer
	Kept      bool    // the connection had carried a request before
	BodyBytes int     // that were passed on
	BodyEnd   BodyEnd // "" if the body was not read, see ReadOwn
	EndSeenBy EndObserver
	Follower  Follower // known if the framing is FramingLength
	Quotes    string   // another request that a head in the body names, and that the connection is not known to have carried
	Discarded []Discarded
}

// RunEnd tells whether the server may still run a request whose exchange is over.
type RunEnd uint8

// The ends of runs.
const (
	// RunOver means that the server does not run the request: it has answered or refused it, or
	// has not got it.
	RunOver RunEnd = iota
	// RunCut means that the connection was ended by the server without a whole answer. The run is
	// over once its process has ended.
	RunCut
	// RunAbandoned means that this daemon closed the connection. Most servers end the run then, but
	// nothing shows it.
	RunAbandoned
)

// RunEndOf returns whether the server may still run the request of ctx, which ended with an outcome,
// and the process that got it.
func RunEndOf(ctx context.Context, kind outcome.Kind) (RunEnd, *Process) {
	trace := recordOf(ctx).trace
	answered := kind == outcome.OK || kind == outcome.BackendError
	if trace == nil || answered || kind.Answer().Ran == outcome.NotRun {
		return RunOver, nil
	}
	c := trace.conn.Load()
	switch {
	case c == nil:
		return RunOver, nil // not written
	case c.endedByServer.Load():
		return RunCut, c.server
	default:
		return RunAbandoned, c.server
	}
}

// Discarded describes bytes of an answer that did not belong to the answer of a request.
type Discarded struct {
	AnswerID string // the request that they name, or ""
	Reason   DiscardReason
	Bytes    int // of the body behind a head that ended the answer of the request
}

// DiscardReason tells why bytes of an answer were discarded.
type DiscardReason string

// The reasons to discard bytes.
const (
	DiscardOtherRequest DiscardReason = "other_request" // the answer names another request, or none although it must
	DiscardCopy         DiscardReason = "copy"          // a second answer in the body of another
	DiscardMergedHeads  DiscardReason = "merged_heads"  // the answer broke off in its head, and another one follows
)

type exchangeKey struct{}

// exchangeRecord is what is recorded in a context.
type exchangeRecord struct {
	Exchange
	trace *Trace // of the newest exchange; nil if nothing was sent
}

// WithExchange returns a context whose exchanges with the server are recorded.
func WithExchange(ctx context.Context) (context.Context, *Exchange) {
	r := new(exchangeRecord)
	return context.WithValue(ctx, exchangeKey{}, r), &r.Exchange
}

// exchangeOf returns the record of a context, or one that nobody reads.
func exchangeOf(ctx context.Context) *Exchange { return &recordOf(ctx).Exchange }

func recordOf(ctx context.Context) *exchangeRecord {
	if r, ok := ctx.Value(exchangeKey{}).(*exchangeRecord); ok {
		return r
	}
	return new(exchangeRecord)
}

// RecordDiscarded records in the Exchange of ctx that an answer was discarded.
func RecordDiscarded(ctx context.Context, answerID string, reason DiscardReason) {
	recordDiscarded(ctx, Discarded{AnswerID: answerID, Reason: reason})
}

func recordDiscarded(ctx context.Context, d Discarded) {
	x := exchangeOf(ctx)
	x.Discarded = append(x.Discarded, d)
}

// LogDiscarded logs a line for each discarded answer of a request that ended with an outcome.
func (x *Exchange) LogDiscarded(log *zap.Logger, requestID string, kind outcome.Kind) {
	for _, d := range x.Discarded {
		log.Info("answer discarded",
			zap.String("request_id", requestID),
			zap.String("answer_id", d.AnswerID),
			zap.String("discard_reason", string(d.Reason)),
			zap.Int("copy_bytes", d.Bytes),
			zap.Stringer("outcome", kind),
			zap.Bool("kept", x.Kept),
		)
	}
}
