package dedup

import (
	"container/list"
	"math"
	"slices"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// maxMarks bounds the rows of one shard that move with a release.
const maxMarks = 20_000

// always is the start of a history that nothing precedes. It is earlier than
// the oldest id counts for, and far enough from the range of Instant to reckon
// with.
const always clock.Instant = math.MinInt64 / 2

// Origin tells how a shard came to its owner.
type Origin uint8

// Origins of a shard.
const (
	First    Origin = iota // nobody owned the shard before
	Released               // the owner before sent its rows
	Lapsed                 // the owner before, if any, left nothing
)

// Acquire starts a shard's history under token at now. Rows of an earlier
// ownership of the shard are dropped.
func (t *Table) Acquire(now clock.Instant, id view.ShardID, token uint64, origin Origin, marks []*wire.RequestMark) {
	t.Drop(id)
	sh := &shardHistory{token: token, since: now, rows: map[ID]*list.Element{}}
	t.shards[id] = sh
	switch origin {
	case First:
		sh.since = always
	case Released:
		t.take(now, id, sh, marks)
	}
}

// take fills a history from the rows of the owner before. Without a horizon
// row the history starts now. The time that the message took makes rows and
// horizon look younger, which is the safe side.
func (t *Table) take(now clock.Instant, id view.ShardID, sh *shardHistory, marks []*wire.RequestMark) {
	for i, m := range marks {
		at := now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)
		state := State(m.GetState())
		if state == Horizon {
			if i == 0 {
				sh.since = at
			}
			continue
		}
		if state != Ran {
			state = MayHaveRun
		}
		t.makeRoom()
		rowID := ID{Shard: id, Team: m.GetTeam(), ID: m.GetRequestId()}
		t.insert(sh, &row{id: rowID, at: at, state: state, status: m.GetStatus()})
	}
}

// Resume lets the history of a shard go on under a new token, after a release
// that its owner took back. whole tells that nobody else can have dispatched a
// request of the shard meanwhile; otherwise the rows stay, but the history
// starts at now. Requests of before that wait are refused, and what becomes of
// those that run is not learned any more.
func (t *Table) Resume(now clock.Instant, id view.ShardID, token uint64, whole bool) {
	sh, ok := t.shards[id]
	if !ok {
		t.Acquire(now, id, token, Lapsed, nil)
		return
	}
	sh.token = token
	if !whole {
		sh.since = now
	}
	for _, el := range sh.rows {
		switch r := el.Value.(*row); r.state {
		case Waiting:
			t.drop(el)
		case Running:
			r.state = MayHaveRun
		}
	}
}

// Merge moves the rows of a shard to the one that its key returns to. whole
// tells that from's history is that of its owner up to now; otherwise the
// history of into starts at now.
func (t *Table) Merge(now clock.Instant, into, from view.ShardID, whole bool) {
	sh, ok := t.shards[into]
	if !ok {
		return
	}
	old, ok := t.shards[from]
	if ok {
		sh.since = max(sh.since, old.since)
		t.moveRows(sh, into, old)
		t.Drop(from)
	}
	if !ok || !whole {
		sh.since = max(sh.since, now)
	}
	for _, el := range sh.rows {
		if r := el.Value.(*row); r.state == Waiting && r.at < sh.since {
			t.drop(el) // its id may have run under from
		}
	}
}

// moveRows adds the rows of requests that were dispatched under old. A row that
// into has for the same id keeps the later of the two ages.
func (t *Table) moveRows(sh *shardHistory, into view.ShardID, old *shardHistory) {
	for id, el := range old.rows {
		r := *el.Value.(*row)
		if r.state == Waiting {
			continue
		}
		if r.state == Running {
			r.state = MayHaveRun
		}
		id.Shard, r.id.Shard = into, into
		if own, ok := sh.rows[id]; ok {
			known := own.Value.(*row)
			r.at = max(r.at, known.at)
			if known.state == Ran {
				r.state, r.status = Ran, known.status
			}
			t.drop(own)
		}
		t.insert(sh, &r)
	}
}

// Token returns the token under which the shard's history was started, zero
// when there is none.
func (t *Table) Token(id view.ShardID) uint64 {
	if sh, ok := t.shards[id]; ok {
		return sh.token
	}
	return 0
}

// Drop forgets everything about a shard that is not owned any more.
func (t *Table) Drop(id view.ShardID) {
	sh, ok := t.shards[id]
	if !ok {
		return
	}
	for _, el := range sh.rows {
		t.rows.Remove(el)
	}
	delete(t.shards, id)
}

// Marks returns the shard's rows for a release, with its horizon. Requests
// that wait are left out: they are refused and do not run here.
func (t *Table) Marks(now clock.Instant, id view.ShardID) []*wire.RequestMark {
	sh, ok := t.shards[id]
	if !ok {
		return nil
	}
	rows := make([]*row, 0, len(sh.rows))
	for _, el := range sh.rows {
		if r := el.Value.(*row); r.state != Waiting {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b *row) int { return int(a.at - b.at) })
	since := sh.since
	if len(rows) > maxMarks {
		since = max(since, rows[len(rows)-maxMarks-1].at+1)
		rows = rows[len(rows)-maxMarks:]
	}
	marks := []*wire.RequestMark{{State: uint32(Horizon), AgeMs: age(now, since)}}
	for _, r := range rows {
		marks = append(marks, &wire.RequestMark{
			Team: r.id.Team, RequestId: r.id.ID, State: uint32(r.state), AgeMs: age(now, r.at), Status: r.status,
		})
	}
	return marks
}

// age returns the whole milliseconds since at, rounded down: rows look younger.
func age(now, at clock.Instant) int64 { return max(0, now.Sub(at).Milliseconds()) }
