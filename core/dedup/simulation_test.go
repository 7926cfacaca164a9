package dedup

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
)

var splitShard = view.ShardID{Service: "orders", Shard: 64}

// shardMoves simulates two shards, one of them for a split key, that move between two
// daemons by split, merge, release, revoked release and lapse.
type shardMoves struct {
	now      time.Duration
	tables   [2]*Table
	owner    map[view.ShardID]int
	token    uint64
	split    bool
	calls    []*sentCall
	loseRows bool // merges drop the rows of the split shard
}

// sentCall is a request with the tenures under which it waits or runs.
type sentCall struct {
	id      string
	hot     bool // its key is split off
	timed   bool
	sent    time.Duration
	runs    int
	waiting map[tenure]bool
	running map[tenure]bool
}

// tenure is the ownership of a shard under one token.
type tenure struct {
	shard view.ShardID
	token uint64
}

func (m *shardMoves) at() Now { return at(m.now) }

func (m *shardMoves) shardOf(c *sentCall) view.ShardID {
	if c.hot && m.split {
		return splitShard
	}
	return shard
}

func (m *shardMoves) table(id view.ShardID) *Table { return m.tables[m.owner[id]] }

func (m *shardMoves) acquire(id view.ShardID, owner int, origin Origin, from view.ShardID) {
	m.token++
	marks := m.table(from).Marks(m.at().Boot, from)
	m.owner[id] = owner
	m.tables[owner].Acquire(m.at().Boot, id, m.token, origin, marks)
}

func (m *shardMoves) send(t *rapid.T, c *sentCall) {
	id := m.shardOf(c)
	table := m.table(id)
	err := table.Begin(m.at(), ID{Shard: id, Team: "t", ID: c.id})
	if err == nil {
		c.waiting[tenure{id, table.Token(id)}] = true
		return
	}
	kind := outcome.KindOf(err)
	if c.runs > 0 && kind.Answer().Ran == outcome.NotRun && kind != outcome.Overloaded {
		t.Fatalf("id %s ran, but a retry returns %v", c.id, err)
	}
}

// isCurrent reports whether p is the current tenure of the shard of c.
func (m *shardMoves) isCurrent(c *sentCall, p tenure) bool {
	return m.shardOf(c) == p.shard && m.table(p.shard).Token(p.shard) == p.token
}

// begin dispatches a request that waits under p, if that tenure is current.
func (m *shardMoves) begin(t *rapid.T, c *sentCall, p tenure) {
	delete(c.waiting, p)
	id := ID{Shard: p.shard, Team: "t", ID: c.id}
	table := m.table(p.shard)
	if !m.isCurrent(c, p) {
		if table.Token(p.shard) == p.token {
			table.End(id, outcome.NotRun, 0)
		}
		return
	}
	if !table.Dispatch(id) {
		return
	}
	c.running[p] = true
	c.runs++
	if c.runs > 1 {
		t.Fatalf("id %s ran twice", c.id)
	}
}

func (m *shardMoves) end(c *sentCall, p tenure, ran outcome.Ran) {
	delete(c.running, p)
	if ran == outcome.NotRun {
		c.runs--
	}
	if table := m.table(p.shard); table.Token(p.shard) == p.token {
		table.End(ID{Shard: p.shard, Team: "t", ID: c.id}, ran, 200)
	}
}

// idle ends the running requests of a shard, so that it may be released.
func (m *shardMoves) idle(id view.ShardID) {
	for _, c := range m.calls {
		for p := range c.running {
			if p.shard == id || m.shardOf(c) == id {
				m.end(c, p, outcome.DidRun)
			}
		}
	}
}

func (m *shardMoves) pick(t *rapid.T, of func(*sentCall) map[tenure]bool) (*sentCall, tenure) {
	for _, c := range m.calls {
		for _, p := range sortedTenures(of(c)) {
			if rapid.Bool().Draw(t, "this") {
				return c, p
			}
		}
	}
	t.Skip()
	return nil, tenure{}
}

func sortedTenures(set map[tenure]bool) []tenure {
	var sorted []tenure
	for token := uint64(0); len(sorted) < len(set); token++ {
		for p := range set {
			if p.token == token {
				sorted = append(sorted, p)
			}
		}
	}
	return sorted
}

