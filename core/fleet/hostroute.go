package fleet

import (
	"slices"
	"strings"
)

// HostRoute maps the requests to a host and path prefix to services.
type HostRoute struct {
	Name    string          `json:"name"`
	Host    string          `json:"host"`
	Prefix  string          `json:"prefix"`
	Targets []WeightedRoute `json:"targets"`
	// Idempotent means that a request may run more than once.
	Idempotent bool     `json:"idempotent,omitempty"`
	Bulk       bool     `json:"bulk,omitempty"`       // responses are large
	TimeoutMS  int64    `json:"timeout_ms,omitempty"` // maximum time to respond to a caller; 0 means DefaultTimeoutMS
	TargetMS   int64    `json:"target_ms,omitempty"`  // latency objective; 0 means the timeout
	MaxTries   uint32   `json:"max_tries,omitempty"`  // maximum number of backend servers tried for one request; 0 means 1
	Priority   uint32   `json:"priority,omitempty"`   // 0 is the highest
	Anonymous  bool     `json:"anonymous,omitempty"`  // requires no caller key
	Regions    []string `json:"regions,omitempty"`    // empty means all
}

// WeightedRoute is a target service of a route with its share of the requests.
type WeightedRoute struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// CallerLimits bounds the size and the duration of caller requests. A zero field
// selects the default of the process.
type CallerLimits struct {
	MaxHeaderBytes  int64 `json:"max_header_bytes,omitempty"`
	MaxBodyBytes    int64 `json:"max_body_bytes,omitempty"`
	HeaderTimeoutMS int64 `json:"header_timeout_ms,omitempty"`
	IdleTimeoutMS   int64 `json:"idle_timeout_ms,omitempty"`
}

func (c *Config) checkHostRoute(add addFunc, i int, r HostRoute) {
	if r.Host == "" {
		add("host_routes.%d.host: required", i)
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		add("host_routes.%d.prefix: %q does not start with '/'", i, r.Prefix)
	}
	if len(r.Targets) == 0 {
		add("host_routes.%d.targets: required", i)
	}
	for _, t := range r.Targets {
		if _, ok := c.Services[t.Service]; !ok {
			add("host_routes.%d.targets: no service %q", i, t.Service)
		}
		if t.Weight < 0 {
			add("host_routes.%d.targets: weight %v is negative", i, t.Weight)
		}
	}
}

// HostTable is an immutable index of host routes.
type HostTable struct {
	byHost map[string][]*HostRoute // longest prefix first
}

// NewHostTable indexes the host routes of a configuration.
func NewHostTable(c *Config) *HostTable {
	t := &HostTable{byHost: map[string][]*HostRoute{}}
	for i := range c.HostRoutes {
		r := &c.HostRoutes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *HostRoute) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// Match returns the route of the host with the longest prefix of path, or nil. Unlike
// in MatchRoute, a prefix may end within a path segment.
func (t *HostTable) Match(host, path string) *HostRoute {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
