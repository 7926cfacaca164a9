// Package operator implements the operators' client: it changes the versioned
// configuration through the platform's log and queries daemons for their state.
//
// A patch takes effect only if it is based on the current version. Each patch is
// a record with a unique id, so appending it again after a lost response has no
// further effect.
package operator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// Errors returned by configuration changes.
var (
	// ErrRejected reports a patch that does not take effect because it breaks a
	// rule or is not based on the current version.
	ErrRejected = errors.New("rejected")
	// ErrConflict wraps ErrRejected. It reports a patch whose base version was
	// superseded by another patch between its check and its append.
	ErrConflict = fmt.Errorf("%w: another patch came first", ErrRejected)
	// ErrUnknownOutcome reports that a patch may or may not take effect: the
	// platform did not answer in time, or a snapshot already contains the record.
	ErrUnknownOutcome = errors.New("outcome unknown")
)

const (
	readBatchSize = 500                    // records per read
	retryInterval = 100 * time.Millisecond // between appends while the platform does not answer
	appendTimeout = 2 * time.Second        // for one append
)

// Config changes and reads the configuration.
type Config struct {
	Log      logstream.Log
	Operator string // recorded with each patch
}

// Edit returns a merge patch (RFC 7396) for the current configuration.
type Edit func(current *fleet.Config) (patch []byte, err error)

// Apply appends the patch that edit returns for the current version, and returns
// the new version. On ErrConflict it retries with the then current version, at
// most retries times.
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
		if !errors.Is(err, ErrConflict) || retries == 0 {
			return version, err
		}
		retries--
	}
}

// Patch appends a merge patch based on version base and returns the new version.
func (c *Config) Patch(ctx context.Context, base uint64, patch []byte, comment string) (uint64, error) {
	history, _, err := c.Replay(ctx)
	if err != nil {
		return 0, err
	}
	return c.patch(ctx, history, base, patch, comment)
}

// patch applies the record to the replayed history before it appends it, so that
// an invalid patch leaves no record. The history must not be used afterwards.
func (c *Config) patch(ctx context.Context, history *fleet.History, base uint64, patch []byte, comment string) (uint64, error) {
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
	if len(data) > logstream.MaxRecordBytes {
		return 0, fmt.Errorf("%w: record of %d bytes exceeds %d", ErrRejected, len(data), logstream.MaxRecordBytes)
	}
	if _, verdict := history.Apply(history.Next, data); !verdict.Accepted {
		return 0, fmt.Errorf("%w: %s", ErrRejected, verdict.Reason)
	}
	return c.commit(ctx, id, data)
}

// commit appends the record until a replay contains its id. Appending it again is
// safe, because replay ignores further records with the same id.
func (c *Config) commit(ctx context.Context, id uuid.UUID, data []byte) (uint64, error) {
	for {
		appendErr := c.append(ctx, data)
		change, found, readErr := c.find(ctx, id)
		switch {
		case readErr == nil && found:
			return changeResult(change)
		case ctx.Err() != nil:
			return 0, fmt.Errorf("%w: record %s: %w", ErrUnknownOutcome, id, errors.Join(appendErr, readErr))
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

func (c *Config) append(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := c.Log.Append(ctx, logstream.ConfigStream, data)
	return err
}

// find returns the change made by the first record with the id.
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

// changeResult returns the version that a change made, or why it made none.
func changeResult(ch Change) (uint64, error) {
	switch {
	case ch.Accepted:
		return ch.Version, nil
	case ch.OutcomeUnknown || ch.Reason == fleet.ReasonDuplicate:
		return 0, fmt.Errorf("%w: record %s: %s", ErrUnknownOutcome, ch.ID, reasonInSnapshot)
	case ch.Base != ch.Current:
		return 0, fmt.Errorf("%w: %s", ErrConflict, ch.Reason)
	default:
		return 0, fmt.Errorf("%w: %s", ErrRejected, ch.Reason)
	}
}
