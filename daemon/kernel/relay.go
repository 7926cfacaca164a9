package kernel

import (
	"context"
	"errors"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/logstream"
)

// ErrNoPeer reports that this daemon follows no peer and reads from the platform.
var ErrNoPeer = errors.New("kernel: no peer to follow")

// Relay receives records read from the log, passes them to the control state in
// order, and serves them to peers.
type Relay interface {
	// NextOffset returns the offset of the next record to read from the stream.
	NextOffset(stream string) uint64
	// Apply applies the result of a read at offset from. If asOf is not zero,
	// batch.Next was the head of the stream at asOf.
	Apply(stream string, from uint64, batch logstream.Batch, asOf clock.Instant)
	// Reset drops the stored records of a stream whose records at the read
	// position were trimmed, or whose log was restored. Reading continues at position
	// first. A restored log has a new era for all streams.
	Reset(stream string, first uint64)
	// Restored returns a channel that is closed when the era of the stream advances.
	Restored(stream string) <-chan struct{}
	// Read reads from the peer that this daemon follows. It returns ErrNoPeer if
	// the daemon reads from the platform.
	Read(ctx context.Context, stream string, from uint64) (logstream.Batch, clock.Instant, error)
}
