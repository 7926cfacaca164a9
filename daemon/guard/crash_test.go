package guard

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// account is a crash account with a clock of its own, and what it reported.
type account struct {
	*Crashes
	now      clock.Instant
	reported []string // "fingerprint crash-id"
}

func newAccount() *account {
	a := &account{now: clock.Instant(time.Hour)}
	a.Crashes = NewCrashes(a, a)
	a.Restarted("a")
	return a
}

func (a *account) Now() clock.Instant { return a.now }

func (a *account) pass(d time.Duration) { a.now = a.now.Add(d) }

func (a *account) Crashed(fingerprint uint64, service, server, crashID string) {
	a.reported = append(a.reported, service+" "+server+" "+string('0'+rune(fingerprint))+" "+crashID)
}

// TestQuickRestartIsACrash is the server that listens again before the broken
// connection was looked into: its next announcement tells.
func TestQuickRestartIsACrash(t *testing.T) {
	is := is.New(t)
	a := newAccount()
	a.Lost(Loss{Fingerprint: 1, Service: "s", Server: "b"})
	a.Lost(Loss{Fingerprint: 2, Service: "s", Server: "b"})
	a.pass(100 * time.Millisecond)
	a.Restarted("b")
	is.Equal(a.reported, []string{"s b 1 a/1", "s b 2 a/1"})
}

// TestQuickRestartSharesTheCrashID breaks one connection while the server is
// down and one when it is back.
func TestQuickRestartSharesTheCrashID(t *testing.T) {
	is := is.New(t)
	a := newAccount()
	is.Equal(a.ID(), "a/1")
	a.Lost(Loss{Fingerprint: 1, Service: "s", Server: "b"})
	a.Restarted("b")
	is.Equal(a.reported, []string{"s b 1 a/1"})
	is.Equal(a.ID(), "b/1") // of another life: another crash
}

// TestClosedConnectionIsNoCrash loses requests without a restart that explains it.
func TestClosedConnectionIsNoCrash(t *testing.T) {
	is := is.New(t)
	a := newAccount()
	a.Lost(Loss{Fingerprint: 1, Service: "s", Server: "b"})
	a.Restarted("a") // the same life announces itself
	is.Equal(len(a.reported), 0)
	a.pass(restartWindow + time.Millisecond)
	a.Restarted("b") // too late to explain it
	is.Equal(len(a.reported), 0)
}

// TestFirstLifeExplainsNothing: a daemon that starts knows no earlier life.
func TestFirstLifeExplainsNothing(t *testing.T) {
	is := is.New(t)
	a := &account{now: clock.Instant(time.Hour)}
	a.Crashes = NewCrashes(a, a)
	a.Lost(Loss{Fingerprint: 1})
	a.Restarted("a")
	is.Equal(len(a.reported), 0)
}

// TestLossesAreBounded keeps the newest.
func TestLossesAreBounded(t *testing.T) {
	is := is.New(t)
	a := newAccount()
	for range maxLost + 1 {
		a.Lost(Loss{Fingerprint: 1})
	}
	a.Restarted("b")
	is.Equal(len(a.reported), maxLost)
}
