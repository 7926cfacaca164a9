package owner

import (
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/dedup"
	"github.com/sesamemoor/sesamemoor/core/outcome"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// ids is the request-id table shared by traffic goroutines. Calls under a
// token other than that of the shard's history have no effect on it.
type ids struct {
	clock clock.Clock
	mu    sync.Mutex
	table *dedup.Table
	// merging counts the merges into a shard that were announced and not
	// carried out. Requests of the shard do not begin meanwhile.
	merging map[view.ShardID]int
}

func newIDs(clk clock.Clock, limit int) *ids {
	return &ids{clock: clk, table: dedup.New(limit), merging: map[view.ShardID]int{}}
}

// acquire starts the history of a shard that was taken over.
func (i *ids) acquire(t control.TakeOver, v *view.View) {
	origin := dedup.Lapsed
	switch {
	case len(t.Marks) > 0:
		origin = dedup.Released
	case v.NeverOwned(t.Shard, t.Token):
		origin = dedup.First
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if t.Resumed != control.NotResumed {
		i.table.Resume(i.clock.Now(), t.Shard, t.Token, t.Resumed == control.ResumedWhole)
		return
	}
	i.table.Acquire(i.clock.Now(), t.Shard, t.Token, origin, t.Marks)
}

// announceMerge holds back requests of the shard that a key returns to.
func (i *ids) announceMerge(m control.Merge) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.merging[m.Shard]++
}

// merge adds what is known of the request ids of a merged shard.
func (i *ids) merge(m control.Merge) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.table.Merge(i.clock.Now(), m.Shard, m.From, m.Whole)
	i.merging[m.Shard]--
	if i.merging[m.Shard] == 0 {
		delete(i.merging, m.Shard)
	}
}

// split starts the history of a shard that was split off another with what is
// known of the other's request ids.
func (i *ids) split(t control.TakeOver) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.clock.Now()
	i.table.Acquire(now, t.Shard, t.Token, dedup.Released, i.table.Marks(now, t.From))
}

func (i *ids) begin(id dedup.ID, token uint64) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.table.Token(id.Shard) != token || i.merging[id.Shard] > 0 {
		return outcome.New(outcome.NotOwner, "shard %s/%d changes hands", id.Shard.Service, id.Shard.Shard)
	}
	return i.table.Begin(dedup.Now{Boot: i.clock.Now(), Wall: time.Now()}, id)
}

// dispatch reports whether the request may run, see dedup.Table.Dispatch.
func (i *ids) dispatch(id dedup.ID, token uint64) (ok bool) {
	i.under(id, token, func() { ok = i.table.Dispatch(id) })
	return ok
}

func (i *ids) requeue(id dedup.ID, token uint64) {
	i.under(id, token, func() { i.table.Requeue(id) })
}

func (i *ids) end(id dedup.ID, token uint64, ran outcome.Ran, status uint32) {
	i.under(id, token, func() { i.table.End(id, ran, status) })
}

func (i *ids) under(id dedup.ID, token uint64, f func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.table.Token(id.Shard) == token {
		f()
	}
}

func (i *ids) marks(shard view.ShardID) []*wire.RequestMark {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.table.Marks(i.clock.Now(), shard)
}

func (i *ids) len() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.table.Len()
}
