package rollout

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/protocol"
	"github.com/sesamemoor/sesamemoor/core/rollout"
	"github.com/sesamemoor/sesamemoor/core/wire"
	"github.com/sesamemoor/sesamemoor/daemon/kernel"
)

// replayPoll is the interval at which a writer looks for its record in the view.
const replayPoll = 20 * time.Millisecond

// logStatuses keeps the statuses in the configuration stream, whose replay accepts one end of
// an order. It is for deployments whose platform has no place for them.
type logStatuses struct {
	control kernel.Control
	log     logstream.Log
}

// Read implements protocol.RolloutStatuses.
func (l *logStatuses) Read(context.Context) (map[string]protocol.RolloutStatus, uint64, error) {
	v := l.control.View()
	out := map[string]protocol.RolloutStatus{}
	for service, s := range v.RolloutStatuses {
		out[service] = *decodeStatus(s)
	}
	return out, v.ConfigFreshness.Next(), nil
}

// Write implements protocol.RolloutStatuses. It returns when this daemon has read the record.
func (l *logStatuses) Write(ctx context.Context, status protocol.RolloutStatus, _ uint64) (uint64, error) {
	id, body := uuid.New(), encodeStatus(&status)
	data, err := proto.Marshal(&wire.Record{
		Id: id[:], Version: fleet.RecordVersion, AuthorTimeMs: time.Now().UnixMilli(),
		Body: &wire.Record_RolloutStatus{RolloutStatus: body},
	})
	if err != nil {
		return 0, fmt.Errorf("rollout: status: %w", err)
	}
	offset, err := l.log.Append(ctx, logstream.ConfigStream, data)
	if err != nil {
		return 0, fmt.Errorf("rollout: status: %w", err)
	}
	for l.control.View().ConfigFreshness.Next() <= offset {
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("rollout: status: not read back: %w", ctx.Err())
		case <-time.After(replayPoll):
		}
	}
	v := l.control.View()
	if known := v.RolloutStatuses[status.Service]; !proto.Equal(known, body) {
		return 0, protocol.ErrConflict
	}
	return v.ConfigFreshness.Next(), nil
}

func encodeStatus(s *protocol.RolloutStatus) *wire.RolloutStatus {
	if s == nil {
		return nil
	}
	out := &wire.RolloutStatus{
		Service: s.Service, To: s.To, From: s.From, State: uint32(s.State), Order: s.Order, Problem: s.Problem,
		DurationS: s.Duration.Seconds(), Region: s.Region, Changes: s.Changes,
	}
	if !s.Started.IsZero() {
		out.StartedMs = s.Started.UnixMilli()
	}
	if s.Last != nil {
		last := *s.Last
		last.Last = nil // only the newest outcome is in force
		out.Last = encodeStatus(&last)
	}
	return out
}

func decodeStatus(s *wire.RolloutStatus) *protocol.RolloutStatus {
	out := &protocol.RolloutStatus{
		Service: s.GetService(), To: s.GetTo(), From: s.GetFrom(), State: rollout.State(s.GetState()), Order: s.GetOrder(),
		Problem: s.GetProblem(), Duration: seconds(s.GetDurationS()), Region: s.GetRegion(), Changes: s.GetChanges(),
	}
	if s.GetStartedMs() != 0 {
		out.Started = time.UnixMilli(s.GetStartedMs())
	}
	if s.GetLast() != nil {
		out.Last = decodeStatus(s.GetLast())
	}
	return out
}

var _ protocol.RolloutStatuses = (*logStatuses)(nil)
