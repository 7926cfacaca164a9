package capacity

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// RegionParams describe a region in which only two daemons run: the first planner
// and one that does not plan (the follower). The other members are stubs, which
// exist only as records in the log.
type RegionParams struct {
	Members         int
	ShardsPerMember int
	Teams           int
	AppendRate      int // records per second that the log accepts from stubs
}

// DefaultRegion returns the target size of a region: 1,715 members, a seventh of
// 12,000 daemons.
func DefaultRegion() RegionParams {
	return RegionParams{Members: 1715, ShardsPerMember: 16, Teams: 3000, AppendRate: 300}
}

// EventCost is the cost of one event in the region.
type EventCost struct {
	Name        string        `json:"name"`
	Records     int           `json:"records"`      // records in the placement stream, read by each daemon
	RecordBytes int64         `json:"record_bytes"` // bytes of these records
	Proposals   int64         `json:"proposals"`    // records that the planner appended
	Elapsed     time.Duration `json:"took_ns"`      // virtual time until all shards have owner and standby or, for some events, are balanced
	Planner     time.Duration `json:"planner_ns"`   // time inside Step of the planner
	Follower    time.Duration `json:"follower_ns"`  // time inside Step of the follower
	LongestStep time.Duration `json:"longest_ns"`   // longest single step of either daemon
	Views       int64         `json:"views"`        // published by the follower
}

// RegionCost is the control cost of one daemon in a region.
type RegionCost struct {
	Members, Shards, Teams int
	Heap                   float64     `json:"heap_bytes"`         // bytes of live heap of one daemon's control state
	PlannerCPU             float64     `json:"planner_cpu_share"`  // share of one core, steady state
	FollowerCPU            float64     `json:"follower_cpu_share"` // share of one core, steady state
	Events                 []EventCost `json:"events"`
}

const (
	// eventTimeout is the virtual time within which an event must complete.
	eventTimeout = 30 * time.Minute
	// plannerIdleTime is the virtual time without appends by the planner after
	// which planning is complete.
	plannerIdleTime = 5 * time.Second
)

// placementStream is the name of the region's placement stream.
var placementStream = logstream.PlacementStream(regionName)

// ErrIncomplete is returned if an event does not complete within eventTimeout of
// virtual time.
var ErrIncomplete = errors.New("capacity: shards lack an owner or a standby")

// region simulates a region with two running daemons and stubs.
type region struct {
	*Fleet
	params            RegionParams
	planner, follower *daemon
	pending           [][]byte    // records of stubs that are not in the log yet
	lastID            uint64      // number in the latest record id of a stub
	incarnations      []uint64    // latest incarnation of each stub, in the order of the slots
	alive             []bool      // whether each stub is a member, in the same order
	placement         *fold.State // replay of the placement stream, for the responses of stubs
}

// MeasureRegion runs a region through its first placement, the start of a daemon, a
// steady period, and the loss and return of a member, a rack and a data centre.
// It returns the cost of each event.
func MeasureRegion(p RegionParams) (RegionCost, error) {
	heapBefore := liveHeap()
	r, err := newRegion(p)
	if err != nil {
		return RegionCost{}, err
	}
	out := RegionCost{Members: p.Members, Shards: p.Members * p.ShardsPerMember, Teams: p.Teams}
	steps := []struct {
		name  string
		start func()
		done  func() bool
	}{
		{"first placement", r.join, r.complete},
		{"start of a daemon, replay", r.startFollower, r.complete},
		{"start of a daemon, its shards", func() {}, r.plannerIdle()},
		{"", nil, nil}, // steady period
		{"loss of a member", r.lapseWhere(func(i int) bool { return i == 3 }), r.complete},
		{"loss of a rack of 20", r.lapseWhere(func(i int) bool { return i%dataCentres == 0 && i >= 30 && i < 90 }), r.complete},
		{"return of both, balanced", r.rejoin, r.plannerIdle()},
		{"loss of a data centre", r.lapseWhere(func(i int) bool { return i%dataCentres == 1 }), r.complete},
		{"return of the data centre, balanced", r.rejoin, r.plannerIdle()},
	}
	for _, step := range steps {
		if step.start == nil {
			r.measureSteady(&out, heapBefore)
			continue
		}
		e, err := r.measureEvent(step.name, step.start, step.done)
		if err != nil {
			return out, fmt.Errorf("%s: %w", step.name, err)
		}
		out.Events = append(out.Events, e)
	}
	return out, nil
}

