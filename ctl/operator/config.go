// Package operator is the operators' side of the system: it changes the
// numbered configuration through the platform's log and asks daemons for their
// state.
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

// Config changes and reads the configuration.
type Config struct {
	Log      logstream.Log
	Operator string // recorded with each patch
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

// patch applies the record to the replayed history before it appends it, so that
// an obvious mistake leaves no record. The history is used up.
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

// judged returns what the first record of an id did.
func judged(ch Change) (uint64, error) {
	switch {
	case ch.Accepted:
		return ch.Version, nil
	case ch.Unjudged || ch.Reason == fleet.ReasonDuplicate:
		return 0, fmt.Errorf("%w: record %s: %s", ErrUnknownOutcome, ch.ID, reasonContained)
	case ch.Base != ch.Current:
		return 0, fmt.Errorf("%w: %s", ErrRaced, ch.Reason)
	default:
		return 0, fmt.Errorf("%w: %s", ErrRejected, ch.Reason)
	}
}
