// Package snapshot cuts folded state into records that fit the log and puts
// them together again.
package snapshot

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"

	"github.com/sesamemoor/sesamemoor/core/idwindow"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

const (
	// partBytes is the size of the state in one record; with its frame it stays
	// well below logstream.MaxRecordBytes.
	partBytes = 192 << 10
	// maxParts bounds a snapshot to 256 MiB.
	maxParts = 512
	// maxOpen is the number of snapshots that are put together at a time.
	maxOpen = 4
)

// identify returns the id of a snapshot: a hash of all it says. Daemons that
// write the same state use the same id, and damaged parts do not fit it.
func identify(stream string, asOf uint64, state []byte) idwindow.ID {
	h := sha256.New()
	_, _ = h.Write([]byte(stream))
	_, _ = h.Write(binary.BigEndian.AppendUint64([]byte{0}, asOf))
	_, _ = h.Write(state)
	return idwindow.ID(h.Sum(nil)[:idwindow.IDBytes])
}

// Cut returns the parts of a snapshot of a stream's state as of an offset.
func Cut(stream string, asOf uint64, state []byte) []*wire.Snapshot {
	id := identify(stream, asOf, state)
	count := max(1, (len(state)+partBytes-1)/partBytes)
	parts := make([]*wire.Snapshot, 0, count)
	for i := range count {
		piece := state[i*partBytes : min((i+1)*partBytes, len(state))]
		parts = append(parts, &wire.Snapshot{
			SnapshotId: id[:], AsOf: asOf, Part: uint32(i), Parts: uint32(count), State: piece,
		})
	}
	return parts
}

// RecordID returns the record id of a part, the same for every writer.
func RecordID(part *wire.Snapshot) idwindow.ID {
	h := sha256.New()
	_, _ = h.Write(part.GetSnapshotId())
	_, _ = h.Write(binary.BigEndian.AppendUint32(nil, part.GetPart()))
	return idwindow.ID(h.Sum(nil)[:idwindow.IDBytes])
}

// Assembler puts snapshots of one stream together from parts in any order.
type Assembler struct {
	stream string
	open   []*assembly
}

type assembly struct {
	id    []byte
	asOf  uint64
	parts [][]byte
	left  int
}

// NewAssembler returns an assembler for a stream.
func NewAssembler(stream string) *Assembler { return &Assembler{stream: stream} }

// Add takes in a part. When it makes a snapshot whole, Add returns the offset
// that the state is as of and the state.
func (a *Assembler) Add(part *wire.Snapshot) (asOf uint64, state []byte, ok bool) {
	n := int(part.GetParts())
	if n < 1 || n > maxParts || int(part.GetPart()) >= n || len(part.GetSnapshotId()) != idwindow.IDBytes {
		return 0, nil, false
	}
	s := a.find(part, n)
	if s.asOf != part.GetAsOf() || len(s.parts) != n || s.parts[part.GetPart()] != nil {
		return 0, nil, false
	}
	s.parts[part.GetPart()] = append([]byte{}, part.GetState()...)
	s.left--
	if s.left > 0 {
		return 0, nil, false
	}
	a.drop(s)
	state = bytes.Join(s.parts, nil)
	if identify(a.stream, s.asOf, state) != idwindow.ID(s.id) {
		return 0, nil, false
	}
	return s.asOf, state, true
}

// find returns the assembly of the part's snapshot. Beyond the bound the
// oldest open one is dropped.
func (a *Assembler) find(part *wire.Snapshot, parts int) *assembly {
	for _, s := range a.open {
		if bytes.Equal(s.id, part.GetSnapshotId()) {
			return s
		}
	}
	if len(a.open) == maxOpen {
		a.open = a.open[1:]
	}
	s := &assembly{id: part.GetSnapshotId(), asOf: part.GetAsOf(), parts: make([][]byte, parts), left: parts}
	a.open = append(a.open, s)
	return s
}

func (a *Assembler) drop(s *assembly) {
	for i := range a.open {
		if a.open[i] == s {
			a.open = append(a.open[:i:i], a.open[i+1:]...)
			return
		}
	}
}
