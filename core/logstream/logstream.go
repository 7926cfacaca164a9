// Package logstream is the client side of the platform's append-only log.
//
// The HTTP protocol of the log:
//
//	POST /v1/streams/{stream}/records            body: the record's bytes
//	  200 {"offset": N}
//	GET  /v1/streams/{stream}/records?from=N&max=M&wait_ms=W
//	  200 {"era": E, "first": F, "next": H, "records": [{"offset": N, "data": "base64"}]}
//	  410 {"era": E, "first": F, "next": H}      no record at N: trimmed, or beyond the end
//
// A read waits up to wait_ms milliseconds for a record at or after from. Offsets
// start at 1 in each stream. "era" rises each time the log comes back from a copy that
// is older than its last records, which are then gone; it may be missing. "next" is the offset that the next record will get,
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

// ErrRestored reports that the log came back from a copy since the position from which a
// read was requested. Records may be gone, and their offsets be given out again.
var ErrRestored = errors.New("logstream: log restored")

// offsetBits is the number of bits of a position that hold the offset.
const offsetBits = 40

// Position returns the position of an offset in an era of the log. Positions order
// records by era, then by offset. All offsets of this package but those on the wire are
// positions. Era 0 is that of a log that names none.
func Position(era, offset uint64) uint64 { return era<<offsetBits | offset }

// FirstEra is the era of a log that was never restored.
const FirstEra = 1

// EraOf returns the era of a position.
func EraOf(position uint64) uint64 { return position >> offsetBits }

// OffsetOf returns the offset of a position.
func OffsetOf(position uint64) uint64 { return position & (1<<offsetBits - 1) }

// CheckEra compares the era of an answer with that of the position from which the read
// was requested. If the log was restored since, it returns a Batch whose First is the
// first position of the era, and ErrRestored. An answer of an earlier era is late, and the
// error wraps ErrUnavailable.
func CheckEra(era, from uint64) (Batch, error) {
	switch {
	case era > EraOf(from):
		first := Position(era, 1)
		return Batch{First: first, Next: first}, ErrRestored
	case era < EraOf(from):
		return Batch{}, fmt.Errorf("%w: read: answer of era %d, expected %d", ErrUnavailable, era, EraOf(from))
	}
	return Batch{}, nil
}

// Entry is a record with its offset.
type Entry struct {
	Offset uint64 `json:"offset"` // position
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
	// without records and ErrTrimmed; if the log was restored, one and ErrRestored.
	Read(ctx context.Context, stream string, from uint64, max, waitMS int) (Batch, error)
}

// ConfigStream is the stream of the fleet's configuration.
const ConfigStream = "config"

// PlacementStream returns the name of a region's placement stream.
func PlacementStream(region string) string { return "placement-" + region }
