package relay

import (
	"sync"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/control"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

const (
	// keptBytes bounds the records of one stream that are held for peers.
	keptBytes = 4 << 20
	// answerBytes bounds the records in one answer; a single record may exceed it.
	answerBytes = 256 << 10
	// answerRecords bounds the number of records in one answer.
	answerRecords = 1024
)

// store holds the newest records of one stream and what is known of its head.
// Records reach the control state through it, so that they keep their order
// when they come from several sources at once.
type store struct {
	stream string
	post   func(control.Event)

	mu      sync.Mutex
	first   uint64 // oldest offset held
	next    uint64 // offset to read on from
	head    uint64 // head of the stream as of asOf
	asOf    clock.Instant
	entries []logstream.Entry
	bytes   int
	changed chan struct{} // closed and replaced when records or asOf advance
}

func newStore(stream string, post func(control.Event)) *store {
	return &store{stream: stream, post: post, first: 1, next: 1, changed: make(chan struct{})}
}

func (s *store) position() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// known returns the instant as of which the whole stream was read.
func (s *store) known() clock.Instant {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asOf
}

// take takes in the answer to a read from offset from on. An answer that would
// leave a gap is ignored.
func (s *store) take(from uint64, batch logstream.Batch, asOf clock.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from > s.next {
		return
	}
	var fresh []logstream.Entry
	for _, e := range batch.Records {
		if e.Offset < s.next {
			continue
		}
		fresh = append(fresh, e)
		s.next = e.Offset + 1
		s.bytes += len(e.Data)
	}
	s.entries = append(s.entries, fresh...)
	s.trim()
	proved := asOf > s.asOf && s.next >= batch.Next
	if proved {
		s.asOf = asOf
		s.head = batch.Next
	}
	if len(fresh) == 0 && !proved {
		return
	}
	s.post(control.Records{Stream: s.stream, Entries: fresh, Next: batch.Next, AsOf: asOf})
	close(s.changed)
	s.changed = make(chan struct{})
}

// trim drops the oldest records beyond the bound.
func (s *store) trim() {
	drop := 0
	for s.bytes > keptBytes && drop < len(s.entries) {
		s.bytes -= len(s.entries[drop].Data)
		s.first = s.entries[drop].Offset + 1
		drop++
	}
	s.entries = append([]logstream.Entry(nil), s.entries[drop:]...)
}

// restart drops all records; reading goes on at first.
func (s *store) restart(first uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first, s.next, s.head, s.asOf = first, first, 0, 0
	s.entries, s.bytes = nil, 0
	s.post(control.Trimmed{Stream: s.stream, First: first})
}

// answer returns the records from offset from on, waiting up to wait for some
// or, if wakeOnHead, for newer knowledge of the head. The age of that knowledge
// is told relative to the arrival of the question, so that it does not grow on
// the way through a chain of daemons that wait for one another.
func (s *store) answer(now func() clock.Instant, from uint64, limit int, wait time.Duration, wakeOnHead bool, done <-chan struct{}) *wire.RecordBatch {
	arrived := now()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	known := s.known()
	for {
		s.mu.Lock()
		batch := s.batch(from, limit)
		newer := wakeOnHead && s.asOf > known
		changed := s.changed
		if s.asOf != 0 {
			batch.HeadAgeMs = arrived.Sub(s.asOf).Milliseconds()
		}
		s.mu.Unlock()
		if len(batch.Entries) > 0 || batch.First > from || newer {
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

// batch returns the records held from offset from on. Next is zero while the
// head was never known.
func (s *store) batch(from uint64, limit int) *wire.RecordBatch {
	batch := &wire.RecordBatch{Stream: s.stream, First: s.first, Next: s.head}
	if from < s.first {
		return batch
	}
	size := 0
	for _, e := range s.entries {
		if e.Offset < from {
			continue
		}
		size += len(e.Data)
		if len(batch.Entries) >= min(limit, answerRecords) || size > answerBytes && len(batch.Entries) > 0 {
			break
		}
		batch.Entries = append(batch.Entries, &wire.LogEntry{Offset: e.Offset, Data: e.Data})
	}
	return batch
}
