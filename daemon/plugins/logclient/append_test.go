package logclient

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// lastRecord is a log that keeps only the last record.
type lastRecord struct {
	logstream.Log
	data []byte
}

func (l *lastRecord) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	l.data = data
	return 1, nil
}

// events is a control state that collects the events posted to it.
type events struct{ posted []control.Event }

func (e *events) Post(ev control.Event) { e.posted = append(e.posted, ev) }
func (e *events) View() *view.View      { return nil }

// failingLog is a log that fails all appends with the same error.
type failingLog struct {
	logstream.Log
	err error
}

func (l failingLog) Append(context.Context, string, []byte) (uint64, error) { return 0, l.err }

// TestOnlyDefiniteRefusalsAreReported checks that only definite refusals are posted: an
// append without an answer may have succeeded.
func TestOnlyDefiniteRefusalsAreReported(t *testing.T) {
	is := is.New(t)
	id := [16]byte{7}
	rec := &wire.Record{Id: id[:], Body: &wire.Record_Ready{Ready: &wire.Ready{}}}
	for _, c := range []struct {
		err        error
		wantPosted int
	}{
		{logstream.AppendFailure(http.StatusServiceUnavailable, nil), 1},
		{logstream.AppendFailure(0, &net.OpError{Op: "dial", Err: errors.New("refused")}), 1},
		{logstream.AppendFailure(0, &net.OpError{Op: "read", Err: errors.New("reset")}), 0},
		{logstream.AppendFailure(http.StatusGatewayTimeout, nil), 0},
	} {
		ev := new(events)
		newAppender(ev, failingLog{err: c.err}, zap.NewNop()).append(context.Background(), control.Append{Stream: "s", Record: rec})
		is.Equal(len(ev.posted), c.wantPosted)
		is.True(errors.Is(c.err, logstream.ErrUnavailable))
	}
}

// The control state keeps the record for repeated appends, so the record must not
// be changed.
func TestAppendDoesNotModifyRecord(t *testing.T) {
	is := is.New(t)
	log := &lastRecord{}
	rec := &wire.Record{Id: make([]byte, 16), Body: &wire.Record_Ready{Ready: &wire.Ready{Incarnation: 7}}}
	newAppender(new(events), log, zap.NewNop()).append(context.Background(), control.Append{Stream: "s", Record: rec})
	got := new(wire.Record)
	is.NoErr(proto.Unmarshal(log.data, got))
	is.True(got.GetAuthorTimeMs() > 0)
	is.Equal(got.GetReady().GetIncarnation(), uint64(7))
	is.Equal(rec.GetAuthorTimeMs(), int64(0))
}
