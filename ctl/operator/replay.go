package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/snapshot"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// Change is one record of the configuration stream with its effect in replay.
type Change struct {
	Offset   uint64          `json:"offset"`
	Accepted bool            `json:"accepted"`
	Version  uint64          `json:"version,omitempty"`
	Reason   string          `json:"reason,omitempty"`
	Base     uint64          `json:"base_version"`
	Current  uint64          `json:"current_version"` // before the record
	Operator string          `json:"operator,omitempty"`
	Comment  string          `json:"comment,omitempty"`
	TimeMS   int64           `json:"time_ms,omitempty"` // author's wall clock, since 1970
	Patch    json.RawMessage `json:"patch,omitempty"`
	ID       string          `json:"id"`
	// OutcomeUnknown reports that the record precedes the snapshot from which
	// replay started, so that its effect is unknown.
	OutcomeUnknown bool `json:"unjudged,omitempty"`
}

// reasonInSnapshot is the reason of a change whose outcome is unknown.
const reasonInSnapshot = "contained in a snapshot"

// replayer folds the configuration stream. If the oldest records were trimmed, it
// starts from the first complete snapshot.
type replayer struct {
	history *fleet.History
	changes []Change
	// assembler is not nil while the replayer waits for a complete snapshot. pending
	// then holds the records read so far, and first is the offset of the first one.
	assembler *snapshot.Assembler
	pending   []logstream.Entry
	first     uint64
}

// Replay reads the whole configuration stream and returns its state and its
// records. It returns an error that wraps logstream.ErrUnavailable if the oldest
// records were trimmed and no complete snapshot follows.
func (c *Config) Replay(ctx context.Context) (*fleet.History, []Change, error) {
	r := &replayer{history: fleet.NewHistory()}
	from := uint64(1)
	for {
		batch, err := c.Log.Read(ctx, logstream.ConfigStream, from, readBatchSize, 0)
		if errors.Is(err, logstream.ErrTrimmed) && batch.First > from {
			r.restart(batch.First)
			from = batch.First
			continue
		}
		if err != nil {
			return nil, nil, fmt.Errorf("read configuration: %w", err)
		}
		for _, entry := range batch.Records {
			r.add(entry)
			from = entry.Offset + 1
		}
		if from >= batch.Next {
			break
		}
	}
	if r.assembler != nil {
		return nil, nil, fmt.Errorf("%w: records before offset %d were trimmed and no complete snapshot follows",
			logstream.ErrUnavailable, r.first)
	}
	return r.history, r.changes, nil
}

// restart drops what was read so far and waits for a snapshot from offset first on.
func (r *replayer) restart(first uint64) {
	*r = replayer{history: fleet.NewHistory(), assembler: snapshot.NewAssembler(logstream.ConfigStream), first: first}
}

func (r *replayer) add(entry logstream.Entry) {
	if r.assembler == nil {
		r.apply(entry)
		return
	}
	r.pending = append(r.pending, entry)
	history := r.completedSnapshot(entry)
	if history == nil {
		return
	}
	r.history = history
	r.assembler = nil
	for _, e := range r.pending {
		r.apply(e)
	}
	r.pending = nil
}

// completedSnapshot returns the history of the snapshot that the entry completes,
// or nil. Snapshots as of an offset before first are ignored, because records after
// them were trimmed.
func (r *replayer) completedSnapshot(entry logstream.Entry) *fleet.History {
	rec := new(wire.Record)
	if err := proto.Unmarshal(entry.Data, rec); err != nil || rec.GetSnapshot() == nil {
		return nil
	}
	asOf, state, complete := r.assembler.Add(rec.GetSnapshot())
	if !complete || asOf < r.first {
		return nil
	}
	history, err := fleet.Decode(state)
	if err != nil || history.Next != asOf {
		return nil
	}
	return history
}

func (r *replayer) apply(entry logstream.Entry) {
	if entry.Offset < r.history.Next {
		rec := new(wire.Record)
		_ = proto.Unmarshal(entry.Data, rec) // an invalid record yields an incomplete change
		ch := newChange(entry.Offset, rec, fleet.Verdict{Reason: reasonInSnapshot})
		ch.OutcomeUnknown = true
		r.changes = append(r.changes, ch)
		return
	}
	current := r.history.Version
	rec, verdict := r.history.Apply(entry.Offset, entry.Data)
	ch := newChange(entry.Offset, rec, verdict)
	ch.Current = current
	r.changes = append(r.changes, ch)
}

func newChange(offset uint64, rec *wire.Record, v fleet.Verdict) Change {
	ch := Change{Offset: offset, Accepted: v.Accepted, Version: v.Version, Reason: v.Reason}
	if id, err := uuid.FromBytes(rec.GetId()); err == nil {
		ch.ID = id.String()
	}
	ch.TimeMS = rec.GetAuthorTimeMs()
	patch := rec.GetConfigPatch()
	ch.Base = patch.GetBaseVersion()
	ch.Operator = patch.GetOperator()
	ch.Comment = patch.GetComment()
	if json.Valid(patch.GetMergePatch()) {
		ch.Patch = patch.GetMergePatch()
	}
	return ch
}
