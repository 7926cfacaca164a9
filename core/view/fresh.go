package view

import (
	"sync/atomic"
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// Freshness tells traffic how old this daemon's knowledge of the configuration
// is. It changes more often than views are built.
type Freshness struct {
	limit  time.Duration
	known  atomic.Int64
	outage atomic.Int64
}

// NewFreshness returns the state of a daemon that knows nothing yet. Knowledge
// older than limit is stale.
func NewFreshness(limit time.Duration) *Freshness { return &Freshness{limit: limit} }

// Advance notes that the whole configuration stream was known as of at.
func (f *Freshness) Advance(at clock.Instant) {
	if int64(at) > f.known.Load() {
		f.known.Store(int64(at))
	}
}

// NoteOutage notes that at the instant a majority of the data centres answered
// and none had read the log lately.
func (f *Freshness) NoteOutage(at clock.Instant) {
	if int64(at) > f.outage.Load() {
		f.outage.Store(int64(at))
	}
}

// Known returns the instant as of which the whole configuration stream is
// known; zero before it was read once.
func (f *Freshness) Known() clock.Instant { return clock.Instant(f.known.Load()) }

// Outage returns the instant as of which the log was last found to be down for
// a majority of the data centres; zero if never.
func (f *Freshness) Outage() clock.Instant { return clock.Instant(f.outage.Load()) }

// Stale reports whether requests must be refused at now: others may know a
// newer configuration. While the log is down for all, nothing newer exists.
func (f *Freshness) Stale(now clock.Instant) bool {
	if f == nil {
		return false // a view that was not built by the control state
	}
	known := f.Known()
	if known == 0 {
		return true
	}
	return now.Sub(max(known, f.Outage())) > f.limit
}

// Until returns the instant after which the configuration is stale as things are
// now; zero if it never will be.
func (f *Freshness) Until() clock.Instant {
	if f == nil {
		return 0
	}
	return max(f.Known(), f.Outage()).Add(f.limit)
}

// Daemon is a daemon in service to which records may be passed on.
type Daemon struct {
	Slot       string
	DataCentre string
	PeerAddr   string
}