// measureSteady records the memory use, and the CPU shares during a steady period.
func (r *region) measureSteady(out *RegionCost, heapBefore uint64) {
	out.Heap = float64(liveHeap()-heapBefore) / float64(len(r.daemons)+1) // + 1: the replay for the stubs
	planner, follower := r.planner.counts, r.follower.counts
	r.Run(steadyTime)
	out.PlannerCPU = r.planner.counts.minus(planner).busy.Seconds() / steadyTime.Seconds()
	out.FollowerCPU = r.follower.counts.minus(follower).busy.Seconds() / steadyTime.Seconds()
}

// newRegion returns a region in which the slots of all stubs are announced and only
// the planner has joined.
func newRegion(p RegionParams) (*region, error) {
	params := DefaultParams(2)
	params.ShardsPerDaemon = p.Members * p.ShardsPerMember / 2
	f, err := NewFleet(params)
	if err != nil {
		return nil, err
	}
	f.stubs = map[string]string{}
	r := &region{Fleet: f, params: p, placement: fold.New()}
	if err := r.addTeams(); err != nil {
		return nil, err
	}
	for i := 2; i < p.Members; i++ {
		slot, addr := stubSlot(i), stubAddr(i, 7200)
		f.stubs[addr] = slot
		r.enqueue(0, &wire.Record{Body: &wire.Record_Announce{Announce: &wire.Announce{
			Slot: slot, DataCentre: fmt.Sprintf("dc%d", i%dataCentres), Region: regionName,
			PeerAddr: stubAddr(i, 7100), WitnessAddr: addr, EntryAddr: stubAddr(i, 7300)}}})
	}
	r.planner, r.follower = f.daemons[0], f.daemons[1]
	f.daemons = f.daemons[:1]
	r.appendAllPending()
	for r.planner.view == nil || r.planner.view.Incarnation == 0 {
		if f.now.Sub(startInstant) > startTimeout {
			return nil, ErrNotPlaced
		}
		f.Run(control.TickInterval)
	}
	return r, nil
}

// startFollower adds the follower to the running daemons.
func (r *region) startFollower() { r.daemons = append(r.daemons, r.follower) }

// join appends the join and ready records of all stubs.
func (r *region) join() {
	size := r.params.Members - 2
	r.incarnations, r.alive = make([]uint64, size), make([]bool, size)
	for n := range size {
		r.joinStub(n)
	}
}

// rejoin appends the join and ready records of all lost stubs.
func (r *region) rejoin() {
	for n, alive := range r.alive {
		if !alive {
			r.joinStub(n)
		}
	}
}

// joinStub appends the join and the ready record of the n-th stub at once, without
// regard to the append rate.
func (r *region) joinStub(n int) {
	slot, size := stubSlot(n+2), r.params.Members-2
	r.enqueue(0, &wire.Record{Body: &wire.Record_Join{Join: &wire.Join{
		Slot: slot, Service: service, BackendServer: slot, BackendAddr: stubAddr(n+2, 7500), Slots: 9,
		Witnesses: append(r.witnesses(n), stubSlot(2+(n+3)%size))}}})
	r.appendAllPending()
	inc := uint64(len(r.streams[placementStream]))
	r.enqueue(inc, &wire.Record{Body: &wire.Record_Ready{Ready: &wire.Ready{Incarnation: inc}}})
	r.appendAllPending()
	r.incarnations[n], r.alive[n] = inc, true
}

