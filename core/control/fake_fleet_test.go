package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/lease"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// fakeDaemon is one control state with its simulated connections.
type fakeDaemon struct {
	state       *State
	addr        string
	view        *view.View
	inbox       []Event
	cutLog      bool
	followsPeer bool // receives batches of the placement stream only when it has records
	dead        bool
	appends     int
	merges      []Merge
	next        map[string]uint64 // next offset to read of each stream
}

// fakeFleet runs control states in virtual time, with a log and a network that deliver
// on the next tick.
type fakeFleet struct {
	t             testing.TB
	now           clock.Instant
	daemons       []*fakeDaemon
	log           map[string][][]byte
	logDown       bool
	refuseAppends bool           // the log rejects all records with an answer
	holdSplits    bool           // split records are held back
	heldSplits    []*wire.Record // held back by holdSplits
	tickets       map[uint64]*fakeDaemon
}

const fakeRegion = "r"

func newFakeFleet(t testing.TB, n, dcs int) *fakeFleet {
	f := &fakeFleet{t: t, now: clock.Instant(time.Hour), log: map[string][][]byte{}, tickets: map[uint64]*fakeDaemon{}}
	for i := range n {
		f.add(i, dcs)
	}
	return f
}

func (f *fakeFleet) add(i, dcs int) *fakeDaemon {
	addr := fmt.Sprintf("10.0.0.%d:1", i)
	d := &fakeDaemon{addr: addr, next: map[string]uint64{}}
	d.state = New(Options{
		Slot: fmt.Sprintf("slot-%d", i), DataCentre: fmt.Sprintf("dc%d", i%dcs), Region: fakeRegion,
		PeerAddr: addr, WitnessAddr: addr,
		Lease:    lease.Params{Term: 1200 * time.Millisecond, Renew: 400 * time.Millisecond, Drift: 0.02},
		JoinWait: 1500 * time.Millisecond, Witnesses: 3,
		Rand: rand.New(rand.NewPCG(uint64(i), 7)),
	}, f.now)
	d.inbox = announced(fmt.Sprintf("server-%d", i))
	f.daemons = append(f.daemons, d)
	return d
}

// announced returns the event of a backend server's announcement.
func announced(name string) []Event {
	return []Event{BackendUp{Name: name, Service: "storefront", Addr: "10.0.1.1:1", Slots: 9}}
}

// patch appends a configuration patch.
func (f *fakeFleet) patch(base uint64, patch string) {
	id := make([]byte, 16)
	id[0], id[1] = byte(base), byte(len(f.log[logstream.ConfigStream]))
	f.append(logstream.ConfigStream, &wire.Record{Id: id, Version: fleet.RecordVersion,
		Body: &wire.Record_ConfigPatch{ConfigPatch: &wire.ConfigPatch{BaseVersion: base, MergePatch: []byte(patch)}}})
}

func (f *fakeFleet) append(stream string, rec *wire.Record) {
	data, err := proto.Marshal(rec)
	if err != nil {
		f.t.Fatal(err)
	}
	f.log[stream] = append(f.log[stream], data)
}

// tick advances time by one tick interval.
func (f *fakeFleet) tick() {
	f.now = f.now.Add(TickInterval)
	for _, d := range f.daemons {
		if d.dead {
			continue
		}
		events := append(d.inbox, f.read(d)...)
		d.inbox = nil
		for _, ev := range append(events, Tick{}) {
			f.carryOut(d, d.state.Step(f.now, ev))
		}
	}
}

func (f *fakeFleet) read(d *fakeDaemon) []Event {
	if f.logDown || d.cutLog {
		return nil
	}
	var events []Event
	for _, stream := range []string{logstream.ConfigStream, logstream.PlacementStream(fakeRegion)} {
		from := max(d.next[stream], 1)
		ev := Records{Stream: stream, Next: uint64(len(f.log[stream])) + 1, AsOf: f.now}
		for o := from; o < ev.Next; o++ {
			ev.Entries = append(ev.Entries, logstream.Entry{Offset: o, Data: f.log[stream][o-1]})
		}
		d.next[stream] = ev.Next
		if d.followsPeer && len(ev.Entries) == 0 && stream != logstream.ConfigStream {
			continue
		}
		events = append(events, ev)
	}
	return events
}

