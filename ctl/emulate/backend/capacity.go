package backend

import (
	"time"

	"github.com/google/uuid"
)

// capacity is the emulated ability to run requests. It is not safe for
// concurrent use.
type capacity struct {
	opts      Options
	bootID    string
	started   time.Time // of the last cold start
	downUntil time.Time // end of the stall after it fell over
	running   int
	fellOver  int
}

func newCapacity(opts Options, now time.Time) *capacity {
	c := &capacity{opts: opts}
	c.boot(now)
	return c
}

// boot starts the server anew, cold.
func (c *capacity) boot(now time.Time) {
	c.bootID = uuid.NewString()
	c.chill(now)
}

// chill makes the server cold without a restart.
func (c *capacity) chill(now time.Time) { c.started = now }

// warmth is 0 at cold start and 1 when warm.
func (c *capacity) warmth(now time.Time) float64 {
	if c.opts.WarmUp <= 0 {
		return 1
	}
	return min(1, float64(now.Sub(c.started))/float64(c.opts.WarmUp))
}

// bears returns how many requests the server can run at once.
func (c *capacity) bears(now time.Time) int {
	w := c.warmth(now)
	if w >= 1 {
		return c.opts.Slots
	}
	share := coldShare + (1-coldShare)*w
	return max(1, int(share*float64(c.opts.Slots)))
}

// serviceTime returns the time that a request takes when it starts now.
func (c *capacity) serviceTime(now time.Time, slowFactor float64) time.Duration {
	if slowFactor <= 0 {
		slowFactor = 1
	}
	factor := slowFactor * (1 + (coldSlowdown-1)*(1-c.warmth(now)))
	return time.Duration(float64(c.opts.ServiceTime) * factor)
}

// admit takes a slot, or reports false when the request is shed. A cold server
// that gets more than it bears falls over: it stalls and is cold afterwards.
func (c *capacity) admit(now time.Time) bool {
	if now.Before(c.downUntil) || c.running >= c.opts.Slots {
		return false
	}
	if c.running >= c.bears(now) {
		c.fellOver++
		c.downUntil = now.Add(c.opts.Stall)
		c.chill(c.downUntil)
		return false
	}
	c.running++
	return true
}

func (c *capacity) release() { c.running-- }

// stall returns how long a request that ends now is held up by a fall.
func (c *capacity) stall(now time.Time) time.Duration { return max(0, c.downUntil.Sub(now)) }
