// Package dedup keeps the request ids of non-idempotent requests, so that a
// request that its caller sends again does not run again.
//
// A table row alone cannot promise that: rows are bounded in count and age, and
// an owner that came by a lapse has none. The table therefore knows for each
// shard since when its history is whole, and an id that may have been sent for
// the first time before that is answered as unknown instead of being run. How
// early an id may have been sent is known from time-ordered ids (UUID version
// 7), within SkewBound; for other ids callers are bound to send again within
// ResendWindow only.
//
// Table is not safe for concurrent use.
package dedup

import (
	"container/list"
	"time"

	"github.com/google/uuid"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
)

const (
	// SkewBound is the largest difference between the wall clocks of a caller
	// and a daemon under which time-ordered ids are safe.
	SkewBound = 500 * time.Millisecond
	// ResendWindow is the time within which a caller may send an id again
	// that is not time-ordered.
	ResendWindow = 5 * time.Minute
	// Retention is the age at which rows are forgotten. It is longer than
	// ResendWindow by more than a request can take.
	Retention = 10 * time.Minute
	// oldest bounds the age that a time-ordered id is taken for.
	oldest = 100 * 365 * 24 * time.Hour
	// MaxIDBytes bounds a request id.
	MaxIDBytes = 128
)

// State is the state of a row. Numbers are part of the peer protocol.
type State uint32

// States of a row.
const (
	Waiting    State = 1 // not dispatched yet
	Running    State = 2 // dispatched, no end known
	Ran        State = 3
	MayHaveRun State = 4
	// Horizon marks the start of a shard's history in exported rows.
	Horizon State = 5
)

// ID identifies a request of a team within a shard.
type ID struct {
	Shard view.ShardID
	Team  string
	ID    string
}

type row struct {
	id     ID
	at     clock.Instant // of arrival
	state  State
	status uint32
}

// shardHistory is what is known about one shard.
type shardHistory struct {
	token uint64
	since clock.Instant // ids first sent from here on have a row if they ran
	rows  map[ID]*list.Element
}

// Table is the request-id table of a daemon.
//
// Invariant: an id of a shard that was dispatched at or after the shard's
// since instant, by this owner or one that released the shard to it, has a row.
type Table struct {
	max    int
	shards map[view.ShardID]*shardHistory
	rows   *list.List // of *row, oldest arrival first
}

// New returns a table of at most limit rows.
func New(limit int) *Table {
	return &Table{max: limit, shards: map[view.ShardID]*shardHistory{}, rows: list.New()}
}

// Now is an instant on both clocks of the host.
type Now struct {
	Boot clock.Instant
	Wall time.Time
}

// Begin takes in a request before it is queued. It returns nil when the request
// may run; Forget, Dispatch or End follow then. Otherwise the error tells what
// is known of the id.
func (t *Table) Begin(now Now, id ID) error {
	if id.ID == "" || len(id.ID) > MaxIDBytes {
		return outcome.New(outcome.BadRequest, "request id of %d bytes", len(id.ID))
	}
	sh, ok := t.shards[id.Shard]
	if !ok {
		return outcome.New(outcome.NotOwner, "no request-id history of shard %s/%d", id.Shard.Service, id.Shard.Shard)
	}
	t.expire(now.Boot)
	if el, ok := sh.rows[id]; ok {
		return repeated(el.Value.(*row))
	}
	earliest, err := firstSent(now, id.ID)
	if err != nil {
		return err
	}
	if earliest < sh.since {
		return outcome.New(outcome.UnknownHistory, "the id may be older than this owner's history")
	}
	if !t.makeRoom() {
		return outcome.New(outcome.Overloaded, "request-id table is full of running requests")
	}
	if earliest < sh.since { // making room moved the history's start
		return outcome.New(outcome.UnknownHistory, "the id may be older than this owner's history")
	}
	t.insert(sh, &row{id: id, at: now.Boot, state: Waiting})
	return nil
}

