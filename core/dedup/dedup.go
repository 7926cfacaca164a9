// Package dedup deduplicates non-idempotent requests by their request ids, so that a
// retried request does not run twice.
//
// Rows alone do not guarantee this: their number and age are bounded, and an owner
// that acquired its shard after a lapse has none. The table therefore records, for
// each shard, the time since which its history is complete. An id that may have been
// sent for the first time before that is rejected as unknown history. The time of
// the first attempt is known within SkewBound for time-ordered ids (UUID version 7).
// Other ids may be retried only within ResendWindow.
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
	// SkewBound is the maximum difference between the wall clocks of a caller and
	// a daemon for which time-ordered ids are safe.
	SkewBound = 500 * time.Millisecond
	// ResendWindow is the time within which a caller may retry a request whose id
	// is not time-ordered.
	ResendWindow = 5 * time.Minute
	// Retention is the age after which rows are evicted. It exceeds ResendWindow by
	// more than the longest duration of a request.
	Retention = 10 * time.Minute
	// maxIDAge caps the age computed from a time-ordered id.
	maxIDAge = 100 * 365 * 24 * time.Hour
	// MaxIDBytes is the maximum length of a request id. The error of Begin states
	// the number too.
	MaxIDBytes = 128
)

// State is the state of a row. Its values are part of the peer protocol.
type State uint32

// States of a row.
const (
	Waiting    State = 1 // not dispatched yet
	Running    State = 2 // dispatched, result unknown
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

// shardHistory is the request-id history of one shard.
type shardHistory struct {
	token uint64
	since clock.Instant // ids first sent at or after this time have a row if they ran
	rows  map[ID]*list.Element
}

// Table is the request-id table of a daemon.
//
// Invariant: an id that was dispatched at or after the since time of its shard, by
// this owner or by one that released the shard to it, has a row.
type Table struct {
	max    int
	shards map[view.ShardID]*shardHistory
	rows   *list.List // of *row, oldest arrival first
}

// New returns an empty table of at most limit rows.
func New(limit int) *Table {
	return &Table{max: limit, shards: map[view.ShardID]*shardHistory{}, rows: list.New()}
}

// Now is the current time on both clocks of the host.
type Now struct {
	Boot clock.Instant
	Wall time.Time
}

// Begin adds a row for a request before the request is queued. It returns nil if the
// request may run; Dispatch or End must follow. Otherwise the error is an outcome
// that reports the state of the id: BadRequest, NotOwner, InProgress, DuplicateRan,
// UnknownHistory, or Overloaded if the table is full of waiting and running requests.
func (t *Table) Begin(now Now, id ID) error {
	if id.ID == "" || len(id.ID) > MaxIDBytes {
		return outcome.New(outcome.BadRequest, "request id has %d bytes, expected 1 to 128", len(id.ID))
	}
	sh, ok := t.shards[id.Shard]
	if !ok {
		return outcome.New(outcome.NotOwner, "no request-id history of shard %s/%d", id.Shard.Service, id.Shard.Shard)
	}
	t.expire(now.Boot)
	if el, ok := sh.rows[id]; ok {
		return duplicateError(el.Value.(*row))
	}
	earliest, err := earliestSent(now, id.ID)
	if err != nil {
		return err
	}
	if earliest < sh.since {
		return outcome.New(outcome.UnknownHistory, "the request id may be older than this owner's request-id history")
	}
	if !t.makeRoom() {
		return outcome.New(outcome.Overloaded, "request-id table is full of unfinished requests")
	}
	if earliest < sh.since { // the eviction may have advanced the start of the history
		return outcome.New(outcome.UnknownHistory, "the request id may be older than this owner's request-id history")
	}
	t.insert(sh, &row{id: id, at: now.Boot, state: Waiting})
	return nil
}

// duplicateError returns the error for an id that has a row.
func duplicateError(r *row) error {
	switch r.state {
	case Waiting, Running:
		return outcome.New(outcome.InProgress, "the same request id is running")
	case Ran:
		return outcome.New(outcome.DuplicateRan, "the same request id ran with status %d", r.status)
	default:
		return outcome.New(outcome.UnknownHistory, "the same request id may have run")
	}
}

// earliestSent returns the earliest time at which the id may have been sent for the
// first time. The error is BadRequest for a time-ordered id that is ahead of the wall
// clock by more than SkewBound.
func earliestSent(now Now, id string) (clock.Instant, error) {
	u, err := uuid.Parse(id)
	if err != nil || len(id) != 36 || u.Version() != 7 {
		return now.Boot.Add(-ResendWindow), nil
	}
	seconds, nanos := u.Time().UnixTime()
	age := now.Wall.Sub(time.Unix(seconds, nanos))
	if age < -SkewBound {
		return 0, outcome.New(outcome.BadRequest, "request id is %v ahead of this daemon's clock, more than the allowed clock skew", -age)
	}
	return now.Boot.Add(-min(age, maxIDAge) - SkewBound), nil
}

// Dispatch marks a waiting request as running. It must precede the first byte sent to
// the backend server. It reports false if the request must not run: its row was
// dropped, or a merge replaced it by a row of the same id in another state.
func (t *Table) Dispatch(id ID) bool {
	r := t.find(id)
	if r == nil || r.state != Waiting {
		return false
	}
	r.state = Running
	return true
}

// Requeue marks a running request that did not run as waiting again.
func (t *Table) Requeue(id ID) {
	if r := t.find(id); r != nil && r.state == Running {
		r.state = Waiting
	}
}

// End records the result of a request. The row of a request that did not run is
// removed. A row that records an earlier run is unchanged.
func (t *Table) End(id ID, ran outcome.Ran, status uint32) {
	r := t.find(id)
	switch {
	case r == nil || r.state != Waiting && r.state != Running:
	case ran == outcome.NotRun:
		t.remove(t.shards[id.Shard].rows[id])
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

// insert adds a row in order of arrival.
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

// expire evicts the finished rows that are older than Retention, which advances the
// start of their shards' histories.
func (t *Table) expire(now clock.Instant) {
	for el := t.rows.Front(); el != nil; {
		r := el.Value.(*row)
		if now.Sub(r.at) <= Retention {
			return
		}
		next := el.Next()
		if r.state == Ran || r.state == MayHaveRun {
			t.evict(el)
		}
		el = next
	}
}

// makeRoom evicts the oldest finished row if the table is full. It reports false if
// there is none.
func (t *Table) makeRoom() bool {
	if t.rows.Len() < t.max {
		return true
	}
	for el := t.rows.Front(); el != nil; el = el.Next() {
		if s := el.Value.(*row).state; s == Ran || s == MayHaveRun {
			t.evict(el)
			return true
		}
	}
	return false
}

// evict removes a row whose request may have run. The shard's history then starts
// after that row.
func (t *Table) evict(el *list.Element) {
	r := el.Value.(*row)
	sh := t.shards[r.id.Shard]
	sh.since = max(sh.since, r.at+1)
	t.remove(el)
}

func (t *Table) remove(el *list.Element) {
	r := el.Value.(*row)
	delete(t.shards[r.id.Shard].rows, r.id)
	t.rows.Remove(el)
}
