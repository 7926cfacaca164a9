// Package snapshot splits the encoded state of a stream into records that fit the
// log, and reassembles it from them.
package snapshot

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"

	"github.com/sesamemoor/sesamemoor/core/idwindow"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

const (
	// partBytes is the number of bytes of state in one record. The whole record is
	// well below logstream.MaxRecordBytes.
	partBytes = 192 << 10
	// maxParts is the largest number of parts that an Assembler accepts for a
	// snapshot: 96 MiB of state in parts of partBytes. Split does not enforce it.
	maxParts = 512
	// maxPending is the largest number of incomplete snapshots that an Assembler
	// keeps.
	maxPending = 4
)

// snapshotID returns the id of a snapshot, which is a hash of its stream, offset
// and state. Daemons that write the same state use the same id, and the id of a
// snapshot with damaged parts does not match.
func snapshotID(stream string, asOf uint64, state []byte) idwindow.ID {
	h := sha256.New()
	_, _ = h.Write([]byte(stream))
	_, _ = h.Write(binary.BigEndian.AppendUint64([]byte{0}, asOf))
	_, _ = h.Write(state)
	return idwindow.ID(h.Sum(nil)[:idwindow.IDBytes])
}

// Split returns the parts of a snapshot of a stream's encoded state. asOf is the
// offset of the first record that the state does not include.
func Split(stream string, asOf uint64, state []byte) []*wire.Snapshot {
	id := snapshotID(stream, asOf, state)
	count := max(1, (len(state)+partBytes-1)/partBytes)
	parts := make([]*wire.Snapshot, 0, count)
	for i := range count {
		chunk := state[i*partBytes : min((i+1)*partBytes, len(state))]
		parts = append(parts, &wire.Snapshot{
			SnapshotId: id[:], AsOf: asOf, Part: uint32(i), Parts: uint32(count), State: chunk,
		})
	}
	return parts
}

// RecordID returns the record id of a part. It is the same for all writers.
func RecordID(part *wire.Snapshot) idwindow.ID {
	h := sha256.New()
	_, _ = h.Write(part.GetSnapshotId())
	_, _ = h.Write(binary.BigEndian.AppendUint32(nil, part.GetPart()))
	return idwindow.ID(h.Sum(nil)[:idwindow.IDBytes])
}

// Assembler reassembles snapshots of one stream from parts in any order.
type Assembler struct {
	stream  string
	pending []*assembly
}

// assembly is an incomplete snapshot.
type assembly struct {
	id      []byte
	asOf    uint64
	parts   [][]byte
	missing int
}

// NewAssembler returns an assembler for a stream.
func NewAssembler(stream string) *Assembler { return &Assembler{stream: stream} }

// Add adds a part. If it completes a snapshot, Add returns the state and its
// offset as passed to Split. Invalid parts, repeated parts and snapshots whose id
// does not match are ignored.
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
	s.missing--
	if s.missing > 0 {
		return 0, nil, false
	}
	a.remove(s)
	state = bytes.Join(s.parts, nil)
	if snapshotID(a.stream, s.asOf, state) != idwindow.ID(s.id) {
		return 0, nil, false
	}
	return s.asOf, state, true
}

// find returns the assembly of the part's snapshot. If there is none yet, it adds
// one, and drops the oldest if there are maxPending already.
func (a *Assembler) find(part *wire.Snapshot, parts int) *assembly {
	for _, s := range a.pending {
		if bytes.Equal(s.id, part.GetSnapshotId()) {
			return s
		}
	}
	if len(a.pending) == maxPending {
		a.pending = a.pending[1:]
	}
	s := &assembly{id: part.GetSnapshotId(), asOf: part.GetAsOf(), parts: make([][]byte, parts), missing: parts}
	a.pending = append(a.pending, s)
	return s
}

func (a *Assembler) remove(s *assembly) {
	for i := range a.pending {
		if a.pending[i] == s {
			a.pending = append(a.pending[:i:i], a.pending[i+1:]...)
			return
		}
	}
}