func (f *fakeFleet) carryOut(d *fakeDaemon, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case Append:
			d.appends++
			if f.holdSplits && e.Record.GetSplitKey() != nil {
				f.heldSplits = append(f.heldSplits, e.Record)
				continue
			}
			switch {
			case f.refuseAppends:
				d.inbox = append(d.inbox, AppendRefused{ID: [16]byte(e.Record.GetId())})
			case !f.logDown && !d.cutLog:
				f.append(e.Stream, e.Record)
			}
		case SendDatagram:
			f.post(e.Addr, Datagram{Msg: proto.CloneOf(e.Msg)})
		case Publish:
			d.view = e.View
		case ConfirmConfig:
			e.Apply()
		case Merge:
			d.merges = append(d.merges, e)
		case Quiesce:
			d.inbox = append(d.inbox, Quiesced{Shard: e.Shard, Token: e.Token})
		case SendRelease:
			ticket := uint64(len(f.tickets) + 1)
			f.tickets[ticket] = d
			f.post(e.PeerAddr, ReleaseReceived{Msg: proto.CloneOf(e.Msg), Ticket: ticket})
		}
	}
}

func (f *fakeFleet) post(addr string, ev Event) {
	for _, d := range f.daemons {
		if d.addr == addr && !d.dead {
			d.inbox = append(d.inbox, ev)
		}
	}
}

// until ticks until the condition holds and returns the elapsed time. It fails the test
// after the limit.
func (f *fakeFleet) until(limit time.Duration, what string, cond func() bool) time.Duration {
	f.t.Helper()
	start := f.now
	for !cond() {
		if f.now.Sub(start) > limit {
			f.t.Fatalf("%s: not within %v", what, limit)
		}
		f.tick()
		f.checkOwners()
	}
	return f.now.Sub(start)
}

// checkOwners fails the test if two daemons would dispatch for a shard at once.
func (f *fakeFleet) checkOwners() {
	f.t.Helper()
	owners := map[view.ShardID]string{}
	for _, d := range f.daemons {
		if d.view == nil || d.dead || !d.view.Lease.Valid(f.now) {
			continue
		}
		for id := range d.view.Held {
			if other, ok := owners[id]; ok {
				f.t.Fatalf("%v is held by %s and %s", id, other, d.addr)
			}
			owners[id] = d.addr
		}
	}
}

// held returns the number of shards of the service that live daemons hold.
func (f *fakeFleet) held(service string) int {
	n := 0
	for _, d := range f.daemons {
		if d.dead || d.view == nil || !d.view.Lease.Valid(f.now) {
			continue
		}
		for id := range d.view.Held {
			if id.Service == service {
				n++
			}
		}
	}
	return n
}

// protected reports whether every shard of the service has a standby in the daemon's
// replay.
func (f *fakeFleet) protected(d *fakeDaemon, service string) bool {
	svc := d.state.fold.Services[service]
	for i := range svc.Shards {
		if svc.Shards[i].Standby == 0 {
			return false
		}
	}
	return true
}

const fakeConfig = `{"data_centres":{"dc0":{"region":"r"},"dc1":{"region":"r"},"dc2":{"region":"r"}},
"services":{"storefront":{"region":"r","shards":12}}}`

// startedFleet returns a fleet whose shards all have an owner and a standby.
func startedFleet(t testing.TB, n int) *fakeFleet {
	f := newFakeFleet(t, n, 3)
	f.start()
	return f
}

// start waits until all shards are placed.
func (f *fakeFleet) start() {
	f.patch(0, fakeConfig)
	f.until(20*time.Second, "first placement", func() bool {
		return f.held("storefront") == 12 && f.protected(f.daemons[0], "storefront")
	})
}
