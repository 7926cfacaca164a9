// Package capacity measures how the control work of a daemon grows with the size
// of the fleet. It runs the control states of many daemons in one process, in
// virtual time, with an in-memory log and network, and adds up their messages,
// bytes and processing time. Virtual time advances in steps of control.TickInterval;
// the network delivers a message when its receiver is next stepped, and loses a
// message only if the receiver was killed.
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
	// startInstant is the boot clock of every daemon at the start of a run.
	startInstant = clock.Instant(time.Hour)
)

// Params describe a simulated fleet.
type Params struct {
	Daemons         int
	ShardsPerDaemon int
	Lease           lease.Params
}

// DefaultParams returns the parameters of a fleet of the given size, with 16 shards
// per daemon and the default lease durations of the daemon.
func DefaultParams(daemons int) Params {
	return Params{
		Daemons:         daemons,
		ShardsPerDaemon: 16,
		Lease:           lease.Params{Term: 1200 * time.Millisecond, Renew: 400 * time.Millisecond, Drift: 0.02},
	}
}

// counts are the control work of one daemon.
type counts struct {
	sent          int64         // datagrams
	sentBytes     int64         // with IP and UDP headers
	received      int64         // datagrams
	receivedBytes int64         // with IP and UDP headers
	appends       int64         // records
	appendedBytes int64         // of records
	readBytes     int64         // of records
	steps         int64         // calls of Step
	views         int64         // published
	busy          time.Duration // wall-clock time inside Step
}

// minus returns the work done since the earlier counts.
func (c counts) minus(earlier counts) counts {
	return counts{
		sent: c.sent - earlier.sent, sentBytes: c.sentBytes - earlier.sentBytes,
		received: c.received - earlier.received, receivedBytes: c.receivedBytes - earlier.receivedBytes,
		appends: c.appends - earlier.appends, appendedBytes: c.appendedBytes - earlier.appendedBytes,
		readBytes: c.readBytes - earlier.readBytes, steps: c.steps - earlier.steps, views: c.views - earlier.views, busy: c.busy - earlier.busy,
	}
}

// daemon is one control state with its pending events and counts.
type daemon struct {
	state  *control.State
	inbox  []control.Event
	next   map[string]uint64 // next offset to read, by stream
	held   int               // shards held, from view
	view   *view.View        // latest published
	counts counts
}

// Fleet simulates a fleet of daemons as control states in one process. It is not
// safe for concurrent use.
type Fleet struct {
	params      Params
	now         clock.Instant
	daemons     []*daemon
	byAddr      map[string]*daemon
	streams     map[string][][]byte
	stubs       map[string]string // slots of stubs by witness address; a stub has no control state and acknowledges every renewal
	longestStep time.Duration     // longest time inside one Step since it was set to zero
}

// NewFleet returns a fleet whose daemons have just started, with its configuration
// already in the log.
func NewFleet(p Params) (*Fleet, error) {
	f := &Fleet{params: p, now: startInstant, byAddr: map[string]*daemon{}, streams: map[string][][]byte{}}
	if err := f.configure(); err != nil {
		return nil, err
	}
	for i := range p.Daemons {
		f.add(i)
	}
	return f, nil
}

// configure writes the service and the data centres to the configuration stream.
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
		return fmt.Errorf("capacity: marshal configuration: %w", err)
	}
	f.streams[logstream.ConfigStream] = [][]byte{data}
	return nil
}

// add starts the daemon with index i and its backend server.
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
		JoinWait:    time.Second,
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

// Run advances the virtual time by d.
func (f *Fleet) Run(d time.Duration) {
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(control.TickInterval) {
		for _, d := range f.daemons {
			f.tick(d)
		}
	}
}

// tick passes the daemon its unread records, its pending events and a Tick event.
func (f *Fleet) tick(d *daemon) {
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

// deliver passes the unread records of the stream to the daemon, also if there are
// none, so that the daemon knows that it is up to date.
func (f *Fleet) deliver(d *daemon, stream string) {
	records := f.streams[stream]
	from := max(d.next[stream], 1)
	batch := control.Records{Stream: stream, Next: uint64(len(records)) + 1, AsOf: f.now}
	for offset := from; offset < batch.Next; offset++ {
		data := records[offset-1]
		batch.Entries = append(batch.Entries, logstream.Entry{Offset: offset, Data: data})
		d.counts.readBytes += int64(len(data))
	}
	d.next[stream] = batch.Next
	f.step(d, batch)
}

// step passes an event to the daemon, measures the time and applies the effects.
func (f *Fleet) step(d *daemon, ev control.Event) {
	if dg, ok := ev.(control.Datagram); ok {
		d.counts.received++
		d.counts.receivedBytes += int64(proto.Size(dg.Msg) + headerBytes)
	}
	start := time.Now()
	effects := d.state.Step(f.now, ev)
	took := time.Since(start)
	d.counts.busy += took
	f.longestStep = max(f.longestStep, took)
	d.counts.steps++
	for _, effect := range effects {
		f.apply(d, effect)
	}
}

// apply carries out an effect of the daemon on the log, the network or its view.
func (f *Fleet) apply(d *daemon, effect control.Effect) {
	switch e := effect.(type) {
	case control.Append:
		f.append(d, e)
	case control.SendDatagram:
		d.counts.sent++
		d.counts.sentBytes += int64(proto.Size(e.Msg) + headerBytes)
		if to, ok := f.byAddr[e.Addr]; ok {
			to.inbox = append(to.inbox, control.Datagram{Msg: e.Msg})
		} else if slot, ok := f.stubs[e.Addr]; ok {
			f.ackRenewal(d, slot, e.Msg)
		}
	case control.Publish:
		d.held = len(e.View.Held)
		d.view = e.View
		d.counts.views++
	case control.ConfirmConfig:
		e.Apply()
	}
}

// append adds a record to its stream at once; appends never fail or conflict.
func (f *Fleet) append(d *daemon, e control.Append) {
	data, err := proto.Marshal(e.Record)
	if err != nil {
		return
	}
	d.counts.appends++
	d.counts.appendedBytes += int64(len(data))
	f.streams[e.Stream] = append(f.streams[e.Stream], data)
}

// Placed reports whether the daemons together hold as many shards as the service
// has.
func (f *Fleet) Placed() bool {
	held := 0
	for _, d := range f.daemons {
		held += d.held
	}
	return held >= f.params.Daemons*f.params.ShardsPerDaemon
}

// Kill removes the daemon that holds the most shards.
func (f *Fleet) Kill() {
	i := 0
	for j, d := range f.daemons {
		if d.held > f.daemons[i].held {
			i = j
		}
	}
	killed := f.daemons[i]
	f.daemons = slices.Delete(f.daemons, i, i+1)
	for addr, d := range f.byAddr {
		if d == killed {
			delete(f.byAddr, addr)
		}
	}
}
