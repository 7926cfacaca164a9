package fold

import (
	"encoding/binary"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/wire"
)

// appendRecord applies rec at the state's next offset with a new record id.
func appendRecord(t *testing.T, s *State, rec *wire.Record) (uint64, Verdict) {
	t.Helper()
	offset := s.Next
	id := make([]byte, 16)
	binary.BigEndian.PutUint64(id, offset)
	rec.Id = id
	rec.Version = RecordVersion
	data, err := proto.Marshal(rec)
	if err != nil {
		t.Fatal(err)
	}
	_, v := s.Apply(offset, data)
	return offset, v
}

func joinReady(t *testing.T, s *State, slot string) uint64 {
	t.Helper()
	appendRecord(t, s, &wire.Record{Body: &wire.Record_Announce{Announce: &wire.Announce{Slot: slot, WitnessAddr: "127.0.0.1:1"}}})
	inc, _ := appendRecord(t, s, &wire.Record{Body: &wire.Record_Join{Join: &wire.Join{Slot: slot, Service: "storefront", Witnesses: []string{"w"}}}})
	appendRecord(t, s, &wire.Record{Author: inc, Body: &wire.Record_Ready{Ready: &wire.Ready{Incarnation: inc}}})
	return inc
}

func TestLapsePromotesRecordedStandby(t *testing.T) {
	is := is.New(t)
	s := New()
	svc := s.EnsureService("storefront", 1)
	a := joinReady(t, s, "a")
	b := joinReady(t, s, "b")
	ref := &wire.ShardRef{Service: "storefront"}
	_, v := appendRecord(t, s, &wire.Record{Body: &wire.Record_Propose{Propose: &wire.Propose{
		Placements: []*wire.Placement{{Ref: ref, Owner: a, Standby: b}}}}})
	is.True(v.Accepted)
	before := svc.Shards[0].Generation
	appendRecord(t, s, &wire.Record{Author: b, Body: &wire.Record_Lapse{Lapse: &wire.Lapse{Incarnation: a, SealedBy: []string{"w"}}}})
	is.Equal(svc.Shards[0].Owner, b)
	is.Equal(svc.Shards[0].Generation, before+1)
}

// TestJoinEndsWaitingMembersOfItsSlot checks that a join ends the incarnations of
// its slot that never came into service, but not the one in service, which stays
// until it lapses.
func TestJoinEndsWaitingMembersOfItsSlot(t *testing.T) {
	is := is.New(t)
	s := New()
	serving := joinReady(t, s, "a")
	join := func() uint64 {
		inc, v := appendRecord(t, s, &wire.Record{Body: &wire.Record_Join{Join: &wire.Join{Slot: "a", Service: "storefront", Witnesses: []string{"w"}}}})
		is.True(v.Accepted)
		return inc
	}
	first := join()
	second := join()
	is.True(s.Members[first] == nil)
	is.Equal(s.Members[serving].Phase, InService)
	is.Equal(s.Members[second].Phase, Joined)
	_, v := appendRecord(t, s, &wire.Record{Author: first, Body: &wire.Record_Ready{Ready: &wire.Ready{Incarnation: first}}})
	is.True(!v.Accepted) // a later join has ended the incarnation
	_, v = appendRecord(t, s, &wire.Record{Author: second, Body: &wire.Record_Ready{Ready: &wire.Ready{Incarnation: second}}})
	is.True(v.Accepted)
}
