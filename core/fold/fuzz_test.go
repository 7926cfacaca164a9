package fold

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/wire"
)

func FuzzApplyRecord(f *testing.F) {
	id := make([]byte, 16)
	ref := &wire.ShardRef{Service: "svc", Shard: MaxShards - 1}
	seeds := []*wire.Record{
		{Id: id, Body: &wire.Record_Announce{Announce: &wire.Announce{Slot: "a", WitnessAddr: "b"}}},
		{Id: id, Body: &wire.Record_Join{Join: &wire.Join{Slot: "s0", Service: "svc", Witnesses: []string{"a"}}}},
		{Id: id, Author: 2, Body: &wire.Record_Propose{Propose: &wire.Propose{Placements: []*wire.Placement{{Ref: ref, Owner: 2}, nil}}}},
		{Id: id, Author: 2, Body: &wire.Record_SplitKey{SplitKey: &wire.SplitKey{Service: "svc", Parent: ref, Shard: 7}}},
		{Id: id, Author: 2, Body: &wire.Record_MergeKey{MergeKey: &wire.MergeKey{Service: "svc"}}},
		{Id: id, Body: &wire.Record_Handover{Handover: &wire.Handover{Refs: []*wire.ShardRef{nil, ref}}}},
		{Id: id, Version: RecordVersion + 1},
		{Id: id},
	}
	for _, rec := range seeds {
		data, err := proto.Marshal(rec)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := New()
		s.EnsureService("svc", 2)
		joinReady(t, s, "s0")
		next := s.Next
		_, v := s.Apply(next, data)
		if !v.Accepted && v.Reason == "" {
			t.Fatal("record rejected without a reason")
		}
		if s.Next != next+1 || s.recorded > maxRecordedShards {
			t.Fatalf("next offset %d after offset %d, %d shards recorded", s.Next, next, s.recorded)
		}
	})
}
