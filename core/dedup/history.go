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

// maxMarks is the maximum number of rows of one shard that a release transfers.
const maxMarks = 20_000

// unboundedStart is the start of a history without predecessor. It is earlier than
// any id, whose age is capped at maxIDAge, and far enough from the limits of Instant
// for arithmetic without overflow.
const unboundedStart clock.Instant = math.MinInt64 / 2

// Origin is how an owner acquired a shard.
type Origin uint8

// Origins of a shard.
const (
	FirstOwner Origin = iota // the shard had no previous owner
	Released                 // the previous owner sent its rows
	Lapsed                   // the previous owner, if any, sent no rows
)

// Acquire starts a shard's history under token at now. Rows of an earlier
// ownership of the shard are dropped.
func (t *Table) Acquire(now clock.Instant, id view.ShardID, token uint64, origin Origin, marks []*wire.RequestMark) {
	t.Drop(id)
	sh := &shardHistory{token: token, since: now, rows: map[ID]*list.Element{}}
	t.shards[id] = sh
	switch origin {
	case FirstOwner:
		sh.since = unboundedStart
	case Released:
		t.importMarks(now, id, sh, marks)
	}
}

// importMarks fills a history with the rows of the previous owner. Without a leading
// horizon row, the history starts now. The transit time of the message makes rows and
// horizon appear younger, which is safe.
func (t *Table) importMarks(now clock.Instant, id view.ShardID, sh *shardHistory, marks []*wire.RequestMark) {
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

// Resume continues the history of a shard under a new token, after its owner revoked
// a release. complete means that no other daemon can have dispatched a request of the
// shard in between; otherwise the rows are kept, but the history starts at now. The
// rows of waiting requests are removed, so that these do not run. Running requests
// become MayHaveRun, because their results are no longer recorded.
func (t *Table) Resume(now clock.Instant, id view.ShardID, token uint64, complete bool) {
	sh, ok := t.shards[id]
	if !ok {
		t.Acquire(now, id, token, Lapsed, nil)
		return
	}
	sh.token = token
	if !complete {
		sh.since = now
	}
	for _, el := range sh.rows {
		switch r := el.Value.(*row); r.state {
		case Waiting:
			t.remove(el)
		case Running:
			r.state = MayHaveRun
		}
	}
}

// Merge moves the rows of the split-off shard from to the shard into, which takes its
// key back. complete means that the history of from is that of its owner up to now;
// otherwise the history of into starts at now.
func (t *Table) Merge(now clock.Instant, into, from view.ShardID, complete bool) {
	sh, ok := t.shards[into]
	if !ok {
		return
	}
	old, ok := t.shards[from]
	if ok {
		sh.since = max(sh.since, old.since)
		t.mergeRows(sh, into, old)
		t.Drop(from)
	}
	if !ok || !complete {
		sh.since = max(sh.since, now)
	}
	for _, el := range sh.rows {
		if r := el.Value.(*row); r.state == Waiting && r.at < sh.since {
			t.remove(el) // its id may have run in the shard from
		}
	}
}

// mergeRows adds the rows of requests that were dispatched under old. It replaces a
// row of into with the same id and keeps the later of the two arrival times.
func (t *Table) mergeRows(sh *shardHistory, into view.ShardID, old *shardHistory) {
	for id, el := range old.rows {
		r := *el.Value.(*row)
		if r.state == Waiting {
			continue
		}
		if r.state == Running {
			r.state = MayHaveRun
		}
		id.Shard, r.id.Shard = into, into
		if existing, ok := sh.rows[id]; ok {
			known := existing.Value.(*row)
			r.at = max(r.at, known.at)
			if known.state == Ran {
				r.state, r.status = Ran, known.status
			}
			t.remove(existing)
		}
		t.insert(sh, &r)
	}
}

// Token returns the current token of the shard's history, or zero if there is none.
func (t *Table) Token(id view.ShardID) uint64 {
	if sh, ok := t.shards[id]; ok {
		return sh.token
	}
	return 0
}

// Drop removes the history of a shard that is no longer owned.
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

// Marks returns the shard's horizon and its newest rows, at most maxMarks, for a
// release. Waiting requests are omitted: they are refused and do not run here.
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

// age returns the milliseconds since at, rounded down, so that rows appear younger.
func age(now, at clock.Instant) int64 { return max(0, now.Sub(at).Milliseconds()) }