// lapseWhere returns a function that enqueues the lapse of every stub whose slot
// number satisfies lost.
func (r *region) lapseWhere(lost func(i int) bool) func() {
	return func() {
		for n, inc := range r.incarnations {
			if !r.alive[n] || !lost(n+2) {
				continue
			}
			r.alive[n] = false
			r.enqueue(0, &wire.Record{Body: &wire.Record_Lapse{Lapse: &wire.Lapse{Incarnation: inc, SealedBy: r.witnesses(n)}}})
		}
	}
}

// witnesses returns two of the three witnesses of the n-th stub: a quorum.
func (r *region) witnesses(n int) []string {
	size := r.params.Members - 2
	return []string{stubSlot(2 + (n+1)%size), stubSlot(2 + (n+2)%size)}
}

// measureEvent calls start, runs the region until done returns true and the log
// holds all records, and returns the cost.
func (r *region) measureEvent(name string, start func(), done func() bool) (EventCost, error) {
	planner, follower := r.planner.counts, r.follower.counts
	records, begin := len(r.streams[placementStream]), r.now
	r.longestStep = 0
	start()
	for len(r.pending) > 0 || !done() {
		if r.now.Sub(begin) > eventTimeout {
			return EventCost{}, ErrIncomplete
		}
		r.appendPending()
		r.Run(control.TickInterval)
		r.respondForStubs()
	}
	p, f := r.planner.counts.minus(planner), r.follower.counts.minus(follower)
	return EventCost{
		Name: name, Records: len(r.streams[placementStream]) - records, RecordBytes: f.readBytes, Proposals: p.appends,
		Elapsed: r.now.Sub(begin), Planner: p.busy, Follower: f.busy, LongestStep: r.longestStep, Views: f.views,
	}, nil
}

// appendPending appends the pending records to the log, at most as many as
// AppendRate allows in one tick.
func (r *region) appendPending() {
	n := min(len(r.pending), r.params.AppendRate*int(control.TickInterval/time.Millisecond)/1000)
	r.streams[placementStream] = append(r.streams[placementStream], r.pending[:n]...)
	r.pending = r.pending[n:]
}

// appendAllPending appends all pending records to the log, without a limit.
func (r *region) appendAllPending() {
	r.streams[placementStream] = append(r.streams[placementStream], r.pending...)
	r.pending = nil
}

// respondForStubs replays new records and enqueues the records with which stubs
// respond to planned moves: a stub consents to the change of a standby, and hands
// off its shards at once.
func (r *region) respondForStubs() {
	for records := r.streams[placementStream]; int(r.placement.Next) <= len(records); {
		offset := r.placement.Next
		rec, _ := r.placement.Apply(offset, records[offset-1])
		for _, pl := range rec.GetPropose().GetPlacements() {
			r.consent(pl.GetRef())
		}
		for _, ref := range rec.GetHandover().GetRefs() {
			r.handOff(ref)
		}
	}
}

// consent enqueues the consent of the shard's current standby if it is a stub and
// a change of the standby is pending.
func (r *region) consent(ref *wire.ShardRef) {
	sh := r.placement.Services[ref.GetService()].Shards[ref.GetShard()]
	if !sh.HasPending || !r.isStub(sh.Standby) {
		return
	}
	r.enqueue(sh.Standby, &wire.Record{Body: &wire.Record_Consent{Consent: &wire.Consent{
		Incarnation: sh.Standby, Refs: []*wire.ShardRef{refWithGeneration(ref, sh)}}}})
}

// handOff enqueues the takeover record with which the owner of a shard transfers it
// to the standby, if the owner is a stub and was asked to hand off the shard.
func (r *region) handOff(ref *wire.ShardRef) {
	sh := r.placement.Services[ref.GetService()].Shards[ref.GetShard()]
	if !sh.Handover || !r.isStub(sh.Owner) {
		return
	}
	r.enqueue(sh.Owner, &wire.Record{Body: &wire.Record_Takeover{Takeover: &wire.Takeover{
		Incarnation: sh.Owner, Refs: []*wire.ShardRef{refWithGeneration(ref, sh)}}}})
}

