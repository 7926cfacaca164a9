package dedup

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

var shard = view.ShardID{Service: "orders", Shard: 7}

var epoch = time.Unix(1_800_000_000, 0)

// timeOrdered returns a UUID version 7 generated at wall.
func timeOrdered(wall time.Time, n uint64) string {
	var u uuid.UUID
	binary.BigEndian.PutUint64(u[:8], uint64(wall.UnixMilli())<<16)
	binary.BigEndian.PutUint64(u[8:], n)
	u[6] = 0x70
	u[8] = 0x80 | u[8]&0x3f
	return u.String()
}

// call is a caller's request with its actual number of runs.
type call struct {
	id    string
	sent  time.Duration // true time of the first attempt
	timed bool
	runs  int
}

// movingShard simulates a shard that moves between owners. The reference model is the
// complete record of runs in calls.
type movingShard struct {
	now    time.Duration // true time
	skew   map[int]time.Duration
	tables []*Table
	owner  int
	token  uint64
	calls  []*call
	active map[*call]bool // dispatched by the owner, not ended
	queued map[*call]bool
}

func (m *movingShard) at(owner int) Now {
	return Now{Boot: clock.Instant(m.now + time.Hour), Wall: epoch.Add(m.now + m.skew[owner])}
}

func (m *movingShard) id(c *call) ID { return ID{Shard: shard, Team: "t", ID: c.id} }

func (m *movingShard) send(c *call) error {
	err := m.tables[m.owner].Begin(m.at(m.owner), m.id(c))
	if err == nil {
		m.queued[c] = true
	}
	return err
}

func (m *movingShard) acquire(owner int, origin Origin, marks []*wire.RequestMark) {
	m.owner = owner
	m.token++
	m.tables[owner].Acquire(m.at(owner).Boot, shard, m.token, origin, marks)
}

func TestNoIDRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &movingShard{
			skew:   map[int]time.Duration{},
			active: map[*call]bool{},
			queued: map[*call]bool{},
		}
		for i := range 2 {
			w.tables = append(w.tables, New(rapid.IntRange(1, 6).Draw(t, "rows")))
			w.skew[i] = time.Duration(rapid.Int64Range(-250, 250).Draw(t, "skew")) * time.Millisecond
		}
		w.acquire(0, FirstOwner, nil)
		pick := func(t *rapid.T, m map[*call]bool) *call {
			for _, c := range w.calls {
				if m[c] && rapid.Bool().Draw(t, "this") {
					return c
				}
			}
			t.Skip()
			return nil
		}
		lose := func() { // the owner's waiting and running requests end without a record
			clear(w.active)
			clear(w.queued)
		}
		t.Repeat(map[string]func(*rapid.T){
			"new": func(t *rapid.T) {
				callerSkew := time.Duration(rapid.Int64Range(-250, 250).Draw(t, "skew")) * time.Millisecond
				c := &call{sent: w.now, timed: rapid.Bool().Draw(t, "timed")}
				c.id = fmt.Sprintf("order-%d", len(w.calls))
				if c.timed {
					c.id = timeOrdered(epoch.Add(w.now+callerSkew), uint64(len(w.calls)))
				}
				w.calls = append(w.calls, c)
				_ = w.send(c)
			},
			"resend": func(t *rapid.T) {
				if len(w.calls) == 0 {
					t.Skip()
				}
				c := rapid.SampledFrom(w.calls).Draw(t, "call")
				if !c.timed && w.now-c.sent > ResendWindow {
					t.Skip()
				}
				err := w.send(c)
				if c.runs > 0 && (err == nil || outcome.KindOf(err).Answer().Ran == outcome.NotRun && outcome.KindOf(err) != outcome.Overloaded) {
					t.Fatalf("id ran, but a retry returns %v", err)
				}
			},
			"dispatch": func(t *rapid.T) {
				c := pick(t, w.queued)
				delete(w.queued, c)
				w.tables[w.owner].Dispatch(w.id(c))
				c.runs++
				w.active[c] = true
				if c.runs > 1 {
					t.Fatalf("id %s ran twice", c.id)
				}
			},
			"end": func(t *rapid.T) {
				c := pick(t, w.active)
				delete(w.active, c)
				ran := rapid.SampledFrom([]outcome.Ran{outcome.DidRun, outcome.MayHaveRun}).Draw(t, "ran")
				w.tables[w.owner].End(w.id(c), ran, 201)
			},
			"shed": func(t *rapid.T) {
				c := pick(t, w.active)
				delete(w.active, c)
				c.runs--
				w.tables[w.owner].End(w.id(c), outcome.NotRun, 503)
			},
			"release": func(t *rapid.T) {
				clear(w.queued) // refused by the owner before the release
				marks := w.tables[w.owner].Marks(w.at(w.owner).Boot, shard)
				lose()
				w.now += time.Duration(rapid.Int64Range(0, 3000).Draw(t, "transit")) * time.Millisecond
				w.acquire(1-w.owner, Released, marks)
			},
			"lapse": func(t *rapid.T) {
				lose()
				w.now += time.Duration(rapid.Int64Range(0, 3000).Draw(t, "gap")) * time.Millisecond
				w.acquire(1-w.owner, Lapsed, nil)
			},
			"restart": func(t *rapid.T) {
				lose()
				w.tables[w.owner] = New(rapid.IntRange(1, 6).Draw(t, "rows"))
				w.acquire(w.owner, Lapsed, nil)
			},
			"sleep": func(t *rapid.T) {
				w.now += time.Duration(rapid.Int64Range(0, 400_000).Draw(t, "ms")) * time.Millisecond
			},
			"": func(t *rapid.T) {
				for _, table := range w.tables {
					if table.Len() > table.max {
						t.Fatalf("table has %d rows, limit %d", table.Len(), table.max)
					}
				}
			},
		})
	})
}

