package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/logstream"
)

// trimmedTo makes a daemon read a stream that starts at first.
func (f *fakeFleet) trimmedTo(d *fakeDaemon, stream string, first uint64) {
	d.next[stream] = first
	d.inbox = append(d.inbox, Trimmed{Stream: stream, First: first})
}

// writeSnapshots waits until the planners have written a snapshot of each stream. It
// returns the last offset of each stream before its snapshot.
func (f *fakeFleet) writeSnapshots() (config, placement uint64) {
	f.t.Helper()
	streams := []string{logstream.ConfigStream, f.daemons[0].state.placementStream()}
	before := []uint64{uint64(len(f.log[streams[0]])), uint64(len(f.log[streams[1]]))}
	f.until(snapshotInterval+3*snapshotStagger, "snapshots", func() bool {
		return f.snapshotsSeen(streams[0]) && f.snapshotsSeen(streams[1])
	})
	return before[0], before[1]
}

func (f *fakeFleet) snapshotsSeen(stream string) bool {
	sn := f.daemons[0].state.snapshotScheduleOf(stream)
	return sn.seen > f.daemons[0].state.started && f.now.Sub(sn.seen) < time.Minute
}

// TestNewDaemonStartsFromSnapshot checks that a daemon that starts after both streams
// were trimmed reaches the state of the others and becomes a member.
func TestNewDaemonStartsFromSnapshot(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startedFleet(t, 4)
	config, placement := f.writeSnapshots()
	late := f.add(4, 3)
	f.trimmedTo(late, logstream.ConfigStream, config)
	f.trimmedTo(late, late.state.placementStream(), placement)
	f.until(10*time.Second, "membership of the new daemon", func() bool {
		m := late.state.self()
		return m != nil && len(late.view.Held) > 0
	})
	f.tick()
	want, err := f.daemons[0].state.fold.Encode()
	is.NoErr(err)
	got, err := late.state.fold.Encode()
	is.NoErr(err)
	is.Equal(string(got), string(want))
	is.Equal(late.view.ConfigVersion, uint64(1))
}

// TestSkippedRecordsEndIncarnation: an owner that was partitioned from the
// log skips records by loading a snapshot. No shard may have two owners; its old
// incarnation must end, and it must join again.
func TestSkippedRecordsEndIncarnation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startedFleet(t, 4)
	d := f.daemons[3]
	old := d.state.member.incarnation
	is.True(len(d.view.Held) > 0)
	d.cutLog = true
	config, placement := f.writeSnapshots()
	is.Equal(d.state.member.incarnation, old) // the lease does not need the log
	d.cutLog = false
	f.trimmedTo(d, logstream.ConfigStream, config)
	f.trimmedTo(d, d.state.placementStream(), placement)
	f.until(10*time.Second, "a new incarnation with shards", func() bool {
		return d.state.member.incarnation > old && len(d.view.Held) > 0
	})
}

// TestConfigurationStaysInForceUntilTheSnapshotIsWhole checks that the old version
// stays in force between trimming and the snapshot, and that no older one is ever used.
func TestConfigurationStaysInForceUntilTheSnapshotIsWhole(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startedFleet(t, 3)
	d := f.daemons[0]
	f.patch(1, `{"teams":{"x":{"rate":1,"burst":1,"services":["storefront"]}}}`)
	f.until(time.Second, "version 2", func() bool { return d.view.ConfigVersion == 2 })
	known := d.view.ConfigFreshness.Known()
	f.trimmedTo(d, logstream.ConfigStream, uint64(len(f.log[logstream.ConfigStream]))+1)
	for range 20 {
		f.tick()
		is.Equal(d.view.ConfigVersion, uint64(2))
	}
	is.True(d.view.ConfigFreshness.Known() <= known.Add(TickInterval)) // nothing proves the head meanwhile
	f.until(snapshotInterval+3*snapshotStagger, "freshness again", func() bool { return d.view.ConfigFreshness.Known() == f.now })
	is.Equal(d.view.ConfigVersion, uint64(2))
}
