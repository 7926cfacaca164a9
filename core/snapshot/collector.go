package snapshot

import (
	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// Collector collects the records of a stream whose beginning was trimmed until
// they contain a complete snapshot. Any snapshot that is complete in the retained
// log is sufficient, since the records after it lead to the same state.
type Collector struct {
	first     uint64
	entries   []logstream.Entry
	assembler *Assembler
}

// NewCollector returns a collector for a stream that is read from the offset
// first.
func NewCollector(stream string, first uint64) *Collector {
	return &Collector{first: first, assembler: NewAssembler(stream)}
}

// Add adds the next record. If it completes a snapshot and all records after that
// snapshot are retained, Add returns the state and the offset of the first record
// that the state does not include.
func (c *Collector) Add(entry logstream.Entry) (asOf uint64, state []byte, ok bool) {
	if entry.Offset < c.first {
		return 0, nil, false
	}
	c.entries = append(c.entries, entry)
	rec := new(wire.Record)
	if err := proto.Unmarshal(entry.Data, rec); err != nil || rec.GetSnapshot() == nil {
		return 0, nil, false
	}
	asOf, state, ok = c.assembler.Add(rec.GetSnapshot())
	return asOf, state, ok && logstream.OffsetOf(asOf) >= logstream.OffsetOf(c.first) && logstream.OffsetOf(asOf) <= logstream.OffsetOf(entry.Offset)
}

// Collected returns the records added so far. Replay skips those that the snapshot
// includes.
func (c *Collector) Collected() []logstream.Entry { return c.entries }
