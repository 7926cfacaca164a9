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

// RegionParams describe a region of which two daemons are run: its first
// planner and one that does not plan. The others are records only.
type RegionParams struct {
	Members         int
	ShardsPerMember int
	Teams           int
	AppendRate      int // records a second that the log takes
}

// DefaultRegion returns a seventh of 12,000 daemons.
func DefaultRegion() RegionParams {
	return RegionParams{Members: 1715, ShardsPerMember: 16, Teams: 3000, AppendRate: 300}
}

// Event is what one event in the region costs.
type Event struct {
	Name        string        `json:"name"`
	Records     int           `json:"records"`      // read by each daemon
	RecordBytes int64         `json:"record_bytes"` // their size
	Proposals   int64         `json:"proposals"`    // records of the planner among them
	Took        time.Duration `json:"took_ns"`      // virtual time until all shards had owner and standby, or were balanced
	Planner     time.Duration `json:"planner_ns"`   // processor time of the planner
	Follower    time.Duration `json:"follower_ns"`  // and of the other daemon
	Longest     time.Duration `json:"longest_ns"`   // longest single step of either
	Views       int64         `json:"views"`        // published by the other daemon
}

// Region is what a region costs one daemon.
type Region struct {
	Members, Shards, Teams int
	Heap                   float64 `json:"heap_bytes"` // live heap of one daemon's control state
	PlannerCPU             float64 `json:"planner_cpu_share"`
	FollowerCPU            float64 `json:"follower_cpu_share"`
	Events                 []Event `json:"events"`
}

const (
	// regionBound is the virtual time in which an event must be over.
	regionBound = 30 * time.Minute
	// restTime is the time without proposals after which planning is over.
	restTime = 5 * time.Second
)

// placementStream is the stream of the region's placement.
var placementStream = logstream.PlacementStream(regionName)

// ErrNotWhole reports shards without owner or standby.
var ErrNotWhole = errors.New("capacity: shards lack an owner or a standby")

// region is the running part of a region.
type region struct {
	*Fleet
	params            RegionParams
	planner, follower *daemon
	pending           [][]byte // records that wait for the log
	order             uint64
	joined            []uint64    // newest incarnations of stubs, in the order of their slots
	alive             []bool      // in the same order
	replay            *fold.State // of the stream, for the answers of stubs
}

// MeasureRegion builds a region, lets it rest, and loses a member, a rack and a
// data centre.
func MeasureRegion(p RegionParams) (Region, error) {
	before := liveHeap()
	r, err := newRegion(p)
	if err != nil {
		return Region{}, err
	}
	out := Region{Members: p.Members, Shards: p.Members * p.ShardsPerMember, Teams: p.Teams}
	steps := []struct {
		name  string
		start func()
		done  func() bool
	}{
		{"first placement", r.join, r.whole},
		{"start of a daemon, replay", r.startFollower, r.whole},
		{"start of a daemon, its shards", func() {}, r.resting()},
		{"", nil, nil}, // a quiet time
		{"loss of a member", r.lose(func(i int) bool { return i == 3 }), r.whole},
		{"loss of a rack of 20", r.lose(func(i int) bool { return i%dataCentres == 0 && i >= 30 && i < 90 }), r.whole},
		{"return of both, balanced", r.rejoin, r.resting()},
		{"loss of a data centre", r.lose(func(i int) bool { return i%dataCentres == 1 }), r.whole},
		{"return of the data centre, balanced", r.rejoin, r.resting()},
	}
	for _, step := range steps {
		if step.start == nil {
			r.rest(&out, before)
			continue
		}
		e, err := r.event(step.name, step.start, step.done)
		if err != nil {
			return out, fmt.Errorf("%s: %w", step.name, err)
		}
		out.Events = append(out.Events, e)
	}
	return out, nil
}

// rest measures memory and a quiet time.
func (r *region) rest(out *Region, before uint64) {
	out.Heap = float64(liveHeap()-before) / float64(len(r.daemons)+1) // and the replay for the stubs
	planner, follower := r.planner.counts, r.follower.counts
	r.Run(quietTime)
	out.PlannerCPU = r.planner.counts.minus(planner).busy.Seconds() / quietTime.Seconds()
	out.FollowerCPU = r.follower.counts.minus(follower).busy.Seconds() / quietTime.Seconds()
}

