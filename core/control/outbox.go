package control

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

// appendRetry is the time after which a record that replay has not shown is appended
// again under the same id. The delay doubles up to appendRetryMax, so that retries do
// not flood a slow log.
const (
	appendRetry    = 1 * time.Second
	appendRetryMax = 4 * time.Second
)

// outbox holds this daemon's records until replay shows them.
type outbox struct {
	pending map[[16]byte]*outgoing
	order   uint64 // order of the newest record
}

type outgoing struct {
	stream  string
	record  *wire.Record
	next    clock.Instant // time of the next retry
	backoff time.Duration // delay before the next retry
	once    bool          // dropped instead of retried
	order   uint64        // records are retried in the order in which they were sent

	attempts int // number of Append effects of the record
	refused  int // attempts that the log definitely did not accept
}

func newOutbox() *outbox { return &outbox{pending: map[[16]byte]*outgoing{}} }

// confirm removes a record that replay has shown, whatever its verdict.
func (o *outbox) confirm(id []byte) {
	if len(id) == 16 {
		delete(o.pending, [16]byte(id))
	}
}

// resend makes a record that is still pending due now.
func (o *outbox) resend(id []byte, now clock.Instant) {
	if len(id) != 16 {
		return
	}
	if out, ok := o.pending[[16]byte(id)]; ok && !out.once {
		out.next = now
	}
}

// keepLeaves drops all records but leaves, which are due now.
func (o *outbox) keepLeaves(now clock.Instant) {
	for id, out := range o.pending {
		if out.record.GetLeave() == nil {
			delete(o.pending, id)
		}
		out.next = now
	}
}

// append sends a record to the placement stream and retries until replay shows it.
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

// sendAs sends a record with one of this process's incarnations, or a previous one of
// its slot, as author.
func (s *State) sendAs(author fold.Incarnation, rec *wire.Record, once bool) [16]byte {
	id := s.newID()
	rec.Id = id[:]
	rec.Version = fold.VersionOf(rec)
	rec.Author = author
	rec.Era = s.stampEra()
	s.outbox.order++
	s.outbox.pending[id] = &outgoing{
		stream: s.placementStream(), record: rec, next: s.now.Add(appendRetry), backoff: appendRetry, once: once, order: s.outbox.order,
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

// tickOutbox retries the records that are due, and drops those that are sent only once.
func (s *State) tickOutbox() {
	if s.needsStart() {
		return // replay of the new era would reject them
	}
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
		out.backoff = min(2*out.backoff, appendRetryMax)
		out.next = s.now.Add(out.backoff)
		out.attempts++
		if era := s.stampEra(); out.record.GetEra() != era {
			// The log client may still read the record of an earlier attempt.
			out.record = proto.CloneOf(out.record)
			out.record.Era = era
		}
		s.emit(Append{Stream: out.stream, Record: out.record})
	}
}
