package backend

import (
	"time"

	"github.com/google/uuid"
)

// capacity models how many requests the server can run at the same time and how long
// they take. It is not safe for concurrent use.
type capacity struct {
	opts         Options
	bootID       string
	coldSince    time.Time // time at which the server last became cold
	stalledUntil time.Time // end of the stall after an overload
	running      int
	overloads    int
}

func newCapacity(opts Options, now time.Time) *capacity {
	c := &capacity{opts: opts}
	c.boot(now)
	return c
}

// boot starts the server cold with a new boot id.
func (c *capacity) boot(now time.Time) {
	c.bootID = uuid.NewString()
	c.makeCold(now)
}

// makeCold makes the server cold from now on, without a restart.
func (c *capacity) makeCold(now time.Time) { c.coldSince = now }

// warmUpProgress returns 0 at a cold start, rising to 1 when the server is warm. It is
// negative until the end of a stall.
func (c *capacity) warmUpProgress(now time.Time) float64 {
	if c.opts.WarmUp <= 0 {
		return 1
	}
	return min(1, float64(now.Sub(c.coldSince))/float64(c.opts.WarmUp))
}

// maxRunning returns how many requests the server can run at the same time.
func (c *capacity) maxRunning(now time.Time) int {
	progress := c.warmUpProgress(now)
	if progress >= 1 {
		return c.opts.Slots
	}
	share := coldShare + (1-coldShare)*progress
	return max(1, int(share*float64(c.opts.Slots)))
}

// serviceTime returns the service time of a request that starts now. A slowFactor of 0
// or less means 1.
func (c *capacity) serviceTime(now time.Time, slowFactor float64) time.Duration {
	if slowFactor <= 0 {
		slowFactor = 1
	}
	factor := slowFactor * (1 + (coldSlowdown-1)*(1-c.warmUpProgress(now)))
	return time.Duration(float64(c.opts.ServiceTime) * factor)
}

// admit takes a slot, or returns false if the request is shed. A request beyond the
// capacity of a cold server overloads it: the server stalls and is cold afterwards.
func (c *capacity) admit(now time.Time) bool {
	if now.Before(c.stalledUntil) || c.running >= c.opts.Slots {
		return false
	}
	if c.running >= c.maxRunning(now) {
		c.overloads++
		c.stalledUntil = now.Add(c.opts.StallTime)
		c.makeCold(c.stalledUntil)
		return false
	}
	c.running++
	return true
}

func (c *capacity) release() { c.running-- }

// remainingStall returns how long a stall delays a request that ends now.
func (c *capacity) remainingStall(now time.Time) time.Duration {
	return max(0, c.stalledUntil.Sub(now))
}
