package fleet

import (
	"slices"

	"github.com/sesamemoor/sesamemoor/core/idwindow"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// Restored tells the history that the log came back from a copy. Next is the position from
// which it is read again. The version in force does not go back, and data centres that are
// out of service stay so until an order about them is read. A patch that an operator makes
// on the version that the log shows now takes effect, and with it goes what only the lost
// records said.
func (h *History) Restored() {
	h.restored = h.published != nil || len(h.outDataCentres) > 0 || len(h.Rollouts) > 0
	if h.published == nil && h.Version > 0 {
		h.renewed = NewHistory()
	}
}

// applyRenewed replays a record of a log that was restored.
func (h *History) applyRenewed(offset uint64, data []byte) (*wire.Record, Verdict) {
	rec, verdict := h.renewed.Apply(offset, data)
	if rec == nil || len(rec.GetId()) != idwindow.IDBytes {
		return rec, verdict
	}
	if !h.recentIDs.Add(idwindow.ID(rec.GetId())) {
		return rec, Verdict{Reason: ReasonDuplicate}
	}
	if verdict.Accepted {
		*h = *h.renewed
	}
	return rec, verdict
}

// Standing returns the newest version by an external author and the data centres out of
// service by its orders, or nil if there is no such version.
func (h *History) Standing() *wire.Standing {
	if h.published == nil {
		return nil
	}
	st := &wire.Standing{Published: &wire.Published{Version: h.Version, Document: h.publishedDoc}, Rollouts: h.encodeRollouts()}
	for name := range h.outDataCentres {
		st.Out = append(st.Out, name)
	}
	slices.Sort(st.Out)
	return st
}

// Adopt takes over what another daemon knew when the log had been restored, and reports
// whether it changed the configuration. Orders about data centres count only if this
// history has read no more than next, up to which the other had read.
func (h *History) Adopt(st *wire.Standing, next uint64) bool {
	if st == nil {
		return false
	}
	changed := false
	if h.Next <= next {
		for _, name := range st.GetOut() {
			changed = changed || !h.outDataCentres[name]
			h.outDataCentres[name] = true
		}
		if len(st.GetRollouts()) > 0 {
			h.setRollouts(st.GetRollouts(), false)
			changed = true
		}
	}
	if h.applyPublished(st.GetPublished()).Accepted {
		return true
	}
	if changed {
		h.rebuildConfig()
	}
	return changed
}
