package dedup

import (
	"container/list"
	"slices"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// maxMarks bounds the rows of one shard that move with a release.
const maxMarks = 20_000

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
		sh.since = now.Add(-2 * Retention)
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
