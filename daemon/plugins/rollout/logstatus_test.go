package rollout

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/protocol"
	"github.com/sesamemoor/sesamemoor/core/rollout"
	"github.com/sesamemoor/sesamemoor/core/view"
)

// fakeLog is a log whose records are replayed at once.
type fakeLog struct {
	logstream.Log
	history   *fleet.History
	freshness *view.Freshness
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	offset := l.history.Next
	l.history.Apply(offset, data)
	l.freshness.SetNext(l.history.Next)
	return offset, nil
}

func (l *fakeLog) Post(control.Event) {}

func (l *fakeLog) View() *view.View {
	return &view.View{ConfigFreshness: l.freshness, RolloutStatuses: l.history.RolloutStatuses}
}

// TestLogAcceptsOneEnd checks that replay accepts the first end of an order, and that the writer
// of another one learns of it; and that the status of a later order replaces the end.
func TestLogAcceptsOneEnd(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	log := &fakeLog{history: fleet.NewHistory(), freshness: view.NewFreshness(view.FreshnessLimits{})}
	s := &logStatuses{log, log}
	status := protocol.RolloutStatus{
		Service: "shop", To: "v2", From: []string{"v1"}, Order: 4, Started: time.UnixMilli(1_700_000_000_123),
		Duration: 12 * time.Second, Region: "r", Changes: 1,
	}
	write := func(state rollout.State, order uint64) error {
		status.State, status.Order = state, order
		_, err := s.Write(ctx, status, 0)
		return err
	}
	is.NoErr(write(rollout.Running, 4))
	is.NoErr(write(rollout.RolledBack, 4))
	want := status
	is.True(errors.Is(write(rollout.Completed, 4), protocol.ErrConflict))
	read, _, err := s.Read(ctx)
	is.NoErr(err)
	is.Equal(read["shop"], want)
	is.NoErr(write(rollout.Running, 6))

	data, err := log.history.Encode()
	is.NoErr(err)
	decoded, err := fleet.Decode(data)
	is.NoErr(err)
	is.Equal(rollout.State(decoded.RolloutStatuses["shop"].GetState()), rollout.Running)
}
