package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/lease"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/view"
)

const (
	simStep    = 10 * time.Millisecond
	simService = "storefront"
	simRegion  = "r"
)

// faultOdds are the odds of faults in a simulation, per message or per step.
type faultOdds struct {
	Drift                                    float64 // maximum clock rate error of the hosts
	Lose, Delay, Duplicate                   float64 // per datagram or release message
	AppendLost, AppendLate, AppendTwice      float64 // per append
	Pause, Restart, Partition, Outage        float64 // per step
	CutLog, BackendFlap, Patch, Leave, Stall float64 // per step
	Trim, Suspect                            float64 // per step
	Restore                                  float64 // per step
}

// world is a fleet of control states in virtual time, with a fake log and a fake
// network.
type world struct {
	rng          *rand.Rand
	odds         faultOdds
	params       lease.Params
	now          time.Duration
	nodes        []*node
	log, cfg     []logstream.Entry
	appendedAt   []time.Duration // of the records of log
	era          uint64          // of the log
	restoredAt   time.Duration   // the log keeps records for 20 s
	configs      int
	shards       uint32
	logDownUntil time.Duration
	queue        []scheduled
	blocked      map[[2]int]time.Duration
	tickets      map[uint64]releaseTicket
	ticket       uint64
	onNewState   func(*state)        // disables a rule in a new state
	afterStep    func(*world, *node) // disables a rule after a step
	heldNode     *node               // records of this node are held back
	heldRecords  [][]byte            // records that were held back
	forgeConsent bool                // consents are forged without asking the standby
	// Further disabled rules.
	keepServing bool // a release is sent while its owner still dispatches
	noDrain     bool // running requests do not delay a release or a departure
	sharedCell  bool // all incarnations of a process publish one deadline

	lastOwner  map[view.ShardID]claim // newest owner with its highest token
	tokens     map[tokenKey]string
	trace      []string
	orderError error // an effect that preceded the view on which it depends
	takeovers  int
}

type state = State

type tokenKey struct {
	shard view.ShardID
	token uint64
}

type scheduled struct {
	due time.Duration
	run func()
}

type releaseTicket struct {
	from, boot int
	effect     SendRelease
}

// running is a request that a daemon sent to its backend server.
type running struct {
	shard view.ShardID
	token uint64
	until clock.Instant
}

// node is one daemon with its host.
type node struct {
	index        int
	name         string // also its address
	slot         string
	clockRate    float64
	clockOffset  time.Duration
	boot         int
	state        *State
	view         *view.View
	stalledView  *view.View // loaded by a request that then stalled
	stalledUntil time.Duration
	running      []running
	quiesce      []Quiesce
	pausedUntil  time.Duration
	logCutUntil  time.Duration
	inbox        []Event
	cell         view.LeaseCell
	nextTick     time.Duration
	nextRead     time.Duration
	nextOff      uint64 // next offset to read of the placement stream
	stopped      bool
	backend      BackendUp
}