func at(d time.Duration) Now {
	return Now{Boot: clock.Instant(time.Hour + d), Wall: epoch.Add(d)}
}

func TestAnswersToRepeatedIDs(t *testing.T) {
	is := is.New(t)
	table := New(10)
	table.Acquire(at(0).Boot, shard, 2, FirstOwner, nil)
	id := ID{shard, "team", "order-1"}
	is.NoErr(table.Begin(at(1), id))
	is.Equal(outcome.KindOf(table.Begin(at(2), id)), outcome.InProgress)
	is.NoErr(table.Begin(at(2), ID{shard, "other team", "order-1"})) // scoped by team
	table.Dispatch(id)
	table.End(id, outcome.NotRun, 503)
	is.NoErr(table.Begin(at(3), id)) // a request that did not run leaves no row
	table.Dispatch(id)
	table.End(id, outcome.DidRun, 201)
	is.Equal(outcome.KindOf(table.Begin(at(4), id)), outcome.DuplicateRan)
}

func TestAfterLapseOnlyRecentTimeOrderedIDsRun(t *testing.T) {
	is := is.New(t)
	table := New(10)
	table.Acquire(at(0).Boot, shard, 3, Lapsed, nil)
	kind := func(now time.Duration, id string) outcome.Kind {
		return outcome.KindOf(table.Begin(at(now), ID{shard, "team", id}))
	}
	minted := func(d time.Duration) string { return timeOrdered(epoch.Add(d), uint64(d)) }
	is.Equal(kind(time.Second, minted(-time.Second)), outcome.UnknownHistory)
	is.Equal(kind(time.Second, minted(SkewBound-time.Millisecond)), outcome.UnknownHistory)
	is.Equal(kind(time.Second, minted(SkewBound+time.Millisecond)), outcome.OK)
	is.Equal(kind(time.Second, minted(3*time.Second)), outcome.BadRequest) // ahead of the clock
	is.Equal(kind(ResendWindow-1, "order-1"), outcome.UnknownHistory)
	is.Equal(kind(ResendWindow, "order-1"), outcome.OK)
}

func TestFullTableKeepsRunningRows(t *testing.T) {
	is := is.New(t)
	table := New(1)
	table.Acquire(at(0).Boot, shard, 2, FirstOwner, nil)
	id := ID{shard, "team", "order-1"}
	is.NoErr(table.Begin(at(0), id))
	table.Dispatch(id)
	is.Equal(outcome.KindOf(table.Begin(at(1), ID{shard, "team", "order-2"})), outcome.Overloaded)
	table.End(id, outcome.DidRun, 200)
	// The table evicts a row, so the history starts after it.
	is.Equal(outcome.KindOf(table.Begin(at(2), ID{shard, "team", "order-2"})), outcome.UnknownHistory)
	is.Equal(outcome.KindOf(table.Begin(at(3), id)), outcome.UnknownHistory)
}
