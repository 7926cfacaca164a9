package fleet

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

func applyAt(t *testing.T, h *History, offset uint64, rec *wire.Record) Verdict {
	t.Helper()
	rec.Id = binary.BigEndian.AppendUint64(make([]byte, 8), offset)
	data, err := proto.Marshal(rec)
	if err != nil {
		t.Fatal(err)
	}
	_, v := h.Apply(offset, data)
	return v
}

func orderRecord(o *wire.RolloutOrder) *wire.Record {
	return &wire.Record{Version: 1, Body: &wire.Record_RolloutOrder{RolloutOrder: o}}
}

// TestRolloutOrders checks that the same order has the same id however it is read: from its
// record, from a summary of the stream, from a snapshot, and after the log was restored. If
// it had another one, a roll-out that was rolled back would begin again.
func TestRolloutOrders(t *testing.T) {
	is := is.New(t)
	h := NewHistory()
	is.True(applyAt(t, h, 5, orderRecord(&wire.RolloutOrder{Service: "shop", To: "v2", DurationS: 12})).Accepted)
	want := RolloutOrder{Service: "shop", To: "v2", Duration: 12 * time.Second, ID: 5}
	is.Equal(h.Rollouts["shop"], want)

	data, err := h.Encode()
	is.NoErr(err)
	decoded, err := Decode(data)
	is.NoErr(err)
	is.Equal(decoded.Rollouts["shop"], want)

	summary := &wire.RolloutOrder{Service: "shop", To: "v2", DurationS: 12, Position: logstream.Position(3, 5)}
	is.True(applyAt(t, decoded, logstream.Position(3, 9), &wire.Record{Version: 1, Body: &wire.Record_Standing{
		Standing: &wire.Standing{Rollouts: []*wire.RolloutOrder{summary}}}}).Accepted)
	is.Equal(decoded.Rollouts["shop"], want)

	before := h.Rollouts
	is.True(applyAt(t, h, 6, orderRecord(&wire.RolloutOrder{Service: "shop", Withdrawn: true})).Accepted)
	is.Equal(len(h.Rollouts), 0)
	is.Equal(len(before), 1) // views have the earlier orders
	is.True(!applyAt(t, h, 7, orderRecord(&wire.RolloutOrder{Service: "shop", Withdrawn: true})).Accepted)
}

// TestInvalidRolloutOrders checks that an order without a usable version or duration is kept
// with its problem: the operator gets a status for it.
func TestInvalidRolloutOrders(t *testing.T) {
	h := NewHistory()
	for i, o := range []*wire.RolloutOrder{
		{To: "v2"}, {To: "v2", DurationS: -1}, {DurationS: 3}, {To: "v2", DurationS: 1e300},
		{To: "v2", DurationS: 3, Problem: "unreadable"},
	} {
		o.Service = "shop"
		if v := applyAt(t, h, uint64(i+1), orderRecord(o)); !v.Accepted || h.Rollouts["shop"].Problem == "" {
			t.Errorf("order %v: verdict %v, kept as %+v", o, v, h.Rollouts["shop"])
		}
	}
}
