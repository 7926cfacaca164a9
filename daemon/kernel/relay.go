package kernel

import (
	"context"
	"errors"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/logstream"
)

// ErrNoPeer reports that this daemon follows no peer.
var ErrNoPeer = errors.New("kernel: no peer to follow")

// Relay takes in what was read of the log, passes it to the control state in
// order, and serves it to peers.
type Relay interface {
	// Next returns the offset from which the stream is to be read on.
	Next(stream string) uint64
	// Take takes in the answer to a read from offset from on. When asOf is not
	// zero, batch.Next was the head of the stream at asOf.
	Take(stream string, from uint64, batch logstream.Batch, asOf clock.Instant)
	// Restart drops what is held of a stream whose records from the read
	// position on were trimmed; reading goes on at offset first.
	Restart(stream string, first uint64)
	// Read reads from the peer that this daemon follows. The error is ErrNoPeer
	// when the daemon is to read from the platform itself.
	Read(ctx context.Context, stream string, from uint64) (logstream.Batch, clock.Instant, error)
}
