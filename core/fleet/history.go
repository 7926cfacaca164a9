package fleet

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/wire"
)

// RecordVersion is the newest configuration record format understood.
const RecordVersion = 1

// History replays the configuration stream. Versions count accepted patches;
// version 0 is the empty configuration. A patch is accepted only if it names
// the current version as its base, so of racing operators one wins.
type History struct {
	Next    uint64 // offset of the first record not yet applied
	Version uint64
	Doc     []byte  // JSON document of the current version
	Config  *Config // parsed Doc; treated as immutable
	seen    map[[16]byte]uint64
}

// Verdict tells what a configuration record did.
type Verdict struct {
	Accepted bool
	Version  uint64 // the version made, if accepted
	Reason   string // why the record was rejected
}

// NewHistory returns the state before the first record.
func NewHistory() *History {
	return &History{Next: 1, Doc: []byte("{}"), Config: &Config{}, seen: map[[16]byte]uint64{}}
}

// Apply replays the record at offset.
func (h *History) Apply(offset uint64, data []byte) (*wire.Record, Verdict) {
	if offset < h.Next {
		return nil, refuse("offset %d already applied", offset)
	}
	h.Next = offset + 1
	rec := new(wire.Record)
	if err := proto.Unmarshal(data, rec); err != nil {
		return nil, refuse("not a record: %v", err)
	}
	if rec.GetVersion() > RecordVersion {
		return rec, refuse("record version %d is newer than %d", rec.GetVersion(), RecordVersion)
	}
	if len(rec.GetId()) != 16 {
		return rec, refuse("record id of %d bytes", len(rec.GetId()))
	}
	id := [16]byte(rec.GetId())
	if at, dup := h.seen[id]; dup {
		return rec, refuse("record id seen before at offset %d", at)
	}
	h.seen[id] = offset
	body, ok := rec.GetBody().(*wire.Record_ConfigPatch)
	if !ok {
		return rec, refuse("not a configuration patch")
	}
	return rec, h.patch(body.ConfigPatch)
}

func (h *History) patch(p *wire.ConfigPatch) Verdict {
	if p.GetBaseVersion() != h.Version {
		return refuse("base version %d is not the current version %d", p.GetBaseVersion(), h.Version)
	}
	doc, cfg, err := ApplyPatch(h.Doc, p.GetMergePatch())
	if err != nil {
		return refuse("%v", err)
	}
	h.Doc = doc
	h.Config = cfg
	h.Version++
	return Verdict{Accepted: true, Version: h.Version}
}

func refuse(format string, args ...any) Verdict {
	return Verdict{Reason: fmt.Sprintf(format, args...)}
}