// repeated returns the answer to an id that has a row.
func repeated(r *row) error {
	switch r.state {
	case Waiting, Running:
		return outcome.New(outcome.InProgress, "the same request id is running")
	case Ran:
		return outcome.New(outcome.DuplicateRan, "the same request id ran with status %d", r.status)
	default:
		return outcome.New(outcome.UnknownHistory, "the same request id may have run")
	}
}

// firstSent returns the earliest instant at which the id may have been sent.
func firstSent(now Now, id string) (clock.Instant, error) {
	u, err := uuid.Parse(id)
	if err != nil || len(id) != 36 || u.Version() != 7 {
		return now.Boot.Add(-ResendWindow), nil
	}
	seconds, nanos := u.Time().UnixTime()
	age := now.Wall.Sub(time.Unix(seconds, nanos))
	if age < -SkewBound {
		return 0, outcome.New(outcome.BadRequest, "request id is %v ahead of this clock", -age)
	}
	return now.Boot.Add(-min(age, oldest) - SkewBound), nil
}

// Dispatch marks a waiting request as running, before its first byte is
// written. It reports false when the request must not run: its row is gone, or
// says since a merge that the id may have run elsewhere.
func (t *Table) Dispatch(id ID) bool {
	r := t.find(id)
	if r == nil || r.state != Waiting {
		return false
	}
	r.state = Running
	return true
}

// Requeue marks a dispatched request that did not run as waiting again.
func (t *Table) Requeue(id ID) {
	if r := t.find(id); r != nil && r.state == Running {
		r.state = Waiting
	}
}

// End records how a request ended. One that did not run leaves no row. A row
// that tells of an earlier run stays as it is.
func (t *Table) End(id ID, ran outcome.Ran, status uint32) {
	r := t.find(id)
	switch {
	case r == nil || r.state != Waiting && r.state != Running:
	case ran == outcome.NotRun:
		t.drop(t.shards[id.Shard].rows[id])
	case ran == outcome.DidRun:
		r.state = Ran
		r.status = status
	default:
		r.state = MayHaveRun
	}
}

func (t *Table) find(id ID) *row {
	sh, ok := t.shards[id.Shard]
	if !ok {
		return nil
	}
	el, ok := sh.rows[id]
	if !ok {
		return nil
	}
	return el.Value.(*row)
}

// Len returns the number of rows.
func (t *Table) Len() int { return t.rows.Len() }

// insert adds a row; rows stay in order of arrival.
func (t *Table) insert(sh *shardHistory, r *row) {
	after := t.rows.Back()
	for after != nil && after.Value.(*row).at > r.at {
		after = after.Prev()
	}
	if after == nil {
		sh.rows[r.id] = t.rows.PushFront(r)
		return
	}
	sh.rows[r.id] = t.rows.InsertAfter(r, after)
}

// expire forgets rows past retention. The histories start later then.
func (t *Table) expire(now clock.Instant) {
	for el := t.rows.Front(); el != nil; {
		r := el.Value.(*row)
		if now.Sub(r.at) <= Retention {
			return
		}
		next := el.Next()
		if r.state == Ran || r.state == MayHaveRun {
			t.forget(el)
		}
		el = next
	}
}

// makeRoom forgets the oldest row that does not run, if the table is full.
func (t *Table) makeRoom() bool {
	if t.rows.Len() < t.max {
		return true
	}
	for el := t.rows.Front(); el != nil; el = el.Next() {
		if s := el.Value.(*row).state; s == Ran || s == MayHaveRun {
			t.forget(el)
			return true
		}
	}
	return false
}

// forget drops a row whose request may have run: the shard's history starts
// after it from now on.
func (t *Table) forget(el *list.Element) {
	r := el.Value.(*row)
	sh := t.shards[r.id.Shard]
	sh.since = max(sh.since, r.at+1)
	t.drop(el)
}

func (t *Table) drop(el *list.Element) {
	r := el.Value.(*row)
	delete(t.shards[r.id.Shard].rows, r.id)
	t.rows.Remove(el)
}
