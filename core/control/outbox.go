package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// appendRetry is the time after which a record that replay has not shown is
// appended again under the same id. It doubles up to appendRetryMost, so that a
// slow log is not filled with copies.
const (
	appendRetry     = 1 * time.Second
	appendRetryMost = 4 * time.Second
)

// outbox holds this daemon's records until replay shows them.
type outbox struct {
	pending map[[16]byte]*outgoing
	order   uint64 // of the newest record
}

type outgoing struct {
	stream string
	record *wire.Record
	next   clock.Instant
	pause  time.Duration // until the next repetition
	once   bool          // never repeated
	order  uint64        // records are repeated in the order in which they were sent

	attempts int // times that the record was given out to be appended
	refused  int // of these, the ones that the log surely did not take
}

func newOutbox() *outbox { return &outbox{pending: map[[16]byte]*outgoing{}} }

// seen removes a record that replay has shown, whatever its verdict.
func (o *outbox) seen(id []byte) {
	if len(id) == 16 {
		delete(o.pending, [16]byte(id))
	}
}

// append sends a record to the placement stream and repeats it until seen.
func (s *State) append(rec *wire.Record) [16]byte {
	return s.send(rec, false)
}

// appendOnce sends a record to the placement stream a single time.
func (s *State) appendOnce(rec *wire.Record) [16]byte {
	return s.send(rec, true)
}

func (s *State) send(rec *wire.Record, once bool) [16]byte {
	return s.sendAs(s.member.incarnation, rec, once)
}

// sendAs sends a record in the name of one of this process's incarnations.
func (s *State) sendAs(author fold.Incarnation, rec *wire.Record, once bool) [16]byte {
	id := s.newID()
	rec.Id = id[:]
	rec.Version = fold.VersionOf(rec)
	rec.Author = author
	s.outbox.order++
	s.outbox.pending[id] = &outgoing{
		stream: s.placementStream(), record: rec, next: s.now.Add(appendRetry), pause: appendRetry, once: once, order: s.outbox.order,
		attempts: 1,
	}
	s.emit(Append{Stream: s.placementStream(), Record: rec})
	return id
}

func (s *State) newID() [16]byte {
	var id [16]byte
	for i := 0; i < 16; i += 8 {
		v := s.opts.Rand.Uint64()
		for j := range 8 {
			id[i+j] = byte(v >> (8 * j))
		}
	}
	return id
}

func (s *State) tickOutbox() {
	var due []*outgoing
	for id, out := range s.outbox.pending {
		if s.now < out.next {
			continue
		}
		if out.once {
			delete(s.outbox.pending, id)
			continue
		}
		due = append(due, out)
	}
	slices.SortFunc(due, func(a, b *outgoing) int { return cmp.Compare(a.order, b.order) })
	for _, out := range due {
		out.pause = min(2*out.pause, appendRetryMost)
		out.next = s.now.Add(out.pause)
		out.attempts++
		s.emit(Append{Stream: out.stream, Record: out.record})
	}
}