// refWithGeneration returns ref with the current generation of the shard.
func refWithGeneration(ref *wire.ShardRef, sh fold.Shard) *wire.ShardRef {
	return &wire.ShardRef{Service: ref.GetService(), Shard: ref.GetShard(), Generation: sh.Generation}
}

// isStub reports whether the incarnation belongs to a stub. It is false for 0.
func (r *region) isStub(inc uint64) bool {
	for _, d := range []*daemon{r.planner, r.follower} {
		if d.view != nil && d.view.Incarnation == inc {
			return false
		}
	}
	return inc != 0
}

// plannerIdle returns a function that reports whether the region is complete and
// the planner has appended nothing for plannerIdleTime.
func (r *region) plannerIdle() func() bool {
	appends, lastAppend := int64(-1), r.now
	return func() bool {
		if r.planner.counts.appends != appends {
			appends, lastAppend = r.planner.counts.appends, r.now
		}
		return r.complete() && r.now.Sub(lastAppend) >= plannerIdleTime
	}
}

// complete reports whether every running daemon has joined and its view has an
// owner and a standby for each shard.
func (r *region) complete() bool {
	for _, d := range r.daemons {
		if d.view == nil || d.view.Incarnation == 0 || d.view.Services[service] == nil {
			return false
		}
		for _, sh := range d.view.Services[service].Shards {
			if sh.Owner == nil || sh.Standby == nil {
				return false
			}
		}
	}
	return true
}

// enqueue adds a record of a stub to the pending records.
func (r *region) enqueue(author uint64, rec *wire.Record) {
	r.lastID++
	rec.Id = binary.BigEndian.AppendUint64([]byte("stub----"), r.lastID)
	rec.Version = fold.RecordVersion
	rec.Author = author
	if data, err := proto.Marshal(rec); err == nil {
		r.pending = append(r.pending, data)
	}
}

// addTeams writes the teams to the configuration stream, each with one caller key.
func (r *region) addTeams() error {
	teams := map[string]fleet.Team{}
	for i := range r.params.Teams {
		teams[fmt.Sprintf("team-%05d", i)] = fleet.Team{
			Rate: 1000, Burst: 2000, Services: []string{service},
			Keys: map[string]fleet.CallerKey{"first": {Hash: fmt.Sprintf("%064x", i)}},
		}
	}
	patch, err := json.Marshal(map[string]any{"teams": teams})
	if err != nil {
		return fmt.Errorf("capacity: marshal teams: %w", err)
	}
	data, err := proto.Marshal(&wire.Record{Id: []byte("capacity---teams"), Version: fleet.RecordVersion,
		Body: &wire.Record_ConfigPatch{ConfigPatch: &wire.ConfigPatch{BaseVersion: 1, MergePatch: patch}}})
	if err != nil {
		return fmt.Errorf("capacity: marshal teams: %w", err)
	}
	r.streams[logstream.ConfigStream] = append(r.streams[logstream.ConfigStream], data)
	return nil
}

// ackRenewal acknowledges a renewal on behalf of the witness of a stub.
func (f *Fleet) ackRenewal(d *daemon, slot string, msg *wire.Datagram) {
	renew := msg.GetRenew()
	if renew == nil {
		return
	}
	d.inbox = append(d.inbox, control.Datagram{Msg: &wire.Datagram{From: slot, Body: &wire.Datagram_RenewAck{
		RenewAck: &wire.RenewAck{Incarnation: renew.GetIncarnation(), Seq: renew.GetSeq()}}}})
}

// stubSlot returns the slot name of member i.
func stubSlot(i int) string { return fmt.Sprintf("slot-%05d", i) }

// stubAddr returns the address of member i with the given port.
func stubAddr(i, port int) string { return fmt.Sprintf("10.%d.%d.%d:%d", i>>16, i>>8&255, i&255, port) }
