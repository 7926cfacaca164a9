package control

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/snapshot"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

func (w *world) chance(p float64) bool { return p > 0 && w.rng.Float64() < p }

func (w *world) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d)))
}

// delay returns the delivery delay of a message: usually short, sometimes long enough
// to arrive after many later ones.
func (w *world) delay() time.Duration {
	if w.chance(w.odds.Delay) {
		return w.randomUpTo(4 * time.Second)
	}
	return time.Millisecond + w.randomUpTo(15*time.Millisecond)
}

func (w *world) nodeNamed(addr string) *node {
	for _, n := range w.nodes {
		if n.name == addr {
			return n
		}
	}
	return nil
}

// send delivers a message to the process that runs at addr on arrival.
func (w *world) send(n *node, addr string, deliver func(*node)) bool {
	to := w.nodeNamed(addr)
	if to == nil || w.blocked[[2]int{n.index, to.index}] > w.now || w.chance(w.odds.Lose) {
		return false
	}
	w.schedule(w.delay(), func() { deliver(to) })
	if w.chance(w.odds.Duplicate) {
		w.schedule(w.delay(), func() { deliver(to) })
	}
	return true
}

func (w *world) sendRelease(n *node, e SendRelease) {
	w.ticket++
	ticket := w.ticket
	w.tickets[ticket] = releaseTicket{from: n.index, boot: n.boot, effect: e}
	w.send(n, e.PeerAddr, func(to *node) {
		to.inbox = append(to.inbox, ReleaseReceived{Msg: e.Msg, Ticket: ticket})
	})
}

func (w *world) answerRelease(n *node, e AnswerRelease) {
	t := w.tickets[e.Ticket]
	w.send(n, w.nodes[t.from].name, func(to *node) {
		if to.boot != t.boot {
			return
		}
		to.inbox = append(to.inbox, ReleaseAnswered{
			Shard: t.effect.Shard, Generation: t.effect.Msg.GetRef().GetGeneration(),
			Accepted: e.Answer.GetAccepted(), Reason: e.Answer.GetReason(),
			ReadinessCheck: t.effect.Msg.GetOwner() == 0,
		})
	})
}

// append schedules the arrival of a record in the log, which does not depend on its
// author any more.
func (w *world) append(n *node, rec *wire.Record) {
	data, err := proto.Marshal(rec)
	if err != nil {
		panic(err)
	}
	if w.heldNode == n {
		w.heldRecords = append(w.heldRecords, data)
		return
	}
	unreachable := w.logDownUntil > w.now || n.logCutUntil > w.now
	if w.chance(w.odds.AppendLost) || unreachable && w.chance(0.7) {
		return
	}
	after := 2*time.Millisecond + w.randomUpTo(20*time.Millisecond)
	if unreachable || w.chance(w.odds.AppendLate) {
		after = w.randomUpTo(6 * time.Second)
	}
	w.schedule(after, func() { w.appendNow(data) })
	if w.chance(w.odds.AppendTwice) {
		w.schedule(after+w.randomUpTo(5*time.Second), func() { w.appendNow(data) })
	}
}

func (w *world) appendNow(data []byte) {
	if w.logDownUntil > w.now {
		if w.chance(0.5) {
			w.schedule(w.logDownUntil-w.now+w.randomUpTo(time.Second), func() { w.appendNow(data) })
		}
		return
	}
	w.appendRecord(data)
	if w.forgeConsent {
		w.forgeConsents()
	}
}

// appendRecord appends a record at the end of the log.
func (w *world) appendRecord(data []byte) {
	w.log = append(w.log, logstream.Entry{Offset: uint64(len(w.log) + 1), Data: data})
	w.appendedAt = append(w.appendedAt, w.now)
}

// forgeConsents appends the consents of all standbys at once.
func (w *world) forgeConsents() {
	st := w.replay()
	for name, svc := range st.Services {
		for i := range svc.Shards {
			sh := &svc.Shards[i]
			if !sh.HasPending {
				continue
			}
			w.configs++
			rec := &wire.Record{Id: fmt.Appendf(nil, "forged%010d", w.configs), Version: 1, Author: sh.Standby,
				Body: &wire.Record_Consent{Consent: &wire.Consent{Incarnation: sh.Standby, Refs: []*wire.ShardRef{
					{Service: name, Shard: uint32(i), Generation: sh.Generation}}}}}
			data, _ := proto.Marshal(rec)
			w.appendRecord(data)
		}
	}
}

// replay folds the whole log from the start.
func (w *world) replay() *fold.State {
	st := fold.New()
	st.EnsureService(simService, w.shards)
	for _, e := range w.log {
		st.Apply(logstream.Position(w.era, e.Offset), e.Data)
	}
	return st
}

func (w *world) patch(merge string) {
	rec := &wire.Record{Id: fmt.Appendf(nil, "config%010d", len(w.cfg)), Version: 1,
		Body: &wire.Record_ConfigPatch{ConfigPatch: &wire.ConfigPatch{BaseVersion: uint64(len(w.cfg)), MergePatch: []byte(merge)}}}
	data, err := proto.Marshal(rec)
	if err != nil {
		panic(err)
	}
	w.cfg = append(w.cfg, logstream.Entry{Offset: uint64(len(w.cfg) + 1), Data: data})
}

// record appends a record without an author.
func (w *world) record(rec *wire.Record) {
	w.configs++
	rec.Id = fmt.Appendf(nil, "record%010d", w.configs)
	rec.Version = fold.RecordVersion
	data, err := proto.Marshal(rec)
	if err != nil {
		panic(err)
	}
	w.appendNow(data)
}

// run advances by d and checks each step.
func (w *world) run(d time.Duration) error {
	for end := w.now + d; w.now < end; {
		w.advance()
		if err := w.check(); err != nil {
			return fmt.Errorf("at %v: %w", w.now, err)
		}
	}
	return nil
}

// trim writes a snapshot and reports to n that all records before it are trimmed.
func (w *world) trim(n *node) {
	st := w.replay()
	state, err := st.Encode()
	if err != nil {
		panic(err)
	}
	stream := logstream.PlacementStream(simRegion)
	first := logstream.Position(w.era, uint64(len(w.log)+1))
	for _, part := range snapshot.Split(stream, st.Next, state) {
		id := snapshot.RecordID(part)
		data, err := proto.Marshal(&wire.Record{Id: id[:], Version: fold.RecordVersion, Era: st.Era, Body: &wire.Record_Snapshot{Snapshot: part}})
		if err != nil {
			panic(err)
		}
		w.appendRecord(data)
	}
	n.nextOff = first
	n.inbox = append(n.inbox, Trimmed{Stream: stream, First: first})
}