func newWorld(seed uint64, nodes, shards int, odds faultOdds) *world {
	w := &world{
		shards: uint32(shards),
		era:    1, restoredAt: -time.Minute,
		rng:       rand.New(rand.NewPCG(seed, 7)),
		odds:      odds,
		params:    lease.Params{Term: 1200 * time.Millisecond, Renew: 400 * time.Millisecond, Drift: max(odds.Drift, 0.01)},
		blocked:   map[[2]int]time.Duration{},
		tickets:   map[uint64]releaseTicket{},
		lastOwner: map[view.ShardID]claim{},
		tokens:    map[tokenKey]string{},
	}
	w.patch(fmt.Sprintf(`{"data_centres":{"a":{"region":"r"},"b":{"region":"r"},"c":{"region":"r"}},"services":{"storefront":{"region":"r","shards":%d}}}`, shards))
	for i := range nodes {
		n := &node{
			index: i, name: fmt.Sprintf("d%d", i), slot: fmt.Sprintf("d%d", i),
			clockRate:   1 + odds.Drift*(2*w.rng.Float64()-1),
			clockOffset: time.Duration(1+w.rng.IntN(1000)) * time.Hour,
		}
		n.backend = BackendUp{Name: "b" + n.name, Service: simService, Addr: n.name, Slots: 4}
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (w *world) start() {
	for _, n := range w.nodes {
		w.restart(n)
	}
}

func (w *world) clock(n *node) clock.Instant {
	return clock.Instant(n.clockOffset + time.Duration(float64(w.now)*n.clockRate))
}

// restart replaces the node's process by a new one without memory.
func (w *world) restart(n *node) {
	n.boot++
	n.inbox, n.quiesce, n.running, n.stalledView = nil, nil, nil, nil
	n.pausedUntil, n.stopped = 0, false
	n.nextOff = 1
	n.nextTick, n.nextRead = w.now, w.now
	n.state = New(Options{
		Slot: n.slot, DataCentre: string(rune('a' + n.index%3)), Region: simRegion,
		PeerAddr: n.name, WitnessAddr: n.name, Lease: w.params, Witnesses: 3,
		JoinWait: time.Second,
		Rand:     rand.New(rand.NewPCG(w.rng.Uint64(), w.rng.Uint64())),
	}, w.clock(n))
	delete(n.state.fold.Services, view.KeeperService)
	if w.onNewState != nil {
		w.onNewState(n.state)
	}
	w.step(n, n.backend)
}

func (w *world) schedule(after time.Duration, run func()) {
	w.queue = append(w.queue, scheduled{due: w.now + after, run: run})
}

// step delivers one event to a node and carries out the effects.
func (w *world) step(n *node, ev Event) {
	if n.stopped {
		return
	}
	for _, effect := range n.state.Step(w.clock(n), ev) {
		w.carryOut(n, effect)
	}
	delete(n.state.fold.Services, view.KeeperService) // loading a snapshot adds it
	n.cell.Set(n.state.cell.Deadline())
	if w.afterStep != nil {
		w.afterStep(w, n)
	}
}

func (w *world) carryOut(n *node, effect Effect) {
	switch e := effect.(type) {
	case Append:
		w.append(n, e.Record)
	case SendDatagram:
		msg := e.Msg
		w.send(n, e.Addr, func(to *node) { to.inbox = append(to.inbox, Datagram{Msg: msg}) })
	case SendRelease:
		w.sendRelease(n, e)
	case AnswerRelease:
		w.answerRelease(n, e)
	case Publish:
		w.publish(n, e.View)
	case ConfirmConfig:
		e.Apply()
	case Quiesce:
		if _, held := n.view.Held[e.Shard]; held && !w.keepServing {
			w.orderError = fmt.Errorf("%s quiesces shard %d while its view holds it", n.name, e.Shard.Shard)
		}
		n.quiesce = append(n.quiesce, e)
	case Decision:
		if e.Action == "take_over" && e.Reason == "lapse of the owner's lease" {
			w.takeovers++
		}
		if strings.HasPrefix(e.Action, "reject") {
			return
		}
		w.tracef("%s/%d %s %s %d gen %d member %d count %d", n.name, n.boot, e.Action, e.Reason, e.Shard.Shard, e.Generation, e.Member, e.Count)
	case Departed:
		n.stopped = true
	}
}

// publish replaces the view that requests load, unless keepServing prevents it.
func (w *world) publish(n *node, v *view.View) {
	if w.keepServing && anyReleasing(n.state) {
		return
	}
	if w.sharedCell {
		v.Lease = &n.cell
	}
	n.view = v
}

func anyReleasing(s *State) bool {
	for _, r := range s.rights {
		if r.releasing {
			return true
		}
	}
	return false
}

func (w *world) tracef(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%7.2f ", w.now.Seconds())+fmt.Sprintf(format, args...))
	if len(w.trace) > 400 {
		w.trace = slices.Delete(w.trace, 0, 200)
	}
}

// advance advances time by one step.
func (w *world) advance() {
	w.now += simStep
	w.deliverDue()
	for _, n := range w.nodes {
		w.runNode(n)
	}
}

func (w *world) deliverDue() {
	var later []scheduled
	due := w.queue
	w.queue = nil
	for _, m := range due {
		if m.due > w.now {
			later = append(later, m)
			continue
		}
		m.run()
	}
	w.queue = append(later, w.queue...)
}

func (w *world) runNode(n *node) {
	if n.pausedUntil > w.now || n.stopped {
		return
	}
	w.finishRequests(n)
	events := n.inbox
	n.inbox = nil
	for _, ev := range events {
		w.step(n, ev)
	}
	if w.now >= n.nextTick {
		n.nextTick = w.now + TickInterval
		w.step(n, Tick{})
	}
	if w.now >= n.nextRead {
		n.nextRead = w.now + 10*time.Millisecond + w.randomUpTo(60*time.Millisecond)
		w.read(n)
	}
}

func (w *world) read(n *node) {
	if w.logDownUntil > w.now || n.logCutUntil > w.now {
		return
	}
	now := w.clock(n)
	w.step(n, Records{Stream: logstream.ConfigStream, Entries: w.cfg[n.state.history.Next-1:], Next: uint64(len(w.cfg) + 1), AsOf: now})
	if logstream.EraOf(n.nextOff) != w.era {
		n.nextOff = logstream.Position(w.era, 1)
		w.step(n, Trimmed{Stream: logstream.PlacementStream(simRegion), First: n.nextOff})
	}
	var entries []logstream.Entry
	for _, e := range w.log[logstream.OffsetOf(n.nextOff)-1:] {
		entries = append(entries, logstream.Entry{Offset: logstream.Position(w.era, e.Offset), Data: e.Data})
	}
	n.nextOff = logstream.Position(w.era, uint64(len(w.log)+1))
	w.step(n, Records{Stream: logstream.PlacementStream(simRegion), Entries: entries, Next: n.nextOff, AsOf: now})
}

// finishRequests ends requests that are due. It answers a Quiesce once no request of
// the shard runs and none is stalled between loading a view and checking the lease.
func (w *world) finishRequests(n *node) {
	if n.stalledView != nil && n.stalledUntil <= w.now {
		n.stalledView = nil
	}
	now := w.clock(n)
	n.running = slices.DeleteFunc(n.running, func(r running) bool { return now >= r.until })
	if n.stalledView != nil && !w.noDrain {
		return
	}
	waiting := n.quiesce
	n.quiesce = nil
	for _, q := range waiting {
		busy := slices.ContainsFunc(n.running, func(r running) bool { return r.shard == q.Shard })
		if busy && !w.noDrain {
			n.quiesce = append(n.quiesce, q)
			continue
		}
		n.inbox = append(n.inbox, Quiesced{Shard: q.Shard, Token: q.Token})
	}
}
