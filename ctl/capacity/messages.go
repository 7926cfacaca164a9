package capacity

import (
	"math"

	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// frameOverhead is the number of bytes added to a frame between daemons: its
// length prefix (4), the yamux header (12), and the TCP/IP headers of the segment
// and of its acknowledgement (40 each).
const frameOverhead = 4 + 12 + 2*40

// Message is a message between daemons and its size in bytes, headers included.
type Message struct {
	Name  string
	Bytes int
}

// Messages returns the control messages that daemons exchange over sessions. The
// values in them are as large as in a region of the target size, since the
// encoded size depends on the values.
func Messages() []Message {
	stream := logstream.PlacementStream(regionName)
	report := &wire.LoadReport{
		Incarnation: 20_000, Service: service, LatencyUs: 5_000, LatencySamples: 40_000, WindowMs: 10_000,
		HotKeys: []*wire.KeyLoad{{KeyHash: math.MaxUint64, RateMilli: 200_000}},
	}
	for i := range 16 {
		report.Shards = append(report.Shards, &wire.ShardLoad{Shard: uint32(20_000 + i), RateMilli: 240_000})
	}
	const clockUS = int64(30 * 24 * 3600 * 1e6) // 30 days
	frames := []struct {
		name  string
		frame *wire.Frame
	}{
		{"clock request", &wire.Frame{Body: &wire.Frame_Ping{Ping: &wire.Ping{}}}},
		{"clock response", &wire.Frame{Body: &wire.Frame_Pong{Pong: &wire.Pong{ClockUs: clockUS}}}},
		{"read request", &wire.Frame{Body: &wire.Frame_ReadRecords{ReadRecords: &wire.ReadRecords{
			Stream: stream, From: 20_000, Max: 1024, WaitMs: 1500}}}},
		{"read response without records", &wire.Frame{Body: &wire.Frame_RecordBatch{RecordBatch: &wire.RecordBatch{
			Stream: stream, First: 1, Next: 20_000, HeadAgeMs: 1000}}}},
		{"load report", &wire.Frame{Body: &wire.Frame_LoadReport{LoadReport: report}}},
		{"load report response", &wire.Frame{Body: &wire.Frame_LoadAnswer{LoadAnswer: &wire.LoadAnswer{
			Accepted: true, NextMs: 430_000, MeanRateMilli: 3_830_000, MedianLatencyUs: 5_000}}}},
		{"slice request", &wire.Frame{Body: &wire.Frame_SliceRequest{SliceRequest: &wire.SliceRequest{
			Team: "team-00001", WantMilli: 1000, DemandMilli: 50_000, ExtraMilli: 10_000}}}},
		{"slice response", &wire.Frame{Body: &wire.Frame_SliceAnswer{SliceAnswer: &wire.SliceAnswer{
			GrantedMilli: 11_000, ExpiresMs: 50, Kind: 1, KeeperGeneration: 2, AheadMs: 200}}}},
	}
	var list []Message
	for _, f := range frames {
		f.frame.Id, f.frame.Tag, f.frame.DeadlineUs = 100_000, math.MaxUint64, clockUS
		list = append(list, Message{Name: f.name, Bytes: proto.Size(f.frame) + frameOverhead})
	}
	return list
}
