package relay

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

const (
	// maxStoreBytes bounds the records of one stream that are held for peers.
	maxStoreBytes = 4 << 20
	// maxAnswerBytes bounds the records in one answer; a single record may exceed it.
	maxAnswerBytes = 256 << 10
	// maxAnswerRecords bounds the number of records in one answer.
	maxAnswerRecords = 1024
)

// store holds the newest records of one stream and its last known head. It posts
// the records to the control state, so that they keep their order when several
// sources deliver them at once.
type store struct {
	stream string
	post   func(control.Event)

	mu      sync.Mutex
	first   uint64 // offset of the oldest record held
	next    uint64 // offset of the next record to read
	head    uint64 // head of the stream as of asOf
	asOf    clock.Instant
	entries []logstream.Entry
	bytes   int
	// published is the offset of the newest whole version of the configuration, and
	// publishedVersion its number; 0 if there is none.
	published, publishedVersion uint64
	// compressed is the newest large record in compressed form, which each follower is
	// sent.
	compressed *wire.LogEntry
	deflating  sync.Mutex    // guards compressed
	changed    chan struct{} // closed and replaced when records, asOf or the era advance
	restored   chan struct{} // closed and replaced when the era advances
}

func newStore(stream string, post func(control.Event)) *store {
	return &store{stream: stream, post: post, first: 1, next: 1, changed: make(chan struct{}), restored: make(chan struct{})}
}

// position returns the offset of the next record to read.
func (s *store) position() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// completeAsOf returns the time as of which the stream has been read completely.
func (s *store) completeAsOf() clock.Instant {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asOf
}

// apply applies the answer to a read from offset from on, and returns the records
// that were not known before. An answer that would leave a gap is ignored.
func (s *store) apply(from uint64, batch logstream.Batch, asOf clock.Instant) (added []logstream.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := logstream.EraOf(s.next)
	if from > s.next || logstream.EraOf(from) != era || batch.Next != 0 && logstream.EraOf(batch.Next) != era {
		return nil
	}
	for _, e := range batch.Records {
		if e.Offset < s.next {
			continue
		}
		added = append(added, e)
		s.next = e.Offset + 1
		s.bytes += len(e.Data)
	}
	s.entries = append(s.entries, added...)
	s.dropSuperseded(added)
	s.trim()
	advanced := asOf > s.asOf && s.next >= batch.Next
	if advanced {
		s.asOf = asOf
		s.head = batch.Next
	}
	if len(added) == 0 && !advanced {
		return nil
	}
	s.post(control.Records{Stream: s.stream, Entries: added, Next: batch.Next, AsOf: asOf})
	close(s.changed)
	s.changed = make(chan struct{})
	return added
}

// dropSuperseded drops the records that have no effect beside the added ones: whole
// versions of the configuration before the newest. So a peer that starts, or that reads
// more slowly than versions come, gets the newest one next.
func (s *store) dropSuperseded(added []logstream.Entry) {
	if s.stream != logstream.ConfigStream {
		return
	}
	before := s.published
	for _, e := range added {
		if version := publishedVersion(e.Data); version > s.publishedVersion {
			s.published, s.publishedVersion = e.Offset, version
		}
	}
	if s.published == before {
		return
	}
	s.entries = slices.DeleteFunc(s.entries, func(e logstream.Entry) bool {
		superseded := e.Offset < s.published && publishedVersion(e.Data) != 0
		if superseded {
			s.bytes -= len(e.Data)
		}
		return superseded
	})
}

// publishedVersion returns the version that a record publishes as a whole, or 0.
func publishedVersion(data []byte) uint64 {
	rec := new(wire.Record)
	if proto.Unmarshal(data, rec) != nil {
		return 0
	}
	return rec.GetPublished().GetVersion()
}

// trim drops the oldest records beyond maxStoreBytes.
func (s *store) trim() {
	drop := 0
	for s.bytes > maxStoreBytes && drop < len(s.entries) {
		s.bytes -= len(s.entries[drop].Data)
		s.first = s.entries[drop].Offset + 1
		drop++
	}
	s.entries = append([]logstream.Entry(nil), s.entries[drop:]...)
}

