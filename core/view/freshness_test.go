package view

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// start is the time at which a daemon of these tests knows the configuration.
const start = clock.Instant(time.Hour)

func after(d time.Duration) clock.Instant { return start.Add(d) }

// freshnessAtStart returns the freshness of a daemon that read the configuration up to
// position 8 at start.
func freshnessAtStart() *Freshness {
	f := NewFreshness(FreshnessLimits{Unconfirmed: time.Minute, Replaced: 2 * time.Second})
	f.SetNext(8)
	f.Advance(start, start)
	return f
}

func TestReplacedConfigurationIsStaleOnceItIsOverdue(t *testing.T) {
	is := is.New(t)
	f := freshnessAtStart()
	f.ObservePeer(9, after(time.Second))
	is.True(!f.Stale(after(2 * time.Second))) // the newer version may be as young as that
	is.True(f.Stale(after(2001 * time.Millisecond)))
	f.SetNext(9)
	is.True(!f.Stale(after(2001 * time.Millisecond)))
}

func TestOldConfigurationIsNotStaleWhileNoPeerHasANewerOne(t *testing.T) {
	is := is.New(t)
	f := freshnessAtStart()
	f.ObservePeer(8, after(50*time.Second))
	f.ObservePeer(3, after(50*time.Second))
	is.True(!f.Stale(after(50 * time.Second)))
	is.True(f.Stale(after(61 * time.Second)))
	f.RecordOutage(after(60 * time.Second))
	is.True(!f.Stale(after(61 * time.Second)))
}

// An outage of the log is concluded from old answers of others; one that has a newer
// configuration proves that it is not one.
func TestOutageHidesThatTheConfigurationWasReplaced(t *testing.T) {
	is := is.New(t)
	f := freshnessAtStart()
	f.RecordOutage(after(3 * time.Second))
	f.ObservePeer(9, after(3*time.Second))
	is.True(f.Stale(after(3 * time.Second)))
}

func TestPeerThatIsGoneKeepsTheConfigurationStale(t *testing.T) {
	is := is.New(t)
	f := freshnessAtStart()
	f.ObservePeer(9, after(3*time.Second))
	is.True(f.Stale(after(5 * time.Second)))
	is.True(!f.Stale(after(5001 * time.Millisecond)))
	f.ObservePeer(9, after(6*time.Second))
	is.True(f.Stale(after(6 * time.Second)))
}

func TestAgeOfAConfigurationThatIsNotReadIsLoggedAsZero(t *testing.T) {
	is := is.New(t)
	is.Equal(NewFreshness(FreshnessLimits{}).Age(start).Milliseconds(), int64(-1))
	is.Equal(freshnessAtStart().Age(after(1500*time.Millisecond)).Milliseconds(), int64(1500))
}

func TestStartingDaemonTakesAnOldHead(t *testing.T) {
	is := is.New(t)
	limits := FreshnessLimits{Unconfirmed: time.Minute, Replaced: 2 * time.Second}
	f := NewFreshness(limits)
	f.Advance(start, after(3*time.Second))
	is.True(f.Stale(after(3 * time.Second)))
	f.Advance(after(2*time.Second), after(4*time.Second))
	is.True(!f.Stale(after(4 * time.Second)))
	is.True(!f.Stale(after(30 * time.Second))) // once it was in time, age alone does not count

	f = NewFreshness(limits)
	f.Advance(start, after(10*time.Second))
	f.RecordOutage(after(11 * time.Second)) // nobody knows a newer head
	is.True(!f.Stale(after(11 * time.Second)))
}
