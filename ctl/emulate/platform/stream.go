package platform

import (
	"time"

	"github.com/sesamemoor/sesamemoor/core/logstream"
)

// Retention bounds the records that a stream keeps. Zero means no bound.
type Retention struct {
	Records int           // number of newest records kept
	Age     time.Duration // how long a record is kept
}

// stream is one append-only stream. records[i] has offset first+i; offsets start
// at 1.
type stream struct {
	first       uint64
	records     [][]byte
	appendTimes []time.Time   // appendTimes[i] is that of records[i]
	appended    chan struct{} // closed and replaced by each append
}

func newStream() *stream { return &stream{first: 1, appended: make(chan struct{})} }

// next returns the offset of the next record to be appended.
func (st *stream) next() uint64 { return st.first + uint64(len(st.records)) }

// append adds a record, wakes waiting reads and returns the record's offset.
func (st *stream) append(data []byte, now time.Time) uint64 {
	offset := st.next()
	st.records = append(st.records, data)
	st.appendTimes = append(st.appendTimes, now)
	close(st.appended)
	st.appended = make(chan struct{})
	return offset
}

// read returns up to limit records from offset from on. It returns a batch without
// records and true if there is no record at from and never will be by waiting: it was trimmed,
// or is beyond the next one.
func (st *stream) read(from uint64, limit int) (logstream.Batch, bool) {
	batch := logstream.Batch{First: st.first, Next: st.next(), Records: []logstream.Entry{}}
	if from < st.first || from > batch.Next {
		return batch, true
	}
	for offset := from; offset < batch.Next && len(batch.Records) < limit; offset++ {
		batch.Records = append(batch.Records, logstream.Entry{Offset: offset, Data: st.records[offset-st.first]})
	}
	return batch, false
}

// dropSince drops the records that were appended after a time.
func (st *stream) dropSince(at time.Time) {
	kept := len(st.records)
	for kept > 0 && st.appendTimes[kept-1].After(at) {
		kept--
	}
	st.records, st.appendTimes = st.records[:kept:kept], st.appendTimes[:kept:kept]
}

// trim drops the records before the given offset.
func (st *stream) trim(before uint64) {
	before = min(max(before, st.first), st.next())
	n := before - st.first
	st.records = append([][]byte(nil), st.records[n:]...)
	st.appendTimes = append([]time.Time(nil), st.appendTimes[n:]...)
	st.first = before
}

// applyRetention drops the records that r does not keep.
func (st *stream) applyRetention(r Retention, now time.Time) {
	before := st.first
	if excess := len(st.records) - r.Records; r.Records > 0 && excess > 0 {
		before += uint64(excess)
	}
	if r.Age > 0 {
		for before < st.next() && now.Sub(st.appendTimes[before-st.first]) > r.Age {
			before++
		}
	}
	if before > st.first {
		st.trim(before)
	}
}
