// Package capacity measures how the control work of a daemon grows with the
// fleet: it runs the control states of many daemons in one process, in virtual
// time, with an in-memory log and network, and adds up their messages, bytes
// and processor time.
package capacity

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/lease"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

const (
	service     = "storefront"
	regionName  = "kr-south"
	dataCentres = 3
	// headerBytes is the size of the IPv4 and UDP headers of a datagram.
	headerBytes = 28
	// firstInstant is the boot clock of every daemon at the start.
	firstInstant = clock.Instant(time.Hour)
)

// Params describe a fleet.
type Params struct {
	Daemons         int
	ShardsPerDaemon int
	Lease           lease.Params
}

// DefaultParams returns the lease durations of the daemon's defaults.
func DefaultParams(daemons int) Params {
	return Params{
		Daemons:         daemons,
		ShardsPerDaemon: 16,
		Lease:           lease.Params{Term: 1200 * time.Millisecond, Renew: 400 * time.Millisecond, Drift: 0.02},
	}
}

// counts are what one daemon did.
type counts struct {
	sent      int64 // datagrams
	sentBytes int64 // with headers
	got       int64
	gotBytes  int64
	appends   int64
	appended  int64 // bytes
	read      int64 // bytes of records
	steps     int64
	views     int64         // published
	busy      time.Duration // time inside Step
}

func (c counts) minus(o counts) counts {
	return counts{
		sent: c.sent - o.sent, sentBytes: c.sentBytes - o.sentBytes,
		got: c.got - o.got, gotBytes: c.gotBytes - o.gotBytes,
		appends: c.appends - o.appends, appended: c.appended - o.appended,
		read: c.read - o.read, steps: c.steps - o.steps, views: c.views - o.views, busy: c.busy - o.busy,
	}
}

// daemon is one control state with its inbox.
type daemon struct {
	state  *control.State
	inbox  []control.Event
	next   map[string]uint64 // offset to read from, by stream
	held   int
	view   *view.View // newest
	counts counts
}

// Fleet is a fleet of control states in one process.
type Fleet struct {
	params  Params
	now     clock.Instant
	daemons []*daemon
	byAddr  map[string]*daemon
	streams map[string][][]byte
	stubs   map[string]string // slots whose witnesses always acknowledge, by address
	longest time.Duration     // longest step since it was set to zero
}

// NewFleet returns a fleet that has just started, with its configuration in
// the log.
func NewFleet(p Params) (*Fleet, error) {
	f := &Fleet{params: p, now: firstInstant, byAddr: map[string]*daemon{}, streams: map[string][][]byte{}}
	if err := f.configure(); err != nil {
		return nil, err
	}
	for i := range p.Daemons {
		f.add(i)
	}
	return f, nil
}

func (f *Fleet) configure() error {
	patch := fmt.Sprintf(`{"services":{%q:{"region":%q,"shards":%d}},"data_centres":{`, service, regionName, f.params.Daemons*f.params.ShardsPerDaemon)
	for i := range dataCentres {
		if i > 0 {
			patch += ","
		}
		patch += fmt.Sprintf(`"dc%d":{"region":%q}`, i, regionName)
	}
	patch += "}}"
	rec := &wire.Record{Id: make([]byte, 16), Version: fleet.RecordVersion, Body: &wire.Record_ConfigPatch{
		ConfigPatch: &wire.ConfigPatch{MergePatch: []byte(patch)}}}
	data, err := proto.Marshal(rec)
	if err != nil {
		return fmt.Errorf("capacity: configuration: %w", err)
	}
	f.streams[logstream.ConfigStream] = [][]byte{data}
	return nil
}

