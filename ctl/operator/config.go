// Package operator is the operators' side of the system: it changes the
// numbered configuration through the platform's log and asks daemons for their
// state.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/snapshot"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// Errors of configuration changes.
var (
	// ErrRejected reports a patch that does not take effect: it breaks a rule
	// or is not based on the current version.
	ErrRejected = errors.New("rejected")
	// ErrRaced is the ErrRejected of a patch that another one overtook.
	ErrRaced = fmt.Errorf("%w: another patch came first", ErrRejected)
	// ErrUnknownOutcome reports that the platform did not answer in time, so
	// that a patch may or may not take effect.
	ErrUnknownOutcome = errors.New("outcome unknown")
)

const (
	readBatch  = 500                    // records per read
	retryPause = 100 * time.Millisecond // between tries while the platform does not answer
	appendWait = 2 * time.Second        // for one answer to an append
)

// Change is one record of the configuration stream as replay judged it.
type Change struct {
	Offset   uint64          `json:"offset"`
	Accepted bool            `json:"accepted"`
	Version  uint64          `json:"version,omitempty"`
	Reason   string          `json:"reason,omitempty"`
	Base     uint64          `json:"base_version"`
	Operator string          `json:"operator,omitempty"`
	Comment  string          `json:"comment,omitempty"`
	TimeMS   int64           `json:"time_ms,omitempty"` // author's wall clock, since 1970
	Patch    json.RawMessage `json:"patch,omitempty"`
	ID       string          `json:"id"`
}

// Config changes and reads the configuration.
type Config struct {
	Log      logstream.Log
	Operator string // recorded with each patch
}

// Replay reads the whole configuration stream and returns its state and its
// records.
func (c *Config) Replay(ctx context.Context) (*fleet.History, []Change, error) {
	r := &replay{history: fleet.NewHistory()}
	from := uint64(1)
	for {
		batch, err := c.Log.Read(ctx, logstream.ConfigStream, from, readBatch, 0)
		if errors.Is(err, logstream.ErrTrimmed) && batch.First > from {
			from = batch.First
			r.collector = snapshot.NewCollector(logstream.ConfigStream, from)
			continue
		}
		if err != nil {
			return nil, nil, fmt.Errorf("read configuration: %w", err)
		}
		for _, entry := range batch.Records {
			r.take(entry)
			from = entry.Offset + 1
		}
		if from >= batch.Next {
			return r.result()
		}
	}
}

// replay follows the configuration stream, from a snapshot if its beginning was
// trimmed.
type replay struct {
	history   *fleet.History
	changes   []Change
	collector *snapshot.Collector // while no snapshot is whole
}

func (r *replay) take(entry logstream.Entry) {
	if r.collector == nil {
		r.apply(entry)
		return
	}
	_, state, ok := r.collector.Add(entry)
	if !ok {
		return
	}
	history, err := fleet.Decode(state)
	if err != nil {
		return
	}
	r.history = history
	tail := r.collector.Tail()
	r.collector = nil
	for _, e := range tail {
		if e.Offset >= history.Next {
			r.apply(e)
		}
	}
}

func (r *replay) apply(entry logstream.Entry) {
	rec, verdict := r.history.Apply(entry.Offset, entry.Data)
	if verdict.Reason == fleet.ReasonSnapshot {
		return
	}
	r.changes = append(r.changes, describe(entry.Offset, rec, verdict))
}

func (r *replay) result() (*fleet.History, []Change, error) {
	if r.collector != nil {
		return nil, nil, errors.New("read configuration: its beginning was trimmed and no whole snapshot is kept")
	}
	return r.history, r.changes, nil
}

func describe(offset uint64, rec *wire.Record, v fleet.Verdict) Change {
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

// Edit makes a merge patch from the current configuration.
type Edit func(current *fleet.Config) (patch []byte, err error)

// Apply makes a patch by edit on the current version and appends it. When
// another operator's patch comes first it tries again, at most retries times.
func (c *Config) Apply(ctx context.Context, edit Edit, comment string, retries int) (uint64, error) {
	for {
		history, _, err := c.Replay(ctx)
		if err != nil {
			return 0, err
		}
		patch, err := edit(history.Config)
		if err != nil {
			return 0, err
		}
		version, err := c.patch(ctx, history, history.Version, patch, comment)
		if !errors.Is(err, ErrRaced) || retries == 0 {
			return version, err
		}
		retries--
	}
}

// Patch appends a merge patch based on version base and returns the version
// that it made.
func (c *Config) Patch(ctx context.Context, base uint64, patch []byte, comment string) (uint64, error) {
	history, _, err := c.Replay(ctx)
	if err != nil {
		return 0, err
	}
	return c.patch(ctx, history, base, patch, comment)
}

// patch checks the patch against the history before it appends it, so that an
// obvious mistake leaves no record.
func (c *Config) patch(ctx context.Context, history *fleet.History, base uint64, patch []byte, comment string) (uint64, error) {
	if base != history.Version {
		return 0, fmt.Errorf("%w: base version %d is not the current version %d", ErrRejected, base, history.Version)
	}
	if _, _, err := fleet.ApplyPatch(history.Doc, patch); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrRejected, err)
	}
	id := uuid.New()
	data, err := proto.Marshal(&wire.Record{
		Id: id[:], Version: fleet.RecordVersion, AuthorTimeMs: time.Now().UnixMilli(),
		Body: &wire.Record_ConfigPatch{ConfigPatch: &wire.ConfigPatch{
			BaseVersion: base, MergePatch: patch, Operator: c.Operator, Comment: comment,
		}},
	})
	if err != nil {
		return 0, fmt.Errorf("encode patch: %w", err)
	}
	return c.settle(ctx, id, data)
}

// settle appends the record until replay shows its id. Appending it again is
// safe: replay ignores the second record of one id.
func (c *Config) settle(ctx context.Context, id uuid.UUID, data []byte) (uint64, error) {
	for {
		appendErr := c.append(ctx, data)
		change, found, readErr := c.find(ctx, id)
		switch {
		case readErr == nil && found:
			return judged(change)
		case ctx.Err() != nil:
			return 0, fmt.Errorf("%w: record %s: %w", ErrUnknownOutcome, id, errors.Join(appendErr, readErr))
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
}

func (c *Config) append(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendWait)
	defer cancel()
	_, err := c.Log.Append(ctx, logstream.ConfigStream, data)
	return err
}

// find returns the first record with the id.
func (c *Config) find(ctx context.Context, id uuid.UUID) (Change, bool, error) {
	_, changes, err := c.Replay(ctx)
	if err != nil {
		return Change{}, false, err
	}
	for _, ch := range changes {
		if ch.ID == id.String() {
			return ch, true, nil
		}
	}
	return Change{}, false, nil
}

func judged(ch Change) (uint64, error) {
	if !ch.Accepted {
		return 0, fmt.Errorf("%w: %s", ErrRaced, ch.Reason)
	}
	return ch.Version, nil
}
