package platform

import (
	"time"

	"github.com/sesamemoor/sesamemoor/core/logstream"
)

// Retention bounds what a stream keeps. Zero fields mean no bound.
type Retention struct {
	Records int           // newest records kept
	Age     time.Duration // time that a record is kept
}

// stream is one append-only stream; records[i] has offset first+i.
type stream struct {
	first   uint64
	records [][]byte
	at      []time.Time   // when records[i] was appended
	grown   chan struct{} // closed and replaced by each append
}

func newStream() *stream { return &stream{first: 1, grown: make(chan struct{})} }

func (st *stream) next() uint64 { return st.first + uint64(len(st.records)) }

// append adds a record and returns its offset.
func (st *stream) append(data []byte, now time.Time) uint64 {
	offset := st.next()
	st.records = append(st.records, data)
	st.at = append(st.at, now)
	close(st.grown)
	st.grown = make(chan struct{})
	return offset
}

// read returns the records from offset from on, or true if it was trimmed.
func (st *stream) read(from uint64, limit int) (logstream.Batch, bool) {
	batch := logstream.Batch{First: st.first, Next: st.next(), Records: []logstream.Entry{}}
	if from < st.first {
		return batch, true
	}
	for offset := from; offset < batch.Next && len(batch.Records) < limit; offset++ {
		batch.Records = append(batch.Records, logstream.Entry{Offset: offset, Data: st.records[offset-st.first]})
	}
	return batch, false
}

// trim drops the records before an offset.
func (st *stream) trim(before uint64) {
	before = min(max(before, st.first), st.next())
	n := before - st.first
	st.records = append([][]byte(nil), st.records[n:]...)
	st.at = append([]time.Time(nil), st.at[n:]...)
	st.first = before
}

// retain drops what the retention no longer keeps.
func (st *stream) retain(r Retention, now time.Time) {
	before := st.first
	if extra := len(st.records) - r.Records; r.Records > 0 && extra > 0 {
		before += uint64(extra)
	}
	if r.Age > 0 {
		for before < st.next() && now.Sub(st.at[before-st.first]) > r.Age {
			before++
		}
	}
	if before > st.first {
		st.trim(before)
	}
}
