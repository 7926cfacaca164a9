package fleet

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/idwindow"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// RecordVersion is the newest supported format of configuration records.
const RecordVersion = 1

// History replays the configuration stream. Version 0 is the empty configuration. A
// patch increments the version and is accepted only if its base version is the current
// version, so that one of several concurrent operators succeeds. A published record
// sets the version of its author instead. After the log was restored, the versions that
// patches make have the era of the log in their upper bits, as in logstream.Position, so
// that they are above all of earlier eras.
type History struct {
	Next    uint64 // offset of the first record not yet applied
	Version uint64
	Doc     []byte  // JSON document of the current version
	Config  *Config // parsed Doc; treated as immutable
	// Newer is the number of records in formats or of kinds that this code does not
	// support. They have no effect here.
	Newer uint64

	// Rollouts is the newest order of each service that was not withdrawn; nil if there is
	// none. It is treated as immutable.
	Rollouts map[string]RolloutOrder
	// RolloutStatuses is the newest status of a roll-out of each service, where the stream
	// has them; nil if it has none. It is treated as immutable.
	RolloutStatuses map[string]*wire.RolloutStatus

	shardCounts map[string]uint32 // shard count of each service that ever existed
	recentIDs   *idwindow.Window

	parser         Parser          // of published versions
	published      *Config         // newest version by an external author; nil if there is none
	publishedDoc   []byte          // its JSON document
	outDataCentres map[string]bool // data centres taken out of service by orders
	// restored is set until the first summary after the log was restored, which may be older
	// than the orders in force.
	restored bool
	// renewed replays the stream of patches anew after the log was restored. What is in force
	// stays until it has a patch that this history has not seen.
	renewed *History
}

// Verdict is the result of applying a configuration record.
type Verdict struct {
	Accepted bool
	Version  uint64 // the version in force after the record, if accepted
	Reason   string // why the record was rejected
}

// NewHistory returns the state before the first record.
func NewHistory() *History {
	return &History{
		Next: 1, Doc: []byte("{}"), Config: &Config{}, shardCounts: map[string]uint32{}, recentIDs: idwindow.New(),
		outDataCentres: map[string]bool{},
	}
}

// Apply replays the record at offset. The record is nil if the offset was already
// applied or the data is not a record.
func (h *History) Apply(offset uint64, data []byte) (*wire.Record, Verdict) {
	if offset < h.Next {
		return nil, rejected("offset %d already applied", offset)
	}
	h.Next = offset + 1
	if h.renewed != nil {
		return h.applyRenewed(offset, data)
	}
	rec := new(wire.Record)
	if err := proto.Unmarshal(data, rec); err != nil {
		return nil, rejected("not a record: %v", err)
	}
	if rec.GetVersion() > RecordVersion {
		h.Newer++
		return rec, rejected("record version %d is newer than %d", rec.GetVersion(), RecordVersion)
	}
	if len(rec.GetId()) != idwindow.IDBytes {
		return rec, rejected("record id has %d bytes, expected 16", len(rec.GetId()))
	}
	if !h.recentIDs.Add(idwindow.ID(rec.GetId())) {
		return rec, Verdict{Reason: ReasonDuplicate}
	}
	return rec, h.applyBody(offset, rec)
}

func (h *History) applyBody(offset uint64, rec *wire.Record) Verdict {
	switch body := rec.GetBody().(type) {
	case *wire.Record_ConfigPatch:
		return h.applyConfigPatch(body.ConfigPatch)
	case *wire.Record_Published:
		return h.applyPublished(body.Published)
	case *wire.Record_DataCentreOrder:
		return h.applyOrder(body.DataCentreOrder)
	case *wire.Record_Standing:
		return h.applyStanding(body.Standing)
	case *wire.Record_RolloutOrder:
		return h.applyRollout(offset, body.RolloutOrder)
	case *wire.Record_RolloutStatus:
		return h.applyRolloutStatus(body.RolloutStatus)
	case *wire.Record_Snapshot:
		return Verdict{Reason: ReasonSnapshot}
	case nil:
		if len(rec.ProtoReflect().GetUnknown()) > 0 {
			h.Newer++
		}
	}
	return rejected("not a record of the configuration stream")
}