func (m *shardMoves) add(t *rapid.T) {
	c := &sentCall{
		sent: m.now, hot: rapid.Bool().Draw(t, "hot"), timed: rapid.Bool().Draw(t, "timed"),
		waiting: map[tenure]bool{}, running: map[tenure]bool{},
	}
	c.id = fmt.Sprintf("order-%d", len(m.calls))
	if c.timed {
		c.id = timeOrdered(epoch.Add(m.now), uint64(len(m.calls)))
	}
	m.calls = append(m.calls, c)
	m.send(t, c)
}

func (m *shardMoves) merge() {
	if m.loseRows {
		m.table(splitShard).Drop(splitShard)
	} else {
		m.table(shard).Merge(m.at().Boot, shard, splitShard, true)
	}
	m.split = false
}

func (m *shardMoves) drawShard(t *rapid.T) view.ShardID {
	if m.split && rapid.Bool().Draw(t, "split shard") {
		return splitShard
	}
	return shard
}

func (m *shardMoves) transit(t *rapid.T) {
	m.now += time.Duration(rapid.Int64Range(0, 3000).Draw(t, "transit")) * time.Millisecond
}

func (m *shardMoves) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"new": m.add,
		"resend": func(t *rapid.T) {
			if len(m.calls) == 0 {
				t.Skip()
			}
			c := rapid.SampledFrom(m.calls).Draw(t, "call")
			if !c.timed && m.now-c.sent > ResendWindow {
				t.Skip()
			}
			m.send(t, c)
		},
		"dispatch": func(t *rapid.T) {
			c, p := m.pick(t, func(c *sentCall) map[tenure]bool { return c.waiting })
			m.begin(t, c, p)
		},
		"end": func(t *rapid.T) {
			c, p := m.pick(t, func(c *sentCall) map[tenure]bool { return c.running })
			m.end(c, p, rapid.SampledFrom([]outcome.Ran{outcome.NotRun, outcome.DidRun, outcome.MayHaveRun}).Draw(t, "ran"))
		},
		"split": func(t *rapid.T) {
			if m.split {
				t.Skip()
			}
			m.owner[splitShard] = m.owner[shard]
			m.acquire(splitShard, m.owner[shard], Released, shard)
			m.split = true
		},
		"merge": func(t *rapid.T) {
			if !m.split || m.owner[shard] != m.owner[splitShard] {
				t.Skip()
			}
			m.merge()
		},
		"release": func(t *rapid.T) {
			id := m.drawShard(t)
			m.idle(id)
			m.transit(t)
			m.acquire(id, 1-m.owner[id], Released, id)
		},
		"release taken back": func(t *rapid.T) {
			id := m.drawShard(t)
			if rapid.Bool().Draw(t, "idle") {
				m.idle(id)
			}
			m.transit(t)
			m.token++
			m.table(id).Resume(m.at().Boot, id, m.token, true)
		},
		"release accepted by a standby that is lost": func(t *rapid.T) {
			id := m.drawShard(t)
			m.idle(id)
			owner, old := m.owner[id], m.table(id).Token(id)
			m.acquire(id, 1-owner, Released, id)
			m.add(t)
			for _, c := range m.calls {
				for _, p := range sortedTenures(c.waiting) {
					if p.token != old && m.isCurrent(c, p) {
						m.begin(t, c, p)
					}
				}
			}
			m.owner[id] = owner
			m.token++
			m.table(id).Resume(m.at().Boot, id, m.token, false)
		},
		"lapse": func(t *rapid.T) {
			id := m.drawShard(t)
			m.transit(t)
			m.acquire(id, 1-m.owner[id], Lapsed, id)
		},
		"sleep": func(t *rapid.T) {
			m.now += time.Duration(rapid.Int64Range(0, 400_000).Draw(t, "ms")) * time.Millisecond
		},
	}
}

func newMoves() *shardMoves {
	m := &shardMoves{tables: [2]*Table{New(8), New(8)}, owner: map[view.ShardID]int{shard: 0}}
	m.acquire(shard, 0, FirstOwner, shard)
	return m
}

func TestNoIDRunsTwiceAcrossMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newMoves().actions()) })
}

// runBeforeMerge runs a request in the split shard, merges, and returns the result of
// a retry with the same id.
func runBeforeMerge(m *shardMoves) error {
	m.split = true
	m.owner[splitShard] = 0
	m.acquire(splitShard, 0, Released, shard)
	m.now += time.Second
	id := ID{Shard: splitShard, Team: "t", ID: timeOrdered(epoch.Add(m.now), 1)}
	_ = m.tables[0].Begin(m.at(), id)
	m.tables[0].Dispatch(id)
	m.tables[0].End(id, outcome.DidRun, 201)
	m.merge()
	id.Shard = shard
	return m.tables[0].Begin(m.at(), id)
}

