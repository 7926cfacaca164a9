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

// ids is the request-id table shared by request goroutines. A call under a
// token other than that of the shard's history does not change the table.
type ids struct {
	clock clock.Clock
	mu    sync.Mutex
	table *dedup.Table
	// pendingMerges counts the merges into a shard that have started but are not
	// applied yet. Until then begin refuses requests of the shard.
	pendingMerges map[view.ShardID]int
}

func newIDs(clk clock.Clock, limit int) *ids {
	return &ids{clock: clk, table: dedup.New(limit), pendingMerges: map[view.ShardID]int{}}
}

// acquire starts the request-id history of a shard after a takeover, or continues
// it if the shard was resumed.
func (i *ids) acquire(t control.TakeOver, v *view.View) {
	origin := dedup.Lapsed
	switch {
	case len(t.Marks) > 0:
		origin = dedup.Released
	case v.NeverOwned(t.Shard, t.Token):
		origin = dedup.FirstOwner
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if t.Resumed != control.NotResumed {
		i.table.Resume(i.clock.Now(), t.Shard, t.Token, t.Resumed == control.ResumedUnsent)
		return
	}
	i.table.Acquire(i.clock.Now(), t.Shard, t.Token, origin, t.Marks)
}

// startMerge makes begin refuse requests of the shard that a key merges into.
func (i *ids) startMerge(m control.Merge) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.pendingMerges[m.Shard]++
}

// merge adds the request ids of the merged shard to those of its parent.
func (i *ids) merge(m control.Merge) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.table.Merge(i.clock.Now(), m.Shard, m.From, m.Complete)
	i.pendingMerges[m.Shard]--
	if i.pendingMerges[m.Shard] == 0 {
		delete(i.pendingMerges, m.Shard)
	}
}

// split starts the history of a shard that was split off with a copy of the
// request ids of its parent.
func (i *ids) split(t control.TakeOver) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.clock.Now()
	i.table.Acquire(now, t.Shard, t.Token, dedup.Released, i.table.Marks(now, t.From))
}

// begin adds the request to the table. The error is that of dedup.Table.Begin, or
// NotOwner while the history of the shard is transferred.
func (i *ids) begin(id dedup.ID, token uint64) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.table.Token(id.Shard) != token || i.pendingMerges[id.Shard] > 0 {
		return outcome.New(outcome.NotOwner, "request ids of shard %s/%d are being transferred", id.Shard.Service, id.Shard.Shard)
	}
	return i.table.Begin(dedup.Now{Boot: i.clock.Now(), Wall: time.Now()}, id)
}

// dispatch reports whether the request may run; see dedup.Table.Dispatch.
func (i *ids) dispatch(id dedup.ID, token uint64) (ok bool) {
	i.withToken(id, token, func() { ok = i.table.Dispatch(id) })
	return ok
}

func (i *ids) requeue(id dedup.ID, token uint64) {
	i.withToken(id, token, func() { i.table.Requeue(id) })
}

func (i *ids) end(id dedup.ID, token uint64, ran outcome.Ran, status uint32) {
	i.withToken(id, token, func() { i.table.End(id, ran, status) })
}

func (i *ids) withToken(id dedup.ID, token uint64, f func()) {
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
