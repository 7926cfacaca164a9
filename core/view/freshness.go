package view

import (
	"sync/atomic"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// Freshness tracks how recent this daemon's copy of the configuration is. It
// changes more often than views are built. Its methods are safe for concurrent
// use, but Advance, RecordOutage and SetNext must each have a single caller at a time.
// On a nil Freshness, the configuration is never stale.
type Freshness struct {
	limits    FreshnessLimits
	knownAsOf atomic.Int64
	outage    atomic.Int64
	confirmed atomic.Bool   // the configuration was in force at this daemon in time at least once
	next      atomic.Uint64 // position after the last record of the configuration that was read
	peerNext  atomic.Uint64 // highest such position of a peer
	peerAt    atomic.Int64  // when a peer last named a position above next
}

// FreshnessLimits are the ages from which a configuration is stale.
type FreshnessLimits struct {
	// Unconfirmed is the maximum time since the configuration was last known to be current.
	Unconfirmed time.Duration
	// Replaced is the time within which a version must be in force at all daemons. It is the
	// maximum time since the configuration was last known to be current while a peer
	// has a newer one, and when this daemon starts.
	Replaced time.Duration
}

// NewFreshness returns the freshness of a daemon that has not read the
// configuration yet.
func NewFreshness(limits FreshnessLimits) *Freshness { return &Freshness{limits: limits} }

// Advance records at now that the daemon had read the whole configuration stream as of at.
func (f *Freshness) Advance(at, now clock.Instant) {
	if int64(at) > f.knownAsOf.Load() {
		f.knownAsOf.Store(int64(at))
	}
	if now.Sub(at) <= f.limits.Replaced {
		f.confirmed.Store(true)
	}
}

// RecordOutage records that, as of at, a majority of the data centres answered and
// none of them had read the log recently.
func (f *Freshness) RecordOutage(at clock.Instant) {
	if int64(at) > f.outage.Load() {
		f.outage.Store(int64(at))
	}
	f.confirmed.Store(true)
}

// SetNext records the position after the last record of the configuration that was read.
func (f *Freshness) SetNext(next uint64) { f.next.Store(next) }

// Next returns the position set by SetNext.
func (f *Freshness) Next() uint64 {
	if f == nil {
		return 0
	}
	return f.next.Load()
}

// ObservePeer records that at now a peer had read the configuration up to position next.
func (f *Freshness) ObservePeer(next uint64, now clock.Instant) {
	if f == nil || next <= f.next.Load() {
		return
	}
	for {
		highest := f.peerNext.Load()
		if next <= highest || f.peerNext.CompareAndSwap(highest, next) {
			break
		}
	}
	f.peerAt.Store(int64(now))
}

// Replaced reports whether a peer has a newer configuration. A peer that was not heard of for
// the limit does not count: nobody may be left who has the newer one.
func (f *Freshness) Replaced(now clock.Instant) bool {
	return f != nil && f.peerNext.Load() > f.next.Load() && now.Sub(clock.Instant(f.peerAt.Load())) <= f.limits.Replaced
}

// Overdue reports whether a peer has a newer configuration that had to be in force at this
// daemon by now.
func (f *Freshness) Overdue(now clock.Instant) bool {
	return f.Replaced(now) && now.Sub(f.Known()) > f.limits.Replaced
}

// Known returns the time as of which the daemon has read the whole configuration
// stream, or zero if it has not read it yet.
func (f *Freshness) Known() clock.Instant { return clock.Instant(f.knownAsOf.Load()) }

// Age returns the time since the configuration was last known to be current, or -1 ms if it
// has not been read yet.
func (f *Freshness) Age(now clock.Instant) time.Duration {
	if f == nil || f.Known() == 0 {
		return -time.Millisecond
	}
	return max(now.Sub(f.Known()), 0)
}

// Outage returns the time as of which the log was last found to be down for a
// majority of the data centres, or zero if it never was.
func (f *Freshness) Outage() clock.Instant { return clock.Instant(f.outage.Load()) }

// Stale reports whether requests must be refused at now, because other daemons
// may have read a newer configuration. A log that is down for a majority of the
// data centres counts as down for all daemons, and while it is down for all there
// is no newer configuration, unless a peer has one. It is about the configuration that was
// published last, so a request must load the view that it uses after the check.
func (f *Freshness) Stale(now clock.Instant) bool {
	if f == nil {
		return false // the view was not built by the control state
	}
	known := f.Known()
	if known == 0 || !f.confirmed.Load() || f.Overdue(now) {
		return true
	}
	return now.Sub(max(known, f.Outage())) > f.limits.Unconfirmed
}

// Until returns the time after which the configuration becomes stale unless
// Advance or RecordOutage is called before, or earlier if a peer has a newer one. It returns
// zero if f is nil, in which case the configuration never becomes stale.
func (f *Freshness) Until() clock.Instant {
	if f == nil {
		return 0
	}
	return max(f.Known(), f.Outage()).Add(f.limits.Unconfirmed)
}

// Daemon is a daemon to which log records may be relayed.
type Daemon struct {
	Slot       string
	DataCentre string
	PeerAddr   string
}
