package view

import (
	"sync/atomic"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// Freshness tracks how recent this daemon's copy of the configuration is. It
// changes more often than views are built. Its methods are safe for concurrent
// use, but Advance and RecordOutage must each have a single caller at a time.
type Freshness struct {
	limit     time.Duration
	knownAsOf atomic.Int64
	outage    atomic.Int64
}

// NewFreshness returns the freshness of a daemon that has not read the
// configuration yet. The configuration is stale when more than limit has passed
// since it was last known to be current.
func NewFreshness(limit time.Duration) *Freshness { return &Freshness{limit: limit} }

// Advance records that the daemon had read the whole configuration stream as of
// at.
func (f *Freshness) Advance(at clock.Instant) {
	if int64(at) > f.knownAsOf.Load() {
		f.knownAsOf.Store(int64(at))
	}
}

// RecordOutage records that, as of at, a majority of the data centres answered and
// none of them had read the log recently.
func (f *Freshness) RecordOutage(at clock.Instant) {
	if int64(at) > f.outage.Load() {
		f.outage.Store(int64(at))
	}
}

// Known returns the time as of which the daemon has read the whole configuration
// stream, or zero if it has not read it yet.
func (f *Freshness) Known() clock.Instant { return clock.Instant(f.knownAsOf.Load()) }

// Age returns the time since the configuration was last known to be current, or a
// negative duration if it has not been read yet.
func (f *Freshness) Age(now clock.Instant) time.Duration {
	if f == nil || f.Known() == 0 {
		return -1
	}
	return max(now.Sub(f.Known()), 0)
}

// Outage returns the time as of which the log was last found to be down for a
// majority of the data centres, or zero if it never was.
func (f *Freshness) Outage() clock.Instant { return clock.Instant(f.outage.Load()) }

// Stale reports whether requests must be refused at now, because other daemons
// may have read a newer configuration. A log that is down for a majority of the
// data centres counts as down for all daemons, and while it is down for all there
// is no newer configuration.
func (f *Freshness) Stale(now clock.Instant) bool {
	if f == nil {
		return false // the view was not built by the control state
	}
	known := f.Known()
	if known == 0 {
		return true
	}
	return now.Sub(max(known, f.Outage())) > f.limit
}

// Until returns the time after which the configuration becomes stale unless
// Advance or RecordOutage is called before. It returns zero if f is nil, in which
// case the configuration never becomes stale.
func (f *Freshness) Until() clock.Instant {
	if f == nil {
		return 0
	}
	return max(f.Known(), f.Outage()).Add(f.limit)
}

// Daemon is a daemon to which log records may be relayed.
type Daemon struct {
	Slot       string
	DataCentre string
	PeerAddr   string
}
