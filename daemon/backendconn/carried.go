package backendconn

import (
	"hash/maphash"
	"slices"

	"github.com/sesamemoor/sesamemoor/core/clock"
)

const (
	// maxCarried bounds the requests that are remembered of one connection.
	maxCarried = 4096
	// minForget is the least size of a memory from which requests are forgotten.
	minForget = 64
)

// carriedIDs are the ids of the requests that a connection carried, each until the request's
// deadline, and of the newest minForget ones at any time. It is not safe for concurrent use.
type carriedIDs struct {
	seed     maphash.Seed
	until    map[uint64]clock.Instant // by hash of the id
	forgetAt int                      // size of until at which the requests are forgotten whose deadline has passed
	newest   [minForget]uint64        // hashes, the oldest one at position next
	next     int
}

// add remembers a request until its deadline. It reports false if too many are remembered.
func (c *carriedIDs) add(id string, until, now clock.Instant) bool {
	if c.until == nil {
		c.seed, c.until, c.forgetAt = maphash.MakeSeed(), map[uint64]clock.Instant{}, minForget
	}
	if len(c.until) >= c.forgetAt {
		for hash, end := range c.until {
			if end <= now {
				delete(c.until, hash)
			}
		}
		if len(c.until) > maxCarried/2 { // otherwise each request would soon pass over all
			return false
		}
		c.forgetAt = max(minForget, 2*len(c.until))
	}
	hash := maphash.String(c.seed, id)
	c.until[hash] = until
	c.newest[c.next] = hash
	c.next = (c.next + 1) % len(c.newest)
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
	hash := maphash.String(c.seed, id)
	_, ok := c.until[hash]
	return ok || slices.Contains(c.newest[:], hash)
}