// Reasons that callers of Apply distinguish.
const (
	ReasonSnapshot  = "snapshot" // a snapshot record creates no version
	ReasonDuplicate = "record id seen before"
)

func (h *History) applyConfigPatch(p *wire.ConfigPatch) Verdict {
	current := logstream.OffsetOf(h.Version)
	if p.GetBaseVersion() != current {
		return rejected("base version %d is not the current version %d", p.GetBaseVersion(), current)
	}
	doc, cfg, err := ApplyPatch(h.Doc, p.GetMergePatch())
	if err != nil {
		return rejected("%v", err)
	}
	if err := h.checkCounts(cfg); err != nil {
		return rejected("%v", err)
	}
	h.Doc = doc
	h.Config = cfg
	h.Version = current + 1
	if era := logstream.EraOf(h.Next); era > logstream.FirstEra {
		h.Version = logstream.Position(era, current+1)
	}
	return Verdict{Accepted: true, Version: h.Version}
}

// checkCounts rejects a changed shard count of a service, also of one that was removed
// and is added again, because its shards keep their owners and generations. If no count
// changed, it records the counts of cfg.
func (h *History) checkCounts(cfg *Config) error {
	for name, svc := range cfg.Services {
		if count, ok := h.shardCounts[name]; ok && count != svc.Shards {
			return fmt.Errorf("%w: services.%s.shards: %d cannot become %d", ErrInvalid, name, count, svc.Shards)
		}
	}
	for name, svc := range cfg.Services {
		h.shardCounts[name] = svc.Shards
	}
	return nil
}

func rejected(format string, args ...any) Verdict {
	return Verdict{Reason: fmt.Sprintf(format, args...)}
}

// applyPublished applies a complete version by an external author.
func (h *History) applyPublished(p *wire.Published) Verdict {
	if h.published != nil && p.GetVersion() <= h.Version {
		return rejected("version %d is not above %d", p.GetVersion(), h.Version)
	}
	cfg, err := h.parser.Parse(p.GetDocument())
	if err != nil {
		return rejected("%v", err)
	}
	if err := h.checkCounts(cfg); err != nil {
		return rejected("%v", err)
	}
	h.published = cfg
	h.publishedDoc = p.GetDocument()
	h.Version = p.GetVersion()
	h.rebuildConfig()
	return Verdict{Accepted: true, Version: h.Version}
}

// applyOrder takes a data centre out of service or returns it to service.
func (h *History) applyOrder(o *wire.DataCentreOrder) Verdict {
	if h.outDataCentres[o.GetDataCentre()] == o.GetOut() {
		return rejected("data centre %s is already in the ordered state", o.GetDataCentre())
	}
	if o.GetOut() {
		h.outDataCentres[o.GetDataCentre()] = true
	} else {
		delete(h.outDataCentres, o.GetDataCentre())
	}
	h.rebuildConfig()
	return Verdict{Accepted: true, Version: h.Version}
}

// applyStanding applies the summary of records that the log no longer keeps: the newest
// published version and all data-centre orders in force.
func (h *History) applyStanding(st *wire.Standing) Verdict {
	if !h.restored {
		clear(h.outDataCentres)
	}
	h.setRollouts(st.GetRollouts(), !h.restored)
	h.restored = false
	for _, name := range st.GetOut() {
		h.outDataCentres[name] = true
	}
	if st.GetPublished() != nil {
		if v := h.applyPublished(st.GetPublished()); v.Accepted {
			return v
		}
	}
	h.rebuildConfig()
	return Verdict{Accepted: true, Version: h.Version}
}

// rebuildConfig sets the configuration in force from the newest published version and
// the data-centre orders.
func (h *History) rebuildConfig() {
	cfg := &Config{}
	if h.published != nil {
		*cfg = *h.published
	}
	centres := make(map[string]DataCentre, len(cfg.DataCentres)+len(h.outDataCentres))
	for name, dc := range cfg.DataCentres {
		centres[name] = dc
	}
	for name := range h.outDataCentres {
		dc := centres[name]
		dc.Out = true
		centres[name] = dc
	}
	cfg.DataCentres = centres
	h.Config = cfg
}

// Published reports whether a version by an external author is in force.
func (h *History) Published() bool { return h.published != nil }
