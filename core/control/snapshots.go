package control

import (
	"slices"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
	"github.com/sesamemoor/sesamemoor/core/fleet"
	"github.com/sesamemoor/sesamemoor/core/fold"
	"github.com/sesamemoor/sesamemoor/core/logstream"
	"github.com/sesamemoor/sesamemoor/core/snapshot"
	"github.com/sesamemoor/sesamemoor/core/view"
	"github.com/sesamemoor/sesamemoor/core/wire"
)

const (
	// snapshotInterval is the maximum time between snapshots of a stream. The platform
	// must keep records for several times as long.
	snapshotInterval = 10 * time.Minute
	// snapshotRecords is the default number of records after which a snapshot is due.
	snapshotRecords = 8192
	// snapshotStagger is the extra delay of each further planner, so that those before
	// it act first. Retries are plannerCount times as far apart.
	snapshotStagger = 15 * time.Second
)

// Trimmed reports that records of a stream from the replay position on were trimmed,
// and that reading continues at First. If First is in a later era, the log was restored.
type Trimmed struct {
	Stream string
	First  uint64
}

func (Trimmed) event() {}

// snapshotSchedule tracks when a stream's next snapshot is due.
type snapshotSchedule struct {
	records int           // read since the last snapshot was seen
	seen    clock.Instant // when the last snapshot was seen, or set for a retry
	next    clock.Instant // earliest time of the next snapshot; zero if none is due
}

// trimmed starts collecting records for a snapshot. The daemon's previous state stays
// in force until the snapshot is complete.
func (s *State) trimmed(e Trimmed) {
	if s.restored(e) || e.Stream == s.placementStream() && s.era.waiting && !s.skippedStart(e) {
		return
	}
	s.collectors[e.Stream] = snapshot.NewCollector(e.Stream, e.First)
	s.emitDecision(Decision{Action: "read_snapshot", Reason: "records of " + e.Stream + " were trimmed"})
}

// collect adds records to the snapshot that a stream waits for, if any, and returns the
// records to replay: none until the snapshot is complete, then all that were collected.
// Replay skips those that the snapshot contains.
func (s *State) collect(e Records) Records {
	c, ok := s.collectors[e.Stream]
	if !ok {
		return e
	}
	for i, entry := range e.Entries {
		if e.Stream == s.placementStream() {
			if verdict := s.fold.ApplyRecordOfStart(entry.Data); verdict.Start != nil {
				s.fold.Next = entry.Offset + 1
				delete(s.collectors, e.Stream)
				s.eraStarted(verdict.Start, true)
				return Records{Stream: e.Stream, Entries: e.Entries[i+1:], Next: e.Next, AsOf: e.AsOf}
			}
		}
		asOf, state, whole := c.Add(entry)
		if whole && s.restore(e.Stream, asOf, state) {
			delete(s.collectors, e.Stream)
		}
	}
	if s.collectors[e.Stream] != nil {
		return Records{Stream: e.Stream}
	}
	return Records{Stream: e.Stream, Entries: c.Collected(), Next: e.Next, AsOf: e.AsOf}
}

// restore replaces the folded state of a stream. It returns false if the snapshot's
// state cannot be used.
func (s *State) restore(stream string, asOf uint64, state []byte) bool {
	if stream == logstream.ConfigStream {
		return s.restoreConfig(asOf, state)
	}
	return s.restorePlacement(asOf, state)
}

func (s *State) restoreConfig(asOf uint64, state []byte) bool {
	h, err := fleet.Decode(state)
	if err != nil || h.Next != asOf || h.Next < s.history.Next || h.Version < s.history.Version {
		return false
	}
	s.history = h
	s.emitDecision(Decision{Action: "configuration", Reason: "snapshot", Generation: h.Version})
	s.configChanged()
	return true
}

