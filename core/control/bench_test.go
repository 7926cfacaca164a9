package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/lease"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

const (
	benchShards  = 30_000
	benchMembers = 2_000
)

// benchState returns a state whose replay holds a region of the design size, and in
// which this daemon holds its lease and its part of the shards.
func benchState() (*State, clock.Instant) {
	now := clock.Instant(time.Hour)
	params := lease.Params{Term: 1200 * time.Millisecond, Renew: 400 * time.Millisecond, Drift: 0.001}
	s := New(Options{
		Slot: "slot-7", Region: simRegion, Lease: params, Witnesses: 3, Rand: rand.New(rand.NewPCG(1, 1)),
	}, now)
	for i := range uint64(benchMembers) {
		slot := fmt.Sprintf("slot-%d", i)
		s.fold.Slots[slot] = &fold.Slot{Name: slot, PeerAddr: "10.0.0.1:7000", WitnessAddr: "10.0.0.1:7001"}
		s.fold.Members[i+1] = &fold.Member{
			Incarnation: i + 1, Slot: slot, Service: simService, Phase: fold.InService,
			Witnesses: []string{fmt.Sprintf("slot-%d", (i+1)%benchMembers), fmt.Sprintf("slot-%d", (i+2)%benchMembers), fmt.Sprintf("slot-%d", (i+3)%benchMembers)},
		}
	}
	svc := s.fold.EnsureService(simService, benchShards)
	for i := range svc.Shards {
		svc.Shards[i] = fold.Shard{Owner: uint64(i%benchMembers) + 1, Standby: uint64((i+1)%benchMembers) + 1, Generation: 2}
	}
	s.caughtUp = true
	s.member.announced = true
	s.member.readySent = true
	s.member.incarnation = 8
	s.member.witnesses = s.fold.Members[8].Witnesses
	s.member.holder = lease.NewHolder(params, now, s.member.witnesses, params.Term)
	s.fold.Next = benchMembers + 1
	s.planner.next = now.Add(time.Hour * 1000)
	s.reconcileRights()
	return s, now
}

// ackRenewals acknowledges the renewals among the effects, so that the lease stays
// valid.
func ackRenewals(s *State, now clock.Instant, effects []Effect) {
	var acks []*wire.Datagram
	for _, e := range effects {
		sent, ok := e.(SendDatagram)
		if !ok || sent.Msg.GetRenew() == nil {
			continue
		}
		r := sent.Msg.GetRenew()
		for _, from := range s.member.witnesses {
			acks = append(acks, &wire.Datagram{From: from, Body: &wire.Datagram_RenewAck{
				RenewAck: &wire.RenewAck{Incarnation: r.GetIncarnation(), Seq: r.GetSeq()}}})
		}
	}
	for _, ack := range acks {
		s.Step(now, Datagram{Msg: ack})
	}
}

// sendRenewals sends the renewals of the three incarnations that chose this daemon as
// witness.
func sendRenewals(s *State, now clock.Instant) {
	for inc := uint64(5); inc < 8; inc++ {
		s.Step(now, Datagram{Msg: &wire.Datagram{From: fmt.Sprintf("slot-%d", inc-1), Body: &wire.Datagram_Renew{
			Renew: &wire.Renew{Incarnation: inc, Seq: uint64(now)}}}})
	}
}

func BenchmarkTick(b *testing.B) {
	s, now := benchState()
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		now = now.Add(TickInterval)
		ackRenewals(s, now, s.Step(now, Tick{}))
		if i%8 == 0 {
			sendRenewals(s, now)
		}
		i++
	}
	if !s.leaseHeld() {
		b.Fatal("lease lost")
	}
}

// BenchmarkRecord applies one record about another daemon's shard every 5 ms.
func BenchmarkRecord(b *testing.B) {
	s, now := benchState()
	var records [][]byte
	for i := range 4096 {
		rec := &wire.Record{Id: fmt.Appendf(nil, "bench%011d", i), Version: 1, Body: &wire.Record_Handover{Handover: &wire.Handover{
			Refs: []*wire.ShardRef{{Service: simService, Shard: uint32(i), Generation: 2}}}}}
		data, err := proto.Marshal(rec)
		if err != nil {
			b.Fatal(err)
		}
		records = append(records, data)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		now = now.Add(5 * time.Millisecond)
		if i%10 == 0 {
			sendRenewals(s, now)
			ackRenewals(s, now, s.Step(now, Tick{}))
		}
		offset := s.fold.Next
		s.Step(now, Records{Stream: logstream.PlacementStream(simRegion), Next: offset + 1, AsOf: now,
			Entries: []logstream.Entry{{Offset: offset, Data: records[i%len(records)]}}})
		i++
	}
}

func BenchmarkViewOfAllShards(b *testing.B) {
	s, now := benchState()
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(tableInterval)
		s.now = now
		s.tables.stale = true
		s.refreshTables()
		_ = s.buildView()
	}
}