func TestMergeKeepsRowsOfSplitShard(t *testing.T) {
	is := is.New(t)
	m := newMoves()
	is.Equal(outcome.KindOf(runBeforeMerge(m)), outcome.DuplicateRan)
	m = newMoves()
	m.loseRows = true
	is.NoErr(runBeforeMerge(m)) // without the merged rows, the id would run twice
}

func TestWaitingRequestDoesNotRunAfterSplitAndMerge(t *testing.T) {
	is := is.New(t)
	m := newMoves()
	table := m.tables[0]
	id := ID{Shard: shard, Team: "t", ID: "order-1"}
	is.NoErr(table.Begin(m.at(), id))
	m.owner[splitShard] = 0
	m.acquire(splitShard, 0, Released, shard)
	again := ID{Shard: splitShard, Team: "t", ID: "order-1"}
	is.NoErr(table.Begin(m.at(), again))
	is.True(table.Dispatch(again))
	m.merge()
	is.True(!table.Dispatch(id))
	table.End(id, outcome.NotRun, 0) // the waiting request is refused
	is.Equal(outcome.KindOf(table.Begin(m.at(), id)), outcome.UnknownHistory)
}

func TestRowsRemainAfterRevokedRelease(t *testing.T) {
	is := is.New(t)
	table := New(10)
	table.Acquire(at(0).Boot, shard, 2, FirstOwner, nil)
	id := ID{shard, "team", "order-1"}
	is.NoErr(table.Begin(at(1), id))
	table.Dispatch(id)
	table.End(id, outcome.DidRun, 201)
	table.Resume(at(time.Second).Boot, shard, 4, true)
	is.Equal(outcome.KindOf(table.Begin(at(time.Second), id)), outcome.DuplicateRan)
	is.NoErr(table.Begin(at(time.Second), ID{shard, "team", "order-2"}))
	table.Resume(at(2*time.Second).Boot, shard, 6, false)
	is.Equal(outcome.KindOf(table.Begin(at(2*time.Second), id)), outcome.DuplicateRan)
	is.Equal(outcome.KindOf(table.Begin(at(2*time.Second), ID{shard, "team", "order-3"})), outcome.UnknownHistory)
}

// TestOldIDDoesNotRunAgain retries a time-ordered id after its row exceeded Retention
// and was evicted.
func TestOldIDDoesNotRunAgain(t *testing.T) {
	is := is.New(t)
	table := New(10)
	table.Acquire(at(0).Boot, shard, 2, FirstOwner, nil)
	id := ID{shard, "team", timeOrdered(epoch, 1)}
	is.NoErr(table.Begin(at(0), id))
	table.Dispatch(id)
	table.End(id, outcome.DidRun, 201)
	for _, later := range []time.Duration{Retention + time.Millisecond, Retention + time.Minute, 10 * Retention} {
		is.Equal(outcome.KindOf(table.Begin(at(later), id)), outcome.UnknownHistory)
	}
	is.NoErr(table.Begin(at(10*Retention), ID{shard, "team", timeOrdered(epoch.Add(10*Retention), 2)}))
}

func TestFirstOwnerRunsOldIDs(t *testing.T) {
	is := is.New(t)
	table := New(10)
	table.Acquire(at(0).Boot, shard, 2, FirstOwner, nil)
	is.NoErr(table.Begin(at(0), ID{shard, "team", timeOrdered(time.Unix(1, 0), 1)}))
	next := New(10)
	next.Acquire(at(time.Second).Boot, shard, 3, Released, table.Marks(at(time.Second).Boot, shard))
	is.NoErr(next.Begin(at(time.Second), ID{shard, "team", timeOrdered(time.Unix(1, 0), 2)}))
}

func TestWaitingRequestDoesNotRunAfterSplitShardLapse(t *testing.T) {
	is := is.New(t)
	m := newMoves()
	table := m.tables[0]
	id := ID{Shard: shard, Team: "t", ID: "order-1"}
	is.NoErr(table.Begin(m.at(), id))
	m.owner[splitShard] = 0
	m.acquire(splitShard, 0, Released, shard)
	again := ID{Shard: splitShard, Team: "t", ID: "order-1"}
	is.NoErr(table.Begin(m.at(), again))
	is.True(table.Dispatch(again)) // runs; then the shard lapses and is acquired again
	m.now += time.Second
	m.acquire(splitShard, 0, Lapsed, splitShard)
	m.merge()
	is.True(!table.Dispatch(id))
}
