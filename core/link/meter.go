package link

import (
	"time"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

const (
	// meterWindow is the time over which the rate of a saturated link is measured.
	meterWindow = 400 * time.Millisecond
	// maxSampleGap is the longest time between two samples of one measurement.
	maxSampleGap = 250 * time.Millisecond
	// meterWeight is the weight of a measurement in the rate: half of a change is followed
	// within two samples after the window.
	meterWeight = 0.4
	// recoverPerS is the share of the setting by which the rate rises in a second without
	// congestion.
	recoverPerS = 0.05
	// maxRaise and minRateShare bound the rate as multiples of the setting.
	maxRaise     = 2
	minRateShare = 0.05
	// CongestedBytes is the number of bytes outstanding at a connection from which it counts as
	// congested: more than a piece and a small response.
	CongestedBytes = 24 << 10
)

// Sample is what is known of the connections over the link at one time.
type Sample struct {
	Outstanding int64 // bytes that were written and not acknowledged yet
	Active      int   // connections with bulk lately
	Congested   int   // of them, those with CongestedBytes outstanding whose receivers have room
}

// meter measures the rate of a link while it is saturated.
type meter struct {
	from      clock.Instant // start of the measurement; 0 if the link is not saturated
	delivered int64         // at its start
	last      clock.Instant // time of the last sample
	samples   int
}

// Observe applies a sample, taken some times a second while bulk is written. While most
// connections with bulk are congested, the link is the bottleneck, and what it delivered is its
// rate. A connection whose receiver does not read is not congested.
func (l *Link) Observe(now clock.Instant, s Sample) {
	if !l.Limited() {
		return
	}
	m := &l.meter
	gap := now.Sub(m.last)
	known := m.last != 0
	m.last = now
	delivered := l.written - s.Outstanding
	if s.Active == 0 || 2*s.Congested <= s.Active {
		m.from = 0
		if known && l.rate < l.setting {
			l.rate = min(l.rate+recoverPerS*l.setting*min(gap, maxSampleGap).Seconds(), l.setting)
		}
		return
	}
	if m.from == 0 || gap > maxSampleGap {
		m.from, m.delivered, m.samples = now, delivered, 0
		return
	}
	m.samples++
	took := now.Sub(m.from)
	if took < meterWindow || m.samples < 3 {
		return
	}
	measured := float64(delivered-m.delivered) / took.Seconds()
	l.rate += meterWeight * (measured - l.rate)
	l.rate = min(max(l.rate, minRateShare*l.setting), maxRaise*l.setting)
	// The window moves on by a half, so that a measurement follows changes.
	m.delivered += int64(float64(delivered-m.delivered) / 2)
	m.from = m.from.Add(took / 2)
}
