package fleet

import (
	"fmt"
	"slices"
)

// maxRouteTimeoutMS bounds the timeout and the latency objective of a host route.
const maxRouteTimeoutMS = 600_000

// ParsePublished parses a whole version by an external author. In addition to Parse it
// rejects what a correct author never writes: two routes for one place, a caller key of
// two teams, and times out of range. The error wraps ErrInvalid.
func ParsePublished(data []byte) (*Config, error) {
	c, err := Parse(data)
	if err != nil {
		return nil, err
	}
	if err := c.checkPublished(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Config) checkPublished() error { return invalid(c.publishedProblems()) }

// publishedProblems returns the violated rules of ParsePublished, sorted.
func (c *Config) publishedProblems() []string {
	var list []string
	places := map[string]string{}
	for i, r := range c.HostRoutes {
		place := r.Host + r.Prefix
		if other, ok := places[place]; ok {
			list = append(list, fmt.Sprintf("host_routes.%d: %s is the place of route %q too", i, place, other))
		}
		places[place] = r.Name
		for _, ms := range []int64{r.TimeoutMS, r.TargetMS} {
			if ms < 0 || ms > maxRouteTimeoutMS {
				list = append(list, fmt.Sprintf("host_routes.%d: time of %d ms is not in 0 to %d", i, ms, maxRouteTimeoutMS))
			}
		}
	}
	owners := map[string]string{} // team by hash of the caller key
	for name, t := range c.Teams {
		for _, key := range t.Keys {
			if other, ok := owners[key.Hash]; ok && other != name && !key.Withdrawn {
				list = append(list, fmt.Sprintf("teams: %s and %s have the same caller key", min(name, other), max(name, other)))
			}
			owners[key.Hash] = name
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}
