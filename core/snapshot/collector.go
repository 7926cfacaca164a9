package snapshot

import (
	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// Collector reads a stream whose beginning was trimmed until it holds a whole
// snapshot. Any that is whole in the retained log will do: the records after it
// lead to the same state.
type Collector struct {
	first     uint64
	entries   []logstream.Entry
	assembler *Assembler
}

// NewCollector returns a collector for a stream that is read from first on.
func NewCollector(stream string, first uint64) *Collector {
	return &Collector{first: first, assembler: NewAssembler(stream)}
}

// Add takes in the next record. When it makes a snapshot whole whose tail is in
// the retained log, Add returns the offset that the state is as of and the state.
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
	return asOf, state, ok && asOf >= c.first
}

// Tail returns the records taken in so far. Replay skips those that the
// snapshot contains.
func (c *Collector) Tail() []logstream.Entry { return c.entries }
