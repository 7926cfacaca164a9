package fleet

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/idwindow"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// ErrState reports data that is not the encoding of a valid history.
var ErrState = errors.New("fleet: not an encoded history")

// Encode returns the history in its deterministic encoding: equal histories yield
// equal bytes. The published version and the data-centre orders are not encoded.
func (h *History) Encode() ([]byte, error) {
	if h.renewed != nil {
		return h.renewed.Encode() // what only lost records said is not passed on
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(&wire.ConfigState{
		Next: h.Next, Version: h.Version, Doc: h.Doc, RecentIds: h.recentIDs.Encode(), ShardCounts: h.shardCounts, Newer: h.Newer,
		Rollouts: h.encodeRollouts(), RolloutStatuses: h.encodeStatuses(),
	})
	if err != nil {
		return nil, fmt.Errorf("fleet: encode: %w", err)
	}
	return data, nil
}

// Decode returns the history encoded by Encode. The error wraps ErrState.
func Decode(data []byte) (*History, error) {
	in := new(wire.ConfigState)
	if err := proto.Unmarshal(data, in); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrState, err)
	}
	window, ok := idwindow.Decode(in.GetRecentIds())
	if !ok || in.GetNext() == 0 {
		return nil, fmt.Errorf("%w: invalid next offset or record ids", ErrState)
	}
	cfg, err := Parse(in.GetDoc())
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrState, err)
	}
	h := NewHistory()
	h.Next, h.Version, h.Doc, h.Config, h.recentIDs, h.Newer = in.GetNext(), in.GetVersion(), in.GetDoc(), cfg, window, in.GetNewer()
	h.setRollouts(in.GetRollouts(), true)
	for _, s := range in.GetRolloutStatuses() {
		h.setStatus(s)
	}
	for name, count := range in.GetShardCounts() {
		h.shardCounts[name] = count
	}
	return h, nil
}
