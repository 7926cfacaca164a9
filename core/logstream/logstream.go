// Package logstream is the client side of the platform's append-only log.
//
// The HTTP protocol of the log:
//
//	POST /v1/streams/{stream}/records            body: the record's bytes
//	  200 {"offset": N}
//	GET  /v1/streams/{stream}/records?from=N&max=M&wait_ms=W
//	  200 {"first": F, "next": H, "records": [{"offset": N, "data": "base64"}]}
//	  410 {"first": F, "next": H}                records before F were trimmed
//
// A read waits up to wait_ms for a record at or after from. Offsets start at 1
// in each stream. "next" is the offset that the next record will get; a read
// answer proves knowledge of the stream's head as of the read's sending. The
// answer to an append may be lost after the record took effect; the author
// resolves this by reading the stream back and looking for the record's id.
package logstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
)

// ErrTrimmed reports that the records asked for are no longer kept.
var ErrTrimmed = errors.New("logstream: records trimmed")

// ErrUnavailable reports that the log did not answer. An append that ends
// with it may or may not have taken effect.
var ErrUnavailable = errors.New("logstream: unavailable")

// ErrRefused reports that the log surely did not take a record, and never will by
// that call. It comes wrapped together with ErrUnavailable.
var ErrRefused = errors.New("logstream: record refused")

// AppendFailure returns the error of an append that ended with a transport error
// or, if that is nil, with an HTTP status other than success: refused if no
// connection was made or the log said that it takes nothing now (503).
func AppendFailure(status int, err error) error {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return fmt.Errorf("%w: %w: append: %w", ErrUnavailable, ErrRefused, err)
	case err != nil:
		return fmt.Errorf("%w: append: %w", ErrUnavailable, err)
	case status == http.StatusServiceUnavailable:
		return fmt.Errorf("%w: %w: append: status %d", ErrUnavailable, ErrRefused, status)
	default:
		return fmt.Errorf("%w: append: status %d", ErrUnavailable, status)
	}
}

// Entry is a record with its offset.
type Entry struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is the answer to a read.
type Batch struct {
	First   uint64  `json:"first"` // oldest offset kept
	Next    uint64  `json:"next"`  // offset of the next record to be appended
	Records []Entry `json:"records"`
}

// Log appends to and reads from streams. Implementations are safe for
// concurrent use.
type Log interface {
	// Append adds a record and returns its offset. It returns an error that
	// wraps ErrUnavailable when the outcome is unknown, and ErrRefused beside it
	// when it is known that the record was not taken.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns records from offset from on, at most max, waiting up to
	// waitMS milliseconds for the first. It returns a Batch without records
	// and ErrTrimmed when from was trimmed.
	Read(ctx context.Context, stream string, from uint64, max, waitMS int) (Batch, error)
}

// ConfigStream is the stream of the fleet's configuration.
const ConfigStream = "config"

// PlacementStream returns the name of a region's placement stream.
func PlacementStream(region string) string { return "placement-" + region }
