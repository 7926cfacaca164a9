package loadstat

import (
	"cmp"
	"container/heap"
	"slices"
)

// KeyCount is the estimated number of requests of a key. The true number is in
// [Count-Error, Count].
type KeyCount struct {
	Hash  uint64
	Shard uint32
	Count float64
	Error float64
}

// TopKeys finds the most requested keys of a stream in bounded memory with the
// space-saving algorithm. Its entries contain every key whose share of the stream
// exceeds 1/capacity. It is not safe for concurrent use.
type TopKeys struct {
	capacity int
	entries  map[uint64]*keyEntry
	order    keyHeap // least count first
}

type keyEntry struct {
	KeyCount
	index int
}

// NewTopKeys returns an empty sketch of at most capacity keys.
func NewTopKeys(capacity int) *TopKeys {
	return &TopKeys{capacity: capacity, entries: make(map[uint64]*keyEntry, capacity)}
}

// Add counts one request of a key in a shard. If the sketch is full, a new key
// replaces the one with the least count and inherits that count as its error.
func (t *TopKeys) Add(hash uint64, shard uint32) {
	if e, ok := t.entries[hash]; ok {
		e.Count++
		e.Shard = shard
		heap.Fix(&t.order, e.index)
		return
	}
	if len(t.order) < t.capacity {
		e := &keyEntry{KeyCount: KeyCount{Hash: hash, Shard: shard, Count: 1}}
		t.entries[hash] = e
		heap.Push(&t.order, e)
		return
	}
	least := t.order[0]
	delete(t.entries, least.Hash)
	least.KeyCount = KeyCount{Hash: hash, Shard: shard, Count: least.Count + 1, Error: least.Count}
	t.entries[hash] = least
	heap.Fix(&t.order, 0)
}

// Top returns the keys whose guaranteed count (Count-Error) is at least min, sorted
// by descending Count.
func (t *TopKeys) Top(min float64) []KeyCount {
	var keys []KeyCount
	for _, e := range t.order {
		if e.Count-e.Error >= min {
			keys = append(keys, e.KeyCount)
		}
	}
	slices.SortFunc(keys, func(a, b KeyCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Hash, b.Hash))
	})
	return keys
}

// Reset removes all keys.
func (t *TopKeys) Reset() {
	clear(t.entries)
	t.order = t.order[:0]
}

// keyHeap orders entries by ascending count.
type keyHeap []*keyEntry

func (h keyHeap) Len() int           { return len(h) }
func (h keyHeap) Less(i, j int) bool { return h[i].Count < h[j].Count }
func (h keyHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *keyHeap) Push(x any) {
	e := x.(*keyEntry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *keyHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

var _ heap.Interface = (*keyHeap)(nil)
