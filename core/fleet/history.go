package fleet

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/idwindow"
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
	// Newer counts the records that this code is too old to understand. They
	// have no effect here.
	Newer uint64

	counts map[string]uint32 // shard count of each service that ever was
	seen   *idwindow.Window

	published *Config         // newest version by an outside author; nil if there was none
	out       map[string]bool // data centres that orders took out of service
}

// Verdict tells what a configuration record did.
type Verdict struct {
	Accepted bool
	Version  uint64 // the version made, if accepted
	Reason   string // why the record was rejected
}

// NewHistory returns the state before the first record.
func NewHistory() *History {
	return &History{
		Next: 1, Doc: []byte("{}"), Config: &Config{}, counts: map[string]uint32{}, seen: idwindow.New(),
		out: map[string]bool{},
	}
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
		h.Newer++
		return rec, refuse("record version %d is newer than %d", rec.GetVersion(), RecordVersion)
	}
	if len(rec.GetId()) != idwindow.IDBytes {
		return rec, refuse("record id of %d bytes", len(rec.GetId()))
	}
	if !h.seen.Add(idwindow.ID(rec.GetId())) {
		return rec, Verdict{Reason: ReasonDuplicate}
	}
	return rec, h.applyBody(rec)
}

func (h *History) applyBody(rec *wire.Record) Verdict {
	switch body := rec.GetBody().(type) {
	case *wire.Record_ConfigPatch:
		return h.patch(body.ConfigPatch)
	case *wire.Record_Published:
		return h.publish(body.Published)
	case *wire.Record_DataCentreOrder:
		return h.order(body.DataCentreOrder)
	case *wire.Record_Standing:
		return h.standing(body.Standing)
	case *wire.Record_Snapshot:
		return Verdict{Reason: ReasonSnapshot}
	case nil:
		if len(rec.ProtoReflect().GetUnknown()) > 0 {
			h.Newer++
		}
	}
	return refuse("not a configuration patch")
}

// Reasons of verdicts that callers tell apart.
const (
	ReasonSnapshot  = "snapshot" // a snapshot record makes no version
	ReasonDuplicate = "record id seen before"
)

func (h *History) patch(p *wire.ConfigPatch) Verdict {
	if p.GetBaseVersion() != h.Version {
		return refuse("base version %d is not the current version %d", p.GetBaseVersion(), h.Version)
	}
	doc, cfg, err := ApplyPatch(h.Doc, p.GetMergePatch())
	if err != nil {
		return refuse("%v", err)
	}
	if err := h.checkCounts(cfg); err != nil {
		return refuse("%v", err)
	}
	h.Doc = doc
	h.Config = cfg
	h.Version++
	return Verdict{Accepted: true, Version: h.Version}
}

// checkCounts refuses to change the shard count of a service, also of one that
// was removed and comes back: its shards keep their owners and generations.
func (h *History) checkCounts(cfg *Config) error {
	for name, svc := range cfg.Services {
		if count, ok := h.counts[name]; ok && count != svc.Shards {
			return fmt.Errorf("%w: services.%s.shards: %d cannot become %d", ErrInvalid, name, count, svc.Shards)
		}
	}
	for name, svc := range cfg.Services {
		h.counts[name] = svc.Shards
	}
	return nil
}

func refuse(format string, args ...any) Verdict {
	return Verdict{Reason: fmt.Sprintf(format, args...)}
}

// publish takes in a whole version by an outside author.
func (h *History) publish(p *wire.Published) Verdict {
	if h.published != nil && p.GetVersion() <= h.Version {
		return refuse("version %d is not above %d", p.GetVersion(), h.Version)
	}
	cfg, err := Parse(p.GetDocument())
	if err != nil {
		return refuse("%v", err)
	}
	if err := h.checkCounts(cfg); err != nil {
		return refuse("%v", err)
	}
	h.published = cfg
	h.Version = p.GetVersion()
	h.combine()
	return Verdict{Accepted: true, Version: h.Version}
}

// order takes a data centre out of service or returns it.
func (h *History) order(o *wire.DataCentreOrder) Verdict {
	if h.out[o.GetDataCentre()] == o.GetOut() {
		return refuse("data centre %s: nothing to change", o.GetDataCentre())
	}
	if o.GetOut() {
		h.out[o.GetDataCentre()] = true
	} else {
		delete(h.out, o.GetDataCentre())
	}
	h.combine()
	return Verdict{Accepted: true, Version: h.Version}
}

// standing takes in the sum of records that are no longer kept.
func (h *History) standing(st *wire.Standing) Verdict {
	clear(h.out)
	for _, name := range st.GetOut() {
		h.out[name] = true
	}
	if st.GetPublished() != nil {
		if v := h.publish(st.GetPublished()); v.Accepted {
			return v
		}
	}
	h.combine()
	return Verdict{Accepted: true, Version: h.Version}
}

// combine makes the configuration in force of the newest published version and
// the orders.
func (h *History) combine() {
	cfg := &Config{}
	if h.published != nil {
		*cfg = *h.published
	}
	centres := make(map[string]DataCentre, len(cfg.DataCentres)+len(h.out))
	for name, dc := range cfg.DataCentres {
		centres[name] = dc
	}
	for name := range h.out {
		dc := centres[name]
		dc.Out = true
		centres[name] = dc
	}
	cfg.DataCentres = centres
	h.Config = cfg
}

// Published reports whether an outside author's version is in force.
func (h *History) Published() bool { return h.published != nil }
