package logclient

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// lastRecord is a log that keeps only the record appended last.
type lastRecord struct {
	logstream.Log
	data []byte
}

func (l *lastRecord) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	l.data = data
	return 1, nil
}

// The control state keeps the record to send it again, so it is not changed.
func TestAppendStampsACopy(t *testing.T) {
	is := is.New(t)
	log := &lastRecord{}
	rec := &wire.Record{Id: make([]byte, 16), Body: &wire.Record_Ready{Ready: &wire.Ready{Incarnation: 7}}}
	newAppender(log, zap.NewNop()).append(context.Background(), control.Append{Stream: "s", Record: rec})
	got := new(wire.Record)
	is.NoErr(proto.Unmarshal(log.data, got))
	is.True(got.GetAuthorTimeMs() > 0)
	is.Equal(got.GetReady().GetIncarnation(), uint64(7))
	is.Equal(rec.GetAuthorTimeMs(), int64(0))
}
