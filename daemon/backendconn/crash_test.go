package backendconn

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// testTracker is a CrashTracker with a manual clock. It records the reported requests.
type testTracker struct {
	*CrashTracker
	now      clock.Instant
	reported []string // "service server fingerprint crash-id"
}

func newTestTracker() *testTracker {
	tr := &testTracker{now: clock.Instant(time.Hour)}
	tr.CrashTracker = NewCrashTracker(tr, tr)
	tr.RecordRestart("a")
	return tr
}

func (tr *testTracker) Now() clock.Instant { return tr.now }

func (tr *testTracker) advance(d time.Duration) { tr.now = tr.now.Add(d) }

func (tr *testTracker) RecordCrash(fingerprint uint64, service, server, crashID string) {
	tr.reported = append(tr.reported, service+" "+server+" "+string('0'+rune(fingerprint))+" "+crashID)
}

// TestAnnouncedRestartRecordsCrash: a server that restarts before the probe still accepts
// connections, so the crash is detected by the boot id of its next announcement.
func TestAnnouncedRestartRecordsCrash(t *testing.T) {
	is := is.New(t)
	tr := newTestTracker()
	tr.RecordLost(LostRequest{Fingerprint: 1, Service: "s", Server: "b"})
	tr.RecordLost(LostRequest{Fingerprint: 2, Service: "s", Server: "b"})
	tr.advance(100 * time.Millisecond)
	tr.RecordRestart("b")
	is.Equal(tr.reported, []string{"s b 1 a/1", "s b 2 a/1"})
}

// TestRestartSharesCrashID: a connection that breaks while the server is down
// and one that is probed after the restart belong to the same crash.
func TestRestartSharesCrashID(t *testing.T) {
	is := is.New(t)
	tr := newTestTracker()
	is.Equal(tr.CurrentID(), "a/1")
	tr.RecordLost(LostRequest{Fingerprint: 1, Service: "s", Server: "b"})
	tr.RecordRestart("b")
	is.Equal(tr.reported, []string{"s b 1 a/1"})
	is.Equal(tr.CurrentID(), "b/1") // another boot, another crash
}

// TestClosedConnectionIsNotACrash: a lost request is not reported without a new boot
// within restartWindow.
func TestClosedConnectionIsNotACrash(t *testing.T) {
	is := is.New(t)
	tr := newTestTracker()
	tr.RecordLost(LostRequest{Fingerprint: 1, Service: "s", Server: "b"})
	tr.RecordRestart("a") // same boot
	is.Equal(len(tr.reported), 0)
	tr.advance(restartWindow + time.Millisecond)
	tr.RecordRestart("b") // after restartWindow
	is.Equal(len(tr.reported), 0)
}

// TestFirstBootRecordsNoCrash: the first boot that a daemon sees is no restart, since
// it knows no previous boot.
func TestFirstBootRecordsNoCrash(t *testing.T) {
	is := is.New(t)
	tr := &testTracker{now: clock.Instant(time.Hour)}
	tr.CrashTracker = NewCrashTracker(tr, tr)
	tr.RecordLost(LostRequest{Fingerprint: 1})
	tr.RecordRestart("a")
	is.Equal(len(tr.reported), 0)
}

// TestLostRequestsAreBounded: at most maxLostRequests lost requests are kept.
func TestLostRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	tr := newTestTracker()
	for range maxLostRequests + 1 {
		tr.RecordLost(LostRequest{Fingerprint: 1})
	}
	tr.RecordRestart("b")
	is.Equal(len(tr.reported), maxLostRequests)
}