// newRegion announces all slots and lets the planner join.
func newRegion(p RegionParams) (*region, error) {
	params := DefaultParams(2)
	params.ShardsPerDaemon = p.Members * p.ShardsPerMember / 2
	f, err := NewFleet(params)
	if err != nil {
		return nil, err
	}
	f.stubs = map[string]string{}
	r := &region{Fleet: f, params: p, replay: fold.New()}
	if err := r.addTeams(); err != nil {
		return nil, err
	}
	for i := 2; i < p.Members; i++ {
		slot, addr := stubSlot(i), stubAddr(i, 7200)
		f.stubs[addr] = slot
		r.put(0, &wire.Record{Body: &wire.Record_Announce{Announce: &wire.Announce{
			Slot: slot, DataCentre: fmt.Sprintf("dc%d", i%dataCentres), Region: regionName,
			PeerAddr: stubAddr(i, 7100), WitnessAddr: addr, EntryAddr: stubAddr(i, 7300)}}})
	}
	r.planner, r.follower = f.daemons[0], f.daemons[1]
	f.daemons = f.daemons[:1]
	r.flush()
	for r.planner.view == nil || r.planner.view.Incarnation == 0 {
		if f.now.Sub(firstInstant) > startBound {
			return nil, ErrNotPlaced
		}
		f.Run(control.TickInterval)
	}
	return r, nil
}

// startFollower starts the daemon that does not plan.
func (r *region) startFollower() { r.daemons = append(r.daemons, r.follower) }

// join lets all other members join at once.
func (r *region) join() {
	size := r.params.Members - 2
	r.joined, r.alive = make([]uint64, size), make([]bool, size)
	for n := range size {
		r.joinStub(n)
	}
}

// rejoin lets all members that were lost join again.
func (r *region) rejoin() {
	for n, alive := range r.alive {
		if !alive {
			r.joinStub(n)
		}
	}
}

func (r *region) joinStub(n int) {
	slot, size := stubSlot(n+2), r.params.Members-2
	r.put(0, &wire.Record{Body: &wire.Record_Join{Join: &wire.Join{
		Slot: slot, Service: service, BackendServer: slot, BackendAddr: stubAddr(n+2, 7500), Slots: 9,
		Witnesses: append(r.witnesses(n), stubSlot(2+(n+3)%size))}}})
	r.flush()
	inc := uint64(len(r.streams[placementStream]))
	r.put(inc, &wire.Record{Body: &wire.Record_Ready{Ready: &wire.Ready{Incarnation: inc}}})
	r.flush()
	r.joined[n], r.alive[n] = inc, true
}

// lose returns a start that records the lapse of members by the number of their
// slots.
func (r *region) lose(gone func(i int) bool) func() {
	return func() {
		for n, inc := range r.joined {
			if !r.alive[n] || !gone(n+2) {
				continue
			}
			r.alive[n] = false
			r.put(0, &wire.Record{Body: &wire.Record_Lapse{Lapse: &wire.Lapse{Incarnation: inc, SealedBy: r.witnesses(n)}}})
		}
	}
}

// witnesses returns a majority of the witnesses of the n-th stub.
func (r *region) witnesses(n int) []string {
	size := r.params.Members - 2
	return []string{stubSlot(2 + (n+1)%size), stubSlot(2 + (n+2)%size)}
}

// event runs until done.
func (r *region) event(name string, start func(), done func() bool) (Event, error) {
	planner, follower := r.planner.counts, r.follower.counts
	records, began := len(r.streams[placementStream]), r.now
	r.longest = 0
	start()
	for len(r.pending) > 0 || !done() {
		if r.now.Sub(began) > regionBound {
			return Event{}, ErrNotWhole
		}
		r.drip()
		r.Run(control.TickInterval)
		r.answer()
	}
	p, f := r.planner.counts.minus(planner), r.follower.counts.minus(follower)
	return Event{
		Name: name, Records: len(r.streams[placementStream]) - records, RecordBytes: f.read, Proposals: p.appends,
		Took: r.now.Sub(began), Planner: p.busy, Follower: f.busy, Longest: r.longest, Views: f.views,
	}, nil
}

// drip puts as many waiting records into the log as it takes in one tick.
func (r *region) drip() {
	n := min(len(r.pending), r.params.AppendRate*int(control.TickInterval/time.Millisecond)/1000)
	r.streams[placementStream] = append(r.streams[placementStream], r.pending[:n]...)
	r.pending = r.pending[n:]
}