func (f *Fleet) add(i int) {
	addr := fmt.Sprintf("10.%d.%d.%d:7200", i>>16, i>>8&255, i&255)
	d := &daemon{next: map[string]uint64{}}
	d.state = control.New(control.Options{
		Slot:        fmt.Sprintf("slot-%05d", i),
		DataCentre:  fmt.Sprintf("dc%d", i%dataCentres),
		Region:      regionName,
		PeerAddr:    fmt.Sprintf("10.%d.%d.%d:7100", i>>16, i>>8&255, i&255),
		WitnessAddr: addr,
		EntryAddr:   fmt.Sprintf("10.%d.%d.%d:7300", i>>16, i>>8&255, i&255),
		Lease:       f.params.Lease,
		Settle:      time.Second,
		Witnesses:   3,
		Rand:        rand.New(rand.NewPCG(uint64(i), 1)),
	}, f.now)
	d.inbox = append(d.inbox, control.BackendUp{
		Name: fmt.Sprintf("storefront-%05d", i), Service: service,
		Addr: fmt.Sprintf("10.%d.%d.%d:7500", i>>16, i>>8&255, i&255), Slots: 9,
	})
	f.daemons = append(f.daemons, d)
	f.byAddr[addr] = d
}

// Run lets the fleet run for a while of virtual time.
func (f *Fleet) Run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(control.TickInterval) {
		for _, d := range f.daemons {
			f.turn(d)
		}
	}
}

// turn delivers a daemon's records, messages and tick.
func (f *Fleet) turn(d *daemon) {
	for stream := range f.streams {
		f.deliver(d, stream)
	}
	inbox := d.inbox
	d.inbox = nil
	for _, ev := range inbox {
		f.step(d, ev)
	}
	f.step(d, control.Tick{})
}

func (f *Fleet) deliver(d *daemon, stream string) {
	records := f.streams[stream]
	from := max(d.next[stream], 1)
	batch := control.Records{Stream: stream, Next: uint64(len(records)) + 1, AsOf: f.now}
	for offset := from; offset < batch.Next; offset++ {
		data := records[offset-1]
		batch.Entries = append(batch.Entries, logstream.Entry{Offset: offset, Data: data})
		d.counts.read += int64(len(data))
	}
	d.next[stream] = batch.Next
	f.step(d, batch)
}

func (f *Fleet) step(d *daemon, ev control.Event) {
	if dg, ok := ev.(control.Datagram); ok {
		d.counts.got++
		d.counts.gotBytes += int64(proto.Size(dg.Msg) + headerBytes)
	}
	start := time.Now()
	effects := d.state.Step(f.now, ev)
	took := time.Since(start)
	d.counts.busy += took
	f.longest = max(f.longest, took)
	d.counts.steps++
	for _, effect := range effects {
		f.carryOut(d, effect)
	}
}

func (f *Fleet) carryOut(d *daemon, effect control.Effect) {
	switch e := effect.(type) {
	case control.Append:
		f.append(d, e)
	case control.SendDatagram:
		d.counts.sent++
		d.counts.sentBytes += int64(proto.Size(e.Msg) + headerBytes)
		if to, ok := f.byAddr[e.Addr]; ok {
			to.inbox = append(to.inbox, control.Datagram{Msg: e.Msg})
		} else if slot, ok := f.stubs[e.Addr]; ok {
			f.acknowledge(d, slot, e.Msg)
		}
	case control.Publish:
		d.held = len(e.View.Held)
		d.view = e.View
		d.counts.views++
	}
}

func (f *Fleet) append(d *daemon, e control.Append) {
	data, err := proto.Marshal(e.Record)
	if err != nil {
		return
	}
	d.counts.appends++
	d.counts.appended += int64(len(data))
	f.streams[e.Stream] = append(f.streams[e.Stream], data)
}

// Placed reports whether every shard is held by a daemon.
func (f *Fleet) Placed() bool {
	held := 0
	for _, d := range f.daemons {
		held += d.held
	}
	return held >= f.params.Daemons*f.params.ShardsPerDaemon
}

// Kill removes the daemon that holds most shards.
func (f *Fleet) Kill() {
	i := 0
	for j, d := range f.daemons {
		if d.held > f.daemons[i].held {
			i = j
		}
	}
	gone := f.daemons[i]
	f.daemons = slices.Delete(f.daemons, i, i+1)
	for addr, d := range f.byAddr {
		if d == gone {
			delete(f.byAddr, addr)
		}
	}
}