// reset drops all records and continues at position first: records before it were
// trimmed or, if it is in a later era, the log was restored. It reports whether it did: a
// position of an earlier era is ignored.
func (s *store) reset(first uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first <= s.next {
		return false
	}
	s.first, s.head = first, 0
	if logstream.EraOf(first) > logstream.EraOf(s.next) {
		close(s.restored)
		s.restored = make(chan struct{})
	} else {
		s.asOf = 0
	}
	s.next = first
	s.entries, s.bytes, s.published, s.publishedVersion = nil, 0, 0, 0
	s.post(control.Trimmed{Stream: s.stream, First: first})
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// restoredSignal returns a channel that is closed when the log's era changes.
func (s *store) restoredSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.restored
}

// poll returns up to limit records from offset from on. It waits up to wait for records
// or, if wakeOnHead is set, until the head is known as of a later time. The age of
// the head is counted to the arrival of the request, so that waits do not add to
// it in a chain of daemons that read from one another.
func (s *store) poll(now func() clock.Instant, from uint64, limit int, wait time.Duration, wakeOnHead bool, done <-chan struct{}) *wire.RecordBatch {
	arrived := now()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	completeAsOf := s.completeAsOf()
	for {
		s.mu.Lock()
		batch := s.batch(from, limit)
		newer := wakeOnHead && s.asOf > completeAsOf || limit == 0 && s.next > from
		changed := s.changed
		if s.asOf != 0 {
			batch.HeadAgeMs = arrived.Sub(s.asOf).Milliseconds()
		}
		s.mu.Unlock()
		behind := logstream.EraOf(from) > logstream.EraOf(batch.First)
		if len(batch.Entries) > 0 || batch.First > from || newer || behind {
			return batch
		}
		select {
		case <-changed:
		case <-timer.C:
			return batch
		case <-done:
			return batch
		}
	}
}

// deflate compresses the large records of a batch.
func (s *store) deflate(batch *wire.RecordBatch) {
	for i, e := range batch.GetEntries() {
		if len(e.GetData()) >= minDeflateBytes {
			batch.Entries[i] = s.deflated(e)
		}
	}
}

// deflated returns a record in compressed form, if that is smaller.
func (s *store) deflated(e *wire.LogEntry) *wire.LogEntry {
	s.deflating.Lock()
	defer s.deflating.Unlock()
	if c := s.compressed; c != nil && c.GetOffset() == e.GetOffset() {
		return c
	}
	if data := deflate(e.GetData()); data != nil {
		e = &wire.LogEntry{Offset: e.GetOffset(), Data: data, Deflated: true}
	}
	s.compressed = e
	return e
}

// keepCompressed keeps a record in the form in which a peer sent it, so that it is not
// compressed again for followers.
func (s *store) keepCompressed(e *wire.LogEntry) {
	if !e.GetDeflated() {
		return
	}
	s.deflating.Lock()
	defer s.deflating.Unlock()
	if e.GetOffset() > s.compressed.GetOffset() {
		s.compressed = e
	}
}

// batch returns the records held from offset from on, and none if that record
// was trimmed. Next is 0 as long as the head is unknown. It is the end of the records held if
// these were learned after the head: a peer that asks for the head only must learn of them.
func (s *store) batch(from uint64, limit int) *wire.RecordBatch {
	batch := &wire.RecordBatch{Stream: s.stream, First: s.first, Next: s.head}
	if s.head != 0 {
		batch.Next = max(s.head, s.next)
	}
	if from < s.first {
		return batch
	}
	size := 0
	for _, e := range s.entries {
		if e.Offset < from {
			continue
		}
		size += len(e.Data)
		if len(batch.Entries) >= min(limit, maxAnswerRecords) || size > maxAnswerBytes && len(batch.Entries) > 0 {
			break
		}
		batch.Entries = append(batch.Entries, &wire.LogEntry{Offset: e.Offset, Data: e.Data})
	}
	return batch
}