// flush puts all waiting records into the log.
func (r *region) flush() {
	r.streams[placementStream] = append(r.streams[placementStream], r.pending...)
	r.pending = nil
}

// answer replays new records and does the stubs' part in planned moves: they
// consent to the change of a standby, and hand shards over at once.
func (r *region) answer() {
	for records := r.streams[placementStream]; int(r.replay.Next) <= len(records); {
		offset := r.replay.Next
		rec, _ := r.replay.Apply(offset, records[offset-1])
		for _, pl := range rec.GetPropose().GetPlacements() {
			r.consent(pl.GetRef())
		}
		for _, ref := range rec.GetHandover().GetRefs() {
			r.handOver(ref)
		}
	}
}

func (r *region) consent(ref *wire.ShardRef) {
	sh := r.replay.Services[ref.GetService()].Shards[ref.GetShard()]
	if !sh.HasPending || !r.isStub(sh.Standby) {
		return
	}
	r.put(sh.Standby, &wire.Record{Body: &wire.Record_Consent{Consent: &wire.Consent{
		Incarnation: sh.Standby, Refs: []*wire.ShardRef{current(ref, sh)}}}})
}

func (r *region) handOver(ref *wire.ShardRef) {
	sh := r.replay.Services[ref.GetService()].Shards[ref.GetShard()]
	if !sh.Handover || !r.isStub(sh.Owner) {
		return
	}
	r.put(sh.Owner, &wire.Record{Body: &wire.Record_Takeover{Takeover: &wire.Takeover{
		Incarnation: sh.Owner, Refs: []*wire.ShardRef{current(ref, sh)}}}})
}

func current(ref *wire.ShardRef, sh fold.Shard) *wire.ShardRef {
	return &wire.ShardRef{Service: ref.GetService(), Shard: ref.GetShard(), Generation: sh.Generation}
}

// isStub reports whether the incarnation is a record only.
func (r *region) isStub(inc uint64) bool {
	for _, d := range []*daemon{r.planner, r.follower} {
		if d.view != nil && d.view.Incarnation == inc {
			return false
		}
	}
	return inc != 0
}

// resting reports whether the planner found nothing to do for restTime.
func (r *region) resting() func() bool {
	appends, since := int64(-1), r.now
	return func() bool {
		if r.planner.counts.appends != appends {
			appends, since = r.planner.counts.appends, r.now
		}
		return r.whole() && r.now.Sub(since) >= restTime
	}
}

// whole reports whether both daemons route each shard to an owner with a
// standby.
func (r *region) whole() bool {
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

// put queues a record of a stub.
func (r *region) put(author uint64, rec *wire.Record) {
	r.order++
	rec.Id = binary.BigEndian.AppendUint64([]byte("stub----"), r.order)
	rec.Version = fold.RecordVersion
	rec.Author = author
	if data, err := proto.Marshal(rec); err == nil {
		r.pending = append(r.pending, data)
	}
}

// addTeams puts the teams into the configuration, each with one key.
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
		return fmt.Errorf("capacity: teams: %w", err)
	}
	data, err := proto.Marshal(&wire.Record{Id: []byte("capacity---teams"), Version: fleet.RecordVersion,
		Body: &wire.Record_ConfigPatch{ConfigPatch: &wire.ConfigPatch{BaseVersion: 1, MergePatch: patch}}})
	if err != nil {
		return fmt.Errorf("capacity: teams: %w", err)
	}
	r.streams[logstream.ConfigStream] = append(r.streams[logstream.ConfigStream], data)
	return nil
}

// acknowledge answers a renewal as the witness in a slot that is a record only.
func (f *Fleet) acknowledge(d *daemon, slot string, msg *wire.Datagram) {
	renew := msg.GetRenew()
	if renew == nil {
		return
	}
	d.inbox = append(d.inbox, control.Datagram{Msg: &wire.Datagram{From: slot, Body: &wire.Datagram_RenewAck{
		RenewAck: &wire.RenewAck{Incarnation: renew.GetIncarnation(), Seq: renew.GetSeq()}}}})
}

func stubSlot(i int) string { return fmt.Sprintf("slot-%05d", i) }

func stubAddr(i, port int) string { return fmt.Sprintf("10.%d.%d.%d:%d", i>>16, i>>8&255, i&255, port) }
