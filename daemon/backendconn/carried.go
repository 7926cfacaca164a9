package backendconn

import (
	"hash/maphash"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

// maxCarried bounds the requests that are remembered of one connection.
const maxCarried = 4096

// carriedIDs are the ids of the requests that a connection carried, each until the request's
// deadline. It is not safe for concurrent use.
type carriedIDs struct {
	seed  maphash.Seed
	until map[uint64]clock.Instant // by hash of the id
}

// add remembers a request until its deadline. It reports false if too many are remembered.
func (c *carriedIDs) add(id string, until, now clock.Instant) bool {
	if c.until == nil {
		c.seed, c.until = maphash.MakeSeed(), map[uint64]clock.Instant{}
	}
	if len(c.until) >= maxCarried {
		for hash, end := range c.until {
			if end <= now {
				delete(c.until, hash)
			}
		}
		if len(c.until) > maxCarried/2 { // otherwise each request would soon pass over all
			return false
		}
	}
	c.until[maphash.String(c.seed, id)] = until
	return true
}

// carriedWithin reports whether the deadline of a request that was carried has not passed.
func (c *carriedIDs) carriedWithin(id string, now clock.Instant) bool {
	return c.until != nil && c.until[maphash.String(c.seed, id)] > now
}

// contains reports whether a request is remembered.
func (c *carriedIDs) contains(id string) bool {
	if c.until == nil {
		return false
	}
	_, ok := c.until[maphash.String(c.seed, id)]
	return ok
}
