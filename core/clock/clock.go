// Package clock provides the clock for leases and timeouts.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time on one host's boot clock, in nanoseconds since boot. The
// boot clock keeps running while the host is suspended. Instants of different hosts
// are not comparable. The zero Instant means "never".
type Instant int64

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Before reports whether i is earlier than j.
func (i Instant) Before(j Instant) bool { return i < j }

// Clock returns the current time.
type Clock interface {
	Now() Instant
}

// Boot is the boot clock of this host, CLOCK_BOOTTIME.
type Boot struct{}

// Now returns the time since boot. It panics if the kernel has no boot clock.
func (Boot) Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return Instant(ts.Nano())
}

var _ Clock = Boot{}
