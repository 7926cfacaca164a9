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
// A read waits up to wait_ms milliseconds for a record at or after from. Offsets
// start at 1 in each stream. "next" is the offset that the next record will get,
// so the response to a read gives the head of the stream at or after the time
// when the read was sent. The response to an append may be lost after the record
// was appended. The author then reads the stream and looks for the record's id.
package logstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
)

// ErrTrimmed reports that the requested records are no longer retained.
var ErrTrimmed = errors.New("logstream: records trimmed")

// ErrUnavailable reports that the log did not answer, or answered with an error.
// An append that fails with it may have taken effect, unless the error also wraps
// ErrRefused.
var ErrUnavailable = errors.New("logstream: unavailable")

// ErrRefused reports that the log did not append a record and never will by the
// same call. The error also wraps ErrUnavailable.
var ErrRefused = errors.New("logstream: record refused")

// AppendFailure returns the error of an append that failed with a transport error
// or, if err is nil, with an HTTP status other than 200. The error wraps
// ErrUnavailable. It also wraps ErrRefused if no connection was established or
// the log accepted no records (503).
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

// Batch is the result of a read.
type Batch struct {
	First   uint64  `json:"first"` // oldest retained offset
	Next    uint64  `json:"next"`  // offset of the next record to be appended
	Records []Entry `json:"records"`
}

// Log appends to and reads from streams. Implementations are safe for
// concurrent use.
type Log interface {
	// Append appends a record and returns its offset. If the outcome is unknown, it
	// returns an error that wraps ErrUnavailable. If the record was certainly not
	// appended, the error also wraps ErrRefused.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns at most max records at or after offset from. It waits up to
	// waitMS milliseconds for the first one. If from was trimmed, it returns a Batch
	// without records and ErrTrimmed.
	Read(ctx context.Context, stream string, from uint64, max, waitMS int) (Batch, error)
}

// ConfigStream is the stream of the fleet's configuration.
const ConfigStream = "config"

// PlacementStream returns the name of a region's placement stream.
func PlacementStream(region string) string { return "placement-" + region }