// restorePlacement replaces the placement by that of a snapshot, which skips records that
// this daemon has not read. The takeovers, consents and releases marked in its rights
// refer to the placement before, so the daemon drops its incarnation, as after a lost
// lease, and joins again.
func (s *State) restorePlacement(asOf uint64, state []byte) bool {
	f, err := fold.Decode(state)
	if err != nil || f.Next != asOf || f.Base < s.fold.Base {
		return false
	}
	f.Next = logstream.Position(s.era.log, logstream.OffsetOf(f.Next))
	if f.Next < s.fold.Next {
		return false
	}
	s.era.startedAt = s.now
	if s.member.holder != nil {
		s.emitDecision(Decision{Action: "abandon", Reason: "a snapshot skipped records that were not read", Member: s.member.incarnation})
		s.dropIncarnation()
	}
	s.member.joinID = [16]byte{}
	f.Epoch = s.fold.Epoch + 1
	s.fold = f
	s.fold.EnsureService(view.KeeperService, view.KeeperShards)
	s.tables.members = nil
	s.recheckConsents = true
	s.configChanged()
	s.tables.members = nil
	s.tables.next = 0
	return true
}

// trackSnapshot counts the records since the last snapshot of a stream. rec is nil for
// a record that could not be decoded, which also takes space in the log.
func (s *State) trackSnapshot(stream string, rec *wire.Record) {
	sn := s.snapshotScheduleOf(stream)
	part := rec.GetSnapshot()
	switch {
	case part == nil:
		sn.records++
	case part.GetPart()+1 == part.GetParts():
		sn.records = 0
		sn.seen = s.now
	}
}

func (s *State) snapshotScheduleOf(stream string) *snapshotSchedule {
	sn, ok := s.snapshotSchedule[stream]
	if !ok {
		sn = &snapshotSchedule{seen: s.started}
		s.snapshotSchedule[stream] = sn
	}
	return sn
}

// tickSnapshots writes the snapshots that are due. The planners of a region do so in
// order of rank, each only if those before it did not.
func (s *State) tickSnapshots() {
	if !s.leaseHeld() || s.stopping || s.now < s.nextSnapshotCheck || !s.placementSettled() {
		return
	}
	s.nextSnapshotCheck = s.now.Add(time.Second)
	rank := slices.Index(s.planners(), s.member.incarnation)
	if rank < 0 {
		return
	}
	for _, stream := range []string{logstream.ConfigStream, s.placementStream()} {
		sn := s.snapshotScheduleOf(stream)
		if stream == logstream.ConfigStream && s.opts.PublishedConfig {
			continue
		}
		if s.collectors[stream] != nil || !sn.due(s.now, s.snapshotRecords()) {
			continue
		}
		if sn.next == 0 {
			sn.next = s.now.Add(time.Duration(rank)*snapshotStagger + s.jitter(snapshotStagger/2))
		}
		if s.now >= sn.next {
			sn.next = 0
			sn.seen = s.now.Add(-snapshotInterval + plannerCount*snapshotStagger) // retry after plannerCount*snapshotStagger
			sn.records = 0
			s.writeSnapshot(stream)
		}
	}
}

func (s *State) snapshotRecords() int {
	if s.opts.SnapshotRecords > 0 {
		return s.opts.SnapshotRecords
	}
	return snapshotRecords
}

func (sn *snapshotSchedule) due(now clock.Instant, records int) bool {
	due := sn.records >= records || now >= sn.seen.Add(snapshotInterval)
	if !due {
		sn.next = 0
	}
	return due
}

func (s *State) jitter(limit time.Duration) time.Duration {
	return time.Duration(s.opts.Rand.Int64N(int64(limit)))
}

// writeSnapshot appends the parts of a snapshot once each.
func (s *State) writeSnapshot(stream string) {
	encode, next := s.fold.Encode, s.fold.Next
	if stream == logstream.ConfigStream {
		encode, next = s.history.Encode, s.history.Next
	}
	state, err := encode()
	if err != nil {
		s.emitDecision(Decision{Action: "write_snapshot", Reason: err.Error()})
		return
	}
	parts := snapshot.Split(stream, next, state)
	for _, part := range parts {
		id := snapshot.RecordID(part)
		rec := &wire.Record{Id: id[:], Author: s.member.incarnation, Body: &wire.Record_Snapshot{Snapshot: part}}
		rec.Version = fold.VersionOf(rec)
		s.emit(Append{Stream: stream, Record: rec})
	}
	s.emitDecision(Decision{Action: "write_snapshot", Reason: "of " + stream, Count: len(parts)})
}
